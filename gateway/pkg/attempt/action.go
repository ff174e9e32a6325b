package attempt

import "toucanhinge.example/common/pkg/clock"

// ActionKind says what the runtime has to do.
type ActionKind uint8

// Actions that the machine asks for.
const (
	// ActionChoose asks for an endpoint not yet tried (see Machine.Tried).
	ActionChoose ActionKind = iota + 1
	// ActionSend sends the attempt to the endpoint.
	ActionSend
	// ActionHead hands on the status and headers, to be written with the first data.
	ActionHead
	// ActionData hands one piece to the caller.
	ActionData
	// ActionReset drops what was held back of a whole answer.
	ActionReset
	// ActionFinish tells that the answer is whole.
	ActionFinish
	// ActionFail ends the request with an explicit error.
	ActionFail
	// ActionCancel tells the endpoint that nobody waits any more.
	ActionCancel
	// ActionRetried is for counters and records only: the reason of a retry.
	ActionRetried
	// ActionDropped is for counters only: the reason a frame was dropped.
	ActionDropped
)

// Action is one thing to do; which fields count depends on the kind.
type Action struct {
	Kind     ActionKind
	Attempt  uint32
	Endpoint string
	// ResumeAfter is the last sequence number that we have of this endpoint's answer.
	ResumeAfter uint64
	// WithText asks to send the text so far along, since another endpoint began the answer.
	WithText bool
	Data     []byte
	Status   int
	Reason   string
	Ran      Ran
	RetryAfter    clock.Millis
	// Delivered is true when part of the answer already reached the caller.
	Delivered bool
}

// Reasons that the machine itself gives.
const (
	ReasonDeadline   = "deadline"
	ReasonUnknownOutcome    = "unknown-outcome"
	ReasonAlreadyRun = "already-run"
	ReasonAnswerCut        = "answer-cut"
	ReasonCallerGone       = "caller-gone"
	// Reasons of broken attempts.
	ReasonShortAnswer      = "short-answer"
	ReasonMiscountedAnswer   = "miscounted-answer"
	ReasonMissingFrame        = "gap-in-answer"
	ReasonFalseRefusal      = "false-refusal"
	ReasonErrorStatus     = "endpoint-status"
	ReasonResumed     = "resumed"
	ReasonNoEndpoint = "no-endpoint"
	// Reasons of dropped frames.
	DropSuperseded = "superseded-frame"
	DropDuplicate    = "doubled-frame"
	DropLate       = "late-frame"
)
