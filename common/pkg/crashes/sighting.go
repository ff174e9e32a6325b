package crashes

import "toucanhinge.example/common/pkg/clock"

// Phase is what a run that ended with its runner's crash says of the request.
type Phase int

// Signs.
const (
	// Late runs had given events for too long to be the cause.
	Late Phase = iota
	// Early ones had given events for less than youngSpan.
	Early
	// BeforeFirstEvent ones had given none. Requests that crash their runner do so 30 to 105 ms after
	// they begin, before their first event (eleven runs whose begin and end are known).
	BeforeFirstEvent
)

// youngSpan is the time after which a request doesn't crash the runner that began to run
// it: five times the longest delay that was seen.
const youngSpan clock.Millis = 500

// Crash names one crash: a runner and when it had started, 0 if that isn't known. Each
// start of a runner has an id or a time of its own, so it crashes once.
type Crash struct {
	Runner string
	StartedAt   int64
}

// Report is a run that ended with its runner's crash.
type Report struct {
	Crash   Crash
	Fingerprint Fingerprint
	Phase    Phase
	// At is when the runner crashed.
	At clock.Millis
}

// PhaseOf is the sign of a run that ended with a crash. Heard is how long events had come,
// negative for none; asked how long ago the request was sent there; streams whether it
// gives events at all.
func PhaseOf(heard, asked clock.Millis, streams bool) Phase {
	switch {
	case heard >= youngSpan:
		return Late
	case heard >= 0, !streams && asked >= youngSpan:
		return Early
	default:
		return BeforeFirstEvent
	}
}
