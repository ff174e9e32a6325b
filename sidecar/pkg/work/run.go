package work

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/sidecar/pkg/admit"
	"toucanhinge.example/sidecar/pkg/engine"
)

// Reasons of outcomes other than done.
const (
	reasonMalformed   = "malformed"
	reasonTooLarge    = "too-large"
	reasonUnreachable = "unreachable"
)

// errTooLarge is the error for an answer above Config.MaxResultBytes.
var errTooLarge = errors.New("the answer is too large")

// run is the execution of one leased item at the engine.
type run struct {
	puller  *Puller
	key     Key
	id      admit.ID
	item    *toucanhingev1.LeasedItem
	request preparedRequest
	name    string
	actions chan admit.Action
	started bool

	// interrupting is set from just before a suspension or stop until the run holds
	// a slot again. A stream that breaks meanwhile must not be resumed.
	interrupting atomic.Bool
	// chunkCount is the number of chunks received since the last start from the
	// beginning.
	chunkCount atomic.Int64
	stream     *engine.Stream
	assembly   *assembly
	body       []byte
	status     int
}

// deliver receives the admission machine's actions on the dispatcher's goroutine.
func (r *run) deliver(a admit.Action) {
	if !r.started {
		r.started = true
		if a.Verb == admit.Return {
			go r.puller.reportResult(r, returned(string(a.Reason)))
			return
		}
		go r.execute()
		return
	}
	r.actions <- a
}

// execute runs the item from its first start to its outcome.
func (r *run) execute() {
	resume := false
	for {
		res, suspended := r.runInSlot(resume)
		if !suspended {
			r.puller.reportResult(r, res)
			r.puller.config.Dispatcher.Submit(admit.Finished{ID: r.id, Complete: res.outcome == toucanhingev1.Outcome_OUTCOME_DONE})
			return
		}
		if a := <-r.actions; a.Verb != admit.Resume {
			r.cancelAtEngine()
			r.puller.reportResult(r, returned(string(a.Reason)))
			return
		}
		resume = true
	}
}

// runInSlot runs the item in its slot until it ends or is suspended.
func (r *run) runInSlot(resume bool) (res result, suspended bool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.interrupting.Store(false)
	done := make(chan error, 1)
	go func() { done <- r.generate(ctx, resume) }()
	select {
	case err := <-done:
		return r.resultOf(err), false
	case a := <-r.actions:
		return r.interrupt(a, cancel, done)
	}
}

func (r *run) interrupt(a admit.Action, cancel context.CancelFunc, done <-chan error) (res result, suspended bool) {
	r.interrupting.Store(true)
	suspend := a.Verb == admit.Suspend
	// An online request waits for the slot, so send Suspended as soon as the engine
	// confirms, before the local stream has been closed.
	confirmed := suspend && r.suspendAtEngine()
	if confirmed {
		r.puller.config.Dispatcher.Submit(admit.Suspended{ID: r.id})
	}
	cancel()
	if err := <-done; err == nil {
		// The item ended before the interruption took effect.
		return r.resultOf(nil), false
	}
	if !suspend {
		r.cancelAtEngine()
		return returned(string(a.Reason)), false
	}
	if !confirmed {
		r.puller.config.Dispatcher.Submit(admit.Suspended{ID: r.id})
	}
	return result{}, true
}

// suspendTimeout limits the wait for an engine that does not answer a suspension. The
// stream's connection is closed then, which releases the slot as well.
const suspendTimeout = 250 * time.Millisecond

// suspendAtEngine reports whether the engine confirmed the suspension. A request that
// is not streamed can't be suspended and is cancelled instead.
func (r *run) suspendAtEngine() bool {
	if !r.request.streamed {
		r.cancelAtEngine()
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), suspendTimeout)
	defer cancel()
	return r.puller.config.Engine.Suspend(ctx, r.name) == nil
}

func (r *run) cancelAtEngine() {
	_ = r.puller.config.Engine.Cancel(context.Background(), r.name)
}

// generate runs the request or resumes its stream. If the engine no longer has the
// stream, the request is started again from the beginning.
func (r *run) generate(ctx context.Context, resume bool) error {
	if resume && r.request.streamed && r.stream.Sent() {
		err := r.stream.Resume(ctx, r.stream.LastID())
		var status *engine.StatusError
		if err == nil || ctx.Err() != nil || !errors.As(err, &status) {
			return err
		}
		r.puller.config.Dispatcher.Submit(admit.TokensLost{Count: int(r.chunkCount.Load())})
	}
	return r.start(ctx)
}

func (r *run) start(ctx context.Context) error {
	r.assembly = newAssembly(r.request.path)
	r.chunkCount.Store(0)
	r.body = nil
	r.status = 0
	r.stream = &engine.Stream{
		Client: r.puller.config.Engine,
		Call: engine.Call{
			ID: r.name, Method: http.MethodPost, Path: r.request.path, Body: r.request.body,
			Headers: []engine.Header{{Name: "Content-Type", Value: "application/json"}},
		},
		OnHead: func(status int, _ http.Header) error {
			r.status = status
			return nil
		},
		OnEvent: r.addEvent,
		MayResume: func() bool { return !r.interrupting.Load() },
		OnBody: r.addBody,
	}
	if !r.request.streamed {
		r.stream.MaxBufferedBody = r.puller.config.MaxResultBytes
	}
	return r.stream.Run(ctx)
}

func (r *run) addEvent(e engine.Event) error {
	if r.assembly.chunks == 0 {
		r.puller.config.Dispatcher.Submit(admit.FirstToken{ID: r.id})
	}
	if err := r.assembly.add(e.Data); err != nil {
		return err
	}
	r.chunkCount.Add(1)
	if r.assembly.textBytes > r.puller.config.MaxResultBytes {
		return errTooLarge
	}
	return nil
}

func (r *run) addBody(part []byte) error {
	r.body = append(r.body, part...)
	if len(r.body) > r.puller.config.MaxResultBytes {
		return errTooLarge
	}
	return nil
}

// result is the outcome of an item in this process.
type result struct {
	outcome toucanhingev1.Outcome
	body    []byte
	reason  string
}

func returned(reason string) result {
	return result{outcome: toucanhingev1.Outcome_OUTCOME_RETURNED, reason: reason}
}

func failed(reason string) result {
	return result{outcome: toucanhingev1.Outcome_OUTCOME_FAILED, reason: reason}
}

func retry(reason string) result {
	return result{outcome: toucanhingev1.Outcome_OUTCOME_RETRY, reason: reason}
}

// resultOf returns the result of a run that ended with err. An item that never reached
// the engine is returned, which uses up no attempt. An item with an incomplete answer
// is retried, which uses up an attempt.
func (r *run) resultOf(err error) result {
	switch {
	case errors.Is(err, engine.ErrNotSent):
		r.puller.config.OnUnreachable()
		return returned(reasonUnreachable)
	case errors.Is(err, errTooLarge):
		r.cancelAtEngine()
		return failed(reasonTooLarge)
	case err != nil:
		r.cancelAtEngine()
		return retry(engine.Cause(err))
	case r.status == http.StatusOK:
		return r.doneResult()
	case isPermanent(r.status):
		return failed(fmt.Sprintf("status-%d", r.status))
	default:
		return retry(fmt.Sprintf("status-%d", r.status))
	}
}

// unstreamedResult returns the result of an answer that was not streamed.
func (r *run) unstreamedResult() result {
	if !json.Valid(r.body) {
		return retry(engine.Cause(engine.ErrMalformed))
	}
	return result{outcome: toucanhingev1.Outcome_OUTCOME_DONE, body: r.body}
}

// isPermanent reports whether a retry would get the same error status.
func isPermanent(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusConflict, http.StatusTooManyRequests, http.StatusTooEarly:
		return false
	default:
		return status >= 400 && status < 500
	}
}

func (r *run) doneResult() result {
	if r.assembly.chunks == 0 && len(r.body) > 0 {
		return r.unstreamedResult()
	}
	body, err := r.assembly.marshal()
	if err != nil {
		return retry(engine.Cause(err))
	}
	return result{outcome: toucanhingev1.Outcome_OUTCOME_DONE, body: body}
}
