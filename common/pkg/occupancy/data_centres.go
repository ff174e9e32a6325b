package occupancy

import (
	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// dataCentre is the total load of the daemons of another data centre, as sent by its relay.
type dataCentre struct {
	relay    string
	epoch    uint64
	sequence uint64
	lastSeen clock.Millis
	loads    map[string]*toucanhingev1.RunnerLoad
}

// presence is the time at which a daemon of another data centre was last seen there, and the
// interval within which it announced its next digest.
type presence struct {
	lastSeen clock.Millis
	interval clock.Millis
}

// ApplySummary applies the summary of a data centre. Datagrams may be late, duplicated or
// reordered, and the relay may change: a partial summary applies only on top of a full summary of
// the same relay and epoch.
func (t *Table) ApplySummary(now clock.Millis, d *toucanhingev1.LoadDigest) {
	dc := t.dataCentres[d.GetDataCentre()]
	same := dc != nil && dc.relay == d.GetSource()
	if same && (d.GetEpoch() < dc.epoch || d.GetEpoch() == dc.epoch && d.GetSequence() <= dc.sequence) {
		return
	}
	if d.GetPartial() && (!same || d.GetEpoch() != dc.epoch) {
		return
	}
	if !d.GetPartial() {
		t.removeDataCentre(d.GetDataCentre())
		dc = &dataCentre{relay: d.GetSource(), epoch: d.GetEpoch(), loads: map[string]*toucanhingev1.RunnerLoad{}}
		t.dataCentres[d.GetDataCentre()] = dc
	}
	dc.sequence, dc.lastSeen = d.GetSequence(), now
	for _, l := range d.GetLoads() {
		t.replaceLoad(dc, l)
		t.applyForeign(now, l)
		t.applyPace(now, l, false)
		t.applyContact(now, l, false)
	}
	for _, p := range d.GetPresences() {
		t.presences[p.GetSource()] = presence{lastSeen: now - clock.Millis(p.GetAgeMs()), interval: clock.Millis(p.GetNextMs())}
	}
}

// replaceLoad replaces the load that a data centre reported for one runner.
func (t *Table) replaceLoad(dc *dataCentre, l *toucanhingev1.RunnerLoad) {
	if old := dc.loads[l.GetRunner()]; old != nil {
		t.addLoad(old.GetRunner(), loadOf(old).negated())
		t.countUnresponsive(old, -1)
		delete(dc.loads, l.GetRunner())
	}
	if loadOf(l) == (Load{}) && !l.GetSilent() {
		return
	}
	dc.loads[l.GetRunner()] = l
	t.addLoad(l.GetRunner(), loadOf(l))
	t.countUnresponsive(l, 1)
}

func (t *Table) removeDataCentre(name string) {
	dc := t.dataCentres[name]
	if dc == nil {
		return
	}
	for _, l := range dc.loads {
		t.addLoad(l.GetRunner(), loadOf(l).negated())
		t.countUnresponsive(l, -1)
	}
	delete(t.dataCentres, name)
}

// expireDataCentres removes the load of data centres that no longer send summaries.
func (t *Table) expireDataCentres(now clock.Millis) {
	for name, dc := range t.dataCentres {
		if now-dc.lastSeen > Expiry {
			t.removeDataCentre(name)
		}
	}
	for name, p := range t.presences {
		if now-p.lastSeen > 60*Expiry {
			delete(t.presences, name)
		}
	}
}

func (l Load) negated() Load { return Load{Online: -l.Online, Batch: -l.Batch} }
