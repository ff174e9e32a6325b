package admission

import "toucanhinge.example/common/pkg/clock"

const (
	// overloadEndGap is the time without a refusal that ends an overload period. During a burst a gateway refuses
	// several requests a second.
	overloadEndGap clock.Millis = 1_500
	// periodWeight is the weight of the newest overload period in the moving average, which covers about the last
	// three periods.
	periodWeight = 0.3
	// maxUsualLength is the longest length of a usual overload period, as a multiple of the mean.
	maxUsualLength = 1.25
	// unknownLengthDelay is the earliest retry time in an overload period of unknown length, as a fraction of the
	// latest retry time.
	unknownLengthDelay = 0.7
	// refusedWindow is the time over which reports count refusals.
	refusedWindow clock.Millis = 1_000
)

// OverloadTracker estimates how long overload periods last from the refusals of all gateways. Bursts recur: a caller
// that retries during the same burst competes with new callers and may be refused for good, whereas a caller that
// retries later than necessary waits in vain.
type OverloadTracker struct {
	startedAt, lastRefusal clock.Millis
	meanLength             float64
	// reported is the last reported number of refusals at other gateways.
	reported int
}

// RecordRefusal records a refusal.
func (t *OverloadTracker) RecordRefusal(now clock.Millis) {
	if t.lastRefusal == 0 || now-t.lastRefusal > overloadEndGap {
		t.endPeriod()
		t.startedAt = now
	}
	t.lastRefusal = now
}

// RecordReport records the number of requests that other gateways refused in the last second, as known from reports of
// an age. If the number has grown, a request was refused just before. Otherwise the last refusal may be almost a second
// old: counted as new, it would make each overload period a second too long.
func (t *OverloadTracker) RecordReport(now clock.Millis, refused int, age clock.Millis) {
	at := now - age
	if refused <= t.reported {
		at -= refusedWindow
	}
	t.reported = refused
	if refused > 0 && (t.lastRefusal == 0 || at > t.lastRefusal) {
		t.RecordRefusal(at)
	}
}

// endPeriod adds the length of the last overload period to the mean.
func (t *OverloadTracker) endPeriod() {
	length := float64(t.lastRefusal - t.startedAt)
	switch {
	case length <= 0:
	case t.meanLength == 0:
		t.meanLength = length
	default:
		t.meanLength += periodWeight * (length - t.meanLength)
	}
}

// Remaining returns how much longer the current overload period will probably last. known is false if no period has
// ended yet, or if the current one is longer than usual.
func (t *OverloadTracker) Remaining(now clock.Millis) (remaining clock.Millis, known bool) {
	elapsed := float64(now - t.startedAt)
	if t.meanLength == 0 || elapsed > maxUsualLength*t.meanLength {
		return 0, false
	}
	return clock.Millis(max(t.meanLength-elapsed, 0)), true
}
