// Package plain holds what calls to plain services need beyond those to model
// engines: some of them may not be repeated.
package plain

import (
	"container/list"

	"toucanhinge.example/common/pkg/clock"
)

// Verdict says whether a request may be started.
type Verdict int

// Verdicts.
const (
	// Fresh requests were never started here.
	Fresh Verdict = iota + 1
	// AlreadyStarted requests must not be started again.
	AlreadyStarted
	// Full memory can't vouch for another request.
	Full
)

// Config describes a memory.
type Config struct {
	// MaxRequests is the most requests remembered.
	MaxRequests int
	// Retention is how long each is remembered.
	Retention clock.Millis
}

// Deduplicator remembers which non-idempotent requests were started. A resend that
// reaches us late (a gateway was frozen, a network copy was doubled) would
// otherwise run again. When it is full we refuse new requests rather than
// forget old ones: a refusal is harmless, a second run is not. Across our own
// restart the durable claim of the gateways takes over.
type Deduplicator struct {
	config  Config
	started map[string]*list.Element
	order   *list.List
}

type started struct {
	key string
	at  clock.Millis
}

// New makes an empty memory.
func New(config Config) *Deduplicator {
	return &Deduplicator{config: config, started: map[string]*list.Element{}, order: list.New()}
}

// Start notes that a request is about to be started, if it may be.
func (m *Deduplicator) Start(now clock.Millis, key string) Verdict {
	m.forget(now)
	if _, known := m.started[key]; known {
		return AlreadyStarted
	}
	if len(m.started) >= m.config.MaxRequests {
		return Full
	}
	m.started[key] = m.order.PushBack(started{key: key, at: now})
	return Fresh
}

// Undo takes back a start that certainly reached nothing.
func (m *Deduplicator) Undo(key string) {
	if e, known := m.started[key]; known {
		m.order.Remove(e)
		delete(m.started, key)
	}
}

func (m *Deduplicator) forget(now clock.Millis) {
	for e := m.order.Front(); e != nil; e = m.order.Front() {
		s, isStarted := e.Value.(started)
		if isStarted && now-s.at < m.config.Retention {
			return
		}
		m.order.Remove(e)
		delete(m.started, s.key)
	}
}
