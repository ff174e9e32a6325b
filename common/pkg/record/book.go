// Package record keeps a process's own bounded records of what it decided, so
// that it can answer "why did this request or item go there".
package record

import (
	"context"
	"strings"
	"sync"

	"connectrpc.com/connect"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Log is a fixed-size list of the last happenings of a process.
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

// Config describes a book.
type Config struct {
	Clock   clock.Clock
	Process string
	// Size is the number of happenings kept; each holds a few hundred bytes.
	Size int
}

// New makes an empty book.
func New(config Config) *Log {
	return &Log{clock: config.Clock, process: config.Process, entries: make([]entry, max(config.Size, 1))}
}

// Add notes one happening; the oldest is forgotten when the book is full.
func (b *Log) Add(id, event, detail string) {
	at := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries[b.next] = entry{at: at, id: id, event: event, detail: detail}
	b.next++
	if b.next == len(b.entries) {
		b.next = 0
		b.full = true
	}
}

// Find returns the happenings of an id, or of what stands below it ("job/…"), oldest first.
func (b *Log) Find(id string) []*toucanhingev1.Happening {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []*toucanhingev1.Happening
	for i := range b.entries {
		e := b.entries[b.oldest(i)]
		if e.at == 0 || (e.id != id && !strings.HasPrefix(e.id, id+"/")) {
			continue
		}
		found = append(found, &toucanhingev1.Happening{AtMs: int64(e.at), Id: e.id, Event: e.event, Detail: e.detail})
	}
	return found
}

func (b *Log) oldest(i int) int {
	if !b.full {
		return i
	}
	return (b.next + i) % len(b.entries)
}

// Explain serves the operators' question from this book.
func (b *Log) Explain(
	_ context.Context, request *connect.Request[toucanhingev1.ExplainRequest],
) (*connect.Response[toucanhingev1.ExplainResponse], error) {
	return connect.NewResponse(&toucanhingev1.ExplainResponse{
		Process:    b.process,
		Happenings: b.Find(request.Msg.GetId()),
	}), nil
}
