package admit

import "toucanhinge.example/common/pkg/clock"

// Verb says what the runtime is to do.
type Verb int

// Verbs.
const (
	// Start sends the request or item to the engine.
	Start Verb = iota + 1
	// Refuse answers an online request that never started: it was not run.
	Refuse
	// Stop ends a started online request or batch item; Finished must follow.
	Stop
	// Suspend takes a batch item out of its slot; Suspended or Finished must follow.
	Suspend
	// Resume lets a suspended batch item go on.
	Resume
	// Return hands a batch item back to control; it holds no slot.
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

// Action is one thing for the runtime to do.
type Action struct {
	Verb   Verb
	ID     ID
	Reason Reason
	// RetryAfter is when to come back after a refusal.
	RetryAfter clock.Millis
}
