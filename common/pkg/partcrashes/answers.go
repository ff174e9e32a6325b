package partcrashes

import (
	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/crashes"
	"toucanhinge.example/common/pkg/prompt"
)

// RecordAnswer records that a runner answered a request of this daemon with these parts. It returns the answers that
// the other daemons need because they suspect the parts.
func (m *Machine) RecordAnswer(parts []prompt.PartID, at clock.Millis) []Answer {
	m.newestAnswer = max(m.newestAnswer, at)
	m.outcomes.record(at, false)
	var needed []Answer
	for _, part := range parts {
		a := Answer{Part: part, At: at}
		if s := m.suspects[part]; s != nil && (len(s.sightings) >= minDelayedCrashes || s.quarantine.Count > 0) {
			needed = append(needed, a)
		}
		m.ApplyAnswer(a)
	}
	return needed
}

// ApplyAnswer applies an answer that this or another daemon received, and reports whether it ended a quarantine.
func (m *Machine) ApplyAnswer(a Answer) (cleared bool) {
	m.newestAnswer = max(m.newestAnswer, a.At)
	if a.At <= m.LastAnswer(a.Part) {
		return false
	}
	m.answers.Add(a.Part, a.At)
	s := m.suspects[a.Part]
	if s == nil {
		return false
	}
	s.answeredAt = a.At
	hadSightings := len(s.sightings) > 0
	for id := range s.sightings {
		if m.crashes[id].at <= a.At {
			m.removeSighting(s, id)
		}
	}
	if s.quarantine.Count > 0 && (a.At+propagationDelay >= s.quarantine.Since || hadSightings && len(s.sightings) == 0) {
		cleared = true
		s.quarantine, s.trialUntil = crashes.Quarantine{}, 0
	}
	if len(s.sightings) == 0 && s.quarantine.Count == 0 {
		delete(m.suspects, a.Part)
	}
	return cleared
}

// LastAnswer returns the time of the newest known answer to a request with a part, 0 if none is known.
func (m *Machine) LastAnswer(part prompt.PartID) clock.Millis {
	if s := m.suspects[part]; s != nil && s.answeredAt > 0 {
		return s.answeredAt
	}
	at, _ := m.answers.Peek(part)
	return at
}

// UnknownAnswers returns the answers that speak for the parts of another daemon's report and that it doesn't know.
// reported are the answers that it knows.
func (m *Machine) UnknownAnswers(r Report, reported map[prompt.PartID]clock.Millis) []Answer {
	var list []Answer
	for _, part := range r.Parts {
		own := m.LastAnswer(part)
		if own > reported[part] && r.At-own < recentAnswer && r.At-reported[part] > recentAnswer/2 {
			list = append(list, Answer{Part: part, At: own})
		}
	}
	return list
}
