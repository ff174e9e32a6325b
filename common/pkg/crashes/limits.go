package crashes

import (
	"cmp"
	"maps"
	"slices"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/lateruns"
)

// Retention times.
const (
	// retention is how long a crash is stored if no request was at another one since its newest complete answer. Those of
	// other requests, and quarantines, are stored as long as their runs count.
	retention clock.Millis = 30 * 60_000
	// clearedRetention is how long late reports of crashes before a successful run are ignored.
	clearedRetention clock.Millis = 60_000
)

// Limits of the stored state, which takes 1.5 MB at most and usually a few kB.
const (
	maxSuspects = 1_024
	maxCrashes  = 512
	// maxSuspectsPerCrash limits the suspects of one crash. A runner has about ten requests.
	maxSuspectsPerCrash = 32
)

// Expire removes crashes and ended quarantines that are older than the retention time.
func (m *Machine) Expire(now clock.Millis) {
	for id, c := range m.crashes {
		if now-c.at > lateruns.Window || now-c.at > retention && m.strength(c) < minDelayedCrashes {
			m.removeCrash(id)
		}
	}
	for fingerprint, s := range m.suspects {
		if len(s.crashes) == 0 && now-s.updatedAt > lateruns.Window {
			delete(m.suspects, fingerprint)
		}
	}
}

// removeCrash removes a crash and the suspects without another crash or quarantine.
func (m *Machine) removeCrash(id Crash) {
	for fingerprint := range m.crashes[id].suspects {
		s := m.suspects[fingerprint]
		delete(s.crashes, id)
		if len(s.crashes) == 0 && s.Quarantine.Count == 0 {
			delete(m.suspects, fingerprint)
		}
	}
	delete(m.crashes, id)
}

// strength returns the most crashes of a suspect of a crash.
func (m *Machine) strength(c *crash) (most int) {
	for fingerprint := range c.suspects {
		most = max(most, len(m.suspects[fingerprint].crashes))
	}
	return most
}

// evictCrash removes the crash with the weakest suspects if the limit is reached, the oldest of several: crashes for other
// reasons must not displace the evidence against a request that comes seldom.
func (m *Machine) evictCrash(now clock.Millis) {
	m.Expire(now)
	if len(m.crashes) < maxCrashes {
		return
	}
	strength := map[Crash]int{}
	for id, c := range m.crashes {
		strength[id] = m.strength(c)
	}
	m.removeCrash(slices.MinFunc(slices.Collect(maps.Keys(m.crashes)), func(a, b Crash) int {
		return cmp.Or(cmp.Compare(strength[a], strength[b]), cmp.Compare(m.crashes[a].at, m.crashes[b].at))
	}))
}

// evictSuspect removes the least recently updated suspect if the limit is reached. Quarantined
// suspects are removed last.
func (m *Machine) evictSuspect() {
	if len(m.suspects) < maxSuspects {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Values(m.suspects)), func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(a.Quarantine.Count, b.Quarantine.Count), cmp.Compare(a.updatedAt, b.updatedAt))
	})
	for id := range oldest.crashes {
		m.removeFromCrash(oldest, id)
	}
	delete(m.suspects, oldest.fingerprint)
}
