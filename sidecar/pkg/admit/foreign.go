package admit

import "toucanhinge.example/common/pkg/clock"

const (
	// reportTolerance covers the delay between a change of the sidecar's own
	// count and the matching change of the engine's count.
	reportTolerance = clock.Millis(30)
	// ownCountRetention is how long the sidecar's own counts are stored. Engine
	// reports lag by less than this.
	ownCountRetention = clock.Millis(10_000)
	// estimateRetention is how long an estimate counts towards the maximum.
	estimateRetention = clock.Millis(1_000)
	// maxOwnCounts bounds the memory used by stored counts.
	maxOwnCounts = 8_192
)

// ForeignEstimator estimates how many engine slots are used by requests that did
// not come through this sidecar. It subtracts from the engine's lagging report the
// highest number of own requests in flight around the time of the report; the
// remainder is foreign load. Own starts and ends near that time hide foreign load,
// so the highest estimate of the last second is used.
type ForeignEstimator struct {
	ownCounts []sample
	estimates []sample
}

type sample struct {
	at    clock.Millis
	count int
}

// RecordOwnCount records the number of own requests at the engine from now on.
func (f *ForeignEstimator) RecordOwnCount(now clock.Millis, count int) {
	if n := len(f.ownCounts); n > 0 && f.ownCounts[n-1].count == count {
		return
	}
	f.ownCounts = append(f.ownCounts, sample{at: now, count: count})
	drop := 0
	for drop < len(f.ownCounts)-1 &&
		(now-f.ownCounts[drop+1].at > ownCountRetention || len(f.ownCounts)-drop > maxOwnCounts) {
		drop++
	}
	f.ownCounts = f.ownCounts[drop:]
}

// Estimate returns the number of slots used by foreign requests, given the number
// of requests that the engine reports as running or queued at asOf.
func (f *ForeignEstimator) Estimate(now, asOf clock.Millis, inFlight int) int {
	from, to := asOf-reportTolerance, asOf+reportTolerance
	if asOf > now || now-asOf > ownCountRetention {
		// The engine's clock differs from the sidecar's, so asOf is unusable: use the
		// whole history of own counts.
		from, to = now-ownCountRetention, now
	}
	estimate := max(inFlight-f.maxOwnCount(from, to), 0)
	recent := f.estimates[:0]
	for _, e := range f.estimates {
		if now-e.at < estimateRetention {
			recent = append(recent, e)
		}
	}
	recent = append(recent, sample{at: now, count: estimate})
	f.estimates = recent
	highest := 0
	for _, e := range f.estimates {
		highest = max(highest, e.count)
	}
	return highest
}

// maxOwnCount returns the highest own count between from and to.
func (f *ForeignEstimator) maxOwnCount(from, to clock.Millis) int {
	highest := 0
	for i, s := range f.ownCounts {
		until := to + 1
		if i+1 < len(f.ownCounts) {
			until = f.ownCounts[i+1].at
		}
		if s.at <= to && until >= from {
			highest = max(highest, s.count)
		}
	}
	return highest
}
