package dispatch

import (
	"container/heap"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// candidate is a runner with free slots.
type candidate struct {
	runner *toucanhingev1.Runner
	free   int
	near   bool
	pace   float64
	// level is the level of the pace; lower is faster.
	level int
	slots *versionSlots
}

// acquire uses one of the free slots.
func (c *candidate) acquire() {
	c.free--
	c.slots.free--
	heap.Fix(&c.slots.candidates, 0)
}

func (c *candidate) before(other *candidate) bool {
	if (c.free > 0) != (other.free > 0) {
		return c.free > 0
	}
	if c.level != other.level {
		return c.level < other.level
	}
	if c.free != other.free {
		return c.free > other.free
	}
	return c.near && !other.near
}

// versionSlots holds the free slots of a service's runners of one software version. The candidates form a heap with the
// best one on top: the fastest runner, among equal ones that with the most free slots, and among these a near one.
type versionSlots struct {
	version    string
	free       int
	candidates heapOf[*candidate]
}

// serviceSlots holds the free slots of a service.
type serviceSlots struct {
	paces    paceRange
	versions []*versionSlots
}

// version returns the slots of a software version, nil if it has none.
func (s *serviceSlots) version(version string) *versionSlots {
	for _, v := range s.versions {
		if v.version == version {
			return v
		}
	}
	return nil
}

// add adds the free slots of a runner. The heaps are not in order until init is called.
func (s *serviceSlots) add(c *candidate) {
	v := s.version(c.runner.GetVersion())
	if v == nil {
		v = &versionSlots{version: c.runner.GetVersion(), candidates: heapOf[*candidate]{before: (*candidate).before}}
		s.versions = append(s.versions, v)
	}
	c.slots = v
	v.candidates.Push(c)
	v.free += c.free
	s.paces = s.paces.with(c.pace)
}

// slotsByService holds the free slots by service.
type slotsByService map[string]*serviceSlots

// free returns the number of free slots of the given services.
func (r slotsByService) free(services []string) int {
	free := 0
	r.each(services, "", func(v *versionSlots) { free += v.free })
	return free
}

// freeAt returns the number of free slots of the given services at one software version.
func (r slotsByService) freeAt(services []string, version string) int {
	free := 0
	r.each(services, version, func(v *versionSlots) { free += v.free })
	return free
}

// each calls visit with the slots of the given services at one software version, or at all if it is empty.
func (r slotsByService) each(services []string, version string, visit func(*versionSlots)) {
	for _, s := range services {
		if r[s] == nil {
			continue
		}
		for _, v := range r[s].versions {
			if version == "" || v.version == version {
				visit(v)
			}
		}
	}
}

// paces returns the range of the paces of the free slots of the given services.
func (r slotsByService) paces(services []string) paceRange {
	found := paceRange{}
	for _, s := range services {
		if slots := r[s]; slots != nil {
			found = found.with(slots.paces.fastest).with(slots.paces.slowest)
		}
	}
	if found.fastest == 0 {
		return equalPaces
	}
	return found
}

// best returns the best candidate of the given services, nil if they have no free slot. If the version isn't empty, only
// runners of that software version are candidates.
func (r slotsByService) best(services []string, version string) *candidate {
	var found *candidate
	r.each(services, version, func(v *versionSlots) {
		if v.free == 0 {
			return
		}
		if c := v.candidates.list[0]; found == nil || c.before(found) {
			found = c
		}
	})
	return found
}

// bestFor returns the best candidate for a waiting item: one that can continue its text if there is any.
func (r slotsByService) bestFor(i rankedItem) *candidate {
	if i.version == "" {
		return r.best(i.group.services, "")
	}
	if c := r.best(i.group.services, i.version); c != nil || i.pinned {
		return c
	}
	return r.best(i.group.services, "")
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
		running := len(m.running[r.GetId()])
		unused := m.failing.freeSlots(now, r.GetId(), int(r.GetSlots())-load.total()-running, running)
		if unused <= 0 {
			continue
		}
		if all[r.GetService()] == nil {
			all[r.GetService()] = &serviceSlots{}
		}
		pace := env.paceOf(r.GetId())
		all[r.GetService()].add(&candidate{runner: r, free: unused, near: env.Near(r), pace: pace, level: paceLevel(pace)})
		free += unused
	}
	for _, slots := range all {
		for _, v := range slots.versions {
			heap.Init(&v.candidates)
		}
	}
	return all, free
}
