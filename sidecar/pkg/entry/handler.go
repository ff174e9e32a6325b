// Package entry serves the gateways: it takes requests, has them admitted and
// run, and streams their frames back. An answer is decoupled from the call that
// reads it, so that a broken connection can be taken up again.
package entry

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
	"toucanhinge.example/sidecar/pkg/admit"
	"toucanhinge.example/sidecar/pkg/dispatch"
	"toucanhinge.example/sidecar/pkg/engine"
	"toucanhinge.example/sidecar/pkg/plain"
)

// Config describes the handler.
type Config struct {
	Clock       clock.Clock
	Dispatcher  *dispatch.Dispatcher
	Engine      *engine.Client
	Endpoint    string
	Incarnation uint64
	// Model is true for a model engine, false for a plain service.
	Model bool
	// MaxAnswerBytes is held of one answer for resuming, KeepTotal of all ended ones.
	MaxAnswerBytes int
	MaxRetainedBytes int
	// Retention is how long an answer waits for its reader to come back, and an
	// ended one is held.
	Retention   clock.Millis
	Dedup plain.Config
	Load   func() *toucanhingev1.Load
	// TeamWeight is a team's share against others.
	TeamWeight func(team string) int
	// OnRefused, Started and Ended are told what became of requests, for counters
	// and records; the reason of a whole answer is empty.
	OnRefused func(requestID string, reason admit.Reason, ran toucanhingev1.Ran)
	OnStarted func(requestID string, attempt uint32)
	OnEnded   func(requestID, reason string)
}

// Handler implements EndpointService.
type Handler struct {
	config   Config
	registry *registry
	memoryMu sync.Mutex
	memory   *plain.Deduplicator
	running  atomic.Int64
}

// New makes a handler.
func New(config Config) *Handler {
	return &Handler{config: config, registry: newRegistry(), memory: plain.New(config.Dedup)}
}

// compressFrom is above any frame. Connect compresses answers whenever the caller
// accepts it; for a token of some hundred bytes between two VMs of one site that
// costs several times the rest of its way.
const compressFrom = 1 << 30

// Mount returns the path that the calls stand under, and their server.
func (h *Handler) Mount() (path string, handler http.Handler) {
	return toucanhingev1connect.NewEndpointServiceHandler(h, connect.WithCompressMinBytes(compressFrom))
}

// Run admits and runs a request, or goes on with an earlier attempt of it.
func (h *Handler) Run(
	ctx context.Context, request *connect.Request[toucanhingev1.RunRequest], stream *connect.ServerStream[toucanhingev1.Frame],
) error {
	r := request.Msg
	if malformed(r) {
		return h.refuseCall(stream, r, reasonMalformed, toucanhingev1.Ran_RAN_NO)
	}
	t, refusal := h.attemptFor(r)
	if refusal != "" {
		return h.refuseCall(stream, r, refusal, toucanhingev1.Ran_RAN_UNKNOWN)
	}
	from := uint64(0)
	if r.GetResumeAfter() > 0 {
		from = r.GetResumeAfter() + 1
	}
	reader, gone, err := t.answer.attach(from)
	if err != nil {
		return h.refuseCall(stream, r, reasonResumeGone, toucanhingev1.Ran_RAN_YES)
	}
	h.registry.attached(t)
	err = h.send(ctx, stream, r, t, reader, gone)
	if err != nil && t.answer.attached(reader) {
		h.registry.detached(t, h.config.Clock.Now())
	}
	return err
}

func malformed(r *toucanhingev1.RunRequest) bool {
	return r.GetRequestId() == "" || r.GetMethod() == "" || !strings.HasPrefix(r.GetPath(), "/")
}

func (h *Handler) refuseCall(
	stream *connect.ServerStream[toucanhingev1.Frame], r *toucanhingev1.RunRequest, reason admit.Reason, ran toucanhingev1.Ran,
) error {
	h.config.OnRefused(r.GetRequestId(), reason, ran)
	p := piece{refusal: &toucanhingev1.Refusal{Reason: string(reason), Ran: ran}}
	f := p.frame(r.GetRequestId(), r.GetAttempt(), 0)
	f.Load = h.config.Load()
	return stream.Send(f)
}

// send streams the answer's pieces until its last one.
func (h *Handler) send(
	ctx context.Context, stream *connect.ServerStream[toucanhingev1.Frame], r *toucanhingev1.RunRequest,
	t *attempt, reader uint64, gone <-chan struct{},
) error {
	first := true
	var batch []piece
	for {
		found, sequence, err := t.answer.next(ctx, reader, gone, batch[:0])
		if err != nil {
			return sendError(err)
		}
		for _, p := range found {
			f := p.frame(r.GetRequestId(), r.GetAttempt(), sequence)
			if first || p.last() {
				f.Load = h.config.Load()
			}
			first = false
			sequence++
			if err := stream.Send(f); err != nil {
				return err
			}
			if p.last() {
				return nil
			}
		}
		batch = found
	}
}

func sendError(err error) error {
	if errors.Is(err, errSuperseded) {
		return connect.NewError(connect.CodeAborted, err)
	}
	return connect.NewError(connect.CodeCanceled, err)
}

// attemptFor finds the attempt that a call speaks of, or starts a new one.
func (h *Handler) attemptFor(r *toucanhingev1.RunRequest) (*attempt, admit.Reason) {
	now := h.config.Clock.Now()
	fresh := h.newAttempt(r, now)
	t, superseded, reason := h.registry.place(fresh, h.config.Model)
	if superseded != nil {
		h.cancelAttempt(superseded)
	}
	if t != fresh {
		fresh.stop()
		return t, reason
	}
	h.running.Add(1)
	go func() {
		defer h.running.Add(-1)
		h.run(t)
		t.stop()
		h.registry.ended(t, h.config.Clock.Now(), h.config.MaxRetainedBytes)
	}()
	return t, ""
}

func (h *Handler) newAttempt(r *toucanhingev1.RunRequest, now clock.Millis) *attempt {
	t := &attempt{
		request:  r,
		id:       h.config.Dispatcher.NextID(),
		deadline: now + clock.Millis(r.GetBudgetMs()),
		verdicts: make(chan admit.Action, 4),
	}
	first := uint64(0)
	if t.adopts() {
		first = r.GetResumeAfter() + 1
	}
	t.answer = newAnswer(h.config.MaxAnswerBytes, first)
	t.ctx, t.stop = context.WithCancel(context.Background())
	return t
}

// Cancel stops a request whose caller has gone.
func (h *Handler) Cancel(
	_ context.Context, request *connect.Request[toucanhingev1.CancelRequest],
) (*connect.Response[toucanhingev1.CancelResponse], error) {
	if t := h.registry.find(request.Msg.GetRequestId(), request.Msg.GetAttempt()); t != nil {
		h.cancelAttempt(t)
	}
	return connect.NewResponse(&toucanhingev1.CancelResponse{}), nil
}

// cancelAttempt ends an attempt wherever it stands; the machine answers with a
// refusal when it never started.
func (h *Handler) cancelAttempt(t *attempt) {
	h.config.Dispatcher.Submit(admit.Cancel{ID: t.id})
}

// Report tells the sidecar's present load.
func (h *Handler) Report(
	context.Context, *connect.Request[toucanhingev1.ReportRequest],
) (*connect.Response[toucanhingev1.ReportResponse], error) {
	return connect.NewResponse(&toucanhingev1.ReportResponse{
		Endpoint: h.config.Endpoint, Incarnation: h.config.Incarnation, Load: h.config.Load(),
	}), nil
}

// Sweep forgets answers that were held long enough, and ends the runs whose
// reader did not come back: their caller has gone, and they hold a slot.
func (h *Handler) Sweep(now clock.Millis) {
	for _, t := range h.registry.sweep(now, h.config.Retention) {
		h.cancelAttempt(t)
	}
}

const waitLook = 10 * time.Millisecond

// Wait returns once no attempt runs, or the context ends.
func (h *Handler) Wait(ctx context.Context) error {
	ticker := time.NewTicker(waitLook)
	defer ticker.Stop()
	for h.running.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
