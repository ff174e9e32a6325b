package engine

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// garbageBytes replaces an event when the garbage fault is set.
const garbageBytes = "data: {\"id\": \x00\xff<<\n\n"

// streamWriter writes the events of one stream as server-sent events.
type streamWriter struct {
	engine     *Engine
	response   http.ResponseWriter
	controller *http.ResponseController
	ctx        context.Context
	sequence   *sequence
	owner      int
	faults     Faults
	buffer     []byte
}

func newStreamWriter(e *Engine, w http.ResponseWriter, r *http.Request, s *sequence, owner int, f Faults) *streamWriter {
	return &streamWriter{
		engine: e, response: w, controller: http.NewResponseController(w), ctx: r.Context(),
		sequence: s, owner: owner, faults: f,
	}
}

// serve writes the events after the given event number until the stream stops,
// another handler resumes it, or the client disconnects.
func (t *streamWriter) serve(after int) {
	t.response.Header().Set("Content-Type", "text/event-stream")
	t.response.Header().Set("Cache-Control", "no-cache")
	t.response.WriteHeader(http.StatusOK)
	_ = t.controller.Flush()
	written := after
	for {
		p := t.engine.progressOf(t.sequence, t.owner)
		if !p.owned {
			return
		}
		if p.events > written {
			if !t.write(written+1, p.events) {
				t.engine.handleDisconnect(t.sequence, t.owner)
				return
			}
			written = p.events
		}
		if p.state != stateWaiting && p.state != stateRunning {
			return
		}
		if !t.wait() {
			t.engine.handleDisconnect(t.sequence, t.owner)
			return
		}
	}
}

func (t *streamWriter) wait() bool {
	select {
	case <-t.sequence.changed:
		t.engine.waitWhileFrozen(t.ctx)
		return true
	case <-t.ctx.Done():
		return false
	}
}

// write writes the events from first to last and flushes them. It returns false if
// the stream must end here.
func (t *streamWriter) write(first, last int) bool {
	if t.faults.LateMs > 0 {
		sleep(t.ctx, time.Duration(t.faults.LateMs)*time.Millisecond)
	}
	half := max(1, t.sequence.maxTokens/2)
	t.buffer = t.buffer[:0]
	for n := first; n <= last; n++ {
		if t.faults.Short && n > half {
			break
		}
		if t.faults.Cut && n > half {
			panic(http.ErrAbortHandler)
		}
		t.append(t.reorderedEvent(n))
	}
	if _, err := t.response.Write(t.buffer); err != nil {
		return false
	}
	if t.controller.Flush() != nil {
		return false
	}
	return !t.faults.Short || last <= half
}

// reorderedEvent returns the event to write in place of event n. With the reorder
// fault, neighbouring token events are swapped.
func (t *streamWriter) reorderedEvent(n int) int {
	if !t.faults.Reorder || t.sequence.maxTokens%2 == 1 && n == t.sequence.maxTokens || n > t.sequence.maxTokens {
		return n
	}
	if n%2 == 1 {
		return n + 1
	}
	return n - 1
}

func (t *streamWriter) append(n int) {
	if t.faults.Garbage && n == 2 {
		t.buffer = append(t.buffer, garbageBytes...)
		return
	}
	t.buffer = append(t.buffer, "id: "...)
	t.buffer = strconv.AppendInt(t.buffer, int64(n), 10)
	t.buffer = append(t.buffer, "\ndata: "...)
	t.buffer = append(t.buffer, t.sequence.eventData(n)...)
	t.buffer = append(t.buffer, "\n\n"...)
}

// serveNonStreaming waits until the sequence is done and writes the full response.
func (e *Engine) serveNonStreaming(w http.ResponseWriter, r *http.Request, s *sequence, faults Faults) {
	for {
		p := e.progressOf(s, 0)
		switch p.state {
		case stateDone:
			e.writeNonStreaming(w, r, s, faults)
			return
		case stateCancelled, stateEvicted, stateSuspended:
			writeError(w, http.StatusConflict, "stopped", "the request was stopped")
			return
		case stateWaiting, stateRunning:
		}
		select {
		case <-s.changed:
		case <-r.Context().Done():
			e.handleDisconnect(s, 0)
			return
		}
	}
}

func (e *Engine) writeNonStreaming(w http.ResponseWriter, r *http.Request, s *sequence, faults Faults) {
	e.waitWhileFrozen(r.Context())
	if faults.LateMs > 0 {
		sleep(r.Context(), time.Duration(faults.LateMs)*time.Millisecond)
	}
	switch {
	case faults.Garbage:
		_, _ = w.Write([]byte(garbageBytes))
	case faults.Cut, faults.Short:
		w.Header().Set("Content-Length", "4096")
		_, _ = w.Write([]byte("{\"id\":"))
		panic(http.ErrAbortHandler)
	default:
		writeJSON(w, http.StatusOK, s.fullResponse(s.maxTokens))
	}
}
