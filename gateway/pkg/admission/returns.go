package admission

import (
	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/contention"
)

const (
	// returnIntervals is the number of intervals for which the returning callers are reported.
	returnIntervals = 8
	// returnResolution is the resolution at which returning callers are counted. The intervals of a report start at
	// any time.
	returnResolution = contention.ReturnInterval / 5
)

// Returns counts the callers that a gateway told when to retry.
type Returns struct {
	counts map[clock.Millis]int
}

// Add counts a caller that was told to retry at a time.
func (r *Returns) Add(now, at clock.Millis) {
	if r.counts == nil {
		r.counts = map[clock.Millis]int{}
	}
	for slot := range r.counts {
		if slot < now/returnResolution {
			delete(r.counts, slot)
		}
	}
	r.counts[at/returnResolution]++
}

// ByInterval returns the number of callers that return in each interval from now on, nil if there are none.
func (r *Returns) ByInterval(now clock.Millis) []int {
	var counts []int
	for slot, n := range r.counts {
		interval := int((slot - now/returnResolution) * returnResolution / contention.ReturnInterval)
		if slot < now/returnResolution || interval >= returnIntervals {
			continue
		}
		for len(counts) <= interval {
			counts = append(counts, 0)
		}
		counts[interval] += n
	}
	return counts
}
