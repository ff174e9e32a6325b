package crashes

import (
	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/lateruns"
)

// QuarantineState is the newest quarantine of a request or part, with what has run since its newest complete answer.
type QuarantineState struct {
	// Quarantine is the newest quarantine. Its Count is 0 if there was none; its History isn't kept up to date.
	Quarantine Quarantine
	// TrialUntil is the time until which the result of a trial is awaited.
	TrialUntil clock.Millis
	// History holds the runs.
	History lateruns.History
}

// Record returns the quarantine with the history, as other daemons need it.
func (t *QuarantineState) Record() Quarantine {
	q := t.Quarantine
	q.History = t.History
	return q
}

// Merge adds the history of a quarantine that another daemon announced, and reports whether that quarantine is newer.
func (t *QuarantineState) Merge(q Quarantine, crashes int) (newer bool) {
	t.History.Merge(q.History, crashes)
	return q.Count > t.Quarantine.Count || q.Count == t.Quarantine.Count && q.Until > t.Quarantine.Until
}

// EndsAt returns when the quarantine ends: at once if the trial with which it began reached no runner.
func (t *QuarantineState) EndsAt() clock.Millis {
	if t.History.IsReturned(t.Quarantine.Trial) {
		return t.Quarantine.Since
	}
	return t.Quarantine.Until
}

// InForce reports whether no run may begin now.
func (t *QuarantineState) InForce(now clock.Millis) bool {
	return t.Quarantine.Count > 0 && (t.EndsAt() > now || t.History.Next(now, lateruns.Max) > now)
}

// Lift ends the quarantine because of an answer, and forgets the runs that began until then.
func (t *QuarantineState) Lift(at clock.Millis, crashes int) {
	t.Quarantine, t.TrialUntil = Quarantine{}, 0
	t.History.Forget(at, crashes)
}
