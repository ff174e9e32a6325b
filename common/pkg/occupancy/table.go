// Package occupancy counts what is under way at each runner, from what every
// daemon that sends work there tells. The runners' own reports lag by tens of
// milliseconds and know nothing of what is on its way to them; a request placed
// by them alone lands, in a burst, on the runner that looked idle to everybody.
package occupancy

import (
	"maps"
	"slices"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Expiry is how long a daemon's digest counts. Each sends one at least every
// DigestEvery; after four missing ones it is dead, and so are its connections.
const (
	DigestInterval clock.Millis = 250
	Expiry      clock.Millis = 1_000
)

// A daemon that runs items promises digests at shorter intervals: others carry its
// items' calls, and end them when it is gone.
const (
	BatchDigestInterval clock.Millis = 50
	// overdueAfter is the number of intervals without a digest after which a daemon
	// is taken to be gone. Datagrams are lost now and then, and a slow VM sends late;
	// a leader that is gone is replaced after 300 ms at the earliest. Large fleets have
	// longer intervals, which the daemon promises itself.
	overdueAfter = 6
)

// Load is what is under way at one runner.
type Load struct {
	Online int
	Batch  int
}

// UnresponsiveExpiry is how long a runner counts as silent after a daemon noticed it. If it
// is still silent then, whoever asks it next notices it again.
const UnresponsiveExpiry clock.Millis = 1_000

// Table sums up the digests of all daemons and the own work.
type Table struct {
	sources map[string]*source
	total   map[string]Load
	own     map[string]Load
	// silent counts the daemons that find a runner silent; ownSilent says until
	// when this one does.
	silent    map[string]int
	ownSilent map[string]clock.Millis
	// foreign is the newest finding of any daemon, ownForeign of this one.
	foreign    map[string]finding
	ownForeign map[string]finding
	pruned     clock.Millis
	// changed are the runners whose load changed since somebody looked; nil if nobody does.
	changed map[string]bool
	near    nearSum
	// centres are other data centres of which summaries are told, and presences the daemons
	// there that promise digests.
	centres   map[string]*centre
	presences map[string]presence
}

type source struct {
	epoch    uint64
	sequence uint64
	heard    clock.Millis
	// next is the span within which the daemon promised its next digest, or 0.
	next  clock.Millis
	loads []*toucanhingev1.RunnerLoad
	// near says that it is summed up with the own data centre.
	near bool
}

// New makes an empty table.
func New() *Table {
	return &Table{
		sources: map[string]*source{}, total: map[string]Load{}, own: map[string]Load{},
		silent: map[string]int{}, ownSilent: map[string]clock.Millis{},
		foreign: map[string]finding{}, ownForeign: map[string]finding{},
		centres: map[string]*centre{}, presences: map[string]presence{},
	}
}

// PopChanges lists the runners whose load, or foreign work, changed since the last call. What
// only runs out of time isn't listed.
func (t *Table) PopChanges() []string {
	if len(t.changed) == 0 {
		t.changed = map[string]bool{}
		return nil
	}
	list := slices.Collect(maps.Keys(t.changed))
	clear(t.changed)
	return list
}

func (t *Table) noteChange(runner string) {
	if t.changed != nil {
		t.changed[runner] = true
	}
}

// Load is what all daemons together have under way at a runner.
func (t *Table) Load(runner string) Load { return t.total[runner] }

// Own is the part of it that this daemon sent.
func (t *Table) Own(runner string) Load { return t.own[runner] }

// Add counts own work that begins, or ends with negative numbers.
func (t *Table) Add(runner string, change Load) {
	t.own[runner] = t.own[runner].plus(change)
	if t.own[runner] == (Load{}) {
		delete(t.own, runner)
	}
	t.sum(runner, change)
	if t.near.sums() {
		t.near.sum(runner, change)
	}
}

// RunsItems says whether this daemon has items under way.
func (t *Table) RunsItems() bool {
	for _, l := range t.own {
		if l.Batch > 0 {
			return true
		}
	}
	return false
}

// SetUnresponsive notes that a runner, with own calls under way, has said nothing for too
// long, or that it speaks again.
func (t *Table) SetUnresponsive(now clock.Millis, runner string, silent bool) {
	t.noteChange(runner)
	t.near.note(runner)
	if silent {
		t.ownSilent[runner] = now + UnresponsiveExpiry
	} else {
		delete(t.ownSilent, runner)
	}
}

// Unresponsive says whether this daemon or another one finds a runner silent. One lost
// answer is no proof of that, so it holds for a second only.
func (t *Table) Unresponsive(now clock.Millis, runner string) bool {
	return t.silent[runner] > 0 || t.ownSilent[runner] > now
}

// ApplyDigest takes over what another daemon told. Datagrams may come late, twice or
// in another order; only the newest counts.
func (t *Table) ApplyDigest(now clock.Millis, d *toucanhingev1.LoadDigest) {
	s := t.sources[d.GetSource()]
	if s != nil && (d.GetEpoch() < s.epoch || d.GetEpoch() == s.epoch && d.GetSequence() <= s.sequence) {
		return
	}
	if s != nil {
		t.forget(s)
	}
	s = &source{
		epoch: d.GetEpoch(), sequence: d.GetSequence(), heard: now, next: clock.Millis(d.GetNextMs()), loads: d.GetLoads(),
		near: t.near.sums() && t.near.counts(d.GetSource()),
	}
	if s.near {
		t.near.add(s.loads, 1)
	}
	t.sources[d.GetSource()] = s
	for _, l := range s.loads {
		t.sum(l.GetRunner(), loadOf(l))
		t.count(l, 1)
		t.learn(now, l)
	}
}

// Overdue says whether a daemon has kept silent for longer than it promised, since a
// moment or since it told something last. One that never told anything has as long as
// any daemon's counts last.
func (t *Table) Overdue(now clock.Millis, daemon string, since clock.Millis) bool {
	told := t.presences[daemon]
	if s := t.sources[daemon]; s != nil && s.heard >= told.heard {
		told = presence{heard: s.heard, next: s.next}
	}
	if told.heard == 0 {
		return now-since > Expiry
	}
	return now-max(told.heard, since) > overdueAfter*max(told.next, BatchDigestInterval)
}

// Expire drops the work of daemons that fell silent. Their last counts stay
// until then, since a datagram may be lost.
func (t *Table) Expire(now clock.Millis) {
	t.prune(now)
	t.expireCentres(now)
	for name, s := range t.sources {
		if len(s.loads) > 0 && now-s.heard > Expiry {
			t.forget(s)
			s.loads = nil
		}
		if now-s.heard > 60*Expiry {
			delete(t.sources, name)
		}
	}
}

// Loads lists the own work, the runners found silent and those found with foreign
// work, for a digest.
func (t *Table) Loads(now clock.Millis) []*toucanhingev1.RunnerLoad {
	byRunner := make(map[string]*toucanhingev1.RunnerLoad, len(t.own))
	at := func(runner string) *toucanhingev1.RunnerLoad {
		if byRunner[runner] == nil {
			byRunner[runner] = &toucanhingev1.RunnerLoad{Runner: runner}
		}
		return byRunner[runner]
	}
	for runner, l := range t.own {
		at(runner).Online, at(runner).Batch = uint32(l.Online), uint32(l.Batch)
	}
	for runner, until := range t.ownSilent {
		if until <= now {
			delete(t.ownSilent, runner)
			continue
		}
		at(runner).Silent = true
	}
	t.tellForeign(now, at)
	return slices.Collect(maps.Values(byRunner))
}

func (t *Table) count(l *toucanhingev1.RunnerLoad, change int) {
	if !l.GetSilent() {
		return
	}
	t.silent[l.GetRunner()] += change
	if t.silent[l.GetRunner()] == 0 {
		delete(t.silent, l.GetRunner())
	}
}

func (t *Table) forget(s *source) {
	if s.near {
		t.near.add(s.loads, -1)
	}
	for _, l := range s.loads {
		t.sum(l.GetRunner(), loadOf(l).negative())
		t.count(l, -1)
	}
}

func (t *Table) sum(runner string, change Load) {
	t.noteChange(runner)
	sum := t.total[runner].plus(change)
	if sum == (Load{}) {
		delete(t.total, runner)
		return
	}
	t.total[runner] = sum
}

func (l Load) plus(change Load) Load {
	return Load{Online: l.Online + change.Online, Batch: l.Batch + change.Batch}
}

func loadOf(l *toucanhingev1.RunnerLoad) Load {
	return Load{Online: int(l.GetOnline()), Batch: int(l.GetBatch())}
}
