package dispatch

import (
	"container/heap"
	"slices"
	"strings"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// fill starts waiting items on the free slots.
func (m *Machine) fill(now clock.Millis, env Environment, order itemOrder, actions *Actions) {
	if !m.hasStartable(now) || env.MaxStarts != nil && *env.MaxStarts == 0 {
		return
	}
	slots, free := m.freeSlots(now, env)
	if free == 0 {
		return
	}
	for _, i := range m.firstItems(now, env, order, slots) {
		if env.MaxStarts != nil && len(actions.Start) >= *env.MaxStarts {
			return
		}
		c := slots.best(env.Services(i.Key.Job))
		if c == nil {
			continue
		}
		c.acquire()
		m.removeWaiting(i)
		i.runner, i.startedAt = c.runner.GetId(), now
		i.team.running++
		m.running[i.runner] = append(m.running[i.runner], i)
		actions.Start = append(actions.Start, Start{Key: i.Key, Runner: c.runner})
	}
}

// hasStartable reports whether any waiting item may be started now.
func (m *Machine) hasStartable(now clock.Millis) bool {
	return slices.ContainsFunc(m.waiting, func(i *item) bool { return i.notBefore <= now })
}

// firstItems returns the waiting items that may get a slot, in order. Items of jobs with the same
// services form a group, and of each group at most as many items are considered as its services
// have free slots, so that a decision doesn't sort thousands of items.
func (m *Machine) firstItems(now clock.Millis, env Environment, order itemOrder, slots slotsByService) []*item {
	groups := map[string]*topItems{}
	byJob := map[string]*topItems{}
	for _, i := range m.waiting {
		if i.notBefore > now {
			continue
		}
		top, known := byJob[i.Key.Job]
		if !known {
			services := env.Services(i.Key.Job)
			name := strings.Join(services, " ")
			if top = groups[name]; top == nil {
				top = newTopItems(slots.free(services), order)
				groups[name] = top
			}
			byJob[i.Key.Job] = top
		}
		top.offer(i)
	}
	var list []*item
	for _, top := range groups {
		list = append(list, top.items.list...)
	}
	slices.SortFunc(list, order.compare)
	return list
}

// topItems collects the first items by order, up to a limit. The last of them is on top of the heap,
// so that it can be replaced by a better one.
type topItems struct {
	limit int
	order itemOrder
	items heapOf[*item]
}

func newTopItems(limit int, order itemOrder) *topItems {
	return &topItems{limit: limit, order: order, items: heapOf[*item]{before: func(a, b *item) bool { return order.compare(a, b) > 0 }}}
}

func (t *topItems) offer(i *item) {
	switch {
	case t.items.Len() < t.limit:
		heap.Push(&t.items, i)
	case t.limit > 0 && t.order.compare(i, t.items.list[0]) < 0:
		t.items.list[0] = i
		heap.Fix(&t.items, 0)
	}
}

// candidate is a runner with free slots.
type candidate struct {
	runner *toucanhingev1.Runner
	free   int
	near   bool
	slots  *serviceSlots
}

// acquire uses one of the free slots.
func (c *candidate) acquire() {
	c.free--
	c.slots.free--
	heap.Fix(&c.slots.candidates, 0)
}

func (c *candidate) before(other *candidate) bool {
	if c.free != other.free {
		return c.free > other.free
	}
	return c.near && !other.near
}

// serviceSlots holds the free slots of a service. The candidates form a heap with the best one on
// top: the runner with the most free slots, and among equal ones a near one.
type serviceSlots struct {
	free       int
	candidates heapOf[*candidate]
}

// slotsByService holds the free slots by service.
type slotsByService map[string]*serviceSlots

// free returns the number of free slots of the given services.
func (r slotsByService) free(services []string) int {
	free := 0
	for _, s := range services {
		if r[s] != nil {
			free += r[s].free
		}
	}
	return free
}

// best returns the best candidate of the given services, nil if they have no free slot.
func (r slotsByService) best(services []string) *candidate {
	var found *candidate
	for _, s := range services {
		if r[s] == nil || r[s].free == 0 {
			continue
		}
		if c := r[s].candidates.list[0]; found == nil || c.before(found) {
			found = c
		}
	}
	return found
}

// freeSlots returns the free slots by service, and their number.
func (m *Machine) freeSlots(now clock.Millis, env Environment) (slotsByService, int) {
	all, free := slotsByService{}, 0
	for _, r := range env.Runners {
		if r.GetLeaving() || m.blocked[r.GetId()] > now {
			continue
		}
		load := env.Load(r.GetId())
		if load.Unresponsive {
			continue
		}
		unused := int(r.GetSlots()) - load.total() - len(m.running[r.GetId()])
		if unused <= 0 {
			continue
		}
		if all[r.GetService()] == nil {
			all[r.GetService()] = &serviceSlots{candidates: heapOf[*candidate]{before: (*candidate).before}}
		}
		slots := all[r.GetService()]
		slots.candidates.Push(&candidate{runner: r, free: unused, near: env.Near(r), slots: slots})
		slots.free += unused
		free += unused
	}
	for _, slots := range all {
		heap.Init(&slots.candidates)
	}
	return all, free
}
