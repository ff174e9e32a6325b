package occupancy

import (
	"maps"
	"slices"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// nearSum is what the daemons of the own data centre have under way together. It is kept up to
// date with each digest: the relay of a data centre tells what changed 125 times a second, and
// summed up anew each time from 140 daemons that took all that a small VM has.
type nearSum struct {
	// counts says whether a daemon is of the own data centre; nil if nobody sums up.
	counts  func(daemon string) bool
	loads   map[string]Load
	silent  map[string]int
	changed map[string]bool
}

// TrackLocalSum begins to sum up what this daemon and some others have under way; nil ends it.
func (t *Table) TrackLocalSum(counts func(daemon string) bool) {
	t.near = nearSum{counts: counts}
	if counts == nil {
		for _, s := range t.sources {
			s.near = false
		}
		return
	}
	t.near.loads, t.near.silent, t.near.changed = maps.Clone(t.own), map[string]int{}, map[string]bool{}
	for name, s := range t.sources {
		s.near = counts(name)
		if s.near {
			t.near.add(s.loads, 1)
		}
	}
}

// sums says whether anybody sums up.
func (n *nearSum) sums() bool { return n.counts != nil }

// note says that something changed at a runner.
func (n *nearSum) note(runner string) {
	if n.sums() {
		n.changed[runner] = true
	}
}

// add counts what a daemon told, or takes it back with -1.
func (n *nearSum) add(loads []*toucanhingev1.RunnerLoad, sign int) {
	for _, l := range loads {
		n.sum(l.GetRunner(), Load{Online: sign * int(l.GetOnline()), Batch: sign * int(l.GetBatch())})
		if !l.GetSilent() {
			continue
		}
		n.silent[l.GetRunner()] += sign
		if n.silent[l.GetRunner()] == 0 {
			delete(n.silent, l.GetRunner())
		}
	}
}

func (n *nearSum) sum(runner string, change Load) {
	n.changed[runner] = true
	sum := n.loads[runner].plus(change)
	if sum == (Load{}) {
		delete(n.loads, runner)
		return
	}
	n.loads[runner] = sum
}

// PopLocalChanges lists the runners whose part of the sum may have changed since the last call.
func (t *Table) PopLocalChanges() []string {
	if len(t.near.changed) == 0 {
		return nil
	}
	list := slices.Collect(maps.Keys(t.near.changed))
	clear(t.near.changed)
	return list
}

// LocalLoad is the sum at one runner, nil if there is nothing.
func (t *Table) LocalLoad(now clock.Millis, runner string) *toucanhingev1.RunnerLoad {
	sum := t.near.loads[runner]
	silent := t.near.silent[runner] > 0 || t.ownSilent[runner] > now
	if sum == (Load{}) && !silent {
		return nil
	}
	l := &toucanhingev1.RunnerLoad{Runner: runner, Online: uint32(sum.Online), Batch: uint32(sum.Batch), Silent: silent}
	if f := t.foreign[runner]; f.count > 0 && f.fresh(now) {
		count := uint32(f.count)
		l.Foreign, l.ForeignAgeMs = &count, uint32(now-f.at)
	}
	return l
}

// LocalLoads lists the whole sum.
func (t *Table) LocalLoads(now clock.Millis) []*toucanhingev1.RunnerLoad {
	var list []*toucanhingev1.RunnerLoad
	for runner := range t.near.loads {
		list = append(list, t.LocalLoad(now, runner))
	}
	silent := maps.Clone(t.near.silent)
	for runner, until := range t.ownSilent {
		if until > now {
			silent[runner]++
		}
	}
	for runner := range silent {
		if _, listed := t.near.loads[runner]; !listed {
			list = append(list, t.LocalLoad(now, runner))
		}
	}
	return list
}

// Presences lists those that promise digests of the daemons that are summed up.
func (t *Table) Presences(now clock.Millis) []*toucanhingev1.Presence {
	var list []*toucanhingev1.Presence
	for name, s := range t.sources {
		if s.near && s.next > 0 && now-s.heard <= Expiry {
			list = append(list, &toucanhingev1.Presence{Source: name, AgeMs: uint32(now - s.heard), NextMs: uint32(s.next)})
		}
	}
	return list
}
