package occupancy

import (
	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// centre is what the daemons of another data centre have under way together, as the daemon
// that relays for it told.
type centre struct {
	relay    string
	epoch    uint64
	sequence uint64
	heard    clock.Millis
	loads    map[string]*toucanhingev1.RunnerLoad
}

// presence is when a daemon of another data centre was heard there, and the span within
// which it promised to be heard again.
type presence struct {
	heard clock.Millis
	next  clock.Millis
}

// ApplySummary takes over what is told of a whole data centre. Datagrams may come late, twice or
// in another order, and another relay may take over: what only tells of changes counts on
// top of a whole summary of the same relay.
func (t *Table) ApplySummary(now clock.Millis, d *toucanhingev1.LoadDigest) {
	c := t.centres[d.GetDataCentre()]
	same := c != nil && c.relay == d.GetSource()
	if same && (d.GetEpoch() < c.epoch || d.GetEpoch() == c.epoch && d.GetSequence() <= c.sequence) {
		return
	}
	if d.GetPartial() && (!same || d.GetEpoch() != c.epoch) {
		return
	}
	if !d.GetPartial() {
		t.forgetCentre(d.GetDataCentre())
		c = &centre{relay: d.GetSource(), epoch: d.GetEpoch(), loads: map[string]*toucanhingev1.RunnerLoad{}}
		t.centres[d.GetDataCentre()] = c
	}
	c.sequence, c.heard = d.GetSequence(), now
	for _, l := range d.GetLoads() {
		t.replace(c, l)
		t.learn(now, l)
	}
	for _, p := range d.GetPresences() {
		t.presences[p.GetSource()] = presence{heard: now - clock.Millis(p.GetAgeMs()), next: clock.Millis(p.GetNextMs())}
	}
}

// replace puts one runner's load in place of what the data centre told before.
func (t *Table) replace(c *centre, l *toucanhingev1.RunnerLoad) {
	if before := c.loads[l.GetRunner()]; before != nil {
		t.sum(before.GetRunner(), loadOf(before).negative())
		t.count(before, -1)
		delete(c.loads, l.GetRunner())
	}
	if loadOf(l) == (Load{}) && !l.GetSilent() {
		return
	}
	c.loads[l.GetRunner()] = l
	t.sum(l.GetRunner(), loadOf(l))
	t.count(l, 1)
}

func (t *Table) forgetCentre(name string) {
	c := t.centres[name]
	if c == nil {
		return
	}
	for _, l := range c.loads {
		t.sum(l.GetRunner(), loadOf(l).negative())
		t.count(l, -1)
	}
	delete(t.centres, name)
}

// expireCentres drops the work of data centres of which nothing was told any more.
func (t *Table) expireCentres(now clock.Millis) {
	for name, c := range t.centres {
		if now-c.heard > Expiry {
			t.forgetCentre(name)
		}
	}
	for name, p := range t.presences {
		if now-p.heard > 60*Expiry {
			delete(t.presences, name)
		}
	}
}

func (l Load) negative() Load { return Load{Online: -l.Online, Batch: -l.Batch} }
