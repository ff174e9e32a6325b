package forward

import "toucanhinge.example/common/pkg/clock"

// turn is what a waiting request finds when it looks for a slot.
type turn struct {
	// known reports whether the waiters of other gateways are known.
	known bool
	// rank is the number of waiters that go before the request, and free the number of free slots.
	rank, free int
	// gateways is the number of other gateways whose reports are known, and age the age of the oldest report.
	gateways int
	age      clock.Millis
}
