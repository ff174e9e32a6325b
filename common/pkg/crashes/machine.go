package crashes

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/lateruns"
)

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
	// trialTimeout is how long the result of the run at the end of a quarantine is awaited, trialSpread the time over which the
	// daemons spread it.
	trialTimeout clock.Millis = 1_500
	trialSpread  clock.Millis = 400
	// recheckInterval is how often a request that waits for such a run is evaluated again.
	recheckInterval clock.Millis = 30
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
	QuarantineState
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

// Config configures a Machine.
type Config struct {
	// Name is the name of this daemon. Daemons with different names start their trials at different times.
	Name string
}

// Machine decides from crash reports which requests to quarantine. It is designed for a request that
// crashes every runner that starts it, however long after, and that callers retry with new ids at any gateway about
// 70 ms after each error. Only a complete answer clears a request. Eight to sixteen harmless requests share each of these runners and are
// retried too. Machine holds no goroutine, socket or clock.
type Machine struct {
	config   Config
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
func New(config Config) *Machine {
	return &Machine{config: config, suspects: map[Fingerprint]*suspect{}, crashes: map[Crash]*crash{}, cleared: map[Fingerprint]clock.Millis{}}
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
	if now-r.At > lateruns.Window {
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
	s.History.Add(runOf(r), knownCrashes)
	if r.At > s.TrialUntil-trialTimeout {
		s.TrialUntil = 0
	}
	switch {
	case s.Quarantine.Count == 0:
	case c.at < s.Quarantine.Until:
		m.explain(s, c)
	default:
		// The request ran again after its quarantine and crashed its runner again.
		m.quarantine(now, s, 0)
	}
}

// runOf returns the run of a report.
func runOf(r Report) lateruns.Run {
	run := lateruns.Run{ID: r.Trial, At: r.At - r.Ran, CrashedAt: r.At}
	if run.ID == 0 {
		run.ID = xxhash.Sum64String(fmt.Sprint(r.Crash.Runner, " ", r.Crash.StartedAt))
	}
	return run
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
// sufficient. trial identifies the trial that the request is, 0 if it is none. If it becomes the trial at the end of its
// quarantine now, Evaluate returns its identifier.
func (m *Machine) Evaluate(now clock.Millis, fingerprint Fingerprint, trial uint64) (Verdict, uint64) {
	s := m.suspects[fingerprint]
	if s == nil {
		return Verdict{}, trial
	}
	if s.Quarantine.Count > 0 {
		return m.evaluateQuarantined(now, s, trial)
	}
	e := m.evidence(now, s)
	if e.sufficient() || e.isSpent(len(s.History.Late(now))) {
		m.quarantine(now, s, 0)
		return m.evaluateQuarantined(now, s, trial)
	}
	if e.silent < minDelayedCrashes && len(e.all) <= minDelayedCrashes {
		return Verdict{}, trial
	}
	until := min(max(e.newest+delayAfterOwnCrash, m.newest+delayAfterAnyCrash), e.newest+maxDelay)
	if until > now {
		return Verdict{Delayed, until}, trial
	}
	return Verdict{}, trial
}

// evaluateQuarantined decides how to treat a request that is or was quarantined.
func (m *Machine) evaluateQuarantined(now clock.Millis, s *suspect, trial uint64) (Verdict, uint64) {
	q := s.Quarantine
	if trial != 0 && trial == q.Trial {
		return Verdict{}, trial
	}
	if s.TrialUntil > now {
		return Verdict{Delayed, min(s.TrialUntil, now+recheckInterval)}, trial
	}
	from := max(s.EndsAt(), s.History.Next(now, lateruns.Max))
	if from > now {
		return Verdict{Quarantined, from}, trial
	}
	if from += m.trialDelay(s); from > now {
		return Verdict{Delayed, min(from, now+recheckInterval)}, trial
	}
	return Verdict{}, m.beginTrial(now, s)
}

// trialDelay returns how long this daemon leaves the trial at the end of a quarantine to others.
func (m *Machine) trialDelay(s *suspect) clock.Millis {
	draw := clock.Millis(xxhash.Sum64String(fmt.Sprint(m.config.Name, s.fingerprint, s.Quarantine.Count)) >> 1)
	return draw % trialSpread
}

// beginTrial lets a request run at the end of its quarantine. The next one begins with it, so that a trial without a result doesn't
// lead to another one at once; a complete answer ends it.
func (m *Machine) beginTrial(now clock.Millis, s *suspect) (id uint64) {
	id = xxhash.Sum64String(fmt.Sprint(m.config.Name, now, s.fingerprint)) | 1
	s.History.Add(lateruns.Run{ID: id, At: now}, knownCrashes)
	m.quarantine(now, s, id)
	s.TrialUntil = now + trialTimeout
	return id
}

// ReturnTrial records that a trial of this or another daemon reached no runner, so that another one may begin at once.
func (m *Machine) ReturnTrial(fingerprint Fingerprint, id uint64) {
	s := m.suspects[fingerprint]
	if s == nil {
		return
	}
	s.History.Return(id)
	if s.Quarantine.Trial == id {
		s.TrialUntil = 0
	}
}

// LateCount returns the number of late runs of a request within their window.
func (m *Machine) LateCount(now clock.Millis, fingerprint Fingerprint) int {
	if s := m.suspects[fingerprint]; s != nil {
		return len(s.History.Late(now))
	}
	return 0
}

// Clear removes the evidence against a request that ran without a crash.
func (m *Machine) Clear(now clock.Millis, clearance Clearance) {
	s := m.suspects[clearance.Fingerprint]
	if s == nil || s.Quarantine.Since > clearance.At+propagationDelay {
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
	s.Lift(clearance.At, knownCrashes)
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
