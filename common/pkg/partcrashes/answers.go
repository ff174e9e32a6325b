package partcrashes

import (
	"slices"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/prompt"
)

// RecordBegin records that a runner began at a time to answer a request of this daemon with these parts and hasn't crashed
// shortly after. It returns the answers that the other daemons need because they suspect the parts.
func (m *Machine) RecordBegin(parts []prompt.PartID, at clock.Millis) []Answer {
	m.outcomes.recordAnswer(at)
	return m.recordAnswer(parts, Answer{At: at})
}

// RecordAnswer records that a request of this daemon with these parts was answered completely. It returns the answers that
// the other daemons need because they suspect the parts.
func (m *Machine) RecordAnswer(parts []prompt.PartID, at clock.Millis) []Answer {
	return m.recordAnswer(parts, Answer{At: at, Whole: true})
}

func (m *Machine) recordAnswer(parts []prompt.PartID, a Answer) []Answer {
	for part, s := range m.suspects {
		if !slices.Contains(parts, part) {
			s.otherAt = max(s.otherAt, a.At)
		}
	}
	var answers []Answer
	needed := false
	for _, part := range parts {
		s := m.suspects[part]
		needed = needed || s != nil && (len(s.sightings) >= minDelayedCrashes || s.Quarantine.Count > 0)
		answers = append(answers, Answer{Part: part, At: a.At, Whole: a.Whole})
	}
	for _, a := range answers {
		m.ApplyAnswer(a)
	}
	if !needed {
		return nil
	}
	// All parts are announced: for a suspect that isn't among them, this is an answer to a request without it.
	return answers
}

// ApplyAnswer applies an answer that this or another daemon received, and reports whether it ended a quarantine.
func (m *Machine) ApplyAnswer(a Answer) (cleared bool) {
	m.newestAnnounced = max(m.newestAnnounced, a.At)
	if !a.Whole {
		m.applyBegin(a)
		return false
	}
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
	m.voidSightings(s, a.At)
	s.History.Forget(a.At, knownCrashes)
	if s.Quarantine.Count > 0 && (a.At+propagationDelay >= s.Quarantine.Since || hadSightings && len(s.sightings) == 0) {
		cleared = true
		s.Lift(a.At, knownCrashes)
	}
	if len(s.sightings) == 0 && s.Quarantine.Count == 0 {
		delete(m.suspects, a.Part)
	}
	return cleared
}

// applyBegin applies an answer that has only begun. It speaks for parts that were answered completely not long ago: runners
// often crash for other reasons under parts that most requests have, and their next complete answer takes long. Requests
// with another suspected part no longer wait for each other if its runs crash only before they answer.
func (m *Machine) applyBegin(a Answer) {
	if a.At <= m.LastBegin(a.Part) {
		return
	}
	m.begins.Add(a.Part, a.At)
	s := m.suspects[a.Part]
	if s == nil {
		return
	}
	s.begunAt = a.At
	if s.answeredAt == 0 || a.At-s.answeredAt >= recentAnswer || s.Quarantine.Count > 0 {
		return
	}
	m.voidSightings(s, a.At)
	s.History.Forget(a.At, knownCrashes)
	if len(s.sightings) == 0 {
		delete(m.suspects, a.Part)
	}
}

// voidSightings removes the crashes up to a time from the evidence against a suspect.
func (m *Machine) voidSightings(s *suspect, until clock.Millis) {
	for id := range s.sightings {
		if m.crashes[id].at <= until {
			m.removeSighting(s, id)
		}
	}
}

// elsewhereAt returns when the newest answer began that another daemon announced for requests without a suspect, 0 if none is
// known. An answer to a request with the suspect is announced for it, too.
func (m *Machine) elsewhereAt(s *suspect) clock.Millis {
	if m.newestAnnounced <= max(s.begunAt, s.answeredAt) {
		return 0
	}
	return m.newestAnnounced
}

// LastAnswer returns when the newest known complete answer to a request with a part began, 0 if none is known.
func (m *Machine) LastAnswer(part prompt.PartID) clock.Millis {
	if s := m.suspects[part]; s != nil && s.answeredAt > 0 {
		return s.answeredAt
	}
	at, _ := m.answers.Peek(part)
	return at
}

// LastBegin returns when the newest known answer to a request with a part began, complete or not, 0 if none is known.
func (m *Machine) LastBegin(part prompt.PartID) clock.Millis {
	if s := m.suspects[part]; s != nil && s.begunAt > 0 {
		return s.begunAt
	}
	at, _ := m.begins.Peek(part)
	return at
}

// UnknownAnswers returns the answers that speak for the parts of another daemon's report and that it doesn't know.
// reported are the answers that it knows.
func (m *Machine) UnknownAnswers(r Report, reported []Answer) []Answer {
	var list []Answer
	for _, part := range r.Parts {
		for _, own := range []Answer{{Part: part, At: m.LastAnswer(part), Whole: true}, {Part: part, At: m.LastBegin(part)}} {
			known := clock.Millis(0)
			for _, a := range reported {
				if a.Part == part && a.Whole == own.Whole {
					known = a.At
				}
			}
			if own.At > known && r.At-own.At < recentAnswer && r.At-known > recentAnswer/2 {
				list = append(list, own)
			}
		}
	}
	return list
}

// KnownAnswers returns the newest known answers to requests with the parts of a report.
func (m *Machine) KnownAnswers(r Report) []Answer {
	var list []Answer
	for _, part := range r.Parts {
		if at := m.LastAnswer(part); at > 0 {
			list = append(list, Answer{Part: part, At: at, Whole: true})
		}
		if at := m.LastBegin(part); at > 0 {
			list = append(list, Answer{Part: part, At: at})
		}
	}
	return list
}
