package fairshare

import "toucanhinge.example/common/pkg/clock"

// Status is the position of a team relative to its share, with what it was derived from.
type Status struct {
	// InForce is set if the capacity is divided among the teams and the share of this one is finite.
	InForce bool
	// Over is set if the team's running requests have reached its share and, unless the team floods, the tolerance
	// above it.
	Over bool
	// NoQueue is set if the team is so far over its share that it may not even use the first positions in the queues
	// of runners.
	NoQueue bool
	// Running and Demand are the team's running requests and its demand at all gateways, or at this gateway if
	// Basis is EqualPart.
	Running, Demand int
	// Share is the number of slots that the team may use, valid if InForce is set.
	Share float64
	// Reserved is the number of free slots of the fleet that a team over its share leaves to requests of the others.
	Reserved int
	// Floods is set if the team asks for much more per weight than the others. Room is then the number of requests
	// that it may still start at all gateways.
	Floods bool
	Room   int
	// Capacity is the number of slots that is divided.
	Capacity float64
	Basis    Basis
	// Gateways is the number of other gateways whose reports were used, and Age the age of the oldest report.
	Gateways int
	Age      clock.Millis
}

// UsableSlots returns how many of the free slots of the fleet the team's waiting requests may use at all gateways.
func (s Status) UsableSlots(free int) int {
	if !s.Floods {
		return free
	}
	return max(min(free-s.Reserved, s.Room), 0)
}
