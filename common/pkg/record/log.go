// Package record keeps a bounded log of a process's decisions, from which operators can find out why
// a request or item was sent to a runner.
package record

import (
	"context"
	"strings"
	"sync"

	"connectrpc.com/connect"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Log is a fixed-size buffer of the latest events of a process.
type Log struct {
	mu      sync.Mutex
	clock   clock.Clock
	process string
	entries []entry
	next    int
	full    bool
}

type entry struct {
	at     clock.Millis
	id     string
	event  string
	detail string
}

// Config configures a Log.
type Config struct {
	Clock   clock.Clock
	Process string
	// Size is the number of events stored; each takes a few hundred bytes.
	Size int
}

// New returns an empty log.
func New(config Config) *Log {
	return &Log{clock: config.Clock, process: config.Process, entries: make([]entry, max(config.Size, 1))}
}

// Add records an event and overwrites the oldest one if the log is full.
func (l *Log) Add(id, event, detail string) {
	at := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[l.next] = entry{at: at, id: id, event: event, detail: detail}
	l.next++
	if l.next == len(l.entries) {
		l.next = 0
		l.full = true
	}
}

// Find returns the events of an id and of the ids below it (those with the prefix id + "/"), oldest
// first.
func (l *Log) Find(id string) []*toucanhingev1.Happening {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []*toucanhingev1.Happening
	for i := range l.entries {
		e := l.entries[l.oldest(i)]
		if e.at == 0 || (e.id != id && !strings.HasPrefix(e.id, id+"/")) {
			continue
		}
		found = append(found, &toucanhingev1.Happening{AtMs: int64(e.at), Id: e.id, Event: e.event, Detail: e.detail})
	}
	return found
}

func (l *Log) oldest(i int) int {
	if !l.full {
		return i
	}
	return (l.next + i) % len(l.entries)
}

// Explain implements the RPC that returns the events of an id to operators.
func (l *Log) Explain(
	_ context.Context, request *connect.Request[toucanhingev1.ExplainRequest],
) (*connect.Response[toucanhingev1.ExplainResponse], error) {
	return connect.NewResponse(&toucanhingev1.ExplainResponse{
		Process:    l.process,
		Happenings: l.Find(request.Msg.GetId()),
	}), nil
}
