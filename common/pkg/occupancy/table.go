// Package occupancy counts the requests at each runner from the load digests of all daemons. The
// runners' own reports lag by tens of milliseconds and don't include requests in transit. With
// these alone, all gateways would place a burst on the same seemingly idle runner.
package occupancy

import (
	"maps"
	"slices"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Expiry is how long a daemon's digest applies. A daemon sends a digest at least every
// DigestInterval. After four missing ones it has failed, and its connections are closed.
const (
	DigestInterval clock.Millis = 250
	Expiry         clock.Millis = 1_000
)

// A daemon that runs items announces a shorter digest interval, because other daemons make proxied
// calls for its items and end them when it fails.
const (
	BatchDigestInterval clock.Millis = 50
	// overdueIntervals is the number of intervals without a digest after which a daemon counts
	// as failed. Datagrams get lost, and a slow VM sends late. A failed leader is replaced after
	// 300 ms at the earliest. Large fleets have longer intervals, which each daemon announces.
	overdueIntervals = 6
)

// Load is the number of requests at one runner.
type Load struct {
	Online int
	Batch  int
}

// UnresponsiveExpiry is how long a runner counts as unresponsive after a daemon detected it. If the
// runner is still unresponsive afterwards, the next call detects it again.
const UnresponsiveExpiry clock.Millis = 1_000

// Table sums up the load digests of all daemons and the load of this daemon.
type Table struct {
	sources map[string]*source
	total   map[string]Load
	own     map[string]Load
	// unresponsive counts the other daemons that find a runner unresponsive. ownUnresponsive
	// holds the runners that this daemon finds unresponsive, with the time when that expires.
	unresponsive    map[string]int
	ownUnresponsive map[string]clock.Millis
	// foreign holds the newest finding of any daemon, ownForeign the newest of this one.
	foreign    map[string]finding
	ownForeign map[string]finding
	prunedAt   clock.Millis
	// changed holds the runners whose load changed since the last PopChanges; nil before the
	// first call.
	changed map[string]bool
	local   localSum
	// dataCentres holds the other data centres that send summaries, presences the daemons there
	// that announce the interval of their digests.
	dataCentres map[string]*dataCentre
	presences   map[string]presence
	paces       paces
	contacts    contacts
}

type source struct {
	epoch    uint64
	sequence uint64
	lastSeen clock.Millis
	// interval is the time within which the daemon announced its next digest, or 0.
	interval clock.Millis
	loads    []*toucanhingev1.RunnerLoad
	// local is set if the source is part of the local sum.
	local bool
}

// New returns an empty table.
func New() *Table {
	return &Table{
		sources: map[string]*source{}, total: map[string]Load{}, own: map[string]Load{},
		unresponsive: map[string]int{}, ownUnresponsive: map[string]clock.Millis{},
		foreign: map[string]finding{}, ownForeign: map[string]finding{},
		dataCentres: map[string]*dataCentre{}, presences: map[string]presence{}, paces: newPaces(), contacts: newContacts(),
	}
}

// PopChanges lists the runners whose load or foreign work changed since the last call. Runners for
// which a value merely expired aren't listed.
func (t *Table) PopChanges() []string {
	if len(t.changed) == 0 {
		t.changed = map[string]bool{}
		return nil
	}
	list := slices.Collect(maps.Keys(t.changed))
	clear(t.changed)
	return list
}

func (t *Table) markChanged(runner string) {
	if t.changed != nil {
		t.changed[runner] = true
	}
}

// Load returns the load of all daemons at a runner.
func (t *Table) Load(runner string) Load { return t.total[runner] }

// Own returns the load of this daemon at a runner.
func (t *Table) Own(runner string) Load { return t.own[runner] }

// Add changes the load of this daemon at a runner: positive for requests that start, negative for
// requests that end.
func (t *Table) Add(runner string, change Load) {
	t.own[runner] = t.own[runner].plus(change)
	if t.own[runner] == (Load{}) {
		delete(t.own, runner)
	}
	t.addLoad(runner, change)
	if t.local.tracked() {
		t.local.addLoad(runner, change)
	}
}

// RunsItems reports whether this daemon runs batch items.
func (t *Table) RunsItems() bool {
	for _, l := range t.own {
		if l.Batch > 0 {
			return true
		}
	}
	return false
}

// SetUnresponsive records whether this daemon finds a runner unresponsive during its calls.
func (t *Table) SetUnresponsive(now clock.Millis, runner string, unresponsive bool) {
	t.markChanged(runner)
	t.local.markChanged(runner)
	if unresponsive {
		t.ownUnresponsive[runner] = now + UnresponsiveExpiry
	} else {
		delete(t.ownUnresponsive, runner)
	}
}

// Unresponsive reports whether this daemon or another one finds a runner unresponsive. The state
// expires after a second, because a single lost response doesn't prove a failure.
func (t *Table) Unresponsive(now clock.Millis, runner string) bool {
	return t.unresponsive[runner] > 0 || t.ownUnresponsive[runner] > now
}

// ApplyDigest applies the load digest of another daemon. Datagrams may be late, duplicated or
// reordered; only the newest applies.
func (t *Table) ApplyDigest(now clock.Millis, d *toucanhingev1.LoadDigest) {
	s := t.sources[d.GetSource()]
	if s != nil && (d.GetEpoch() < s.epoch || d.GetEpoch() == s.epoch && d.GetSequence() <= s.sequence) {
		return
	}
	if s != nil {
		t.removeLoads(s)
	}
	s = &source{
		epoch: d.GetEpoch(), sequence: d.GetSequence(), lastSeen: now, interval: clock.Millis(d.GetNextMs()), loads: d.GetLoads(),
		local: t.local.tracked() && t.local.includes(d.GetSource()),
	}
	if s.local {
		t.local.add(s.loads, 1)
	}
	t.sources[d.GetSource()] = s
	for _, l := range s.loads {
		t.addLoad(l.GetRunner(), loadOf(l))
		t.countUnresponsive(l, 1)
		t.applyForeign(now, l)
		t.applyPace(now, l, s.local)
		t.applyContact(now, l, s.local)
	}
}

// Overdue reports whether a daemon has sent no digest for longer than it announced, counted from
// its last digest or from since, whichever is later. A daemon without any digest is overdue after
// Expiry.
func (t *Table) Overdue(now clock.Millis, daemon string, since clock.Millis) bool {
	last := t.presences[daemon]
	if s := t.sources[daemon]; s != nil && s.lastSeen >= last.lastSeen {
		last = presence{lastSeen: s.lastSeen, interval: s.interval}
	}
	if last.lastSeen == 0 {
		return now-since > Expiry
	}
	return now-max(last.lastSeen, since) > overdueIntervals*max(last.interval, BatchDigestInterval)
}

// Expire removes the load of daemons whose last digest has expired. Until then the last counts
// apply, because a datagram may be lost.
func (t *Table) Expire(now clock.Millis) {
	t.pruneFindings(now)
	t.paces.prune(now)
	t.pruneContacts(now)
	t.expireDataCentres(now)
	for name, s := range t.sources {
		if len(s.loads) > 0 && now-s.lastSeen > Expiry {
			t.removeLoads(s)
			s.loads = nil
		}
		if now-s.lastSeen > 60*Expiry {
			delete(t.sources, name)
		}
	}
}

// Loads lists this daemon's load and its findings of unresponsive and unreachable runners, foreign
// work and paces, for a digest. Paces and unreachable runners are listed only until they have been published.
func (t *Table) Loads(now clock.Millis) []*toucanhingev1.RunnerLoad {
	byRunner := make(map[string]*toucanhingev1.RunnerLoad, len(t.own))
	entry := func(runner string) *toucanhingev1.RunnerLoad {
		if byRunner[runner] == nil {
			byRunner[runner] = &toucanhingev1.RunnerLoad{Runner: runner}
		}
		return byRunner[runner]
	}
	for runner, l := range t.own {
		entry(runner).Online, entry(runner).Batch = uint32(l.Online), uint32(l.Batch)
	}
	for runner, until := range t.ownUnresponsive {
		if until <= now {
			delete(t.ownUnresponsive, runner)
			continue
		}
		entry(runner).Silent = true
	}
	t.addForeign(now, entry)
	t.addPaces(now, entry)
	t.contacts.own.addTo(now, entry)
	return slices.Collect(maps.Values(byRunner))
}

func (t *Table) countUnresponsive(l *toucanhingev1.RunnerLoad, change int) {
	if !l.GetSilent() {
		return
	}
	t.unresponsive[l.GetRunner()] += change
	if t.unresponsive[l.GetRunner()] == 0 {
		delete(t.unresponsive, l.GetRunner())
	}
}

func (t *Table) removeLoads(s *source) {
	if s.local {
		t.local.add(s.loads, -1)
	}
	for _, l := range s.loads {
		t.addLoad(l.GetRunner(), loadOf(l).negated())
		t.countUnresponsive(l, -1)
	}
}

func (t *Table) addLoad(runner string, change Load) {
	t.markChanged(runner)
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
