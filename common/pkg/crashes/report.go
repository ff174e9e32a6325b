package crashes

import (
	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Phase is how far a run had got when its runner crashed.
type Phase int

// Phases of a run.
const (
	// Late runs had sent events for too long to be the cause of the crash.
	Late Phase = iota
	// Early runs had sent events for less than earlyDuration.
	Early
	// BeforeFirstEvent runs had sent no event. Requests that crash their runner do so 30 to 105 ms
	// after they start, before their first event.
	BeforeFirstEvent
)

// earlyDuration is the time after which a request no longer crashes its runner: five times the
// longest observed delay of a crash.
const earlyDuration clock.Millis = 500

// ConfirmedAnswer is the time after the first event of an answer from which on its runner has not crashed by beginning it.
const ConfirmedAnswer clock.Millis = 120

// Crash identifies one crash by the runner and its start time, 0 if unknown. Each start of a runner
// has its own id or start time and crashes at most once.
type Crash struct {
	Runner    string
	StartedAt int64
}

// CrashOf returns the crash of an instance of a runner.
func CrashOf(r *toucanhingev1.Runner) Crash {
	return Crash{Runner: r.GetId(), StartedAt: r.GetBornMs()}
}

// Report describes a run that ended with a crash of its runner.
type Report struct {
	Crash       Crash
	Fingerprint Fingerprint
	Phase       Phase
	// At is the time of the crash.
	At clock.Millis
}

// PhaseOf returns the phase of a run that ended with a crash. streamed is the time since the first
// event, negative for none; sentAgo is the time since the request was sent to the runner; streams
// is set if the response consists of events.
func PhaseOf(streamed, sentAgo clock.Millis, streams bool) Phase {
	switch {
	case streamed >= earlyDuration:
		return Late
	case streamed >= 0, !streams && sentAgo >= earlyDuration:
		return Early
	default:
		return BeforeFirstEvent
	}
}
