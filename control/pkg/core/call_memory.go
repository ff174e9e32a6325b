package core

import (
	"context"
	"net/http"
	"sync"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

const (
	// callMemoryRatio is the part of the process's memory that the gateways' calls about jobs may hold together.
	callMemoryRatio = 0.25
	// submitCopies is how often a submitted job is held: as received, decoded, as a step and as an entry of the log, and in
	// the messages to the followers.
	submitCopies = 8
	// readCopies is how often what a call returns is held: as stored, decoded and as the message.
	readCopies = 3
)

// errCallMemory means that other calls hold the memory that a call needs. The call had no effect.
var errCallMemory = errors.New("the memory for calls is used up")

// callMemory limits the memory that the gateways' calls hold together. A gateway limits its own callers, but there may be
// hundreds of gateways before one leader.
type callMemory struct {
	// limit is in bytes, 0 for no limit.
	limit   int64
	refused prometheus.Counter

	mu   sync.Mutex
	used int64
}

// callHold is the memory of one call. Only the call's own goroutine uses it.
type callHold struct {
	memory *callMemory
	bytes  int64
}

// take takes bytes for a call, which then has no effect if there are too few. A call that no other stands beside always
// gets them: otherwise a job of a size that the operator allows could never be accepted.
func (h *callHold) take(bytes int64) error {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if others := m.used - h.bytes; m.limit > 0 && others > 0 && m.used+bytes > m.limit {
		m.refused.Inc()
		return connect.NewError(connect.CodeResourceExhausted, errCallMemory)
	}
	m.used += bytes
	h.bytes += bytes
	return nil
}

func (h *callHold) close() {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.used -= h.bytes
	h.bytes = 0
}

type callHoldKey struct{}

// takeForAnswer takes the memory of an answer with that many bytes of content.
func takeForAnswer(ctx context.Context, bytes int64) error {
	hold, ok := ctx.Value(callHoldKey{}).(*callHold)
	if !ok {
		return nil
	}
	return hold.take(readCopies * bytes)
}

// Handler returns the path of the service for gateways and other daemons, and its handler.
func (c *Core) Handler() (path string, handler http.Handler) {
	path, handler = toucanhingev1connect.NewCoreServiceHandler(c)
	return path, c.callMemory.limitCalls(handler)
}

// limitCalls returns a handler whose calls hold their memory until their answer is sent. A submitted job takes it before
// it is read.
func (m *callMemory) limitCalls(next http.Handler) http.Handler {
	refuse := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hold := &callHold{memory: m}
		defer hold.close()
		if r.URL.Path == toucanhingev1connect.CoreServiceSubmitJobProcedure {
			if err := hold.take(submitCopies * max(r.ContentLength, 0)); err != nil {
				_ = refuse.Write(w, r, err)
				return
			}
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), callHoldKey{}, hold)))
	})
}
