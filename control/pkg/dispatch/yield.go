package dispatch

import (
	"cmp"
	"slices"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// yield pauses items on a runner with more work than slots. Engines run requests in the order of
// arrival, so that an online request would otherwise wait seconds for the end of an item. The items
// that would be started last yield first. Items that end sooner than a pause would take yield only
// if no other item is left.
func (m *Machine) yield(now clock.Millis, r *toucanhingev1.Runner, env Environment, order itemOrder, actions *Actions) {
	running := m.running[r.GetId()]
	if len(running) == 0 {
		return
	}
	load := env.Load(r.GetId())
	excess := min(load.total()+len(running)-int(r.GetSlots()), len(running))
	if excess <= 0 {
		return
	}
	lastFirst := make([]yieldCandidate, 0, len(running))
	for _, i := range running {
		lastFirst = append(lastFirst, yieldCandidate{i, order.rank(i, m.paces.fastest), order.endsSoon(i)})
	}
	slices.SortFunc(lastFirst, func(a, b yieldCandidate) int {
		return cmp.Or(compareBool(a.endsSoon, b.endsSoon), b.rank.compare(a.rank))
	})
	for _, c := range lastFirst[:excess] {
		m.unassign(now, c.item)
		actions.Pause = append(actions.Pause, c.item.Key)
	}
}

// yieldCandidate is an item on a runner with more work than slots.
type yieldCandidate struct {
	item     *item
	rank     rank
	endsSoon bool
}

// endsSoon reports whether a running item ends before a pause of it would be over. Nothing is known
// about the end of an item that has run longer than expected.
func (o itemOrder) endsSoon(i *item) bool {
	remaining := o.runTimes.remaining(o.now, i)
	return remaining > 0 && atPace(remaining, i.pace) <= resumeCost
}
