package routing

import toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"

// defaultWeight is the weight of every team if none has a weight or a request limit.
const defaultWeight = 1

// teamWeights holds the weights of the teams that have one, and the mean of these weights for all others.
type teamWeights struct {
	byTeam map[string]float64
	mean   float64
}

// newTeamWeights computes the weights. A team without a weight of its own has its request limit as weight.
func newTeamWeights(teams []*toucanhingev1.Team) teamWeights {
	w := teamWeights{byTeam: make(map[string]float64, len(teams)), mean: defaultWeight}
	for _, team := range teams {
		weight := team.GetRate()
		if team.Weight != nil {
			weight = team.GetWeight()
		} else if weight <= 0 {
			continue
		}
		w.byTeam[team.GetName()] = weight
		if len(w.byTeam) == 1 {
			w.mean = weight
		} else {
			// A sum of the largest finite numbers would overflow.
			w.mean += (weight - w.mean) / float64(len(w.byTeam))
		}
	}
	return w
}

func (w teamWeights) of(team string) float64 {
	if weight, known := w.byTeam[team]; known {
		return weight
	}
	return w.mean
}
