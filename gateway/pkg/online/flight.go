package online

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/gateway/pkg/attempt"
	"toucanhinge.example/gateway/pkg/endpoint"
	"toucanhinge.example/gateway/pkg/route"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// resumeWait bounds the wait for the rest of an answer from the endpoint that
// began it: it has it at hand, or it is as good as gone.
const resumeWait clock.Millis = 1_000

// flight is one request under way. It belongs to the caller's goroutine: frames
// are read and written there, so that no token waits for a hand-over.
type flight struct {
	runner  *Executor
	request *Request
	sink    Sink
	machine *attempt.Machine
	actions []attempt.Action
	ending  Result

	arrived clock.Millis
	// choice is the last endpoint chosen; stream is the open attempt to it.
	choice  route.Choice
	stream  *endpoint.Stream
	attempt uint32
	// outcome, retry and load of the open attempt, told when it closes.
	outcome route.Outcome
	retry   clock.Millis
	load    *toucanhingev1.Load
	sentAt  clock.Millis
	firstAt clock.Millis
	lastAt  time.Time
	// between is looked up once a stream: a look-up for each token shows.
	between prometheus.Observer
	// open is true from the sending of an attempt to its end.
	open bool
	// notRun is true once the endpoint refused the open attempt: there is nothing to cancel.
	notRun bool
	// keepRun is true while a stream is closed whose run may be asked for the rest.
	keepRun bool
	left    abandoned

	status  int
	headers []*toucanhingev1.Header
	headOut bool
	held    []byte
	passed  bool
	done    bool
}

func (f *flight) run(ctx context.Context) {
	event := attempt.Event{Kind: attempt.EventStart}
	for !f.done {
		event = f.step(ctx, event)
		for event.Kind == 0 && !f.done {
			event = f.receive(ctx)
		}
	}
}

// step lets the machine decide and carries its actions out. An action may give
// the next event; at most one of them does.
func (f *flight) step(ctx context.Context, event attempt.Event) attempt.Event {
	f.judge(event)
	f.actions = f.machine.Step(f.runner.config.Clock.Now(), event, f.actions[:0])
	next := attempt.Event{}
	for i := range f.actions {
		if e := f.do(ctx, f.actions[i]); e.Kind != 0 {
			next = e
		}
	}
	if f.machine.Ended() {
		f.done = true
		f.ending.MayHaveRun = f.machine.MayHaveRun()
	}
	return next
}

// judge notes what the event says of the endpoint, in case the machine ends the
// attempt because of it.
func (f *flight) judge(event attempt.Event) {
	switch {
	case event.Kind == attempt.EventCallerGone || event.Kind == attempt.EventExpired:
		f.outcome = route.OutcomeNeutral
	case event.Kind == attempt.EventFrame && event.Frame.Ran == attempt.RanNo && event.Frame.Reason != "":
		f.outcome, f.retry = refusalOutcome(event.Frame.Reason), event.Frame.RetryAfter
		f.notRun = f.firstAt == 0
	case event.Kind == attempt.EventFrame:
		f.outcome, f.retry = route.OutcomeFailed, 0
	}
}

// refusalOutcome tells a refusal that holds for every request from one that
// speaks of this request only: a short deadline says nothing of the next one,
// and must not keep it away.
func refusalOutcome(reason string) route.Outcome {
	switch reason {
	case "queue-full", "leaving", "loading", "unhealthy":
		return route.OutcomeRefused
	default:
		return route.OutcomeNeutral
	}
}

// tell gives the machine an event that asks for nothing to be done.
func (f *flight) tell(kind attempt.EventKind) {
	f.machine.Step(f.runner.config.Clock.Now(), attempt.Event{Kind: kind}, nil)
}

func (f *flight) do(ctx context.Context, action attempt.Action) attempt.Event {
	switch action.Kind {
	case attempt.ActionChoose:
		return f.choose()
	case attempt.ActionSend:
		return f.send(ctx, action)
	case attempt.ActionHead:
		f.status = action.Status
		if action.Status != http.StatusOK {
			f.tell(attempt.EventTextLost)
		}
	case attempt.ActionData:
		return f.data(action.Data)
	case attempt.ActionReset:
		f.held, f.status, f.headers = f.held[:0], 0, nil
	case attempt.ActionFinish:
		return f.finish()
	case attempt.ActionFail:
		f.fail(action)
	case attempt.ActionCancel:
		f.closeStream(f.outcome)
	case attempt.ActionRetried:
		f.runner.config.Metrics.Set.Retried.WithLabelValues("endpoint", action.Reason).Inc()
		f.note("retried", action.Endpoint+" "+action.Reason)
	case attempt.ActionDropped:
		f.runner.config.Metrics.Dropped.WithLabelValues(action.Reason).Inc()
	}
	return attempt.Event{}
}

func (f *flight) note(event, detail string) {
	f.runner.config.Log.Add(f.request.ID, event, detail)
}

func (f *flight) choose() attempt.Event {
	f.closeStream(f.outcome)
	f.cancelLeft()
	choice := f.runner.config.Directory.Choose(route.Request{
		Service:     f.request.Service,
		DataCentres: f.request.DataCentres,
		Prefix:      f.request.Prefix,
		Tried:       f.machine.Tried(),
		Budget:      f.request.Deadline - f.runner.config.Clock.Now(),
		Idempotent:  f.request.Idempotent,
	})
	f.choice = choice
	if choice.Endpoint == "" {
		f.note("no-choice", choice.Reason)
		return attempt.Event{Kind: attempt.EventNoEndpoint, Reason: choice.Reason, RetryAfter: choice.RetryAfter}
	}
	f.note("chosen", choice.Endpoint+" "+choice.Rule)
	return attempt.Event{Kind: attempt.EventChosen, Endpoint: choice.Endpoint}
}

func (f *flight) send(ctx context.Context, action attempt.Action) attempt.Event {
	if action.ResumeAfter > 0 {
		f.keepRun = true
		f.closeStream(f.outcome)
		f.keepRun = false
		address, found := f.runner.config.Directory.RecordSent(action.Endpoint)
		if !found {
			f.attempt = action.Attempt
			return f.broken(endpoint.Failure{Reason: endpoint.ReasonUnreachable, Unreachable: true})
		}
		f.choice.Endpoint, f.choice.Address = action.Endpoint, address
	}
	f.attempt = action.Attempt
	body := f.request.Body
	if action.WithText {
		joined, err := f.request.Text.Body(body)
		if err != nil {
			f.tell(attempt.EventTextLost)
			f.closeStream(route.OutcomeNeutral)
			return attempt.Event{Kind: attempt.EventBroken, Attempt: action.Attempt, Reason: "not-resumable"}
		}
		f.request.Text.SwitchEndpoint()
		body = joined
	}
	now := f.runner.config.Clock.Now()
	f.sentAt, f.firstAt = now, 0
	limit := clock.Millis(0)
	if action.ResumeAfter > 0 {
		limit = resumeWait
	}
	f.open = true
	f.ending.Attempts++
	f.runner.config.Metrics.Attempts.Inc()
	stream, failure := f.runner.config.Directory.Open(ctx, f.choice.Address, f.runRequest(action, body, now), limit)
	if failure != nil {
		f.stream = nil
		return f.brokenBy(ctx, *failure)
	}
	f.stream = stream
	return attempt.Event{}
}

func (f *flight) runRequest(action attempt.Action, body []byte, now clock.Millis) *toucanhingev1.RunRequest {
	return &toucanhingev1.RunRequest{
		RequestId: f.request.ID, Attempt: action.Attempt, Team: f.request.Team, Service: f.request.Service,
		Method: f.request.Method, Path: f.request.Path, Headers: f.request.Headers, Body: body,
		BudgetMs: int64(f.request.Deadline - now), Idempotent: f.request.Idempotent, Stream: f.request.Stream,
		ResumeAfter: action.ResumeAfter, Gateway: f.runner.config.Gateway,
	}
}

// receive waits for the next frame of the open attempt.
func (f *flight) receive(ctx context.Context) attempt.Event {
	frame, failure := f.stream.Next()
	if failure != nil {
		return f.brokenBy(ctx, *failure)
	}
	now := f.runner.config.Clock.Now()
	event := attempt.Event{Kind: attempt.EventFrame, Frame: endpoint.NewFrame(frame)}
	switch event.Frame.Part {
	case attempt.PartHead:
		f.left = abandoned{}
		f.headers = frame.GetHead().GetHeaders()
	case attempt.PartData:
		if f.firstAt == 0 {
			// A resumed attempt has taken the earlier one's run over.
			f.left = abandoned{}
			f.firstAt = now
		}
		if f.request.Stream {
			f.stream.SetTimeout(f.runner.config.StallTimeout)
		}
	default:
		// The last frame's load no longer counts this request, so it is told
		// once the router doesn't either.
		f.load = frame.GetLoad()
		return event
	}
	if load := frame.GetLoad(); load != nil {
		f.runner.config.Directory.RecordLoad(f.choice.Endpoint, load)
	}
	return event
}

// deadlineSkew is how much sooner than here a request's deadline may run out at the endpoint, a
// span: it travels as whole milliseconds, and our own timer may be late. An attempt that
// breaks so shortly before it can't be repeated anyway; without this, callers whose time was
// up were told now and then that the endpoint had broken off.
const deadlineSkew clock.Millis = 10

// brokenBy tells the caller's leaving and the deadline apart from a failure of the endpoint.
func (f *flight) brokenBy(ctx context.Context, failure endpoint.Failure) attempt.Event {
	switch ctx.Err() {
	case context.Canceled:
		return attempt.Event{Kind: attempt.EventCallerGone}
	case context.DeadlineExceeded:
		return attempt.Event{Kind: attempt.EventExpired}
	}
	if f.request.Deadline-f.runner.config.Clock.Now() <= deadlineSkew {
		return attempt.Event{Kind: attempt.EventExpired}
	}
	if failure.Err != nil {
		f.note("broken", fmt.Sprintf("%s %s: %v", f.choice.Endpoint, failure.Reason, failure.Err))
	}
	return f.broken(failure)
}

func (f *flight) broken(failure endpoint.Failure) attempt.Event {
	// The machine may ask this endpoint for the rest, so its run is left alone
	// until it decides otherwise.
	f.left = abandoned{}
	if failure.Reached && !failure.Unreachable {
		f.left = abandoned{address: f.choice.Address, attempt: f.attempt}
	}
	f.keepRun = true
	outcome := route.OutcomeFailed
	if failure.Unreachable {
		outcome = route.OutcomeUnreachable
	}
	f.closeStream(outcome)
	f.keepRun = false
	return attempt.Event{
		Kind: attempt.EventBroken, Attempt: f.attempt, Reason: failure.Reason,
		Reached: failure.Reached, Unreachable: failure.Unreachable,
	}
}

// abandoned is a run that a broken stream left behind at its endpoint.
type abandoned struct {
	address string
	attempt uint32
}

// cancelLeft ends the run that a broken stream left behind.
func (f *flight) cancelLeft() {
	if f.left.address != "" {
		f.runner.config.Directory.Cancel(f.left.address, f.request.ID, f.left.attempt)
	}
	f.left = abandoned{}
}

// closeStream ends the open attempt, if any, and tells the directory of it.
func (f *flight) closeStream(outcome route.Outcome) {
	if f.choice.Endpoint == "" {
		return
	}
	if f.stream != nil {
		f.stream.Close()
		f.stream = nil
	}
	if f.open && !f.keepRun && !f.notRun && outcome != route.OutcomeComplete {
		f.runner.config.Directory.Cancel(f.choice.Address, f.request.ID, f.attempt)
	}
	f.open, f.notRun = false, false
	first := clock.Millis(0)
	if f.firstAt > 0 {
		first = max(f.firstAt-f.sentAt, 1)
	}
	if outcome == 0 {
		outcome = route.OutcomeNeutral
	}
	f.runner.config.Directory.RecordEnd(f.choice.Endpoint, outcome, first, f.retry)
	f.runner.config.Directory.RecordLoad(f.choice.Endpoint, f.load)
	f.outcome, f.retry, f.load = 0, 0, nil
	f.choice.Endpoint = ""
}

func (f *flight) close() {
	f.cancelLeft()
	f.closeStream(route.OutcomeNeutral)
}
