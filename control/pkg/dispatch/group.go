package dispatch

import (
	"container/heap"
	"slices"
	"strings"

	"toucanhinge.example/common/pkg/clock"
)

// group holds the submissions whose items may run on the same services, during one decision.
type group struct {
	services []string
	// free is the number of free slots of the services, and paces the range of their paces.
	free  int
	paces paceRange
	// first holds the waiting items that go first, at most as many as there are free slots, so that
	// a decision doesn't sort thousands of items.
	first *topItems
	// members holds the teams of the submissions; nil unless the slots are shared among them.
	members map[*team]*member
}

// rankedItem is an item with its rank in the present decision.
type rankedItem struct {
	*item
	rank rank
	// fastOnly reports that only a fast free slot lets the item meet its deadline.
	fastOnly bool
	group    *group
	// pinned reports that the item may start only at the software version that wrote its text.
	pinned bool
}

// topItems collects the first items by rank, up to a limit. The last of them is on top of the heap,
// so that it can be replaced by a better one.
type topItems struct {
	limit int
	items heapOf[rankedItem]
}

func newTopItems(limit int) *topItems {
	return &topItems{limit: limit, items: heapOf[rankedItem]{before: func(a, b rankedItem) bool { return a.rank.compare(b.rank) > 0 }}}
}

// offer adds an item. It returns the item that is not among the first ones, if there is one.
func (t *topItems) offer(i rankedItem) (left rankedItem, full bool) {
	switch {
	case t.items.Len() < t.limit:
		heap.Push(&t.items, i)
		return rankedItem{}, false
	case t.limit > 0 && i.rank.compare(t.items.list[0].rank) < 0:
		left = t.items.list[0]
		t.items.list[0] = i
		heap.Fix(&t.items, 0)
		return left, true
	default:
		return i, true
	}
}

// joinGroups assigns each submission to its group.
func (m *Machine) joinGroups(env Environment, slots slotsByService) []*group {
	byName := map[string]*group{}
	var groups []*group
	for _, s := range m.submissions {
		services := env.Services(s.key.job)
		name := strings.Join(services, " ")
		g := byName[name]
		if g == nil {
			g = &group{services: services, free: slots.free(services), paces: slots.paces(services)}
			g.first = newTopItems(g.free)
			byName[name] = g
			groups = append(groups, g)
		}
		s.group, s.member = g, nil
	}
	return groups
}

// firstItems returns the waiting items that may get a slot, in order.
func (m *Machine) firstItems(now clock.Millis, env Environment, order itemOrder, slots slotsByService, groups []*group) []rankedItem {
	if m.sharesSlots(env) {
		m.joinMembers(groups)
	}
	versions := versionsOf(env.Runners)
	for _, i := range m.waiting {
		if i.notBefore > now {
			continue
		}
		g := i.submission.group
		pinned := i.isPinned(now, versions, g.services)
		if pinned && g.free > 0 && slots.freeAt(g.services, i.version) == 0 {
			i.passOver(now)
			continue
		}
		g.offer(rankedItem{item: i, rank: order.rank(i, g.paces.fastest), group: g, pinned: pinned})
	}
	var list []rankedItem
	for _, g := range groups {
		list = append(list, g.first.items.list...)
		for _, member := range g.members {
			list = append(list, member.first.items.list...)
		}
	}
	for n := range list {
		list[n].fastOnly = !list[n].rank.late && order.isLate(list[n].item, order.runTimes.remaining(order.now, list[n].item), list[n].group.paces.slowest)
	}
	slices.SortFunc(list, compareStarts)
	return list
}

// compareStarts is the order in which the first items choose a slot. Items that can meet their
// deadline only on a fast runner go before those that can wait.
func compareStarts(a, b rankedItem) int {
	if byClass := compareBool(a.rank.late, b.rank.late); byClass != 0 {
		return byClass
	}
	if byShare := compareBool(a.rank.overShare, b.rank.overShare); byShare != 0 {
		return byShare
	}
	if byNeed := compareBool(b.fastOnly, a.fastOnly); byNeed != 0 {
		return byNeed
	}
	return a.rank.compareUrgency(b.rank)
}

// offer considers a waiting item for a free slot. Where slots are shared, the first items of each
// team go within the team's share, and its other items go after those of all teams.
func (g *group) offer(i rankedItem) {
	if member := i.submission.member; member != nil {
		left, full := member.first.offer(i)
		if !full {
			return
		}
		left.rank.overShare = true
		i = left
	}
	g.first.offer(i)
}
