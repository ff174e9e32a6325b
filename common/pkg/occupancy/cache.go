package occupancy

import (
	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// refreshEvery is how often a cache reads all loads anew. In between it reads only those that
// changed; what merely runs out of time, like the word that a runner is silent, shows a little
// later.
const refreshEvery clock.Millis = 100

// Cache has what is read of a table for each runner. The load changes hundreds of times a second
// in a large fleet, each time at a few runners; read anew for all of them at each look it
// took a tenth of the processor time of who decides. A table has one cache at most.
type Cache[T any] struct {
	// Read reads one runner's load.
	Read func(now clock.Millis, runner string, t *Table) T

	list    []*toucanhingev1.Runner
	byID    map[string]*toucanhingev1.Runner
	loads   map[string]T
	wholeAt clock.Millis
}

// Refresh takes up what changed, and lists the runners concerned.
func (c *Cache[T]) Refresh(now clock.Millis, runners []*toucanhingev1.Runner, t *Table) (changed []*toucanhingev1.Runner) {
	ids := t.PopChanges()
	if c.byID == nil || !sameRunners(c.list, runners) || now-c.wholeAt >= refreshEvery {
		c.whole(now, runners, t)
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

// sameRunners says whether two lists are one in memory: the list is made anew when it changes.
func sameRunners(a, b []*toucanhingev1.Runner) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (c *Cache[T]) whole(now clock.Millis, runners []*toucanhingev1.Runner, t *Table) {
	if c.byID == nil || !sameRunners(c.list, runners) {
		c.byID = make(map[string]*toucanhingev1.Runner, len(runners))
		c.loads = make(map[string]T, len(runners))
		for _, r := range runners {
			c.byID[r.GetId()] = r
		}
	}
	c.list, c.wholeAt = runners, now
	for _, r := range runners {
		c.loads[r.GetId()] = c.Read(now, r.GetId(), t)
	}
}

// Get is the load of one runner.
func (c *Cache[T]) Get(runner string) T { return c.loads[runner] }
