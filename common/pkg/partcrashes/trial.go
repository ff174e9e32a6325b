package partcrashes

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/lateruns"
	"toucanhinge.example/common/pkg/prompt"
)

// Trials of suspected parts. From minDelayedCrashes on, one request with the part runs at a time in the whole fleet: a
// part that crashes runners crashes one more, and an answer ends the suspicion of any other part.
const (
	// minDelayedCrashes is the number of crashes from which on requests with the part are delayed.
	minDelayedCrashes = 2
	// minDelayedMoments is the number of moments with crashes from which on they are delayed although answers had begun.
	minDelayedMoments = 3
	// minDelayedRecent is this number for a part that was answered shortly before.
	minDelayedRecent = 6
	// maxDelayedChance is the maximum probability that all these runs ended in crashes if the part is harmless. While
	// runners crash often for other reasons, many harmless parts would be delayed.
	maxDelayedChance = 0.01
	// trialTimeout is how long the result of a trial is awaited.
	trialTimeout clock.Millis = 1_500
	// ownTrialSpread and trialSpread are the periods over which the daemons spread the starts of their trials, so that
	// one hears of another's trial before its own. The daemons whose runs ended in the newest crash go first: their
	// callers wait for a retry.
	ownTrialSpread clock.Millis = 80
	trialSpread    clock.Millis = 400
	// recheckInterval is how often a delayed request is evaluated again.
	recheckInterval clock.Millis = 30
)

// needsTrial reports whether requests with the part run one at a time. e is the evidence against it.
func (m *Machine) needsTrial(now clock.Millis, s *suspect, c Candidate, e evidence, crashRate rates) bool {
	switch {
	case e.requests < minRequests:
		return false
	case e.recent:
		settled := now - settleDelay
		e = m.evidence(s, settled)
		return e.requests >= minRequests && e.unbegun >= minDelayedRecent && m.leads(s, e, settled)
	case s.History.IsKnown(now) && e.all >= knownCrashes && isUnlikelyHarmless(s, c, e, crashRate):
		return true
	default:
		return e.unbegun >= minDelayedCrashes && !e.recentBegin && chance(crashRate.unanswered, e.unbegun) <= maxDelayedChance ||
			e.moments >= minDelayedMoments && e.all >= minBegun && e.contrast && chance(crashRate.any, e.independent()) <= maxDelayedChance
	}
}

// isUnlikelyHarmless reports whether few harmless parts meet the crashes. All requests of a caller share the first part, so
// that all its crashes are those of the runners if nothing else is answered.
func isUnlikelyHarmless(s *suspect, c Candidate, e evidence, crashRate rates) bool {
	if !e.contrast {
		return !c.startsWith(s)
	}
	return chance(crashRate.any, e.independent()) <= maxDelayedChance
}

// nextTrial returns the time from which on this daemon may start a trial of the part.
func (m *Machine) nextTrial(now clock.Millis, s *suspect, e evidence) clock.Millis {
	if s.TrialUntil > now {
		return s.TrialUntil
	}
	from := max(s.TrialUntil, e.newest+propagationDelay)
	draw := clock.Millis(xxhash.Sum64String(fmt.Sprint(m.config.Name, s.part, from)) >> 1)
	if e.own && e.newest+propagationDelay == from {
		return from + draw%ownTrialSpread
	}
	return from + ownTrialSpread + draw%trialSpread
}

// trialID returns the identifier of the trial that a request is or becomes now.
func (m *Machine) trialID(now clock.Millis, c Candidate) uint64 {
	if c.Trial != 0 {
		return c.Trial
	}
	return xxhash.Sum64String(fmt.Sprint(m.config.Name, now, c.Request)) | 1
}

// ApplyTrial applies a trial of this or another daemon, and reports whether it is new and its part is suspected here. Of several
// claims at the same time the one with the lowest ID goes first at all daemons.
func (m *Machine) ApplyTrial(t Trial) (isNew bool) {
	s := m.suspects[t.Part]
	if s == nil || s.trialID == t.ID {
		return false
	}
	if t.Claim && s.TrialUntil > t.At && s.trialID < t.ID {
		return false
	}
	s.TrialUntil, s.trialID, s.readyAt = max(s.TrialUntil, t.At+trialTimeout), t.ID, 0
	if !t.Claim {
		s.History.Add(lateruns.Run{ID: t.ID, At: t.At}, knownCrashes)
	}
	return true
}

// ReturnTrial records that a trial of this or another daemon reached no runner, so that another request may be tried at once.
func (m *Machine) ReturnTrial(part prompt.PartID, id uint64) {
	s := m.suspects[part]
	if s == nil {
		return
	}
	s.History.Return(id)
	if s.trialID == id {
		s.TrialUntil = 0
	}
}
