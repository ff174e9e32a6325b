package admit

import "toucanhinge.example/common/pkg/clock"

const (
	// reportSlack allows for the way between our count and the engine's.
	reportSlack = clock.Millis(30)
	// ownKept is how long our own counts are remembered; no report lags more.
	ownKept = clock.Millis(10_000)
	// foreignKept is how long the highest estimate holds.
	foreignKept = clock.Millis(1_000)
	// ownMost bounds the memory of counts.
	ownMost = 8_192
)

// ForeignEstimator works out from the engine's lagging report how many slots
// others use. What we have in flight ourselves we know better than any report,
// so we take off the most that we had at the moment the report speaks of; what
// is left is surely not ours. As our starts and ends near that moment hide
// load of others, the highest estimate of the last second counts.
type ForeignEstimator struct {
	own       []sample
	estimates []sample
}

type sample struct {
	at    clock.Millis
	count int
}

// RecordOwn notes how many requests we have at the engine from now on.
func (f *ForeignEstimator) RecordOwn(now clock.Millis, count int) {
	if n := len(f.own); n > 0 && f.own[n-1].count == count {
		return
	}
	f.own = append(f.own, sample{at: now, count: count})
	drop := 0
	for drop < len(f.own)-1 && (now-f.own[drop+1].at > ownKept || len(f.own)-drop > ownMost) {
		drop++
	}
	f.own = f.own[drop:]
}

// Estimate takes the engine's report of what it runs and queues as of a moment,
// and returns the slots that others use.
func (f *ForeignEstimator) Estimate(now, asOf clock.Millis, inFlight int) int {
	from, to := asOf-reportSlack, asOf+reportSlack
	if asOf > now || now-asOf > ownKept {
		// The engine's clock is another one: all we know is what we had lately.
		from, to = now-ownKept, now
	}
	estimate := max(inFlight-f.most(from, to), 0)
	kept := f.estimates[:0]
	for _, e := range f.estimates {
		if now-e.at < foreignKept {
			kept = append(kept, e)
		}
	}
	kept = append(kept, sample{at: now, count: estimate})
	f.estimates = kept
	highest := 0
	for _, e := range f.estimates {
		highest = max(highest, e.count)
	}
	return highest
}

// most is the highest count that held at any moment of the span.
func (f *ForeignEstimator) most(from, to clock.Millis) int {
	highest := 0
	for i, s := range f.own {
		until := to + 1
		if i+1 < len(f.own) {
			until = f.own[i+1].at
		}
		if s.at <= to && until >= from {
			highest = max(highest, s.count)
		}
	}
	return highest
}
