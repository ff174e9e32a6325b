package admission

import (
	"math"

	"toucanhinge.example/common/pkg/clock"
)

// minStartChance is the chance of a slot below which a waiter is refused. Its caller can use the remaining time for
// something else.
const minStartChance = 0.05

// latestStart returns the latest time at which a waiting request may start.
func (r Request) latestStart() clock.Millis {
	return min(r.Deadline-r.requestHold()-finishSlack, r.Arrived+r.maxWait())
}

// startChance returns the probability that at least needed slots become free within a duration. They become free
// independently, slots/hold per unit of time on average, so their number has a Poisson distribution. The probability is
// computed by the cube root approximation of Wilson and Hilferty: it is accurate enough for one waiter, and a sum over
// thousands of waiters would be too slow on small VMs.
func startChance(needed, slots int, hold, duration clock.Millis) float64 {
	switch {
	case needed <= 0 || hold <= 0:
		return 1
	case slots <= 0 || duration <= 0:
		return 0
	}
	freed := float64(slots) * float64(duration) / float64(hold)
	n := float64(needed)
	z := 3 * math.Sqrt(n) * (math.Cbrt(freed/n) - 1 + 1/(9*n))
	return math.Erfc(-z/math.Sqrt2) / 2
}

// IsHopeless reports whether a waiter of a rank has hardly a chance to start in time. slots and free are the number of
// all slots of the service and of those that are free.
func IsHopeless(now clock.Millis, r Request, rank, slots, free int) bool {
	return startChance(rank+1-free, slots, r.Hold, r.latestStart()-now) < minStartChance
}
