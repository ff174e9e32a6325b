// Package attempt decides when one online request is sent, retried, resumed, finished or given
// up. Machine is a state machine without I/O; the runtime around it owns the connections.
package attempt

import "toucanhinge.example/common/pkg/clock"

// EventKind is the kind of an Event.
type EventKind uint8

// Events that the runtime reports.
const (
	// EventStart starts the request. It is the first event.
	EventStart EventKind = iota + 1
	// EventChosen answers ActionChoose with an endpoint.
	EventChosen
	// EventNoEndpoint answers ActionChoose when no endpoint can take the request.
	EventNoEndpoint
	// EventFrame is one frame from an endpoint.
	EventFrame
	// EventBroken reports that an attempt's stream ended without its end frame.
	EventBroken
	// EventPartSent reports that part of a buffered answer was sent to the caller before its end,
	// because the answer outgrew the buffer.
	EventPartSent
	// EventTextLost reports that the text so far can't be sent to another endpoint because it is
	// too long or is not plain text only.
	EventTextLost
	// EventExpired reports that the caller's deadline has passed.
	EventExpired
	// EventCallerGone reports that the caller closed its connection.
	EventCallerGone
)

// Event is one input of the machine. Which fields are set depends on the kind.
type Event struct {
	Kind EventKind
	// Attempt is the attempt of EventBroken.
	Attempt uint32
	// Endpoint is the endpoint of EventChosen.
	Endpoint string
	// Reason is the machine-readable reason of EventNoEndpoint and EventBroken.
	Reason string
	// RetryAfter is the retry delay for the caller; 0 when unknown.
	RetryAfter clock.Millis
	// Reached is false when the endpoint certainly received nothing of the attempt.
	Reached bool
	// Unreachable is true when the endpoint does not answer at all, so that requesting the rest of
	// the answer from it would only cost time.
	Unreachable bool
	Frame       Frame
}

// Part is the kind of content that a frame carries.
type Part uint8

// Parts of an answer.
const (
	PartHead Part = iota + 1
	PartData
	PartEnd
	PartRefusal
)

// Ran records whether a request was run.
type Ran uint8

// Values of Ran. The zero value means unknown.
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
	// Data is the content of PartData.
	Data []byte
	// Status is the HTTP status of PartHead.
	Status int
	// FrameCount is the number of data frames in the complete answer, sent with PartEnd.
	FrameCount uint64
	// Reason is the reason of PartRefusal or the error of PartEnd. An empty error means that the
	// answer is complete.
	Reason     string
	Ran        Ran
	RetryAfter clock.Millis
}
