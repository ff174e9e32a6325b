package crashes

import "toucanhinge.example/common/pkg/clock"

// Delays of suspected requests.
const (
	// minDelayedCrashes is the number of crashes before the first event from which a request is
	// delayed between two runs. While runners crash in a row, an immediate retry would meet the
	// next crash. A runner that crashes after a period without crashes points to the request.
	minDelayedCrashes = 2
	// delayAfterOwnCrash is the delay after the last crash of the request, delayAfterAnyCrash the
	// delay after any crash. maxDelay limits both, because clients of streams wait two seconds.
	delayAfterOwnCrash clock.Millis = 500
	delayAfterAnyCrash clock.Millis = 300
	maxDelay           clock.Millis = 1_500
)

// Status is the treatment of a request.
type Status int

// Statuses of a request.
const (
	// Allowed requests run without restriction.
	Allowed Status = iota
	// Delayed requests wait briefly, because the reports of their last crash may be incomplete.
	Delayed
	// Quarantined requests are refused.
	Quarantined
)

// Verdict is a status and the time at which it ends, 0 for never.
type Verdict struct {
	Status Status
	Until  clock.Millis
}

// suspect is a request that was running when a runner crashed.
type suspect struct {
	fingerprint Fingerprint
	crashes     map[Crash]bool
	updatedAt   clock.Millis
	// quarantine is the newest quarantine. Its Count is 0 if there was none.
	quarantine Quarantine
}

// sighting is a run of a suspect that ended with a crash.
type sighting struct {
	phase Phase
	// exposure is how long the run could meet a crash by chance.
	exposure clock.Millis
}

// crash holds the suspects of one crash.
type crash struct {
	at       clock.Millis
	suspects map[Fingerprint]sighting
	// explained is set if a quarantined request, cause, explains the crash.
	explained bool
	cause     Fingerprint
}

// Machine decides from crash reports which requests to quarantine. It is designed for a request that
// crashes every runner that starts it, however long after, and that callers retry with new ids at any gateway about
// 70 ms after each error. Only a complete answer clears a request. Eight to sixteen harmless requests share each of these runners and are
// retried too. Machine holds no goroutine, socket or clock.
type Machine struct {
	suspects map[Fingerprint]*suspect
	crashes  map[Crash]*crash
	cleared  map[Fingerprint]clock.Millis
	// newest is the time of the newest crash.
	newest clock.Millis
	// runnerCount is the number of runners in the fleet, 0 if unknown.
	runnerCount int
	// newQuarantines holds the quarantines that this machine imposed and PopNewQuarantines hasn't
	// returned yet.
	newQuarantines []Quarantine
}

// New returns a machine without suspects.
func New() *Machine {
	return &Machine{suspects: map[Fingerprint]*suspect{}, crashes: map[Crash]*crash{}, cleared: map[Fingerprint]clock.Millis{}}
}

// SetRunnerCount sets the number of runners in the fleet.
func (m *Machine) SetRunnerCount(count int) { m.runnerCount = count }

// KnowsCrash reports whether a crash was reported before.
func (m *Machine) KnowsCrash(id Crash) bool { return m.crashes[id] != nil }

// Empty reports whether there is no suspected request.
func (m *Machine) Empty() bool { return len(m.suspects) == 0 }

// IsSuspect reports whether a request is suspected or quarantined.
func (m *Machine) IsSuspect(fingerprint Fingerprint) bool { return m.suspects[fingerprint] != nil }

// AddReport applies the report of a run that ended with a crash, at this or another gateway. A
// duplicate changes nothing. The report of an unsuspected run adds the crash but no suspect.
func (m *Machine) AddReport(now clock.Millis, r Report) {
	if now-r.At > retention {
		return
	}
	c := m.crashes[r.Crash]
	if c == nil {
		m.evictCrash(now)
		c = &crash{at: r.At, suspects: map[Fingerprint]sighting{}}
		m.crashes[r.Crash] = c
		m.newest = max(m.newest, r.At)
	}
	if r.Phase != Answering && r.Phase != BeforeFirstEvent || m.cleared[r.Fingerprint] > 0 && m.cleared[r.Fingerprint] >= r.At {
		return
	}
	if _, known := c.suspects[r.Fingerprint]; known || len(c.suspects) >= maxSuspectsPerCrash {
		return
	}
	c.suspects[r.Fingerprint] = sighting{phase: r.Phase, exposure: max(r.Ran, minExposure)}
	s := m.suspect(now, r.Fingerprint)
	s.crashes[r.Crash] = true
	s.updatedAt = max(s.updatedAt, r.At)
	switch {
	case s.quarantine.Count == 0:
	case c.at < s.quarantine.Until:
		m.explain(s, c)
	default:
		// The request ran again after its quarantine and crashed its runner again.
		m.quarantine(now, s)
	}
}

// suspect returns the suspect with a fingerprint, and creates it if needed.
func (m *Machine) suspect(now clock.Millis, fingerprint Fingerprint) *suspect {
	s := m.suspects[fingerprint]
	if s == nil {
		m.evictSuspect()
		s = &suspect{fingerprint: fingerprint, crashes: map[Crash]bool{}, updatedAt: now}
		m.suspects[fingerprint] = s
	}
	return s
}

// Evaluate decides how to treat a request now, and imposes a quarantine if the evidence is
// sufficient.
func (m *Machine) Evaluate(now clock.Millis, fingerprint Fingerprint) Verdict {
	s := m.suspects[fingerprint]
	if s == nil {
		return Verdict{}
	}
	if s.quarantine.Until > now {
		return Verdict{Quarantined, s.quarantine.Until}
	}
	e := m.evidence(now, s)
	if e.sufficient() {
		m.quarantine(now, s)
		return Verdict{Quarantined, s.quarantine.Until}
	}
	if e.silent < minDelayedCrashes && len(e.all) <= minDelayedCrashes {
		return Verdict{}
	}
	until := min(max(e.newest+delayAfterOwnCrash, m.newest+delayAfterAnyCrash), e.newest+maxDelay)
	if until > now {
		return Verdict{Delayed, until}
	}
	return Verdict{}
}

// Clear removes the evidence against a request that ran without a crash.
func (m *Machine) Clear(now clock.Millis, clearance Clearance) {
	s := m.suspects[clearance.Fingerprint]
	if s == nil || s.quarantine.Since > clearance.At+propagationDelay {
		return
	}
	if len(m.cleared) < maxSuspects {
		m.cleared[clearance.Fingerprint] = max(m.cleared[clearance.Fingerprint], clearance.At)
	}
	remaining := 0
	for id := range s.crashes {
		c := m.crashes[id]
		if c.at > clearance.At {
			remaining++
			continue
		}
		m.removeFromCrash(s, id)
	}
	s.quarantine = Quarantine{}
	if remaining == 0 {
		delete(m.suspects, clearance.Fingerprint)
	}
	for fingerprint, at := range m.cleared {
		if now-at > clearedRetention {
			delete(m.cleared, fingerprint)
		}
	}
}

// removeFromCrash removes a request from the suspects of a crash.
func (m *Machine) removeFromCrash(s *suspect, id Crash) {
	c := m.crashes[id]
	delete(c.suspects, s.fingerprint)
	delete(s.crashes, id)
	if c.explained && c.cause == s.fingerprint {
		c.explained = false
	}
}
