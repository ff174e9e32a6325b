package dispatch

import (
	"slices"

	"toucanhinge.example/common/pkg/clock"
)

// place starts waiting items on the free slots, and moves running ones to those that are left.
func (m *Machine) place(now clock.Millis, env Environment, order itemOrder, actions *Actions) {
	startable := m.hasStartable(now)
	if !startable && !m.movesPossible() || !actions.mayStart(env) {
		return
	}
	slots, free := m.freeSlots(now, env)
	if free == 0 {
		return
	}
	groups := m.joinGroups(env, slots)
	if startable {
		m.fill(now, env, order, slots, groups, actions)
	}
	m.move(now, env, order, slots, actions)
}

// fill starts waiting items on the free slots. Items that would be late on the slots that are left
// when it is their turn go after those that are in time there.
func (m *Machine) fill(now clock.Millis, env Environment, order itemOrder, slots slotsByService, groups []*group, actions *Actions) {
	var late []rankedItem
	for _, i := range m.firstItems(now, env, order, slots, groups) {
		if !actions.mayStart(env) {
			return
		}
		c := slots.bestFor(i)
		if c == nil {
			continue
		}
		if i.fastOnly && order.isLate(i.item, order.runTimes.remaining(now, i.item), c.pace) {
			late = append(late, i)
			continue
		}
		m.start(now, i.item, c, actions)
	}
	for _, i := range late {
		if c := slots.bestFor(i); c != nil && actions.mayStart(env) {
			m.start(now, i.item, c, actions)
		}
	}
}

// start starts a waiting item on a free slot.
func (m *Machine) start(now clock.Millis, i *item, c *candidate, actions *Actions) {
	c.acquire()
	i.discardTextOfOther(c.runner.GetVersion())
	m.assign(now, i, c.runner, c.pace)
	actions.Start = append(actions.Start, Start{Key: i.Key, Runner: c.runner})
}

// hasStartable reports whether any waiting item may be started now.
func (m *Machine) hasStartable(now clock.Millis) bool {
	return slices.ContainsFunc(m.waiting, func(i *item) bool { return i.notBefore <= now })
}
