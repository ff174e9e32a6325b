package dispatch

import (
	"cmp"
	"math"

	"toucanhinge.example/common/pkg/clock"
)

// never is later than any other time.
const never clock.Millis = math.MaxInt64

// itemOrder is the order in which waiting items are started at a given time.
type itemOrder struct {
	now      clock.Millis
	runTimes *runTimeModel
	// shortestFirst puts the items with the least remaining run time first.
	shortestFirst bool
}

// orderAt returns the order of items at the given time.
func (m *Machine) orderAt(now clock.Millis) itemOrder {
	return itemOrder{now: now, runTimes: &m.runTimes, shortestFirst: m.overload.active}
}

// compare puts items that can still meet their deadline before late ones. In the reverse order,
// each slot would go to an item that is already late under overload, and all items would be late.
//
// Among these items, the one that has to start first to meet its deadline goes first as long as
// all items can be done. Ordered by deadline alone, long items started too late (see
// TestLongItemsStartSooner). Under overload that order misses most deadlines, because every item
// gets a small part of the slots and all end late. The item with the least remaining run time then
// goes first; the tests with too many items in lab/pkg/replay cover this.
func (o itemOrder) compare(a, b *item) int {
	remainingA, remainingB := o.runTimes.remaining(o.now, a), o.runTimes.remaining(o.now, b)
	latestA, latestB := a.Deadline-remainingA, b.Deadline-remainingB
	if byLate := compareBool(o.now > latestA, o.now > latestB); byLate != 0 {
		return byLate
	}
	if o.shortestFirst {
		if byRemaining := cmp.Compare(remainingA+a.delay(), remainingB+b.delay()); byRemaining != 0 {
			return byRemaining
		}
	}
	return cmp.Or(cmp.Compare(latestA+a.delay(), latestB+b.delay()), cmp.Compare(a.sequence, b.sequence))
}

// compareBool orders false before true.
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
