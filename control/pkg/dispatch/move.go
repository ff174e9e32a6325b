package dispatch

import (
	"slices"

	"toucanhinge.example/common/pkg/clock"
)

const (
	// resumeCost is how long an item makes no progress when it yields or moves: its call ends, its
	// output is handed over, and another call starts.
	resumeCost clock.Millis = 30
	// rereadShare is the part of an item's run time so far that another runner needs to read its text
	// again: reading is about a hundred times as fast as writing.
	rereadShare = 0.01
	// maxMovedShare is the largest part of the remaining time on the slow runner that an item may still need
	// after a move, so that an error of the paces or of the run time rarely makes a move a loss.
	maxMovedShare = 0.5
	// moveSlackFactor is how much longer than expected the rest of an item may take, for example
	// because it yields, without making the item late. Only items with less slack move, since items on
	// fast runners leave the slow ones to online requests.
	moveSlackFactor = 2
)

// movesPossible reports whether the paces differ enough for any item to move.
func (m *Machine) movesPossible() bool { return m.paces.fastest < maxMovedShare*m.paces.slowest }

// move moves running items from slow runners to fast slots that no waiting item needs. Each item
// moves at most once, so that changing paces don't make it go back and forth.
func (m *Machine) move(now clock.Millis, env Environment, order itemOrder, slots slotsByService, actions *Actions) {
	if !m.movesPossible() {
		return
	}
	for _, i := range m.movableItems(order) {
		if !actions.mayStart(env) {
			return
		}
		// Only a runner of the same software version can continue the text.
		c := slots.best(i.group.services, i.software)
		if c == nil || !i.gainsBy(now, order.runTimes.remaining(now, i.item), c.pace) {
			continue
		}
		m.unassign(now, i.item)
		c.acquire()
		m.assign(now, i.item, c.runner, c.pace)
		i.moved = true
		actions.Move = append(actions.Move, Start{Key: i.Key, Runner: c.runner})
	}
}

// movableItems returns the running items that may gain by a free slot and risk to be late where they
// run, in order.
func (m *Machine) movableItems(order itemOrder) []rankedItem {
	var list []rankedItem
	for _, running := range m.running {
		for _, i := range running {
			g := i.submission.group
			if i.moved || g == nil || g.free == 0 || g.paces.fastest >= maxMovedShare*i.pace {
				continue
			}
			if !order.isLate(i, order.runTimes.remaining(order.now, i), moveSlackFactor*i.pace) {
				continue
			}
			list = append(list, rankedItem{item: i, rank: order.rank(i, g.paces.fastest), group: g})
		}
	}
	slices.SortFunc(list, func(a, b rankedItem) int { return a.rank.compare(b.rank) })
	return list
}

// gainsBy reports whether a running item with the given remaining run time ends much sooner if it
// moves to a slot with the given pace.
func (i *item) gainsBy(now, remaining clock.Millis, pace float64) bool {
	there := resumeCost + atPace(remaining, pace) + clock.Millis(rereadShare*float64(i.work(now))*pace)
	return float64(there) <= maxMovedShare*float64(atPace(remaining, i.pace))
}
