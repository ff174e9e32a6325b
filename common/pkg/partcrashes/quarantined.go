package partcrashes

import (
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/lateruns"
)

// Trials of quarantined parts.
const (
	// firstOwedTrial is the time after the beginning of a quarantine from which on a request that is owed tries the part. It
	// doubles with each further quarantine, up to maxOwedDoublings times.
	firstOwedTrial clock.Millis = 6_000
	// reservedTrial is how long the last trial is kept for the time when other requests are answered, if none was when the
	// part was quarantined.
	reservedTrial clock.Millis = 60 * 60_000
	// claimDelay is the time from the announcement of a trial until it begins, if no other daemon announces one that goes first.
	// Daemons that are ready at the same time would each let a request run.
	claimDelay clock.Millis = 200
)

const maxOwedDoublings = 10

// release tells from when on a quarantined part may be tried, as long as fewer late runs than allowed have begun.
type release struct {
	from    clock.Millis
	allowed int
	reason  TrialReason
}

// evaluateQuarantined decides how to treat a request because of a part that is or was quarantined.
func (m *Machine) evaluateQuarantined(now clock.Millis, s *suspect, c Candidate) decision {
	r := m.release(now, s, c)
	switch {
	case c.Trial != 0 && c.Trial == s.Quarantine.Trial:
		return allow()
	case c.Trial != 0 && c.Trial == s.trialID && s.TrialUntil > now:
		return decision{reason: r.reason, claim: now < s.claimedAt+claimDelay}
	case s.TrialUntil > now:
		return delay(min(s.TrialUntil, now+recheckInterval))
	}
	if from := max(r.from, s.History.Next(now, r.allowed)); from > now {
		return refuse(from)
	}
	if from := m.readyAt(now, s, r); from > now {
		return delay(min(from, now+recheckInterval))
	}
	return decision{reason: r.reason, claim: true}
}

// readyAt returns when this daemon may claim a trial: requests that wait for it at many daemons would all do so at once.
func (m *Machine) readyAt(now clock.Millis, s *suspect, r release) clock.Millis {
	if r.reason == TrialOwed {
		// One daemon sends them all.
		return now
	}
	if s.readyAt < r.from || s.readyAt+2*trialSpread < now {
		s.readyAt = now
	}
	draw := clock.Millis(xxhash.Sum64String(fmt.Sprint(m.config.Name, s.part, s.Quarantine.Until)) >> 1)
	return s.readyAt + draw%trialSpread
}

// release determines when a request with a quarantined part may be its trial. Where nothing else is answered, the runners
// may be the cause: the last trial is then kept until something is. All requests of a caller hold the first part of its
// prompts; where nothing else is answered they would all be refused for good, so that trials of a first part don't count.
func (m *Machine) release(now clock.Millis, s *suspect, c Candidate) release {
	q := s.Quarantine
	r := release{from: s.EndsAt(), allowed: lateruns.Max, reason: TrialAfterQuarantine}
	switch {
	case !q.Alone:
	case m.othersAnswered(s):
		r.reason = TrialOthersAnswered
	case c.startsWith(s):
		r.from, r.allowed = min(r.from, q.Since+initialAlone), math.MaxInt
	case now < q.Since+reservedTrial:
		r.allowed = lateruns.Max - 1
	}
	if owed := q.Since + firstOwedTrial<<min(q.Count-1, maxOwedDoublings); c.Owed && owed < r.from {
		r.from, r.reason = owed, TrialOwed
	}
	return r
}

// startsWith reports whether the part of a suspect is the first of the prompt.
func (c Candidate) startsWith(s *suspect) bool { return len(c.Parts) > 0 && c.Parts[0] == s.part }

// othersAnswered reports whether a request without a quarantined part was answered since its quarantine began.
func (m *Machine) othersAnswered(s *suspect) bool {
	return max(s.otherAt, m.elsewhereAt(s)) > s.Quarantine.Since
}

// claim announces trials of quarantined parts, and returns the new ones.
func (m *Machine) claim(trials []Trial) (announced []Trial) {
	for _, t := range trials {
		s := m.suspects[t.Part]
		if !t.Claim || s.trialID == t.ID {
			continue
		}
		m.ApplyTrial(t)
		s.claimedAt = t.At
		announced = append(announced, t)
	}
	return announced
}

// beginTrial records a trial of this daemon. The next quarantine of a quarantined part begins with it, so that a trial without a
// result doesn't lead to another one at once; a complete answer ends it.
func (m *Machine) beginTrial(t Trial, c Candidate) {
	s := m.suspects[t.Part]
	if s.Quarantine.Trial == t.ID {
		return
	}
	excused := s.Quarantine.Alone && c.startsWith(s) && !m.othersAnswered(s)
	if s.Quarantine.Count > 0 {
		next := nextQuarantine(t.At, s, s.Quarantine.Alone && !m.othersAnswered(s))
		next.Trial = t.ID
		m.setQuarantine(s, next)
	}
	s.TrialUntil, s.trialID, s.readyAt = t.At+trialTimeout, t.ID, 0
	s.History.Add(lateruns.Run{ID: t.ID, At: t.At, Excused: excused}, knownCrashes)
	if s.Quarantine.Count > 0 {
		m.newQuarantines = append(m.newQuarantines, s.Record())
	}
}
