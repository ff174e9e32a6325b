package occupancy

import (
	"math/rand/v2"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// unreachableAvoidance and otherInstanceAvoidance are how long daemons avoid a runner after a finding.
	// The list of runners names a replaced one for up to two seconds and hardly ever names it again.
	unreachableAvoidance   clock.Millis = 1_000
	otherInstanceAvoidance clock.Millis = 5_000
	// Daemons try a runner again at different times, so that the first one can announce its probe before
	// the next one starts. The times are spread over probeSpread for each daemon, within the limits.
	probeSpread    clock.Millis = 25
	minProbeSpread clock.Millis = 250
	maxProbeSpread clock.Millis = 5_000
	// heardSlack is the time after a finding in which events may have been sent before it.
	heardSlack clock.Millis = 100
	// disputeDuration is the time for which findings that a runner is unreachable are ignored after
	// another daemon reached it: probably one daemon's network is at fault.
	disputeDuration clock.Millis = 10_000
	// contactTolerance is the difference of times up to which findings are the same one. The age that a
	// digest states lacks the time on the way, which varies.
	contactTolerance clock.Millis = 50
	// reachedRecently is the time within which a daemon must have reached some runner. Otherwise a missing
	// answer may be the fault of its own network.
	reachedRecently clock.Millis = 1_000
)

// UnreachableCause is the reason for which a daemon finds a runner unreachable.
type UnreachableCause int

const (
	// NoAnswer means that nothing answered at the runner's address.
	NoAnswer UnreachableCause = iota
	// ConnectionRefused means that the VM answered and no process listens at the runner's address.
	ConnectionRefused
	// OtherInstance means that another runner uses the address.
	OtherInstance
)

// String returns the name of the cause for logs.
func (c UnreachableCause) String() string {
	switch c {
	case NoAnswer:
		return "no-answer"
	case ConnectionRefused:
		return "refused"
	default:
		return "other-instance"
	}
}

func (c UnreachableCause) avoidance() clock.Millis {
	if c == OtherInstance {
		return otherInstanceAvoidance
	}
	return unreachableAvoidance
}

// contact is the newest finding of any daemon on whether a runner can be reached.
type contact struct {
	at clock.Millis
	// avoid is the time for which the runner is avoided, 0 if it was reached.
	avoid clock.Millis
	// probeDelay is the additional time until this daemon tries the runner again.
	probeDelay clock.Millis
	// heard is set if this daemon received an event from the runner since.
	heard bool
	// contested is set if a daemon found the runner unreachable although it was reached before.
	contested bool
}

// disputes reports whether findings at the given time that the runner is unreachable are ignored.
func (c contact) disputes(at clock.Millis) bool {
	return c.avoid == 0 && at >= c.at && at-c.at < disputeDuration
}

func (c contact) avoided(now clock.Millis) bool {
	return c.avoid > 0 && !c.heard && now >= c.at && now-c.at < c.avoid+c.probeDelay
}

// expired reports whether the finding no longer influences any decision. An unreachable runner that nobody
// tried again for so long counts as unknown.
func (c contact) expired(now clock.Millis) bool {
	return now < c.at || now-c.at > c.avoid+c.probeDelay+disputeDuration
}

// contacts holds the findings on which runners can be reached. Otherwise each daemon would find out with
// requests of its own. It is empty while all runners are reached.
type contacts struct {
	newest map[string]contact
	// own and local hold the findings for the next digest of this daemon and for the next summary of its
	// data centre.
	own   contactOutbox
	local contactOutbox
	// reachedAt is when this daemon last reached any runner.
	reachedAt clock.Millis
	// daemons is the number of daemons that call runners.
	daemons int
	// draw returns a random number in [0, 1).
	draw     func() float64
	prunedAt clock.Millis
}

func newContacts() contacts {
	return contacts{newest: map[string]contact{}, own: contactOutbox{}, local: contactOutbox{}, draw: rand.Float64}
}

// SetDaemons sets the number of daemons that call runners.
func (t *Table) SetDaemons(count int) { t.contacts.daemons = count }

// ReportUnreachable records that this daemon couldn't reach a runner. It reports whether that has to be
// published.
func (t *Table) ReportUnreachable(now clock.Millis, runner string, cause UnreachableCause) bool {
	c := &t.contacts
	if cause == NoAnswer && now-c.reachedAt > reachedRecently {
		return false
	}
	old, known := c.newest[runner]
	if known && old.disputes(now) {
		// Other daemons don't avoid the runner for it, but confirm that they reach it.
		old.contested = true
		c.newest[runner] = old
		c.own.add(runner, contact{at: now, avoid: cause.avoidance()})
		return true
	}
	if age := now - old.at; known && old.avoid == cause.avoidance() && age >= 0 && age < contactTolerance {
		return false
	}
	t.publishContact(runner, contact{at: now, avoid: cause.avoidance()})
	return true
}

// BeginCall records that this daemon calls a runner. The first call after the time in which a runner is
// avoided is a probe, until whose end other daemons continue to avoid the runner. BeginCall reports whether
// that has to be published.
func (t *Table) BeginCall(now clock.Millis, runner string) bool {
	old, known := t.contacts.newest[runner]
	if !known || old.avoid == 0 || old.heard || old.avoided(now) {
		return false
	}
	t.publishContact(runner, contact{at: now, avoid: unreachableAvoidance})
	return true
}

// RecordContact records that a runner answered a call of this daemon that began at a time. It reports
// whether that has to be published: only if it contradicts a finding.
func (t *Table) RecordContact(now clock.Millis, runner string, startedAt clock.Millis) bool {
	c := &t.contacts
	c.reachedAt = now
	old, known := c.newest[runner]
	switch {
	case !known:
		return false
	case old.avoid > 0 && startedAt >= old.at:
	case old.contested && now-old.at >= disputeDuration/2:
	default:
		return false
	}
	t.publishContact(runner, contact{at: now})
	return true
}

// RecordEvent records that this daemon received an event from a runner. It proves that the runner works, but
// not that it accepts calls: a runner that is about to stop finishes its streams.
func (t *Table) RecordEvent(now clock.Millis, runner string) {
	c, known := t.contacts.newest[runner]
	if !known || c.avoid == 0 || c.heard || now-c.at <= heardSlack {
		return
	}
	c.heard = true
	t.contacts.newest[runner] = c
}

// Avoided lists the runners that this daemon doesn't call at present, nil if there are none.
func (t *Table) Avoided(now clock.Millis) map[string]bool {
	var avoided map[string]bool
	for runner, c := range t.contacts.newest {
		if !c.avoided(now) {
			continue
		}
		if avoided == nil {
			avoided = map[string]bool{}
		}
		avoided[runner] = true
	}
	return avoided
}

func (t *Table) publishContact(runner string, found contact) {
	t.setContact(runner, found, true)
	t.contacts.own.add(runner, found)
}

// setContact sets the newest finding. local is set if a daemon in the own data centre found it.
func (t *Table) setContact(runner string, found contact, local bool) {
	c := &t.contacts
	if found.avoid > 0 {
		spread := min(max(probeSpread*clock.Millis(c.daemons), minProbeSpread), maxProbeSpread)
		found.probeDelay = clock.Millis(c.draw() * float64(spread))
	}
	c.newest[runner] = found
	t.relayContact(runner, found, local)
}

// relayContact adds a finding of the own data centre to the next summary.
func (t *Table) relayContact(runner string, found contact, local bool) {
	if local && t.local.tracked() {
		t.contacts.local.add(runner, found)
	}
}

// applyContact applies another daemon's finding unless a newer one is known. Digests carry ages instead of
// times because clocks differ.
func (t *Table) applyContact(now clock.Millis, l *toucanhingev1.RunnerLoad, local bool) {
	if l.ContactAgeMs == nil {
		return
	}
	c := &t.contacts
	found := contact{at: now - clock.Millis(l.GetContactAgeMs()), avoid: min(clock.Millis(l.GetAvoidMs()), otherInstanceAvoidance)}
	if old, known := c.newest[l.GetRunner()]; known && old.at <= now {
		sameKind := old.avoid == found.avoid
		switch {
		case found.at <= old.at || sameKind && found.at-old.at < contactTolerance:
			return
		case found.avoid > 0 && old.disputes(found.at):
			old.contested = true
			c.newest[l.GetRunner()] = old
			t.relayContact(l.GetRunner(), found, local)
			return
		}
	}
	if !found.expired(now) {
		t.setContact(l.GetRunner(), found, local)
	}
}

// removeContacts forgets runners that were removed or restarted.
func (t *Table) removeContacts(runners []string) {
	for _, runner := range runners {
		delete(t.contacts.newest, runner)
		delete(t.contacts.own, runner)
		delete(t.contacts.local, runner)
	}
}

// pruneContacts removes expired findings, also those of runners that no list contains any more.
func (t *Table) pruneContacts(now clock.Millis) {
	c := &t.contacts
	if age := now - c.prunedAt; len(c.newest) == 0 || age >= 0 && age < unreachableAvoidance {
		return
	}
	c.prunedAt = now
	for runner, found := range c.newest {
		if found.expired(now) {
			delete(c.newest, runner)
		}
	}
}

// AddLocalContacts adds the new findings of the own data centre to the loads of a summary. Runners that
// aren't among them are added with their load, since an entry of a summary replaces the previous one.
func (t *Table) AddLocalContacts(now clock.Millis, loads []*toucanhingev1.RunnerLoad) []*toucanhingev1.RunnerLoad {
	if len(t.contacts.local) == 0 {
		return loads
	}
	byRunner := make(map[string]*toucanhingev1.RunnerLoad, len(loads))
	for _, l := range loads {
		byRunner[l.GetRunner()] = l
	}
	t.contacts.local.addTo(now, func(runner string) *toucanhingev1.RunnerLoad {
		l := byRunner[runner]
		if l == nil {
			if l = t.LocalLoad(now, runner); l == nil {
				l = &toucanhingev1.RunnerLoad{Runner: runner}
			}
			loads = append(loads, l)
		}
		return l
	})
	return loads
}
