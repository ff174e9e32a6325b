// Package entry implements the endpoint service that gateways call. It admits and runs
// requests and streams their frames back. Answers are buffered independently of the call
// that reads them, so that a gateway can resume after a broken connection.
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

// Config holds the handler's settings and dependencies.
type Config struct {
	Clock       clock.Clock
	Dispatcher  *dispatch.Dispatcher
	Engine      *engine.Client
	Endpoint    string
	Incarnation uint64
	// Model is true for a model engine, false for a plain service.
	Model bool
	// MaxAnswerBytes limits the bytes retained of one answer for resuming,
	// MaxRetainedBytes those of all ended answers.
	MaxAnswerBytes   int
	MaxRetainedBytes int
	// Retention is how long a running answer without a reader and an ended answer are
	// retained.
	Retention clock.Millis
	Dedup     plain.Config
	Load      func() *toucanhingev1.Load
	// TeamWeight returns a team's weight in fair sharing between teams.
	TeamWeight func(team string) int
	// OnRefused, OnStarted and OnEnded are called with the results of requests for
	// counters and records. The reason is empty for a complete answer.
	OnRefused func(requestID string, reason admit.Reason, ran toucanhingev1.Ran)
	OnStarted func(requestID string, attempt uint32)
	OnEnded   func(requestID, reason string)
}

// Handler implements EndpointService.
type Handler struct {
	config   Config
	registry *registry
	dedupMu  sync.Mutex
	dedup    *plain.Deduplicator
	running  atomic.Int64
}

// New returns a handler.
func New(config Config) *Handler {
	return &Handler{config: config, registry: newRegistry(), dedup: plain.New(config.Dedup)}
}

// compressMinBytes is larger than any frame, which turns compression off. Connect
// otherwise compresses every answer whose caller accepts it. For a token of some hundred
// bytes between two VMs of one data centre, that costs several times the rest of the transfer.
const compressMinBytes = 1 << 30

// Mount returns the path and the HTTP handler of the service.
func (h *Handler) Mount() (path string, handler http.Handler) {
	return toucanhingev1connect.NewEndpointServiceHandler(h, connect.WithCompressMinBytes(compressMinBytes))
}

// Run admits and runs a request, or attaches to an earlier attempt of it.
func (h *Handler) Run(
	ctx context.Context, request *connect.Request[toucanhingev1.RunRequest], stream *connect.ServerStream[toucanhingev1.Frame],
) error {
	r := request.Msg
	if isMalformed(r) {
		return h.refuseCall(stream, r, reasonMalformed, toucanhingev1.Ran_RAN_NO)
	}
	t, refusal := h.resolveAttempt(r)
	if refusal != "" {
		return h.refuseCall(stream, r, refusal, toucanhingev1.Ran_RAN_UNKNOWN)
	}
	from := uint64(0)
	if r.GetResumeAfter() > 0 {
		from = r.GetResumeAfter() + 1
	}
	reader, replaced, err := t.answer.attach(from)
	if err != nil {
		return h.refuseCall(stream, r, reasonResumeGone, toucanhingev1.Ran_RAN_YES)
	}
	h.registry.markAttached(t)
	err = h.send(ctx, stream, r, t, reader, replaced)
	if err != nil && t.answer.isAttached(reader) {
		h.registry.markDetached(t, h.config.Clock.Now())
	}
	return err
}

func isMalformed(r *toucanhingev1.RunRequest) bool {
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

// send streams the answer's pieces up to the last one.
func (h *Handler) send(
	ctx context.Context, stream *connect.ServerStream[toucanhingev1.Frame], r *toucanhingev1.RunRequest,
	t *attempt, reader uint64, replaced <-chan struct{},
) error {
	first := true
	var batch []piece
	for {
		pieces, sequence, err := t.answer.next(ctx, reader, replaced, batch[:0])
		if err != nil {
			return sendError(err)
		}
		for _, p := range pieces {
			f := p.frame(r.GetRequestId(), r.GetAttempt(), sequence)
			if first || p.isLast() {
				f.Load = h.config.Load()
			}
			first = false
			sequence++
			if err := stream.Send(f); err != nil {
				return err
			}
			if p.isLast() {
				return nil
			}
		}
		batch = pieces
	}
}

func sendError(err error) error {
	if errors.Is(err, errSuperseded) {
		return connect.NewError(connect.CodeAborted, err)
	}
	return connect.NewError(connect.CodeCanceled, err)
}

// resolveAttempt returns the existing attempt that a call refers to, or starts a new one.
func (h *Handler) resolveAttempt(r *toucanhingev1.RunRequest) (*attempt, admit.Reason) {
	now := h.config.Clock.Now()
	fresh := h.newAttempt(r, now)
	t, superseded, reason := h.registry.resolve(fresh, h.config.Model)
	if superseded != nil {
		h.cancelAttempt(superseded)
	}
	if t != fresh {
		fresh.cancel()
		return t, reason
	}
	h.running.Add(1)
	go func() {
		defer h.running.Add(-1)
		h.run(t)
		t.cancel()
		h.registry.markEnded(t, h.config.Clock.Now(), h.config.MaxRetainedBytes)
	}()
	return t, ""
}

func (h *Handler) newAttempt(r *toucanhingev1.RunRequest, now clock.Millis) *attempt {
	t := &attempt{
		request:   r,
		id:        h.config.Dispatcher.NextID(),
		deadline:  now + clock.Millis(r.GetBudgetMs()),
		decisions: make(chan admit.Action, 4),
	}
	first := uint64(0)
	if t.resumesEngineStream() {
		first = r.GetResumeAfter() + 1
	}
	t.answer = newAnswer(h.config.MaxAnswerBytes, first)
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// Cancel stops a request whose caller has disconnected.
func (h *Handler) Cancel(
	_ context.Context, request *connect.Request[toucanhingev1.CancelRequest],
) (*connect.Response[toucanhingev1.CancelResponse], error) {
	if t := h.registry.find(request.Msg.GetRequestId(), request.Msg.GetAttempt()); t != nil {
		h.cancelAttempt(t)
	}
	return connect.NewResponse(&toucanhingev1.CancelResponse{}), nil
}

// cancelAttempt cancels an attempt in any state. The admission machine refuses an attempt
// that has not started.
func (h *Handler) cancelAttempt(t *attempt) {
	h.config.Dispatcher.Submit(admit.Cancel{ID: t.id})
}

// Report returns the sidecar's current load.
func (h *Handler) Report(
	context.Context, *connect.Request[toucanhingev1.ReportRequest],
) (*connect.Response[toucanhingev1.ReportResponse], error) {
	return connect.NewResponse(&toucanhingev1.ReportResponse{
		Endpoint: h.config.Endpoint, Incarnation: h.config.Incarnation, Load: h.config.Load(),
	}), nil
}

// Sweep evicts expired answers and cancels runs whose reader did not reconnect in time,
// because they would hold a slot that no caller uses.
func (h *Handler) Sweep(now clock.Millis) {
	for _, t := range h.registry.sweep(now, h.config.Retention) {
		h.cancelAttempt(t)
	}
}

const waitPollInterval = 10 * time.Millisecond

// Wait returns once no attempt runs or the context ends.
func (h *Handler) Wait(ctx context.Context) error {
	ticker := time.NewTicker(waitPollInterval)
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
