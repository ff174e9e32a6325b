// Package plain prevents repeated runs of non-idempotent requests to plain services.
package plain

import (
	"container/list"

	"toucanhinge.example/common/pkg/clock"
)

// Verdict is the result of recording the start of a request.
type Verdict int

// Verdicts.
const (
	// Fresh means that the request was not started here before.
	Fresh Verdict = iota + 1
	// AlreadyStarted means that the request must not be started again.
	AlreadyStarted
	// Full means that no further request can be recorded.
	Full
)

// Config holds the limits of a deduplicator.
type Config struct {
	// MaxRequests is the maximum number of recorded requests.
	MaxRequests int
	// Retention is how long each request stays recorded.
	Retention clock.Millis
}

// Deduplicator records which non-idempotent requests were started. Otherwise a resend that
// arrives late, for example after a gateway was frozen or the network duplicated it, would
// run again. When the deduplicator is full, new requests are refused instead of evicting
// old ones: a refusal is harmless, a second run is not. After a restart of the sidecar,
// the durable claims of the gateways provide the protection.
type Deduplicator struct {
	config  Config
	started map[string]*list.Element
	order   *list.List
}

type startedRequest struct {
	key string
	at  clock.Millis
}

// New returns an empty deduplicator.
func New(config Config) *Deduplicator {
	return &Deduplicator{config: config, started: map[string]*list.Element{}, order: list.New()}
}

// Start records that a request is about to be started, if it may be started.
func (d *Deduplicator) Start(now clock.Millis, key string) Verdict {
	d.expire(now)
	if _, known := d.started[key]; known {
		return AlreadyStarted
	}
	if len(d.started) >= d.config.MaxRequests {
		return Full
	}
	d.started[key] = d.order.PushBack(startedRequest{key: key, at: now})
	return Fresh
}

// Undo removes the record of a start that certainly did not reach the service.
func (d *Deduplicator) Undo(key string) {
	if e, known := d.started[key]; known {
		d.order.Remove(e)
		delete(d.started, key)
	}
}

func (d *Deduplicator) expire(now clock.Millis) {
	for e := d.order.Front(); e != nil; e = d.order.Front() {
		s, isStarted := e.Value.(startedRequest)
		if isStarted && now-s.at < d.config.Retention {
			return
		}
		d.order.Remove(e)
		delete(d.started, s.key)
	}
}
