package crashes

import (
	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Phase is how far a run had got when its runner crashed.
type Phase int

// Phases of a run.
const (
	// Unsuspected runs can't be the cause of the crash: those of batch items, which are owed.
	Unsuspected Phase = iota
	// Answering runs had sent events, or send none before their end.
	Answering
	// BeforeFirstEvent runs were to send events and had sent none.
	BeforeFirstEvent
)

// ConfirmedAnswer is the time after the first event of an answer from which on its runner has probably not crashed by
// beginning it. Only a complete answer shows that.
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
	// Ran is the time from the start of the run until the crash, 0 if unknown.
	Ran clock.Millis
	// At is the time of the crash.
	At clock.Millis
	// Trial identifies the run if it was the trial of a quarantined request, 0 if it wasn't.
	Trial uint64
}
