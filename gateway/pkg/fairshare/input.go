package fairshare

import (
	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/contention"
)

// Input is what a gateway knows when it computes the shares of a service.
type Input struct {
	// Own holds the gateway's own demands.
	Own []contention.TeamDemand
	// View is what the other gateways report. Its slices aren't changed.
	View contention.View
	// Capacity is the number of slots for online requests of the whole fleet, 0 if it is unknown. Gateways is the
	// number of gateways including this one.
	Capacity, Gateways int
	Weights            *Weights
	// Hold is the mean time for which a request holds its slot, 0 if it is unknown. LoadAge is the age of the known
	// load of the runners.
	Hold, LoadAge clock.Millis
}
