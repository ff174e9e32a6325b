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

// rank is an item's position in the order at the time of a decision.
type rank struct {
	// late reports that the item misses its deadline even at the fastest pace considered.
	late bool
	// overShare reports that the item's team already uses its share of the slots.
	overShare bool
	// remaining is the remaining run time at pace 1, only if the shortest items go first.
	remaining clock.Millis
	// latest is when the item has to start at pace 1 to meet its deadline.
	latest   clock.Millis
	sequence uint64
}

// orderAt returns the order of items at the given time.
func (m *Machine) orderAt(now clock.Millis) itemOrder {
	return itemOrder{now: now, runTimes: &m.runTimes, shortestFirst: m.overload.active}
}

// rank returns the rank of an item that could run at the given pace. Delays for the item's team and
// priority are included.
func (o itemOrder) rank(i *item, pace float64) rank {
	remaining := o.runTimes.remaining(o.now, i)
	r := rank{late: o.isLate(i, remaining, pace), latest: i.Deadline - remaining + i.delay(), sequence: i.sequence}
	if o.shortestFirst {
		r.remaining = remaining + i.delay()
	}
	return r
}

// isLate reports whether an item with the given remaining run time misses its deadline at a pace.
func (o itemOrder) isLate(i *item, remaining clock.Millis, pace float64) bool {
	return o.now > i.Deadline-atPace(remaining, pace)
}

// compare puts items that can still meet their deadline before late ones. In the reverse order,
// each slot would go to an item that is already late under overload, and all items would be late.
//
// Among these items, the one that has to start first to meet its deadline goes first as long as
// all items can be done. Ordered by deadline alone, long items started too late (see
// TestLongItemsStartSooner). Under overload that order misses most deadlines, because every item
// gets a small part of the slots and all end late. The item with the least remaining run time then
// goes first; the tests with too many items in lab/pkg/replay cover this.
func (r rank) compare(other rank) int {
	return cmp.Or(compareBool(r.late, other.late), compareBool(r.overShare, other.overShare), r.compareUrgency(other))
}

// compareUrgency compares the ranks of two items without regard to lateness and shares.
func (r rank) compareUrgency(other rank) int {
	return cmp.Or(cmp.Compare(r.remaining, other.remaining), cmp.Compare(r.latest, other.latest), cmp.Compare(r.sequence, other.sequence))
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
