package contention

import (
	"math"

	"toucanhinge.example/common/pkg/quota"
)

// teamSums adds up the demands of each team. The teams are in a list, because all of them are read
// after each report, which takes several times as long with a map.
type teamSums struct {
	weight WeightFunc
	list   []teamSum
	// index holds the position of each team in the list.
	index map[quota.ID]int
}

// teamSum is the demand of one team over the origins that list it.
type teamSum struct {
	TeamDemand
	origins int
	weight  float64
	// need is the demand relative to the weight.
	need float64
}

func newTeamSums(weight WeightFunc) teamSums {
	return teamSums{weight: weight, index: map[quota.ID]int{}}
}

func (t *teamSums) add(teams []TeamDemand) {
	for _, d := range teams {
		i, known := t.index[d.Team]
		if !known {
			i = len(t.list)
			t.index[d.Team] = i
			t.list = append(t.list, teamSum{TeamDemand: TeamDemand{Team: d.Team}})
		}
		sum := &t.list[i]
		sum.Running += d.Running
		sum.Demand += d.Demand
		sum.origins++
		sum.weight = t.weight(d.Team)
		sum.need = needOf(sum.Demand, sum.weight)
	}
}

func (t *teamSums) subtract(teams []TeamDemand) {
	for _, d := range teams {
		i := t.index[d.Team]
		sum := &t.list[i]
		sum.Running -= d.Running
		sum.Demand -= d.Demand
		sum.origins--
		sum.need = needOf(sum.Demand, sum.weight)
		if sum.origins == 0 {
			t.remove(i)
		}
	}
}

// remove replaces a team in the list by the last one.
func (t *teamSums) remove(i int) {
	delete(t.index, t.list[i].Team)
	last := len(t.list) - 1
	if i < last {
		t.list[i] = t.list[last]
		t.index[t.list[i].Team] = i
	}
	t.list = t.list[:last]
}

// needOf returns the demand relative to the weight.
func needOf(demand int, weight float64) float64 {
	switch {
	case demand == 0:
		return 0
	case weight <= 0:
		return math.Inf(1)
	default:
		return float64(demand) / weight
	}
}
