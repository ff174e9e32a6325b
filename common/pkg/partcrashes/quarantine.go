package partcrashes

import (
	"cmp"
	"slices"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/crashes"
	"toucanhinge.example/common/pkg/lateruns"
	"toucanhinge.example/common/pkg/prompt"
)

// Quarantine durations.
const (
	// initialQuarantine is the duration of a part's first quarantine. At its end one request finds out whether the part
	// still crashes runners.
	initialQuarantine clock.Millis = 60_000
	// initialAlone is this duration if no other request was answered meanwhile. Then the cause may be the runners
	// themselves, and all requests would be refused for long. maxAlone limits the further ones.
	initialAlone clock.Millis = 5_000
	maxAlone     clock.Millis = 60_000
	// recentCrash is how long gossip includes every crash, for daemons that missed its broadcast.
	recentCrash clock.Millis = 5_000
)

// nextQuarantine returns the next quarantine of a suspect. alone is set if no other request was answered meanwhile.
func nextQuarantine(now clock.Millis, s *suspect, alone bool) crashes.Quarantine {
	count := s.Quarantine.Count + 1
	duration := crashes.QuarantineDuration(initialQuarantine, count)
	if alone {
		duration = min(crashes.QuarantineDuration(initialAlone, count), maxAlone)
	}
	return crashes.Quarantine{Part: s.part, Since: now, Until: now + duration, Count: count, Alone: alone}
}

// impose sets a quarantine that this daemon decided on, for its announcement.
func (m *Machine) impose(s *suspect, quarantine crashes.Quarantine) {
	m.setQuarantine(s, quarantine)
	m.newQuarantines = append(m.newQuarantines, s.Record())
}

// setQuarantine sets the quarantine of a suspect and marks the suspect as the cause of its crashes.
func (m *Machine) setQuarantine(s *suspect, quarantine crashes.Quarantine) {
	s.Quarantine, s.TrialUntil, s.readyAt = quarantine, 0, 0
	s.updatedAt = max(s.updatedAt, quarantine.Until)
	for id := range s.sightings {
		m.crashes[id].cause = s.part
	}
}

// PopNewQuarantines returns the quarantines that this machine imposed since the last call.
func (m *Machine) PopNewQuarantines() []crashes.Quarantine {
	list := m.newQuarantines
	m.newQuarantines = nil
	return list
}

// ApplyQuarantine applies a quarantine that another daemon imposed, and reports whether it is news.
func (m *Machine) ApplyQuarantine(now clock.Millis, quarantine crashes.Quarantine) bool {
	quarantine.Until = min(quarantine.Until, now+crashes.MaxQuarantine)
	if now-quarantine.Until > lateruns.Window || m.LastAnswer(quarantine.Part)+propagationDelay >= quarantine.Since {
		return false
	}
	s := m.suspect(now, quarantine.Part)
	if !s.Merge(quarantine, knownCrashes) {
		return false
	}
	isNew := s.Quarantine.Count < quarantine.Count
	repeated := !isNew && s.Quarantine.Trial == quarantine.Trial
	trialUntil, readyAt := s.TrialUntil, s.readyAt
	m.setQuarantine(s, quarantine)
	switch {
	case repeated:
		// A trial that was announced since the quarantine began goes on.
		s.TrialUntil, s.readyAt = trialUntil, readyAt
	case quarantine.Trial != 0:
		// The trial that began the quarantine may still run. Claims of others are void.
		s.TrialUntil, s.trialID = trialUntil, quarantine.Trial
	}
	return isNew
}

// Quarantines lists the quarantines in force, and the ended ones whose parts haven't been answered since: what may still
// run follows from their histories.
func (m *Machine) Quarantines() []crashes.Quarantine {
	var list []crashes.Quarantine
	for _, s := range m.suspects {
		if s.Quarantine.Count > 0 {
			list = append(list, s.Record())
		}
	}
	return list
}

// InForce counts the quarantines in force.
func (m *Machine) InForce(now clock.Millis) (count int) {
	for _, s := range m.suspects {
		if s.InForce(now) {
			count++
		}
	}
	return count
}

// Reports lists the newest reports of crashes that no quarantined part explains, up to limit: those of recent crashes,
// and those of suspects with more than one crash. Each names one request and its suspected parts.
func (m *Machine) Reports(now clock.Millis, limit int) []Report {
	var list []Report
	for id, c := range m.crashes {
		if c.cause == "" {
			list = append(list, m.reportsOf(now, id, c)...)
		}
	}
	slices.SortFunc(list, func(a, b Report) int { return cmp.Compare(b.At, a.At) })
	return list[:min(len(list), limit)]
}

func (m *Machine) reportsOf(now clock.Millis, id crashes.Crash, c *crash) []Report {
	type run struct {
		request    crashes.Fingerprint
		unanswered bool
	}
	parts := map[run][]prompt.PartID{}
	for part := range c.suspects {
		s := m.suspects[part]
		if now-c.at > recentCrash && len(s.sightings) < minDelayedCrashes {
			continue
		}
		for request := range s.sightings[id].requests {
			r := run{request, s.sightings[id].unanswered}
			parts[r] = append(parts[r], part)
		}
	}
	var list []Report
	for r, shared := range parts {
		list = append(list, Report{Crash: id, Request: r.request, Parts: shared, Unanswered: r.unanswered, At: c.at})
	}
	return list
}
