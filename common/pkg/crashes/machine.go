package crashes

import "toucanhinge.example/common/pkg/clock"

// How long a request in doubt rests.
const (
	// doubtful is the number of silent crashes from which on a request rests between two
	// runs. Where runners crash in a row, for whatever reason, a request that goes on at once
	// meets the next crash; what crashes its runner in a quiet moment is the cause.
	doubtful = 2
	// rest is how long a doubtful request rests after its last crash, quiet how long after
	// any crash, and longestRest the longest for both: clients of streams wait for two seconds.
	rest        clock.Millis = 500
	quiet       clock.Millis = 300
	longestRest clock.Millis = 1_500
)

// Status says what is thought of a request.
type Status int

// Standings.
const (
	// Allowed requests run as any.
	Allowed Status = iota
	// Delayed ones wait a moment: what is known of their last crash isn't complete.
	Delayed
	// Quarantined ones aren't run.
	Quarantined
)

// Verdict is a standing and when it ends, 0 for never.
type Verdict struct {
	Status Status
	Until    clock.Millis
}

// suspect is a request that was running when a runner crashed.
type suspect struct {
	content Fingerprint
	crashes map[Crash]bool
	touched clock.Millis
	// quarantine is the newest; its Terms is 0 if there was none.
	quarantine Quarantine
}

// crash is what is known of one crash.
type crash struct {
	at       clock.Millis
	suspects map[Fingerprint]Phase
	// blamed is the quarantined request that explains the crash.
	blamed bool
	cause  Fingerprint
}

// Machine weighs crashes. The load that it answers: a request that crashes each runner
// that begins to run it, sent again under other ids at any gateway some 70 ms after each
// answer, while eight to sixteen sound requests share each of its runners and are sent
// again too. It holds no goroutine, socket or clock.
type Machine struct {
	suspects map[Fingerprint]*suspect
	crashes  map[Crash]*crash
	cleared  map[Fingerprint]clock.Millis
	// newest is when the newest crash was.
	newest clock.Millis
	// runners is the size of the fleet, 0 if it isn't known.
	runners int
	// found are quarantines that this machine found due, still to be told.
	found []Quarantine
}

// New makes a machine that knows of no crash.
func New() *Machine {
	return &Machine{suspects: map[Fingerprint]*suspect{}, crashes: map[Crash]*crash{}, cleared: map[Fingerprint]clock.Millis{}}
}

// SetRunnerCount tells the size of the fleet.
func (m *Machine) SetRunnerCount(runners int) { m.runners = runners }

// KnowsCrash says whether a crash was sighted before.
func (m *Machine) KnowsCrash(at Crash) bool { return m.crashes[at] != nil }

// Empty says whether no request is suspected: all are sound.
func (m *Machine) Empty() bool { return len(m.suspects) == 0 }

// IsSuspect says whether anything is held against a request.
func (m *Machine) IsSuspect(content Fingerprint) bool { return m.suspects[content] != nil }

// AddReport takes up a run that ended with a crash, here or at another gateway; one that was
// taken up before changes nothing. A late run only tells of the crash.
func (m *Machine) AddReport(now clock.Millis, s Report) {
	if now-s.At > memory {
		return
	}
	c := m.crashes[s.Crash]
	if c == nil {
		m.roomForCrash(now)
		c = &crash{at: s.At, suspects: map[Fingerprint]Phase{}}
		m.crashes[s.Crash] = c
		m.newest = max(m.newest, s.At)
	}
	if s.Phase != Early && s.Phase != BeforeFirstEvent || m.cleared[s.Fingerprint] > 0 && m.cleared[s.Fingerprint] >= s.At {
		return
	}
	if c.suspects[s.Fingerprint] > 0 || len(c.suspects) >= mostSuspects {
		return
	}
	c.suspects[s.Fingerprint] = s.Phase
	q := m.suspect(now, s.Fingerprint)
	q.crashes[s.Crash] = true
	q.touched = max(q.touched, s.At)
	switch {
	case q.quarantine.Count == 0:
	case c.at < q.quarantine.Until:
		m.blame(q, c)
	default:
		// It was tried again after its quarantine, and crashed its runner again.
		m.quarantine(now, q)
	}
}

func (m *Machine) suspect(now clock.Millis, content Fingerprint) *suspect {
	q := m.suspects[content]
	if q == nil {
		m.roomForSuspect()
		q = &suspect{content: content, crashes: map[Crash]bool{}, touched: now}
		m.suspects[content] = q
	}
	return q
}

// Evaluate says what is thought of a request now.
func (m *Machine) Evaluate(now clock.Millis, content Fingerprint) Verdict {
	q := m.suspects[content]
	if q == nil {
		return Verdict{}
	}
	if q.quarantine.Until > now {
		return Verdict{Quarantined, q.quarantine.Until}
	}
	e := m.evidence(now, q)
	if e.proves(m.needed(now, q)) {
		m.quarantine(now, q)
		return Verdict{Quarantined, q.quarantine.Until}
	}
	if e.silent < doubtful && e.all <= doubtful {
		return Verdict{}
	}
	until := min(max(e.newest+rest, m.newest+quiet), e.newest+longestRest)
	if until > now {
		return Verdict{Delayed, until}
	}
	return Verdict{}
}

// Clear forgets all that was held against a request: it has run without a crash.
func (m *Machine) Clear(now clock.Millis, told Clearance) {
	q := m.suspects[told.Fingerprint]
	if q == nil || q.quarantine.Since > told.At+settle {
		return
	}
	if len(m.cleared) < mostContents {
		m.cleared[told.Fingerprint] = max(m.cleared[told.Fingerprint], told.At)
	}
	kept := 0
	for at := range q.crashes {
		c := m.crashes[at]
		if c.at > told.At {
			kept++
			continue
		}
		m.drop(q, at)
	}
	q.quarantine = Quarantine{}
	if kept == 0 {
		delete(m.suspects, told.Fingerprint)
	}
	for content, at := range m.cleared {
		if now-at > clearedFor {
			delete(m.cleared, content)
		}
	}
}

// drop takes a request out of a crash.
func (m *Machine) drop(q *suspect, at Crash) {
	c := m.crashes[at]
	delete(c.suspects, q.content)
	delete(q.crashes, at)
	if c.blamed && c.cause == q.content {
		c.blamed = false
	}
}
