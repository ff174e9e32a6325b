// Package admit decides what the engine of one endpoint runs. An engine runs
// whatever it gets, knows no priorities and queues beyond its slots first in,
// first out; so it never gets more than it runs at once, online requests go
// first, and batch items take what is left and yield at once.
//
// The machine is pure: Step takes the time and one event and returns actions.
package admit

import "toucanhinge.example/common/pkg/clock"

// Policy selects how online and batch share the engine.
type Policy string

// Policies. Naive and Fixed are the baselines that ours is measured against.
const (
	// Naive gives the engine everything at once.
	Naive Policy = "naive"
	// Fixed splits the slots for good.
	Fixed Policy = "fixed"
	// Yield lets batch fill what online leaves, and yield at once.
	Yield Policy = "yield"
)

// Config describes a machine.
type Config struct {
	Policy Policy
	// Slots is how many requests the engine runs at once.
	Slots int
	// MinSlots is the least number of slots that we use however much load of
	// others the engine reports; it keeps a wrong report from stopping us.
	MinSlots int
	// QueueLimit is the most online requests that wait.
	QueueLimit int
	// BatchSlots is the most slots that batch may hold; under Fixed, what it owns.
	BatchSlots int
	// MaxPrefillTokens is the most batch prompt tokens in prefill at once; one
	// item may always go.
	MaxPrefillTokens int
	// BatchWeight is the trade-off until Weigh says otherwise, 0 to 100.
	BatchWeight int
	// BurstWindow is the span in which arrivals count as one burst.
	BurstWindow clock.Millis
	// BurstHalfLife is how fast a past burst is forgotten.
	BurstHalfLife clock.Millis
}
