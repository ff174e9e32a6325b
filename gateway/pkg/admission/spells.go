package admission

import "toucanhinge.example/common/pkg/clock"

const (
	// calmAfter is the span without a refusal that ends a spell of overload. Within a
	// burst a gateway refuses several times a second.
	calmAfter clock.Millis = 1_500
	// spellWeight is the weight of the newest spell in the mean: the last three or so.
	spellWeight = 0.3
	// spellSlack is how much longer than the mean a spell is still taken for a usual one.
	spellSlack = 1.25
	// latePart is the earliest part of the span in which callers come back that is told to
	// those who meet an overload of unknown length.
	latePart = 0.7
)

// OverloadTracker learns how long overload lasts, from the refusals of this gateway. Bursts come
// again and again: a caller who is told to come back while one goes on is in the way of
// new callers, and may be turned away for good. One who is told a later time than needed
// waits for nothing.
type OverloadTracker struct {
	began, last clock.Millis
	mean        float64
}

// RecordRefusal notes a refusal.
func (s *OverloadTracker) RecordRefusal(now clock.Millis) {
	if s.last == 0 || now-s.last > calmAfter {
		s.end()
		s.began = now
	}
	s.last = now
}

// end takes the last spell into the mean.
func (s *OverloadTracker) end() {
	length := float64(s.last - s.began)
	switch {
	case length <= 0:
	case s.mean == 0:
		s.mean = length
	default:
		s.mean += spellWeight * (length - s.mean)
	}
}

// Remaining is how much longer the spell will probably last; known is false if none has been
// seen to its end, or if this one is longer than usual.
func (s *OverloadTracker) Remaining(now clock.Millis) (span clock.Millis, known bool) {
	elapsed := float64(now - s.began)
	if s.mean == 0 || elapsed > spellSlack*s.mean {
		return 0, false
	}
	return clock.Millis(max(s.mean-elapsed, 0)), true
}
