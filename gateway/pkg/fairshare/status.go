package fairshare

import "toucanhinge.example/common/pkg/clock"

// Status is the position of a team relative to its share, with what it was derived from.
type Status struct {
	// InForce is set if the capacity is divided among the teams and the share of this one is finite.
	InForce bool
	// Over is set if the team's running requests have reached its share and the tolerance above it. A team that floods has no
	// tolerance, and those that other gateways have probably started since their reports count.
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
	// Capacity is the number of slots that is divided.
	Capacity float64
	Basis    Basis
	// Gateways is the number of other gateways whose reports were used, and Age the age of the oldest report.
	Gateways int
	Age      clock.Millis
}
