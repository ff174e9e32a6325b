package partcrashes

import (
	"cmp"
	"maps"
	"slices"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/crashes"
	"toucanhinge.example/common/pkg/lateruns"
)

// retention is how long a crash is stored if no part was at another one since its newest complete answer. Those of other parts,
// and quarantines, are stored as long as their runs count.
const retention clock.Millis = 30 * 60_000

// Limits of the stored state, which takes 2 MB at most and usually a few kB.
const (
	// maxAnswers limits the parts whose newest answer is stored: those of a minute at a gateway with thirty requests
	// a second.
	maxAnswers  = 4_096
	maxSuspects = 1_024
	maxCrashes  = 256
	// maxSuspectsPerCrash limits the suspects of one crash. A runner has about ten requests with two shared parts each.
	maxSuspectsPerCrash = 128
	// maxRequestsPerSighting limits the requests that are told apart in one crash.
	maxRequestsPerSighting = 4
)

// Expire removes crashes and ended quarantines that are older than the retention time.
func (m *Machine) Expire(now clock.Millis) {
	for id, c := range m.crashes {
		if now-c.at > lateruns.Window || now-c.at > retention && m.strength(c) < minDelayedCrashes {
			m.removeCrash(id)
		}
	}
	for part, s := range m.suspects {
		if len(s.sightings) == 0 && now-s.updatedAt > lateruns.Window {
			delete(m.suspects, part)
		}
	}
}

// removeCrash removes a crash and the suspects without another crash or quarantine.
func (m *Machine) removeCrash(id crashes.Crash) {
	for part := range m.crashes[id].suspects {
		s := m.suspects[part]
		delete(s.sightings, id)
		if len(s.sightings) == 0 && s.Quarantine.Count == 0 {
			delete(m.suspects, part)
		}
	}
	delete(m.crashes, id)
}

// removeSighting removes a crash from the evidence against a suspect.
func (m *Machine) removeSighting(s *suspect, id crashes.Crash) {
	c := m.crashes[id]
	delete(s.sightings, id)
	delete(c.suspects, s.part)
	if c.cause == s.part {
		c.cause = ""
	}
}

// strength returns the most crashes of a suspect of a crash.
func (m *Machine) strength(c *crash) (most int) {
	for part := range c.suspects {
		most = max(most, len(m.suspects[part].sightings))
	}
	return most
}

// evictCrash removes the crash with the weakest suspects if the limit is reached, the oldest of several: crashes for other
// reasons must not displace the evidence against a part whose requests come slowly.
func (m *Machine) evictCrash(now clock.Millis) {
	m.Expire(now)
	if len(m.crashes) < maxCrashes {
		return
	}
	strength := map[crashes.Crash]int{}
	for id, c := range m.crashes {
		strength[id] = m.strength(c)
	}
	m.removeCrash(slices.MinFunc(slices.Collect(maps.Keys(m.crashes)), func(a, b crashes.Crash) int {
		return cmp.Or(cmp.Compare(strength[a], strength[b]), cmp.Compare(m.crashes[a].at, m.crashes[b].at))
	}))
}

// evictSuspect removes the suspect with the fewest crashes if the limit is reached, the oldest of several. Quarantined
// suspects are removed last.
func (m *Machine) evictSuspect() {
	if len(m.suspects) < maxSuspects {
		return
	}
	weakest := slices.MinFunc(slices.Collect(maps.Values(m.suspects)), func(a, b *suspect) int {
		return cmp.Or(
			cmp.Compare(a.Quarantine.Count, b.Quarantine.Count), cmp.Compare(len(a.sightings), len(b.sightings)),
			cmp.Compare(a.updatedAt, b.updatedAt),
		)
	})
	for id := range weakest.sightings {
		m.removeSighting(weakest, id)
	}
	delete(m.suspects, weakest.part)
}
