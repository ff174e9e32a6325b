package admit

import "toucanhinge.example/common/pkg/clock"

// ID names one online request or batch item within this process; never reused.
type ID uint64

// Event is one thing that happened. Its kinds are the types below.
type Event interface{ event() }

// Arrive is a new online request.
type Arrive struct {
	ID   ID
	Team string
	// Weight is the team's share against others; 0 means 1.
	Weight int
	// Deadline is when the answer is of no use any more.
	Deadline clock.Millis
}

// Cancel says that nobody waits for an online request any more.
type Cancel struct{ ID ID }

// FirstToken says that a request's or item's prefill is done.
type FirstToken struct{ ID ID }

// Finished frees the slot of an online request or a batch item, however it ended.
type Finished struct {
	ID ID
	// Complete is true when the answer was whole, so that its time counts as a
	// measure of the service rate.
	Complete bool
}

// Offer is a leased batch item that may start from now on.
type Offer struct {
	ID ID
	// PrefillTokens is the estimated number of prompt tokens.
	PrefillTokens int
}

// Withdraw takes a batch item back: its lease was lost or its job cancelled.
type Withdraw struct{ ID ID }

// Suspended confirms that a batch item left its slot.
type Suspended struct{ ID ID }

// TokensLost reports tokens of a suspended item that must be computed again after all.
type TokensLost struct{ Count int }

// ForeignLoad is the share of the engine that others use, worked out from its report.
type ForeignLoad struct{ Slots int }

// Gate opens or closes the endpoint for new work: the engine does not answer,
// or loads weights.
type Gate struct {
	Open   bool
	Reason Reason
}

// Drain refuses new work for good and hands back batch items.
type Drain struct{}

// DrainEnd gives up on what still waits at the end of the drain time.
type DrainEnd struct{}

// SetBatchWeight sets the service's trade-off: 0 favours online latency most, 100 batch throughput.
type SetBatchWeight struct{ Weight int }

// Tick lets time pass.
type Tick struct{}

func (Arrive) event()     {}
func (Cancel) event()     {}
func (FirstToken) event() {}
func (Finished) event()   {}
func (Offer) event()      {}
func (Withdraw) event()   {}
func (Suspended) event()  {}
func (TokensLost) event()       {}
func (ForeignLoad) event()    {}
func (Gate) event()       {}
func (Drain) event()      {}
func (DrainEnd) event()   {}
func (SetBatchWeight) event()      {}
func (Tick) event()       {}
