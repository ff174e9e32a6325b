package contention

import "cmp"

// topTeams selects the teams with the most demand relative to their weight and sums up the others.
type topTeams struct {
	// list refers to the selected teams in order.
	list []*teamSum
	rest TeamDemand
}

func newTopTeams(rest TeamDemand) *topTeams {
	return &topTeams{list: make([]*teamSum, 0, MaxTeams), rest: rest}
}

func (t *topTeams) add(team *teamSum) {
	var dropped *teamSum
	var full bool
	t.list, dropped, full = insertBounded(t.list, team, MaxTeams, (*teamSum).compare)
	if full {
		t.rest.Running += dropped.Running
		t.rest.Demand += dropped.Demand
		t.rest.Teams++
		t.rest.Weight += dropped.weight
	}
}

// compare orders teams by their need. The order of teams with equal needs is the same at all gateways.
func (t *teamSum) compare(other *teamSum) int {
	switch {
	case t.need > other.need:
		return -1
	case t.need < other.need:
		return 1
	case t.Demand != other.Demand:
		return cmp.Compare(other.Demand, t.Demand)
	default:
		return cmp.Compare(t.Team, other.Team)
	}
}

// demands lists the selected teams.
func (t *topTeams) demands() []TeamDemand {
	if len(t.list) == 0 {
		return nil
	}
	list := make([]TeamDemand, len(t.list))
	for i, team := range t.list {
		list[i] = team.TeamDemand
	}
	return list
}
