package admit

import "toucanhinge.example/common/pkg/clock"

// ID identifies an online request or batch item within this process. IDs are not
// reused.
type ID uint64

// Event is an input of Machine.Step.
type Event interface{ event() }

// Arrive is a new online request.
type Arrive struct {
	ID   ID
	Team string
	// Weight is the team's weight in fair queueing; 0 means 1.
	Weight int
	// Deadline is the time after which the answer is useless to the caller.
	Deadline clock.Millis
}

// Cancel means that the caller of an online request has disconnected.
type Cancel struct{ ID ID }

// FirstToken means that the prefill of a request or item is done.
type FirstToken struct{ ID ID }

// Finished releases the slot of an online request or batch item, whatever its
// outcome.
type Finished struct {
	ID ID
	// Complete is true if the answer was complete. Only complete answers
	// contribute to the measured service time.
	Complete bool
}

// Offer adds a leased batch item that may start at any time.
type Offer struct {
	ID ID
	// PrefillTokens is the estimated number of prompt tokens.
	PrefillTokens int
}

// Withdraw removes a batch item whose lease was lost or whose job was cancelled.
type Withdraw struct{ ID ID }

// Suspended confirms that a batch item has released its slot.
type Suspended struct{ ID ID }

// TokensLost reports how many tokens of a suspended item have to be computed again
// because the engine could not resume it.
type TokensLost struct{ Count int }

// ForeignLoad reports the estimated number of engine slots used by requests that
// did not come through this sidecar, see ForeignEstimator.
type ForeignLoad struct{ Slots int }

// Gate opens or closes the endpoint for new work. It is closed while the engine
// does not answer or loads weights.
type Gate struct {
	Open   bool
	Reason Reason
}

// Drain refuses all new work until the process ends and returns batch items to
// control.
type Drain struct{}

// DrainEnd refuses the requests that are still queued when the drain time is over.
type DrainEnd struct{}

// SetBatchWeight sets the service's trade-off between online latency (0) and batch
// throughput (100).
type SetBatchWeight struct{ Weight int }

// Tick only advances the time.
type Tick struct{}

func (Arrive) event()         {}
func (Cancel) event()         {}
func (FirstToken) event()     {}
func (Finished) event()       {}
func (Offer) event()          {}
func (Withdraw) event()       {}
func (Suspended) event()      {}
func (TokensLost) event()     {}
func (ForeignLoad) event()    {}
func (Gate) event()           {}
func (Drain) event()          {}
func (DrainEnd) event()       {}
func (SetBatchWeight) event() {}
func (Tick) event()           {}
