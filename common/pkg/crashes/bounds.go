package crashes

import (
	"cmp"
	"maps"
	"slices"

	"toucanhinge.example/common/pkg/clock"
)

// How long things are remembered.
const (
	// memory is how long a crash, and an ended quarantine, are remembered.
	memory clock.Millis = 30 * 60_000
	// clearedFor is how long late news of crashes before a whole answer are still ignored.
	clearedFor clock.Millis = 60_000
)

// Bounds of what is remembered, one and a half megabytes at most, a few kB as a rule.
const (
	mostContents = 1_024
	mostCrashes  = 512
	// mostSuspects bounds the requests of one crash; a runner holds some ten.
	mostSuspects = 32
)

// Expire forgets what is too old.
func (m *Machine) Expire(now clock.Millis) {
	for at, c := range m.crashes {
		if now-c.at > memory {
			m.forgetCrash(at)
		}
	}
	for content, q := range m.suspects {
		if len(q.crashes) == 0 && now-q.touched > memory {
			delete(m.suspects, content)
		}
	}
}

func (m *Machine) forgetCrash(at Crash) {
	for content := range m.crashes[at].suspects {
		q := m.suspects[content]
		delete(q.crashes, at)
		if len(q.crashes) == 0 && q.quarantine.Count == 0 {
			delete(m.suspects, content)
		}
	}
	delete(m.crashes, at)
}

// roomForCrash keeps the bound of crashes: the oldest goes first.
func (m *Machine) roomForCrash(now clock.Millis) {
	m.Expire(now)
	if len(m.crashes) < mostCrashes {
		return
	}
	m.forgetCrash(slices.MinFunc(slices.Collect(maps.Keys(m.crashes)), func(a, b Crash) int {
		return cmp.Compare(m.crashes[a].at, m.crashes[b].at)
	}))
}

// roomForSuspect keeps the bound of requests: the one that was touched longest ago goes
// first, and those that are quarantined last.
func (m *Machine) roomForSuspect() {
	if len(m.suspects) < mostContents {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Values(m.suspects)), func(a, b *suspect) int {
		return cmp.Compare(a.touched, b.touched)
	})
	for at := range oldest.crashes {
		m.drop(oldest, at)
	}
	delete(m.suspects, oldest.content)
}
