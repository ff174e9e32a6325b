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

// Refusal reasons in addition to those of the admission machine.
const (
	reasonBusy      admit.Reason = "busy"
	reasonMalformed admit.Reason = "malformed"
	// ReasonUnreachable means that no connection to the engine could be opened.
	ReasonUnreachable admit.Reason = "unreachable"
	reasonResumeGone  admit.Reason = "resume-gone"
)

// Errors that end an answer.
var (
	errCancelled = errors.New("cancelled")
	errDeadline  = errors.New("deadline")
)

// maxUnstreamedBytes limits a model's unstreamed answer, which is buffered until it is
// known to be complete JSON.
const maxUnstreamedBytes = 16 << 20

// run executes an attempt from admission to its last piece.
func (h *Handler) run(t *attempt) {
	if !h.awaitAdmission(t) {
		return
	}
	complete := h.runAdmitted(t)
	h.config.Dispatcher.Submit(admit.Finished{ID: t.id, Complete: complete})
}

// awaitAdmission waits for the admission machine's decision and reports whether the
// attempt may start.
func (h *Handler) awaitAdmission(t *attempt) bool {
	arrival := admit.Arrive{
		ID: t.id, Team: t.request.GetTeam(),
		Weight: h.config.TeamWeight(t.request.GetTeam()), Deadline: t.deadline,
	}
	if !h.config.Dispatcher.SubmitRequest(arrival, t.deliver) {
		h.refuse(t, reasonBusy, toucanhingev1.Ran_RAN_NO, 0)
		return false
	}
	decision := <-t.decisions
	if decision.Verb == admit.Start {
		return true
	}
	h.refuse(t, decision.Reason, toucanhingev1.Ran_RAN_NO, decision.RetryAfter)
	return false
}

// runAdmitted runs an attempt that holds a slot. It reports whether the answer was
// complete.
func (h *Handler) runAdmitted(t *attempt) bool {
	// If the process was frozen after the decision, the caller has timed out by now and
	// may have sent the request elsewhere.
	if now := h.config.Clock.Now(); now >= t.deadline {
		h.refuse(t, admit.ReasonDeadline, toucanhingev1.Ran_RAN_NO, 0)
		return false
	}
	if !h.recordStart(t) {
		return false
	}
	ctx, cancel := context.WithTimeout(t.ctx, (t.deadline - h.config.Clock.Now()).Duration())
	defer cancel()
	h.config.OnStarted(t.request.GetRequestId(), t.request.GetAttempt())
	return h.callEngine(ctx, t)
}

// recordStart records the start of a non-idempotent request. It refuses the request and
// returns false if it was started before or the deduplicator is full.
func (h *Handler) recordStart(t *attempt) bool {
	if t.request.GetIdempotent() || t.resumesEngineStream() {
		return true
	}
	h.dedupMu.Lock()
	verdict := h.dedup.Start(h.config.Clock.Now(), requestKey(t.request))
	h.dedupMu.Unlock()
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
	h.dedupMu.Lock()
	defer h.dedupMu.Unlock()
	h.dedup.Undo(requestKey(t.request))
}

func (h *Handler) callEngine(ctx context.Context, t *attempt) bool {
	s := &engine.Stream{
		Client:  h.config.Engine,
		Call:    h.engineCall(t),
		OnHead:  func(status int, headers http.Header) error { return t.appendHead(ctx, status, headers) },
		OnEvent: func(e engine.Event) error { return h.forwardEvent(ctx, t, e) },
		OnBody:  func(data []byte) error { return h.forwardData(ctx, t, data) },
	}
	if h.config.Model && !t.request.GetStream() {
		s.MaxBufferedBody = maxUnstreamedBytes
	}
	err := h.stream(ctx, t, s)
	h.finish(ctx, t, s, err)
	return err == nil
}

// stream runs the call, or resumes a stream that was started by an earlier process of this
// sidecar. The engine retains a stream for a while after its reader disconnected.
func (h *Handler) stream(ctx context.Context, t *attempt, s *engine.Stream) error {
	if !h.config.Model || !t.request.GetStream() {
		// The first token of this answer can't be observed, and batch items must not wait
		// for it.
		t.prefilled = true
		h.config.Dispatcher.Submit(admit.FirstToken{ID: t.id})
	}
	if !t.resumesEngineStream() {
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

func (t *attempt) appendHead(ctx context.Context, status int, headers http.Header) error {
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

// forwardEvent forwards one event's data. The first event reports that the prefill has
// finished.
func (h *Handler) forwardEvent(ctx context.Context, t *attempt, e engine.Event) error {
	if !t.prefilled {
		t.prefilled = true
		h.config.Dispatcher.Submit(admit.FirstToken{ID: t.id})
	}
	return h.forwardData(ctx, t, e.Data)
}

func (h *Handler) forwardData(ctx context.Context, t *attempt, data []byte) error {
	return t.answer.append(ctx, piece{data: data})
}

// finish appends the last piece. It reports RAN_NO only if no byte can have reached the
// engine.
func (h *Handler) finish(ctx context.Context, t *attempt, s *engine.Stream, err error) {
	if err == nil {
		h.config.OnEnded(t.request.GetRequestId(), "")
		t.appendEnd("", toucanhingev1.Ran_RAN_YES)
		return
	}
	var status *engine.StatusError
	if t.resumesEngineStream() && errors.As(err, &status) {
		h.refuse(t, reasonResumeGone, toucanhingev1.Ran_RAN_YES, 0)
		return
	}
	if !s.Sent() {
		h.undoStart(t)
		h.refuse(t, ReasonUnreachable, toucanhingev1.Ran_RAN_NO, 0)
		return
	}
	if ctx.Err() != nil {
		err = contextError(ctx)
	}
	h.config.OnEnded(t.request.GetRequestId(), cause(err))
	ran := toucanhingev1.Ran_RAN_UNKNOWN
	if s.HeadReceived() {
		ran = toucanhingev1.Ran_RAN_YES
	}
	t.appendEnd(cause(err), ran)
	h.cancelAtEngine(t)
}

func contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errDeadline
	}
	return errCancelled
}

// cause returns the short reason of an error that gateways and records show.
func cause(err error) string {
	switch {
	case errors.Is(err, errCancelled):
		return "cancelled"
	case errors.Is(err, errDeadline):
		return "deadline"
	default:
		return engine.Cause(err)
	}
}

// cancelAtEngine cancels a stream at the engine. Closing the connection is not enough,
// because the engine may continue or retain the stream. The call waits for the engine's
// reply, because the slot counts as free afterwards.
func (h *Handler) cancelAtEngine(t *attempt) {
	if h.config.Model {
		_ = h.config.Engine.Cancel(context.Background(), t.engineID)
	}
}

func (h *Handler) refuse(t *attempt, reason admit.Reason, ran toucanhingev1.Ran, retry clock.Millis) {
	h.config.OnRefused(t.request.GetRequestId(), reason, ran)
	t.appendRefusal(reason, ran, retry)
}
