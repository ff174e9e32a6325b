package occupancy

import (
	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// fullRefreshInterval is the interval at which a cache reads all loads. In between it reads only
// those that changed. A value that merely expires, such as the unresponsive state of a runner,
// stays in the cache until the next full refresh.
const fullRefreshInterval clock.Millis = 100

// Cache holds a value per runner that is derived from a table. In a large fleet the load changes
// hundreds of times a second, each time at a few runners. Reading all runners at each refresh took
// a tenth of the processor time of the process that places requests or items. A table has at most
// one cache.
type Cache[T any] struct {
	// Read derives the value of one runner.
	Read func(now clock.Millis, runner string, t *Table) T

	list      []*toucanhingev1.Runner
	byID      map[string]*toucanhingev1.Runner
	loads     map[string]T
	readAllAt clock.Millis
}

// Refresh reads the changed loads and lists their runners.
func (c *Cache[T]) Refresh(now clock.Millis, runners []*toucanhingev1.Runner, t *Table) (changed []*toucanhingev1.Runner) {
	ids := t.PopChanges()
	if c.byID == nil || !sameRunners(c.list, runners) || now-c.readAllAt >= fullRefreshInterval {
		c.readAll(now, runners, t)
		return runners
	}
	for _, id := range ids {
		if r := c.byID[id]; r != nil {
			c.loads[id] = c.Read(now, id, t)
			changed = append(changed, r)
		}
	}
	return changed
}

// sameRunners reports whether two slices share their memory. A changed list is always a new slice.
func sameRunners(a, b []*toucanhingev1.Runner) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (c *Cache[T]) readAll(now clock.Millis, runners []*toucanhingev1.Runner, t *Table) {
	if c.byID == nil || !sameRunners(c.list, runners) {
		c.byID = make(map[string]*toucanhingev1.Runner, len(runners))
		c.loads = make(map[string]T, len(runners))
		for _, r := range runners {
			c.byID[r.GetId()] = r
		}
		t.SetRunners(runners)
	}
	c.list, c.readAllAt = runners, now
	for _, r := range runners {
		c.loads[r.GetId()] = c.Read(now, r.GetId(), t)
	}
}

// Get returns the value of one runner.
func (c *Cache[T]) Get(runner string) T { return c.loads[runner] }
