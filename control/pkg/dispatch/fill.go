package dispatch

import (
	"container/heap"
	"slices"
	"strings"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// fill starts items at the places that are free.
func (m *Machine) fill(now clock.Millis, around Environment, order order, actions *Actions) {
	if !m.waits(now) || around.MaxStarts != nil && *around.MaxStarts == 0 {
		return
	}
	rooms, free := m.rooms(now, around)
	if free == 0 {
		return
	}
	for _, i := range m.first(now, around, order, rooms) {
		if around.MaxStarts != nil && len(actions.Start) >= *around.MaxStarts {
			return
		}
		p := rooms.best(around.Services(i.Key.Job))
		if p == nil {
			continue
		}
		p.take()
		m.unwait(i)
		i.runner, i.began = p.runner.GetId(), now
		i.team.running++
		m.running[i.runner] = append(m.running[i.runner], i)
		actions.Start = append(actions.Start, Start{Key: i.Key, Runner: p.runner})
	}
}

// waits says whether any item may begin.
func (m *Machine) waits(now clock.Millis) bool {
	return slices.ContainsFunc(m.waiting, func(i *item) bool { return i.notBefore <= now })
}

// first lists the waiting items that may get a place, in order. Jobs with the same
// services compete; of each such group no more are kept than its services have places,
// so that a decision among thousands of items doesn't sort them all.
func (m *Machine) first(now clock.Millis, around Environment, order order, rooms rooms) []*item {
	groups := map[string]*front{}
	ofJob := map[string]*front{}
	for _, i := range m.waiting {
		if i.notBefore > now {
			continue
		}
		f, known := ofJob[i.Key.Job]
		if !known {
			services := around.Services(i.Key.Job)
			name := strings.Join(services, " ")
			if f = groups[name]; f == nil {
				f = newFront(rooms.free(services), order)
				groups[name] = f
			}
			ofJob[i.Key.Job] = f
		}
		f.offer(i)
	}
	var list []*item
	for _, f := range groups {
		list = append(list, f.items.list...)
	}
	slices.SortFunc(list, order.compare)
	return list
}

// front keeps the first of the items that are offered, with the last of them on top of a heap.
type front struct {
	most  int
	order order
	items ordered[*item]
}

func newFront(most int, order order) *front {
	return &front{most: most, order: order, items: ordered[*item]{before: func(a, b *item) bool { return order.compare(a, b) > 0 }}}
}

func (f *front) offer(i *item) {
	switch {
	case f.items.Len() < f.most:
		heap.Push(&f.items, i)
	case f.most > 0 && f.order.compare(i, f.items.list[0]) < 0:
		f.items.list[0] = i
		heap.Fix(&f.items, 0)
	}
}

// place is a runner with the places that are free there.
type place struct {
	runner *toucanhingev1.Runner
	free   int
	near   bool
	room   *room
}

// take uses one of the places.
func (p *place) take() {
	p.free--
	p.room.free--
	heap.Fix(&p.room.places, 0)
}

func (p *place) before(other *place) bool {
	if p.free != other.free {
		return p.free > other.free
	}
	return p.near && !other.near
}

// room holds the free places of a service, in a heap with the best one on top: the
// runner with the most room, a near one if there is as much.
type room struct {
	free   int
	places ordered[*place]
}

// rooms are the free places by service.
type rooms map[string]*room

// free counts the places of some services.
func (r rooms) free(services []string) int {
	free := 0
	for _, s := range services {
		if r[s] != nil {
			free += r[s].free
		}
	}
	return free
}

// best is the best place of some services, nil if all are taken.
func (r rooms) best(services []string) *place {
	var found *place
	for _, s := range services {
		if r[s] == nil || r[s].free == 0 {
			continue
		}
		if p := r[s].places.list[0]; found == nil || p.before(found) {
			found = p
		}
	}
	return found
}

// rooms lists the free places, and counts them.
func (m *Machine) rooms(now clock.Millis, around Environment) (rooms, int) {
	all, free := rooms{}, 0
	for _, r := range around.Runners {
		if r.GetLeaving() || m.blocked[r.GetId()] > now {
			continue
		}
		load := around.Load(r.GetId())
		if load.Unresponsive {
			continue
		}
		left := int(r.GetSlots()) - load.all() - len(m.running[r.GetId()])
		if left <= 0 {
			continue
		}
		if all[r.GetService()] == nil {
			all[r.GetService()] = &room{places: ordered[*place]{before: (*place).before}}
		}
		at := all[r.GetService()]
		at.places.Push(&place{runner: r, free: left, near: around.Near(r), room: at})
		at.free += left
		free += left
	}
	for _, at := range all {
		heap.Init(&at.places)
	}
	return all, free
}
