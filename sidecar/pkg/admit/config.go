// Package admit decides which requests and batch items the engine of one endpoint
// runs. An engine knows no priorities and queues requests beyond its slots first
// in, first out. So the machine never sends the engine more than it has slots:
// online requests go first, and batch items use the remaining slots and yield them
// as soon as online requests need them.
//
// Machine does no I/O: Step takes the time and an event and returns actions.
package admit

import "toucanhinge.example/common/pkg/clock"

// Policy selects how online and batch share the engine.
type Policy string

// Policies. Naive and Fixed are baselines that Yield is compared with.
const (
	// Naive sends everything to the engine immediately.
	Naive Policy = "naive"
	// Fixed reserves a fixed number of slots for batch.
	Fixed Policy = "fixed"
	// Yield lets batch use the slots that online requests leave free, and suspends
	// batch items when online requests need their slots.
	Yield Policy = "yield"
)

// Config configures a Machine.
type Config struct {
	Policy Policy
	// Slots is how many requests the engine runs at once.
	Slots int
	// MinSlots is the number of slots used regardless of foreign load, so that a
	// wrong report of the engine can't stop all work.
	MinSlots int
	// QueueLimit is the maximum number of queued online requests.
	QueueLimit int
	// BatchSlots is the maximum number of slots held by batch items. Under Fixed
	// these slots are reserved for batch.
	BatchSlots int
	// MaxPrefillTokens is the maximum number of batch prompt tokens in prefill at
	// the same time. A single item may exceed it.
	MaxPrefillTokens int
	// BatchWeight is the initial trade-off, 0 to 100, see SetBatchWeight.
	BatchWeight int
	// BurstWindow is the interval in which arrivals count as one burst.
	BurstWindow clock.Millis
	// BurstHalfLife is the time after which a past burst counts half.
	BurstHalfLife clock.Millis
}
