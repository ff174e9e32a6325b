package admit

import "toucanhinge.example/common/pkg/clock"

// Verb is the kind of an Action.
type Verb int

// Verbs.
const (
	// Start sends the request or item to the engine.
	Start Verb = iota + 1
	// Refuse rejects an online request that was not started and never will be.
	Refuse
	// Stop ends a started online request or batch item. The caller must answer
	// with Finished.
	Stop
	// Suspend removes a batch item from its slot. The caller must answer with
	// Suspended or Finished.
	Suspend
	// Resume continues a suspended batch item.
	Resume
	// Return returns a batch item that holds no slot to control.
	Return
)

// Reason is the machine-readable reason of a refusal or a stop.
type Reason string

// Reasons.
const (
	ReasonQueueFull Reason = "queue-full"
	ReasonDeadline  Reason = "deadline"
	ReasonLeaving   Reason = "leaving"
	ReasonDuplicate Reason = "duplicate"
	ReasonUnhealthy Reason = "unhealthy"
	ReasonLoading   Reason = "loading"
	ReasonCancelled Reason = "cancelled"
	ReasonWithdrawn Reason = "withdrawn"
)

// Action is an output of Machine.Step, to be executed by its caller.
type Action struct {
	Verb   Verb
	ID     ID
	Reason Reason
	// RetryAfter is how long the caller of a refused request should wait before a
	// retry.
	RetryAfter clock.Millis
}
