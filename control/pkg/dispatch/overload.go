package dispatch

import (
	"math"

	"toucanhinge.example/common/pkg/clock"
)

const (
	// overloadCheckInterval is the minimum time between two overload checks. Each check visits all
	// waiting items, and items wait for seconds.
	overloadCheckInterval clock.Millis = 200
	// freeSlotsPeriod is the period over which the slots left to items are averaged: about one burst
	// of online requests with the quiet seconds before it.
	freeSlotsPeriod clock.Millis = 7_000
	// Overload begins when running all waiting items takes more than overloadStart of their mean
	// slack, and ends when it takes no more than overloadEnd of it.
	overloadStart = 0.8
	overloadEnd   = 0.4
)

// overload detects whether more items wait than can meet their deadlines.
type overload struct {
	active    bool
	checkedAt clock.Millis
	// freeSlots is the mean number of slots that other work leaves to items. A slot counts as many
	// times as much as it gets done, compared with a slot at pace 1.
	freeSlots float64
}

// checkDue reports whether it is time for the next check.
func (o *overload) checkDue(now clock.Millis) bool {
	return o.checkedAt == 0 || now-o.checkedAt >= overloadCheckInterval
}

// check compares the run time that the waiting items need with the time until their deadlines.
func (o *overload) check(now clock.Millis, m *Machine, env Environment) {
	o.updateFreeSlots(now, env)
	work, slack, items := 0.0, 0.0, 0
	for _, i := range m.waiting {
		remaining := m.runTimes.remaining(now, i)
		itemSlack := i.Deadline - remaining - now
		if itemSlack < 0 {
			continue
		}
		work += float64(remaining)
		slack += float64(itemSlack)
		items++
	}
	if items == 0 {
		o.active = false
		return
	}
	needed := work / max(o.freeSlots, 1)
	limit := overloadStart
	if o.active {
		limit = overloadEnd
	}
	o.active = needed > limit*slack/float64(items)
}

// updateFreeSlots updates the mean number of slots that other work leaves to items.
func (o *overload) updateFreeSlots(now clock.Millis, env Environment) {
	free := 0.0
	for _, r := range env.Runners {
		if !r.GetLeaving() {
			free += float64(max(int(r.GetSlots())-env.Load(r.GetId()).total(), 0)) / env.paceOf(r.GetId())
		}
	}
	if o.checkedAt == 0 {
		o.freeSlots = free
	}
	weight := 1 - math.Exp(-float64(now-o.checkedAt)/float64(freeSlotsPeriod))
	o.freeSlots += weight * (free - o.freeSlots)
	o.checkedAt = max(now, 1)
}
