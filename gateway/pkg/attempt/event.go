// Package attempt decides what becomes of one online request: when it is sent,
// sent again, resumed, finished or given up. It is a plain state machine; the
// runtime around it owns the connections.
package attempt

import "toucanhinge.example/common/pkg/clock"

// EventKind says what happened.
type EventKind uint8

// Events that the runtime reports.
const (
	// EventStart opens the request; first of all events.
	EventStart EventKind = iota + 1
	// EventChosen answers ActionChoose with an endpoint.
	EventChosen
	// EventNoEndpoint answers ActionChoose when no endpoint can take the request.
	EventNoEndpoint
	// EventFrame is one frame from an endpoint.
	EventFrame
	// EventBroken tells that an attempt's stream ended without its end frame.
	EventBroken
	// EventPartSent tells that pieces of a whole answer went to the caller before
	// its end, because it outgrew what we hold back.
	EventPartSent
	// EventTextLost tells that the text so far can't be handed to another
	// endpoint: too long, or not only text.
	EventTextLost
	// EventExpired tells that the caller's deadline has passed.
	EventExpired
	// EventCallerGone tells that the caller closed its connection.
	EventCallerGone
)

// Event is one thing that happened; which fields count depends on the kind.
type Event struct {
	Kind EventKind
	// Attempt that EventBroken speaks of.
	Attempt uint32
	// Endpoint that was chosen.
	Endpoint string
	// Reason of EventNone and EventBroken, machine-readable.
	Reason string
	// RetryAfter is when to come back, a span; 0 when unknown.
	RetryAfter clock.Millis
	// Reached is false when the endpoint certainly got nothing of the attempt.
	Reached bool
	// Unreachable is true when the endpoint does not answer at all, so that asking it
	// for the rest would only cost time.
	Unreachable  bool
	Frame Frame
}

// Part says what a frame carries.
type Part uint8

// Parts of an answer.
const (
	PartHead Part = iota + 1
	PartData
	PartEnd
	PartRefusal
)

// Ran says whether a request was run.
type Ran uint8

// Values of Ran. The zero value is taken as unknown.
const (
	RanUnknown Ran = iota
	RanNo
	RanYes
)

// Frame is one frame of an answer as an endpoint sent it.
type Frame struct {
	Request  string
	Attempt  uint32
	Sequence uint64
	Part     Part
	// Data of PartData.
	Data []byte
	// Status of PartHead.
	Status int
	// FrameCount of PartEnd: data frames in the whole answer.
	FrameCount uint64
	// Reason of PartRefusal, or the error of PartEnd; an empty error means whole.
	Reason string
	Ran    Ran
	RetryAfter  clock.Millis
}
