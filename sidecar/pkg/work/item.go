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

// Reasons of outcomes.
const (
	reasonMalformed   = "malformed"
	reasonTooLarge    = "too-large"
	reasonUnreachable = "unreachable"
)

// errTooLarge is an answer above the bound on results.
var errTooLarge = errors.New("the answer is too large")

// run is one leased item on its way through the engine.
type run struct {
	puller   *Puller
	key      Key
	id       admit.ID
	item     *toucanhingev1.LeasedItem
	request  prepared
	name     string
	verdicts chan admit.Action
	begun    bool

	// halting is set from before a suspension until the next turn.
	halting atomic.Bool
	// taken counts the pieces of the present beginning.
	taken    atomic.Int64
	stream   *engine.Stream
	assembly *assembly
	body     []byte
	status   int
}

// deliver takes the machine's actions; it runs on the dispatcher's goroutine.
func (r *run) deliver(a admit.Action) {
	if !r.begun {
		r.begun = true
		if a.Verb == admit.Return {
			go r.puller.ended(r, returned(string(a.Reason)))
			return
		}
		go r.carryOut()
		return
	}
	r.verdicts <- a
}

// carryOut holds the item from its first start to its outcome.
func (r *run) carryOut() {
	resume := false
	for {
		outcome, suspended := r.turn(resume)
		if !suspended {
			r.puller.ended(r, outcome)
			r.puller.config.Dispatcher.Submit(admit.Finished{ID: r.id, Complete: outcome.outcome == toucanhingev1.Outcome_OUTCOME_DONE})
			return
		}
		if a := <-r.verdicts; a.Verb != admit.Resume {
			r.cancelAtEngine()
			r.puller.ended(r, returned(string(a.Reason)))
			return
		}
		resume = true
	}
}

// turn holds a slot until the item ends or is suspended.
func (r *run) turn(resume bool) (outcome result, suspended bool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.halting.Store(false)
	done := make(chan error, 1)
	go func() { done <- r.generate(ctx, resume) }()
	select {
	case err := <-done:
		return r.outcome(err), false
	case a := <-r.verdicts:
		return r.interrupted(a, cancel, done)
	}
}

func (r *run) interrupted(a admit.Action, cancel context.CancelFunc, done <-chan error) (outcome result, suspended bool) {
	r.halting.Store(true)
	suspend := a.Verb == admit.Suspend
	// The slot is free once the engine says so; an online request waits for it,
	// so we tell it before our own side has cleared up.
	told := suspend && r.suspendAtEngine()
	if told {
		r.puller.config.Dispatcher.Submit(admit.Suspended{ID: r.id})
	}
	cancel()
	if err := <-done; err == nil {
		// It came to its end while we were about to stop it.
		return r.outcome(nil), false
	}
	if !suspend {
		r.cancelAtEngine()
		return returned(string(a.Reason)), false
	}
	if !told {
		r.puller.config.Dispatcher.Submit(admit.Suspended{ID: r.id})
	}
	return result{}, true
}

// suspendTimeout ends the wait for an engine that does not answer. We break the
// stream's connection then, which takes it out of its slot as well.
const suspendTimeout = 250 * time.Millisecond

// suspendAtEngine says whether the engine confirmed.
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

// generate runs the request, or goes on with it where it was. When the engine
// no longer holds the stream, it starts again from the beginning.
func (r *run) generate(ctx context.Context, resume bool) error {
	if resume && r.request.streamed && r.stream.Sent() {
		err := r.stream.Resume(ctx, r.stream.LastID())
		var status *engine.StatusError
		if err == nil || ctx.Err() != nil || !errors.As(err, &status) {
			return err
		}
		r.puller.config.Dispatcher.Submit(admit.TokensLost{Count: int(r.taken.Load())})
	}
	return r.start(ctx)
}

func (r *run) start(ctx context.Context) error {
	r.assembly = newAssembly(r.request.path)
	r.taken.Store(0)
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
		OnEvent: r.take,
		MayResume: func() bool { return !r.halting.Load() },
		OnBody: r.takeBody,
	}
	if !r.request.streamed {
		r.stream.MaxBufferedBody = r.puller.config.MaxResultBytes
	}
	return r.stream.Run(ctx)
}

func (r *run) take(e engine.Event) error {
	if r.assembly.pieces == 0 {
		r.puller.config.Dispatcher.Submit(admit.FirstToken{ID: r.id})
	}
	if err := r.assembly.add(e.Data); err != nil {
		return err
	}
	r.taken.Add(1)
	if r.assembly.text > r.puller.config.MaxResultBytes {
		return errTooLarge
	}
	return nil
}

func (r *run) takeBody(piece []byte) error {
	r.body = append(r.body, piece...)
	if len(r.body) > r.puller.config.MaxResultBytes {
		return errTooLarge
	}
	return nil
}

// result is how an item ended here.
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

// outcome judges how a run ended. An item that never reached the engine has
// spent no attempt; one whose answer is not whole has.
func (r *run) outcome(err error) result {
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
		return r.done()
	case permanent(r.status):
		return failed(fmt.Sprintf("status-%d", r.status))
	default:
		return retry(fmt.Sprintf("status-%d", r.status))
	}
}

// doneWhole is an answer that came in one.
func (r *run) doneWhole() result {
	if !json.Valid(r.body) {
		return retry(engine.Cause(engine.ErrMalformed))
	}
	return result{outcome: toucanhingev1.Outcome_OUTCOME_DONE, body: r.body}
}

// permanent says whether the engine would give the same answer again.
func permanent(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusConflict, http.StatusTooManyRequests, http.StatusTooEarly:
		return false
	default:
		return status >= 400 && status < 500
	}
}

func (r *run) done() result {
	if r.assembly.pieces == 0 && len(r.body) > 0 {
		return r.doneWhole()
	}
	body, err := r.assembly.whole()
	if err != nil {
		return retry(engine.Cause(err))
	}
	return result{outcome: toucanhingev1.Outcome_OUTCOME_DONE, body: body}
}
