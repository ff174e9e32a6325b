package entry

import (
	"context"
	"net/http"
	"sort"

	"github.com/pkg/errors"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/sidecar/pkg/admit"
	"toucanhinge.example/sidecar/pkg/engine"
	"toucanhinge.example/sidecar/pkg/plain"
)

// Reasons beyond those of the admission machine.
const (
	reasonBusy      admit.Reason = "busy"
	reasonMalformed admit.Reason = "malformed"
	// ReasonUnreachable says that the engine could not be reached.
	ReasonUnreachable admit.Reason = "unreachable"
	reasonResumeGone  admit.Reason = "resume-gone"
)

// Errors that end an answer.
var (
	errCancelled = errors.New("cancelled")
	errTooLate   = errors.New("deadline")
)

// wholeMost bounds an answer of a model that does not stream: it is held until
// it is known to be whole JSON.
const wholeMost = 16 << 20

// run carries out an attempt from admission to its last piece.
func (h *Handler) run(t *attempt) {
	if !h.admitted(t) {
		return
	}
	sound := h.runStarted(t)
	h.config.Dispatcher.Submit(admit.Finished{ID: t.id, Complete: sound})
}

// admitted waits for the machine's decision.
func (h *Handler) admitted(t *attempt) bool {
	arrive := admit.Arrive{
		ID: t.id, Team: t.request.GetTeam(),
		Weight: h.config.TeamWeight(t.request.GetTeam()), Deadline: t.deadline,
	}
	if !h.config.Dispatcher.SubmitRequest(arrive, t.deliver) {
		h.refuse(t, reasonBusy, toucanhingev1.Ran_RAN_NO, 0)
		return false
	}
	verdict := <-t.verdicts
	if verdict.Verb == admit.Start {
		return true
	}
	h.refuse(t, verdict.Reason, toucanhingev1.Ran_RAN_NO, verdict.RetryAfter)
	return false
}

// runStarted holds a slot; it tells whether the answer was whole.
func (h *Handler) runStarted(t *attempt) bool {
	// A process that was frozen between the decision and this line would run
	// what its caller has given up and perhaps sent elsewhere.
	if now := h.config.Clock.Now(); now >= t.deadline {
		h.refuse(t, admit.ReasonDeadline, toucanhingev1.Ran_RAN_NO, 0)
		return false
	}
	if !h.mayStart(t) {
		return false
	}
	ctx, cancel := context.WithTimeout(t.ctx, (t.deadline - h.config.Clock.Now()).Duration())
	defer cancel()
	h.config.OnStarted(t.request.GetRequestId(), t.request.GetAttempt())
	return h.call(ctx, t)
}

// mayStart keeps a non-idempotent request from a second start.
func (h *Handler) mayStart(t *attempt) bool {
	if t.request.GetIdempotent() || t.adopts() {
		return true
	}
	h.memoryMu.Lock()
	verdict := h.memory.Start(h.config.Clock.Now(), key(t.request))
	h.memoryMu.Unlock()
	switch verdict {
	case plain.AlreadyStarted:
		h.refuse(t, admit.ReasonDuplicate, toucanhingev1.Ran_RAN_UNKNOWN, 0)
		return false
	case plain.Full:
		h.refuse(t, reasonBusy, toucanhingev1.Ran_RAN_NO, 0)
		return false
	}
	return true
}

func (h *Handler) undoStart(t *attempt) {
	if t.request.GetIdempotent() {
		return
	}
	h.memoryMu.Lock()
	defer h.memoryMu.Unlock()
	h.memory.Undo(key(t.request))
}

func (h *Handler) call(ctx context.Context, t *attempt) bool {
	s := &engine.Stream{
		Client: h.config.Engine,
		Call:   h.engineCall(t),
		OnHead:   func(status int, headers http.Header) error { return t.head(ctx, status, headers) },
		OnEvent:   func(e engine.Event) error { return h.event(ctx, t, e) },
		OnBody:   func(data []byte) error { return h.emit(ctx, t, data) },
	}
	if h.config.Model && !t.request.GetStream() {
		s.MaxBufferedBody = wholeMost
	}
	err := h.stream(ctx, t, s)
	h.settle(ctx, t, s, err)
	return err == nil
}

// stream runs the call, or goes on with one that an earlier process of this
// name began: the engine keeps a stream for a while after its reader died.
func (h *Handler) stream(ctx context.Context, t *attempt, s *engine.Stream) error {
	if !h.config.Model || !t.request.GetStream() {
		// Its first token can't be seen; batch must not wait for it.
		t.prefilled = true
		h.config.Dispatcher.Submit(admit.FirstToken{ID: t.id})
	}
	if !t.adopts() {
		return s.Run(ctx)
	}
	s.OnHead = func(int, http.Header) error { return nil }
	return s.Resume(ctx, t.request.GetResumeAfter())
}

func (h *Handler) engineCall(t *attempt) engine.Call {
	r := t.request
	call := engine.Call{Method: r.GetMethod(), Path: r.GetPath(), Body: r.GetBody(), AtMostOnce: !r.GetIdempotent()}
	for _, line := range r.GetHeaders() {
		call.Headers = append(call.Headers, engine.Header{Name: line.GetName(), Value: line.GetValue()})
	}
	if h.config.Model {
		call.ID = t.engineID
	}
	return call
}

func (t *attempt) head(ctx context.Context, status int, headers http.Header) error {
	head := &toucanhingev1.Head{Status: uint32(status)}
	names := make([]string, 0, len(headers))
	for name := range headers {
		if !engine.HopByHop(name) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		for _, value := range headers[name] {
			head.Headers = append(head.Headers, &toucanhingev1.Header{Name: name, Value: value})
		}
	}
	return t.answer.append(ctx, piece{head: head})
}

// event passes one event's data on. The first one tells that the prefill is done.
func (h *Handler) event(ctx context.Context, t *attempt, e engine.Event) error {
	if !t.prefilled {
		t.prefilled = true
		h.config.Dispatcher.Submit(admit.FirstToken{ID: t.id})
	}
	return h.emit(ctx, t, e.Data)
}

func (h *Handler) emit(ctx context.Context, t *attempt, data []byte) error {
	return t.answer.append(ctx, piece{data: data})
}

// settle appends the last piece. "Not run" is said only when no byte can have
// reached the engine.
func (h *Handler) settle(ctx context.Context, t *attempt, s *engine.Stream, err error) {
	if err == nil {
		h.config.OnEnded(t.request.GetRequestId(), "")
		t.end("", toucanhingev1.Ran_RAN_YES)
		return
	}
	var status *engine.StatusError
	if t.adopts() && errors.As(err, &status) {
		h.refuse(t, reasonResumeGone, toucanhingev1.Ran_RAN_YES, 0)
		return
	}
	if !s.Sent() {
		h.undoStart(t)
		h.refuse(t, ReasonUnreachable, toucanhingev1.Ran_RAN_NO, 0)
		return
	}
	if ctx.Err() != nil {
		err = stopReason(ctx)
	}
	h.config.OnEnded(t.request.GetRequestId(), cause(err))
	ran := toucanhingev1.Ran_RAN_UNKNOWN
	if s.HeadReceived() {
		ran = toucanhingev1.Ran_RAN_YES
	}
	t.end(cause(err), ran)
	h.stopAtEngine(t)
}

func stopReason(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errTooLate
	}
	return errCancelled
}

// cause turns an error into the short reason that gateways and records see.
func cause(err error) string {
	switch {
	case errors.Is(err, errCancelled):
		return "cancelled"
	case errors.Is(err, errTooLate):
		return "deadline"
	default:
		return engine.Cause(err)
	}
}

// stopAtEngine tells the engine that a stream is not wanted any more. Breaking
// the connection is not enough: an engine may go on, or keep the stream. We wait
// for its answer, since the slot counts as free after it.
func (h *Handler) stopAtEngine(t *attempt) {
	if h.config.Model {
		_ = h.config.Engine.Cancel(context.Background(), t.engineID)
	}
}

func (h *Handler) refuse(t *attempt, reason admit.Reason, ran toucanhingev1.Ran, retry clock.Millis) {
	h.config.OnRefused(t.request.GetRequestId(), reason, ran)
	t.refuse(reason, ran, retry)
}
