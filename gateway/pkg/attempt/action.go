package attempt

import "toucanhinge.example/common/pkg/clock"

// ActionKind is the kind of an Action.
type ActionKind uint8

// Actions that the machine requests.
const (
	// ActionChoose requests an endpoint that was not tried yet (see Machine.Tried).
	ActionChoose ActionKind = iota + 1
	// ActionSend sends the attempt to the endpoint.
	ActionSend
	// ActionHead passes on the status and headers, to be written with the first data.
	ActionHead
	// ActionData passes one chunk to the caller.
	ActionData
	// ActionReset discards the buffered part of an answer.
	ActionReset
	// ActionFinish ends the request: the answer is complete.
	ActionFinish
	// ActionFail ends the request with an explicit error.
	ActionFail
	// ActionCancel cancels the attempt at its endpoint.
	ActionCancel
	// ActionRetried reports the reason of a retry, for counters and the event log only.
	ActionRetried
	// ActionDropped reports the reason why a frame was dropped, for counters only.
	ActionDropped
)

// Action is one action for the runtime. Which fields are set depends on the kind.
type Action struct {
	Kind     ActionKind
	Attempt  uint32
	Endpoint string
	// ResumeAfter is the last sequence number received of this endpoint's answer; 0 starts the answer anew.
	ResumeAfter uint64
	// WithText is true when the request must include the text so far, because another endpoint
	// started the answer.
	WithText   bool
	Data       []byte
	Status     int
	Reason     string
	Ran        Ran
	RetryAfter clock.Millis
	// Delivered is true when part of the answer was already delivered to the caller.
	Delivered bool
}

// Reasons that the machine sets.
const (
	ReasonDeadline       = "deadline"
	ReasonUnknownOutcome = "unknown-outcome"
	ReasonAlreadyRun     = "already-run"
	ReasonAnswerCut      = "answer-cut"
	ReasonCallerGone     = "caller-gone"
	// Reasons of broken attempts.
	ReasonShortAnswer      = "short-answer"
	ReasonMiscountedAnswer = "miscounted-answer"
	ReasonMissingFrame     = "gap-in-answer"
	ReasonFalseRefusal     = "false-refusal"
	ReasonErrorStatus      = "endpoint-status"
	ReasonInvalidStatus    = "invalid-status"
	ReasonResumed          = "resumed"
	ReasonNoEndpoint       = "no-endpoint"
	// Reasons of dropped frames.
	DropSuperseded = "superseded-frame"
	DropDuplicate  = "doubled-frame"
	DropLate       = "late-frame"
)
