package fairshare

import (
	"cmp"
	"math"

	"toucanhinge.example/common/pkg/contention"
)

// rankedDemand is a team's demand with the value by which Top orders teams.
type rankedDemand struct {
	demand contention.TeamDemand
	weight float64
	// ratio is the demand per weight, infinite for a weight of 0.
	ratio float64
}

func rankDemand(d contention.TeamDemand, weight float64) rankedDemand {
	r := rankedDemand{demand: d, weight: weight, ratio: math.Inf(1)}
	if weight > 0 {
		r.ratio = float64(d.Demand) / weight
	}
	return r
}

// compare orders by falling ratio.
func (r rankedDemand) compare(other rankedDemand) int {
	return cmp.Or(cmp.Compare(other.ratio, r.ratio), cmp.Compare(r.demand.Team, other.demand.Team))
}
