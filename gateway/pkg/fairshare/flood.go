package fairshare

import (
	"math"
	"slices"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/contention"
	"toucanhinge.example/common/pkg/maxmin"
)

const (
	// floodFactor is how much more than the others a team must ask for, relative to its weight, to count as flooding.
	// Teams with a usual load differ by less, except for the chance of small numbers.
	floodFactor = 2
	// deviations is the number of standard deviations that demands are expected to stay within.
	deviations = 2
)

// divide computes the levels, and the slots that are reserved while a team floods.
func (s *Shares) divide(in Input, view contention.View) {
	s.level, s.floodLevel, s.result.Reserved = maxmin.Unlimited(), maxmin.Unlimited(), 0
	if in.Capacity <= 0 {
		return
	}
	capacity := s.result.Capacity
	// Divide changes the claims.
	s.level = maxmin.Divide(capacity, slices.Clone(s.claims))
	s.floodLevel = s.level
	if !s.level.Limited() || in.Hold <= 0 {
		return
	}
	flooding, others := s.findFloods()
	if flooding.Demand == 0 {
		return
	}
	rate := min(others+float64(view.Rest.Demand), capacity) / float64(in.Hold)
	unseen := rate * float64(in.LoadAge)
	headroom := min(unseen+variation(rate, in.LoadAge+view.Age), float64(flooding.Demand))
	s.floodLevel = maxmin.Divide(max(capacity-headroom, 0), s.claims)
	// While a slot seems free, every request of a flooding team takes one, and those that the other gateways have just started
	// aren't visible.
	free := headroom + float64(flooding.Demand)/float64(in.Hold)*float64(in.LoadAge)
	if s.result.Basis == EqualPart {
		free *= float64(max(in.Gateways, 1))
	}
	s.result.Reserved = int(math.Ceil(free))
}

// variation returns by how much the number of running requests that arrive and end at a rate probably grows at most
// within a period.
func variation(rate float64, period clock.Millis) float64 {
	return deviations * math.Sqrt(2*rate*float64(max(period, 0)))
}

// findFloods determines which teams flood, and returns the sum of these and the demand of the other named teams. By
// Little's law, the demand divided by the mean hold is the rate at which such requests start.
func (s *Shares) findFloods() (flooding contention.TeamDemand, others float64) {
	demand, weight := 0.0, 0.0
	for _, c := range s.claims {
		demand, weight = demand+c.Demand, weight+c.Weight
	}
	for team, total := range s.teams {
		usual := 0.0
		if left := weight - total.weight; left > 0 {
			usual = total.weight / left * (demand - float64(total.demand))
		}
		total.floods = float64(total.demand) > floodFactor*usual+deviations*math.Sqrt(usual)+minShare
		s.teams[team] = total
		if total.floods {
			flooding.Running += total.own + total.others
			flooding.Demand += total.demand
		} else {
			others += float64(total.demand)
		}
	}
	return flooding, others
}
