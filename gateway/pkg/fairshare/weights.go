package fairshare

import (
	"toucanhinge.example/common/pkg/contention"
	"toucanhinge.example/common/pkg/quota"
	"toucanhinge.example/common/pkg/routing"
)

// TeamID returns the id of a team. Callers without a team, whose team name is empty, count as one team.
func TeamID(name string) quota.ID { return contention.TeamID(name) }

// Weights holds the weights of the teams of one routing table.
type Weights struct {
	byTeam map[quota.ID]float64
	// other is the weight of all other callers.
	other float64
}

// NewWeights returns the weights of the teams of a table.
func NewWeights(table *routing.Table) *Weights {
	w := &Weights{byTeam: make(map[quota.ID]float64, len(table.Teams())), other: table.Weight("")}
	for _, team := range table.Teams() {
		// Teams whose names have the same hash are counted together, so they have one share.
		w.byTeam[TeamID(team.GetName())] += table.Weight(team.GetName())
	}
	return w
}

// Of returns the weight of a team.
func (w *Weights) Of(team quota.ID) float64 {
	if weight, known := w.byTeam[team]; known {
		return weight
	}
	return w.other
}
