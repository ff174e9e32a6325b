package occupancy

import (
	"maps"
	"slices"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// localSum is the total load of the daemons in the own data centre. It is updated with each
// digest: a relay sends changes 125 times a second, and recomputing the sum over 140 daemons each
// time used a small VM's whole processor.
type localSum struct {
	// includes reports whether a daemon is in the own data centre; nil if the sum is not tracked.
	includes     func(daemon string) bool
	loads        map[string]Load
	unresponsive map[string]int
	changed      map[string]bool
}

// TrackLocalSum starts to track the total load of this daemon and of those that includes selects.
// A nil function stops it.
func (t *Table) TrackLocalSum(includes func(daemon string) bool) {
	t.local = localSum{includes: includes}
	clear(t.paces.local)
	clear(t.contacts.local)
	if includes == nil {
		for _, s := range t.sources {
			s.local = false
		}
		return
	}
	t.local.loads, t.local.unresponsive, t.local.changed = maps.Clone(t.own), map[string]int{}, map[string]bool{}
	for name, s := range t.sources {
		s.local = includes(name)
		if s.local {
			t.local.add(s.loads, 1)
		}
	}
}

// tracked reports whether the sum is tracked.
func (s *localSum) tracked() bool { return s.includes != nil }

// markChanged records that the load at a runner changed.
func (s *localSum) markChanged(runner string) {
	if s.tracked() {
		s.changed[runner] = true
	}
}

// add adds the loads of a daemon's digest, or subtracts them if sign is -1.
func (s *localSum) add(loads []*toucanhingev1.RunnerLoad, sign int) {
	for _, l := range loads {
		s.addLoad(l.GetRunner(), Load{Online: sign * int(l.GetOnline()), Batch: sign * int(l.GetBatch())})
		if !l.GetSilent() {
			continue
		}
		s.unresponsive[l.GetRunner()] += sign
		if s.unresponsive[l.GetRunner()] == 0 {
			delete(s.unresponsive, l.GetRunner())
		}
	}
}

func (s *localSum) addLoad(runner string, change Load) {
	s.changed[runner] = true
	sum := s.loads[runner].plus(change)
	if sum == (Load{}) {
		delete(s.loads, runner)
		return
	}
	s.loads[runner] = sum
}

// PopLocalChanges lists the runners whose part of the sum may have changed since the last call.
func (t *Table) PopLocalChanges() []string {
	if len(t.local.changed) == 0 {
		return nil
	}
	list := slices.Collect(maps.Keys(t.local.changed))
	clear(t.local.changed)
	return list
}

// LocalLoad returns the sum at one runner, nil if the runner has no load and isn't unresponsive.
func (t *Table) LocalLoad(now clock.Millis, runner string) *toucanhingev1.RunnerLoad {
	sum := t.local.loads[runner]
	unresponsive := t.local.unresponsive[runner] > 0 || t.ownUnresponsive[runner] > now
	if sum == (Load{}) && !unresponsive {
		return nil
	}
	l := &toucanhingev1.RunnerLoad{Runner: runner, Online: uint32(sum.Online), Batch: uint32(sum.Batch), Silent: unresponsive}
	if f := t.foreign[runner]; f.count > 0 && f.fresh(now) {
		count := uint32(f.count)
		l.Foreign, l.ForeignAgeMs = &count, uint32(now-f.at)
	}
	return l
}

// LocalLoads lists the sum at all runners.
func (t *Table) LocalLoads(now clock.Millis) []*toucanhingev1.RunnerLoad {
	var list []*toucanhingev1.RunnerLoad
	for runner := range t.local.loads {
		list = append(list, t.LocalLoad(now, runner))
	}
	unresponsive := maps.Clone(t.local.unresponsive)
	for runner, until := range t.ownUnresponsive {
		if until > now {
			unresponsive[runner]++
		}
	}
	for runner := range unresponsive {
		if _, listed := t.local.loads[runner]; !listed {
			list = append(list, t.LocalLoad(now, runner))
		}
	}
	return list
}

// Presences lists the daemons in the sum that announce the interval of their digests.
func (t *Table) Presences(now clock.Millis) []*toucanhingev1.Presence {
	var list []*toucanhingev1.Presence
	for name, s := range t.sources {
		if s.local && s.interval > 0 && now-s.lastSeen <= Expiry {
			list = append(list, &toucanhingev1.Presence{Source: name, AgeMs: uint32(now - s.lastSeen), NextMs: uint32(s.interval)})
		}
	}
	return list
}
