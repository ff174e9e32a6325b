package batchrun

import (
	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/occupancy"
	"toucanhinge.example/control/pkg/dispatch"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// refreshEvery is how often all loads are read anew. In between only those that changed are;
// what merely runs out of time, like the word that a runner is silent, shows a little later.
const refreshEvery clock.Millis = 100

// loads is what other daemons have under way at each runner. The load changes hundreds of times
// a second in a large fleet, each time at a few runners; read anew for all of them it
// took a tenth of the leader's processor time.
type loads struct {
	list     []*toucanhingev1.Runner
	byID     map[string]*toucanhingev1.Runner
	loads    map[string]dispatch.Load
	wholeAt  clock.Millis
	readOnce bool
}

// refresh takes up what changed, and lists the runners concerned.
func (l *loads) refresh(now clock.Millis, runners []*toucanhingev1.Runner, t *occupancy.Table) (changed []*toucanhingev1.Runner) {
	ids := t.TakeChanged()
	if !l.readOnce || !sameRunners(l.list, runners) || now-l.wholeAt >= refreshEvery {
		l.whole(now, runners, t)
		return runners
	}
	for _, id := range ids {
		if r := l.byID[id]; r != nil {
			l.loads[id] = loadAt(now, id, t)
			changed = append(changed, r)
		}
	}
	return changed
}

// sameRunners says whether two lists are one in memory: the list is made anew when it changes.
func sameRunners(a, b []*toucanhingev1.Runner) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (l *loads) whole(now clock.Millis, runners []*toucanhingev1.Runner, t *occupancy.Table) {
	if !sameRunners(l.list, runners) || l.byID == nil {
		l.byID = make(map[string]*toucanhingev1.Runner, len(runners))
		l.loads = make(map[string]dispatch.Load, len(runners))
		for _, r := range runners {
			l.byID[r.GetId()] = r
		}
	}
	l.list, l.wholeAt, l.readOnce = runners, now, true
	for _, r := range runners {
		l.loads[r.GetId()] = loadAt(now, r.GetId(), t)
	}
}

func loadAt(now clock.Millis, id string, t *occupancy.Table) dispatch.Load {
	total, own := t.Load(id), t.Own(id)
	return dispatch.Load{
		Online: total.Online, Batch: total.Batch - own.Batch, Foreign: t.Foreign(now, id), Silent: t.Silent(now, id),
	}
}

// at is the load of one runner.
func (l *loads) at(id string) dispatch.Load { return l.loads[id] }
