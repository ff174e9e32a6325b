package partcrashes

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/crashes"
	"toucanhinge.example/common/pkg/lateruns"
	"toucanhinge.example/common/pkg/prompt"
)

// Config configures a Machine.
type Config struct {
	// Name is the name of this daemon. Daemons with different names start their trials at different times.
	Name string
}

// Machine decides from reports of crashes and from answers which parts of prompts to quarantine. A part that crashes
// runners is in the prompt of a run of each of its crashes, and no run with it is ever answered completely. The parts
// of other requests meet crashes too, but runs with them are answered in between. Machine holds no goroutine, socket or
// clock.
type Machine struct {
	config   Config
	suspects map[prompt.PartID]*suspect
	crashes  map[crashes.Crash]*crash
	// answers holds when the newest known complete answer began for the most recently answered parts, begins the same for
	// answers that may not be complete.
	answers  *simplelru.LRU[prompt.PartID, clock.Millis]
	begins   *simplelru.LRU[prompt.PartID, clock.Millis]
	outcomes outcomes
	// newestAnnounced is when the newest answer began that this or another daemon knows.
	newestAnnounced clock.Millis
	// newQuarantines holds the quarantines that this machine imposed and PopNewQuarantines hasn't returned yet.
	newQuarantines []crashes.Quarantine
}

// suspect is a part with which runs ended in crashes since the newest answer to a request with it.
type suspect struct {
	part      prompt.PartID
	sightings map[crashes.Crash]*sighting
	// answeredAt is when the newest known complete answer to a request with the part began, 0 if none is known. begunAt is
	// when the newest answer began that may not be complete.
	answeredAt, begunAt clock.Millis
	// otherAt is when the newest answer to a request of this daemon without the part began.
	otherAt clock.Millis
	crashes.QuarantineState
	// readyAt is when this daemon found that a trial may begin.
	readyAt clock.Millis
	// trialID identifies the newest trial, claimedAt is when this daemon announced it.
	trialID   uint64
	claimedAt clock.Millis
	updatedAt clock.Millis
}

// sighting is one crash under runs with a part.
type sighting struct {
	requests map[crashes.Fingerprint]bool
	// unanswered is set if one of the runs was unanswered, own if one was this daemon's.
	unanswered bool
	own        bool
}

// crash holds the suspects of one crash.
type crash struct {
	at       clock.Millis
	suspects map[prompt.PartID]bool
	// ownRuns counts the runs of this daemon, ownUnanswered those that were unanswered.
	ownRuns, ownUnanswered int
	// cause is the quarantined part that explains the crash, empty if there is none.
	cause prompt.PartID
}

// New returns a machine without suspects.
func New(config Config) *Machine {
	return &Machine{
		config: config, suspects: map[prompt.PartID]*suspect{}, crashes: map[crashes.Crash]*crash{}, answers: newTimes(), begins: newTimes(),
	}
}

// newTimes returns an empty table of the times of answers.
func newTimes() *simplelru.LRU[prompt.PartID, clock.Millis] {
	times, err := simplelru.NewLRU[prompt.PartID, clock.Millis](maxAnswers, nil)
	if err != nil {
		panic(fmt.Sprintf("create the table of answers: %v", err))
	}
	return times
}

// Empty reports whether no part is suspected or quarantined.
func (m *Machine) Empty() bool { return len(m.suspects) == 0 }

// AddReport applies the report of a run that ended with a crash, at this or another daemon. A duplicate changes
// nothing. It returns the parts against which the crash counts from now on.
func (m *Machine) AddReport(now clock.Millis, r Report) (counted []prompt.PartID) {
	if now-r.At > lateruns.Window {
		return nil
	}
	c := m.crash(now, r)
	if r.Own {
		m.outcomes.recordCrash(r.At, r.Unanswered)
		c.ownRuns++
		if r.Unanswered {
			c.ownUnanswered++
		}
	}
	for _, part := range r.Parts {
		if m.LastAnswer(part) < r.At && m.addSighting(now, c, part, r) {
			counted = append(counted, part)
		}
	}
	return counted
}

// runOf returns the run of a report. Runs that were no trials count once for each crash.
func runOf(r Report, c *crash) lateruns.Run {
	run := lateruns.Run{ID: r.Trial, At: c.at - r.Ran, CrashedAt: c.at}
	if run.ID == 0 {
		run.ID = xxhash.Sum64String(fmt.Sprint(r.Crash.Runner, " ", r.Crash.StartedAt))
	}
	return run
}

// addSighting adds a run with a part that ended with a crash, and reports whether the crash is new for the part.
func (m *Machine) addSighting(now clock.Millis, c *crash, part prompt.PartID, r Report) (isNew bool) {
	if !c.suspects[part] && len(c.suspects) >= maxSuspectsPerCrash {
		return false
	}
	s := m.suspect(now, part)
	c.suspects[part] = true
	found := s.sightings[r.Crash]
	if found == nil {
		found = &sighting{requests: map[crashes.Fingerprint]bool{}}
		s.sightings[r.Crash] = found
		s.updatedAt = max(s.updatedAt, c.at)
		m.addCrash(now, s, c, r.Own)
		isNew = true
	}
	if len(found.requests) < maxRequestsPerSighting {
		found.requests[r.Request] = true
	}
	found.unanswered = found.unanswered || r.Unanswered
	found.own = found.own || r.Own
	s.History.Add(runOf(r, c), knownCrashes)
	return isNew
}

// CrashCount returns the number of crashes under requests with a part since its newest complete answer.
func (m *Machine) CrashCount(part prompt.PartID) int {
	if s := m.suspects[part]; s != nil {
		return len(s.sightings)
	}
	return 0
}

// addCrash applies a further crash to the trial and the quarantine of a suspect. own is set if it ended a run of this
// daemon.
func (m *Machine) addCrash(now clock.Millis, s *suspect, c *crash, own bool) {
	if c.at > s.TrialUntil-trialTimeout {
		s.TrialUntil = 0
	}
	switch {
	case s.Quarantine.Count == 0:
	case c.at < s.Quarantine.Until:
		c.cause = s.part
	default:
		m.setQuarantine(s, nextQuarantine(now, s, s.Quarantine.Alone && !m.othersAnswered(s)))
		if own {
			// The other daemons that receive the report need not announce the same quarantine.
			m.newQuarantines = append(m.newQuarantines, s.Quarantine)
		}
	}
}

// crash returns the crash of a report, and creates it if needed.
func (m *Machine) crash(now clock.Millis, r Report) *crash {
	c := m.crashes[r.Crash]
	if c == nil {
		m.evictCrash(now)
		c = &crash{at: r.At, suspects: map[prompt.PartID]bool{}}
		m.crashes[r.Crash] = c
	}
	return c
}

// suspect returns the suspect of a part, and creates it if needed.
func (m *Machine) suspect(now clock.Millis, part prompt.PartID) *suspect {
	s := m.suspects[part]
	if s == nil {
		m.evictSuspect()
		s = &suspect{part: part, sightings: map[crashes.Crash]*sighting{}, answeredAt: m.LastAnswer(part), begunAt: m.LastBegin(part), updatedAt: now}
		m.suspects[part] = s
	}
	return s
}

// LateCount returns the number of late runs with a part within their window.
func (m *Machine) LateCount(now clock.Millis, part prompt.PartID) int {
	if s := m.suspects[part]; s != nil {
		return len(s.History.Late(now))
	}
	return 0
}

// Evaluate decides how to treat a request now, and imposes a quarantine if the evidence is sufficient. If the request
// becomes the trial of its suspected parts, or claims to, Evaluate returns the trials to announce to the other daemons; the
// request is the trial with their ID from then on. A request that is owed becomes a trial of a quarantined part now and then, as
// nothing else would clear a harmless one before the end of its quarantine.
func (m *Machine) Evaluate(now clock.Millis, c Candidate) (crashes.Verdict, []Trial) {
	worst, claims := crashes.Verdict{}, false
	var trials []Trial
	for _, part := range c.Parts {
		s := m.suspects[part]
		if s == nil {
			continue
		}
		d := m.evaluate(now, s, c)
		if d.verdict.Status > worst.Status || d.verdict.Status == worst.Status && d.verdict.Until > worst.Until {
			worst = d.verdict
		}
		claims = claims || d.claim
		if d.reason != "" {
			trials = append(trials, Trial{Part: part, At: now, ID: m.trialID(now, c), Claim: d.claim, Reason: d.reason})
		}
	}
	switch {
	case worst.Status != crashes.Allowed:
		return worst, nil
	case claims:
		return crashes.Verdict{Status: crashes.Delayed, Until: now + recheckInterval}, m.claim(trials)
	default:
		for _, t := range trials {
			m.beginTrial(t, c)
		}
		return worst, trials
	}
}

// decision is how to treat a request because of one part.
type decision struct {
	verdict crashes.Verdict
	// reason is set if the request must be the part's trial. claim is set if it must be announced first.
	reason TrialReason
	claim  bool
}

func allow() decision { return decision{} }

func delay(until clock.Millis) decision {
	return decision{verdict: crashes.Verdict{Status: crashes.Delayed, Until: until}}
}

func refuse(until clock.Millis) decision {
	return decision{verdict: crashes.Verdict{Status: crashes.Quarantined, Until: until}}
}

// evaluate decides how to treat a request because of one part.
func (m *Machine) evaluate(now clock.Millis, s *suspect, c Candidate) decision {
	if s.Quarantine.Count > 0 {
		return m.evaluateQuarantined(now, s, c)
	}
	if len(s.sightings) < minDelayedCrashes {
		return allow()
	}
	e := m.fullEvidence(s, now)
	crashRate := m.crashRates(now, s, e)
	if m.isBlamed(now, s, e, crashRate) {
		m.impose(s, nextQuarantine(now, s, !e.contrast))
		return m.evaluateQuarantined(now, s, c)
	}
	if spent, alone := m.isSpent(now, s, c); spent {
		m.impose(s, nextQuarantine(now, s, alone))
		return m.evaluateQuarantined(now, s, c)
	}
	if !m.needsTrial(now, s, c, e, crashRate) || c.Trial != 0 && s.TrialUntil > now {
		return allow()
	}
	if from := m.nextTrial(now, s, e); from > now {
		return delay(min(from, now+recheckInterval))
	}
	return decision{reason: TrialSuspected}
}
