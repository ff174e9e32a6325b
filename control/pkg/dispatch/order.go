package dispatch

import (
	"cmp"
	"math"

	"toucanhinge.example/common/pkg/clock"
)

// never is later than any moment.
const never clock.Millis = math.MaxInt64

// order says which item goes first.
type order struct {
	now      clock.Millis
	measured *measured
	// shortest says that those with the least left go first.
	shortest bool
}

func (m *Machine) orderAt(now clock.Millis) order {
	return order{now: now, measured: &m.measured, shortest: m.pressure.pressed}
}

// compare puts the items that can still be in time before the late ones: under overload
// the other way round each place would go to an item that is late already, and all would be.
//
// Among them, while all can be done, the one goes first that must begin first to be in time:
// by when they are due, long items began too late (see TestLongItemsBeginSooner). When not
// all can be done that order loses most, since every item gets a little of each place and
// all end late; then the one with the least left goes first (see TestAFleetWithTooManyItems).
func (o order) compare(a, b *item) int {
	leftA, leftB := o.measured.left(o.now, a), o.measured.left(o.now, b)
	latestA, latestB := a.Deadline-leftA, b.Deadline-leftB
	if byLate := compareBool(o.now > latestA, o.now > latestB); byLate != 0 {
		return byLate
	}
	if o.shortest {
		if byLeft := cmp.Compare(leftA+a.shift(), leftB+b.shift()); byLeft != 0 {
			return byLeft
		}
	}
	return cmp.Or(cmp.Compare(latestA+a.shift(), latestB+b.shift()), cmp.Compare(a.order, b.order))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
