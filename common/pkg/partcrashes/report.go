// Package partcrashes finds parts of prompts that crash each runner that begins to answer a request with them. The
// requests differ in everything else and arrive at any gateway, so that only their common part connects them.
package partcrashes

import (
	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/crashes"
	"toucanhinge.example/common/pkg/prompt"
)

// Report describes a run that ended with a crash of its runner.
type Report struct {
	Crash crashes.Crash
	// Request identifies the request. All its attempts share it.
	Request crashes.Fingerprint
	// Parts are the parts of its prompt that other requests may share.
	Parts []prompt.PartID
	// Unanswered is set if nothing of the answer had arrived. Otherwise the answer had begun.
	Unanswered bool
	// At is the time of the crash, Ran the time from the start of the run until then, 0 if unknown.
	At, Ran clock.Millis
	// Trial identifies the run if it was a trial, 0 if it wasn't.
	Trial uint64
	// Own is set if the run was this daemon's.
	Own bool
}

// Answer records that a runner answers a request with a part and hasn't crashed. A whole answer shows that the part isn't
// the cause of a crash before it began. One that has only begun doesn't: the runner may crash later.
type Answer struct {
	Part prompt.PartID
	// At is when the answer began.
	At clock.Millis
	// Whole is set if the answer is complete.
	Whole bool
}

// TrialReason is why a request with a suspected part may run. The values are used in logs.
type TrialReason string

// Reasons of trials.
const (
	// TrialSuspected means that the evidence against the part isn't sufficient for a quarantine.
	TrialSuspected TrialReason = "suspected"
	// TrialAfterQuarantine means that the part's quarantine has ended.
	TrialAfterQuarantine TrialReason = "quarantine-ended"
	// TrialOwed means that the request has been accepted and must be answered at some time.
	TrialOwed TrialReason = "owed"
	// TrialOthersAnswered means that nothing else was answered when the part was quarantined, and something was since.
	TrialOthersAnswered TrialReason = "others-answered"
)

// Trial records that a daemon sends a single request with a suspected part to a runner.
type Trial struct {
	Part prompt.PartID
	At   clock.Millis
	// ID identifies the run.
	ID uint64
	// Claim is set if the daemon only announces the trial of a quarantined part, in case another one does so as well.
	Claim  bool
	Reason TrialReason
}

// Candidate is a request that is to be sent to a runner.
type Candidate struct {
	Request crashes.Fingerprint
	// Parts are the parts of its prompt that other requests may share, in order.
	Parts []prompt.PartID
	// Trial identifies the trial that the request is, 0 if it is none.
	Trial uint64
	// Owed is set if the request was accepted and has to be answered at some time.
	Owed bool
}
