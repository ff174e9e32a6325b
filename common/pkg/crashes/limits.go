package crashes

import (
	"cmp"
	"maps"
	"slices"

	"toucanhinge.example/common/pkg/clock"
)

// Retention times.
const (
	// retention is how long a crash and an ended quarantine are stored.
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
		if now-c.at > retention {
			m.removeCrash(id)
		}
	}
	for fingerprint, s := range m.suspects {
		if len(s.crashes) == 0 && now-s.updatedAt > retention {
			delete(m.suspects, fingerprint)
		}
	}
}

// removeCrash removes a crash and the suspects without another crash or quarantine.
func (m *Machine) removeCrash(id Crash) {
	for fingerprint := range m.crashes[id].suspects {
		s := m.suspects[fingerprint]
		delete(s.crashes, id)
		if len(s.crashes) == 0 && s.quarantine.Count == 0 {
			delete(m.suspects, fingerprint)
		}
	}
	delete(m.crashes, id)
}

// evictCrash removes the oldest crash if the limit is reached.
func (m *Machine) evictCrash(now clock.Millis) {
	m.Expire(now)
	if len(m.crashes) < maxCrashes {
		return
	}
	m.removeCrash(slices.MinFunc(slices.Collect(maps.Keys(m.crashes)), func(a, b Crash) int {
		return cmp.Compare(m.crashes[a].at, m.crashes[b].at)
	}))
}

// evictSuspect removes the least recently updated suspect if the limit is reached. Quarantined
// suspects are removed last, because updatedAt is the end of their quarantine.
func (m *Machine) evictSuspect() {
	if len(m.suspects) < maxSuspects {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Values(m.suspects)), func(a, b *suspect) int {
		return cmp.Compare(a.updatedAt, b.updatedAt)
	})
	for id := range oldest.crashes {
		m.removeFromCrash(oldest, id)
	}
	delete(m.suspects, oldest.fingerprint)
}
