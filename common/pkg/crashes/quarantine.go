package crashes

import (
	"cmp"
	"slices"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/lateruns"
	"toucanhinge.example/common/pkg/prompt"
)

// Quarantine durations.
const (
	// initialQuarantine is the duration of a request's first quarantine. Callers give up after some
	// seconds, so the quarantine mainly stops later callers with the same request. Finding out
	// whether a repaired runner can run the request costs one crash.
	initialQuarantine clock.Millis = 5 * 60_000
	// MaxQuarantine limits the duration, which grows by quarantineGrowth each time.
	MaxQuarantine    clock.Millis = 60 * 60_000
	quarantineGrowth clock.Millis = 10
	// recentCrash is how long gossip includes every crash, for daemons that missed its broadcast.
	recentCrash clock.Millis = 5_000
)

// Quarantine blocks a request, or all requests with a part of their prompts, on all runners for a limited time.
type Quarantine struct {
	// Fingerprint identifies the request. It is the zero value if Part is set.
	Fingerprint Fingerprint
	// Part is the part of the prompts; empty for a single request.
	Part  prompt.PartID
	Since clock.Millis
	Until clock.Millis
	// Count is how many times the request or part has been quarantined.
	Count int
	// Trial identifies the run with which the quarantine began, 0 if it began with a crash. It ends at once if that run
	// reached no runner.
	Trial uint64
	// Alone is set if no other request was answered since the first crash, so that the runners may be the cause.
	Alone bool
	// History holds the runs so far.
	History lateruns.History
}

// Clearance records that a request ran without a crash.
type Clearance struct {
	Fingerprint Fingerprint
	At          clock.Millis
}

// explain marks a quarantined request as the cause of a crash, so that the crash no longer counts
// against other suspects.
func (m *Machine) explain(s *suspect, c *crash) {
	c.explained, c.cause = true, s.fingerprint
}

// quarantine imposes the next quarantine on a suspect. trial identifies the run with which it begins, 0 for none.
func (m *Machine) quarantine(now clock.Millis, s *suspect, trial uint64) {
	count := s.Quarantine.Count + 1
	m.setQuarantine(s, Quarantine{
		Fingerprint: s.fingerprint, Since: now, Until: now + QuarantineDuration(initialQuarantine, count), Count: count, Trial: trial,
	})
	m.newQuarantines = append(m.newQuarantines, s.Record())
}

// PopNewQuarantines returns the quarantines that this machine imposed since the last call.
func (m *Machine) PopNewQuarantines() []Quarantine {
	list := m.newQuarantines
	m.newQuarantines = nil
	return list
}

// setQuarantine sets the quarantine of a suspect and marks the suspect as the cause of its crashes.
func (m *Machine) setQuarantine(s *suspect, quarantine Quarantine) {
	s.Quarantine, s.TrialUntil = quarantine, 0
	s.updatedAt = max(s.updatedAt, quarantine.Until)
	for id := range s.crashes {
		m.explain(s, m.crashes[id])
	}
}

// QuarantineDuration returns the duration of a quarantine, given that of the first one and the number of quarantines so
// far including this one.
func QuarantineDuration(first clock.Millis, count int) clock.Millis {
	duration := first
	for range count - 1 {
		duration = min(quarantineGrowth*duration, MaxQuarantine)
	}
	return duration
}

// ApplyQuarantine applies a quarantine that another daemon imposed, and reports whether it is news.
func (m *Machine) ApplyQuarantine(now clock.Millis, quarantine Quarantine) bool {
	quarantine.Until = min(quarantine.Until, now+MaxQuarantine)
	if now-quarantine.Until > lateruns.Window || m.cleared[quarantine.Fingerprint] > 0 &&
		m.cleared[quarantine.Fingerprint] >= quarantine.Since-propagationDelay {
		return false
	}
	s := m.suspect(now, quarantine.Fingerprint)
	if !s.Merge(quarantine, knownCrashes) {
		return false
	}
	isNew := s.Quarantine.Count < quarantine.Count
	m.setQuarantine(s, quarantine)
	if quarantine.Trial != 0 {
		s.TrialUntil = quarantine.Since + trialTimeout
	}
	return isNew
}

// Quarantines lists the quarantines in force, and the ended ones whose requests haven't been answered since: what may still
// run follows from their histories.
func (m *Machine) Quarantines() []Quarantine {
	var list []Quarantine
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

// Reports lists the newest reports of crashes that no quarantined request explains, up to limit:
// those of recent crashes, and those of suspects with more than one crash.
func (m *Machine) Reports(now clock.Millis, limit int) []Report {
	var list []Report
	for id, c := range m.crashes {
		if c.explained {
			continue
		}
		for fingerprint, found := range c.suspects {
			if now-c.at <= recentCrash || len(m.suspects[fingerprint].crashes) >= minDelayedCrashes {
				list = append(list, Report{Crash: id, Fingerprint: fingerprint, Phase: found.phase, Ran: found.exposure, At: c.at})
			}
		}
	}
	slices.SortFunc(list, func(a, b Report) int { return cmp.Compare(b.At, a.At) })
	return list[:min(len(list), limit)]
}
