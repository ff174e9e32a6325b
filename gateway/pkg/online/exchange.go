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

// resumeTimeout limits the wait for the rest of an answer from the endpoint that started it. The
// endpoint either still has the rest and returns it at once, or has probably lost it.
const resumeTimeout clock.Millis = 1_000

// exchange is one request in flight. It belongs to the caller's goroutine, which reads and writes
// all frames, so that no token waits for a switch between goroutines.
type exchange struct {
	executor *Executor
	request  *Request
	sink     Sink
	machine  *attempt.Machine
	actions  []attempt.Action
	result   Result

	arrivedAt clock.Millis
	// choice is the last selected endpoint; stream is the open attempt at it.
	choice  route.Choice
	stream  *endpoint.Stream
	attempt uint32
	// outcome, retry and load of the open attempt are reported when it is closed.
	outcome      route.Outcome
	retry        clock.Millis
	load         *toucanhingev1.Load
	sentAt       clock.Millis
	firstChunkAt clock.Millis
	lastChunkAt  time.Time
	// chunkInterval is looked up once for each stream, because a lookup for each token is measurably slow.
	chunkInterval prometheus.Observer
	// open is true while an attempt is in flight.
	open bool
	// notRun is true once the endpoint has refused the open attempt, so that no cancel is needed.
	notRun bool
	// keepRun makes closeStream leave the run uncancelled, because the run may still return the rest of the answer.
	keepRun   bool
	abandoned abandonedRun

	status   int
	headers  []*toucanhingev1.Header
	headSent bool
	buffer   []byte
	partSent bool
	// software is the version of the software that began the answer; begun is true once the caller has a part of it.
	software string
	begun    bool
	done     bool
}

func (e *exchange) run(ctx context.Context) {
	event := attempt.Event{Kind: attempt.EventStart}
	for !e.done {
		event = e.step(ctx, event)
		for event.Kind == 0 && !e.done {
			event = e.receive(ctx)
		}
	}
}

// step passes the event to the machine and performs the resulting actions. At most one of the
// actions returns the next event.
func (e *exchange) step(ctx context.Context, event attempt.Event) attempt.Event {
	e.updateOutcome(event)
	e.actions = e.machine.Step(e.executor.config.Clock.Now(), event, e.actions[:0])
	next := attempt.Event{}
	for i := range e.actions {
		if followUp := e.perform(ctx, e.actions[i]); followUp.Kind != 0 {
			next = followUp
		}
	}
	if e.machine.Ended() {
		e.done = true
		e.result.MayHaveRun = e.machine.MayHaveRun()
	}
	return next
}

// updateOutcome records the outcome that the event implies for the endpoint, in case the machine
// ends the attempt because of the event.
func (e *exchange) updateOutcome(event attempt.Event) {
	switch {
	case event.Kind == attempt.EventCallerGone || event.Kind == attempt.EventExpired:
		e.outcome = route.OutcomeNeutral
	case event.Kind == attempt.EventFrame && event.Frame.Ran == attempt.RanNo && event.Frame.Reason != "":
		e.outcome, e.retry = refusalOutcome(event.Frame.Reason), event.Frame.RetryAfter
		e.notRun = e.firstChunkAt == 0
	case event.Kind == attempt.EventFrame:
		e.outcome, e.retry = route.OutcomeFailed, 0
	}
}

// refusalOutcome distinguishes refusals that apply to every request from refusals of this request
// only: a short deadline must not keep the next request away from the endpoint.
func refusalOutcome(reason string) route.Outcome {
	switch reason {
	case "queue-full", "leaving", "loading", "unhealthy":
		return route.OutcomeRefused
	default:
		return route.OutcomeNeutral
	}
}

// notify passes the machine an event that results in no actions.
func (e *exchange) notify(kind attempt.EventKind) {
	e.machine.Step(e.executor.config.Clock.Now(), attempt.Event{Kind: kind}, nil)
}

// perform carries out an action and returns the next event, if there is one.
func (e *exchange) perform(ctx context.Context, action attempt.Action) attempt.Event {
	switch action.Kind {
	case attempt.ActionChoose:
		return e.choose()
	case attempt.ActionSend:
		return e.send(ctx, action)
	case attempt.ActionHead:
		e.status = action.Status
		if action.Status != http.StatusOK {
			e.notify(attempt.EventTextLost)
		}
	case attempt.ActionData:
		return e.writeData(action.Data)
	case attempt.ActionReset:
		e.buffer, e.status, e.headers = e.buffer[:0], 0, nil
	case attempt.ActionFinish:
		return e.finish()
	case attempt.ActionFail:
		e.fail(action)
	case attempt.ActionCancel:
		e.closeStream(e.outcome)
	case attempt.ActionRetried:
		e.executor.config.Metrics.Set.Retried.WithLabelValues("endpoint", action.Reason).Inc()
		e.record("retried", action.Endpoint+" "+action.Reason)
	case attempt.ActionDropped:
		e.executor.config.Metrics.Dropped.WithLabelValues(action.Reason).Inc()
	}
	return attempt.Event{}
}

func (e *exchange) record(event, detail string) {
	e.executor.config.DecisionLog.Add(e.request.ID, event, detail)
}

func (e *exchange) choose() attempt.Event {
	e.closeStream(e.outcome)
	e.cancelAbandoned()
	choice := e.executor.config.Directory.Choose(route.Request{
		Service:     e.request.Service,
		DataCentres: e.request.DataCentres,
		Prefix:      e.request.Prefix,
		Tried:       e.machine.Tried(),
		Continues:   e.begun,
		Software:    e.software,
		Budget:      e.request.Deadline - e.executor.config.Clock.Now(),
		Idempotent:  e.request.Idempotent,
	})
	e.choice = choice
	if choice.Endpoint == "" {
		e.record("no-choice", choice.Reason)
		return attempt.Event{Kind: attempt.EventNoEndpoint, Reason: choice.Reason, RetryAfter: choice.RetryAfter}
	}
	e.record("chosen", choice.Endpoint+" "+choice.Rule)
	return attempt.Event{Kind: attempt.EventChosen, Endpoint: choice.Endpoint}
}

func (e *exchange) send(ctx context.Context, action attempt.Action) attempt.Event {
	if action.ResumeAfter > 0 {
		e.keepRun = true
		e.closeStream(e.outcome)
		e.keepRun = false
		address, found := e.executor.config.Directory.RecordSent(action.Endpoint)
		if !found {
			e.attempt = action.Attempt
			return e.breakAttempt(endpoint.Failure{Reason: endpoint.ReasonUnreachable, Unreachable: true})
		}
		e.choice.Endpoint, e.choice.Address = action.Endpoint, address
	}
	e.attempt = action.Attempt
	body := e.request.Body
	if action.WithText {
		joined, err := e.request.Text.Body(body)
		if err != nil {
			e.notify(attempt.EventTextLost)
			e.closeStream(route.OutcomeNeutral)
			return attempt.Event{Kind: attempt.EventBroken, Attempt: action.Attempt, Reason: "not-resumable"}
		}
		e.request.Text.SwitchEndpoint()
		body = joined
	}
	now := e.executor.config.Clock.Now()
	e.sentAt, e.firstChunkAt = now, 0
	timeout := clock.Millis(0)
	if action.ResumeAfter > 0 {
		timeout = resumeTimeout
	}
	e.open = true
	e.result.Attempts++
	e.executor.config.Metrics.Attempts.Inc()
	stream, failure := e.executor.config.Directory.Open(ctx, e.choice.Address, e.newRunRequest(action, body, now), timeout)
	if failure != nil {
		e.stream = nil
		return e.handleStreamFailure(ctx, *failure)
	}
	e.stream = stream
	return attempt.Event{}
}

func (e *exchange) newRunRequest(action attempt.Action, body []byte, now clock.Millis) *toucanhingev1.RunRequest {
	return &toucanhingev1.RunRequest{
		RequestId: e.request.ID, Attempt: action.Attempt, Team: e.request.Team, Service: e.request.Service,
		Method: e.request.Method, Path: e.request.Path, Headers: e.request.Headers, Body: body,
		BudgetMs: int64(e.request.Deadline - now), Idempotent: e.request.Idempotent, Stream: e.request.Stream,
		ResumeAfter: action.ResumeAfter, Gateway: e.executor.config.Gateway,
	}
}

// receive waits for the next frame of the open attempt.
func (e *exchange) receive(ctx context.Context) attempt.Event {
	frame, failure := e.stream.Next()
	if failure != nil {
		return e.handleStreamFailure(ctx, *failure)
	}
	now := e.executor.config.Clock.Now()
	event := attempt.Event{Kind: attempt.EventFrame, Frame: endpoint.NewFrame(frame)}
	switch event.Frame.Part {
	case attempt.PartHead:
		e.abandoned = abandonedRun{}
		e.headers = frame.GetHead().GetHeaders()
	case attempt.PartData:
		if e.firstChunkAt == 0 {
			// A resumed attempt has taken over the earlier attempt's run.
			e.abandoned = abandonedRun{}
			e.firstChunkAt = now
		}
		if e.request.Stream {
			e.stream.SetTimeout(e.executor.config.StallTimeout)
		}
	default:
		// The last frame's load no longer includes this request, so it is reported after the
		// router has stopped counting the request too.
		e.load = frame.GetLoad()
		return event
	}
	if load := frame.GetLoad(); load != nil {
		e.choice.Software = load.GetSoftware()
		e.executor.config.Directory.RecordLoad(e.choice.Endpoint, load)
	}
	return event
}

// deadlineSkew is how much earlier a request's deadline may expire at the endpoint than at the
// gateway: the budget is sent in whole milliseconds, and the gateway's timer may be late. An attempt
// that breaks so shortly before the deadline can't be retried anyway. Without the skew, some
// expired requests were reported as endpoint failures.
const deadlineSkew clock.Millis = 10

// handleStreamFailure distinguishes a disconnected caller and an expired deadline from a failure of the
// endpoint.
func (e *exchange) handleStreamFailure(ctx context.Context, failure endpoint.Failure) attempt.Event {
	switch ctx.Err() {
	case context.Canceled:
		return attempt.Event{Kind: attempt.EventCallerGone}
	case context.DeadlineExceeded:
		return attempt.Event{Kind: attempt.EventExpired}
	}
	if e.request.Deadline-e.executor.config.Clock.Now() <= deadlineSkew {
		return attempt.Event{Kind: attempt.EventExpired}
	}
	if failure.Err != nil {
		e.record("broken", fmt.Sprintf("%s %s: %v", e.choice.Endpoint, failure.Reason, failure.Err))
	}
	return e.breakAttempt(failure)
}

func (e *exchange) breakAttempt(failure endpoint.Failure) attempt.Event {
	// The machine may request the rest from this endpoint, so the run isn't cancelled until the
	// machine decides otherwise.
	e.abandoned = abandonedRun{}
	if failure.Reached && !failure.Unreachable {
		e.abandoned = abandonedRun{address: e.choice.Address, attempt: e.attempt}
	}
	e.keepRun = true
	outcome := route.OutcomeFailed
	if failure.Unreachable {
		outcome = route.OutcomeUnreachable
	}
	e.closeStream(outcome)
	e.keepRun = false
	return attempt.Event{
		Kind: attempt.EventBroken, Attempt: e.attempt, Reason: failure.Reason,
		Reached: failure.Reached, Unreachable: failure.Unreachable,
	}
}

// abandonedRun is a run that continues at its endpoint after its stream broke.
type abandonedRun struct {
	address string
	attempt uint32
}

// cancelAbandoned cancels the run of a broken stream.
func (e *exchange) cancelAbandoned() {
	if e.abandoned.address != "" {
		e.executor.config.Directory.Cancel(e.abandoned.address, e.request.ID, e.abandoned.attempt)
	}
	e.abandoned = abandonedRun{}
}

// closeStream ends the open attempt, if there is one, and reports its outcome to the directory.
func (e *exchange) closeStream(outcome route.Outcome) {
	if e.choice.Endpoint == "" {
		return
	}
	if e.stream != nil {
		e.stream.Close()
		e.stream = nil
	}
	if e.open && !e.keepRun && !e.notRun && outcome != route.OutcomeComplete {
		e.executor.config.Directory.Cancel(e.choice.Address, e.request.ID, e.attempt)
	}
	e.open, e.notRun = false, false
	first := clock.Millis(0)
	if e.firstChunkAt > 0 {
		first = max(e.firstChunkAt-e.sentAt, 1)
	}
	if outcome == 0 {
		outcome = route.OutcomeNeutral
	}
	e.executor.config.Directory.RecordEnd(e.choice.Endpoint, outcome, first, e.retry)
	e.executor.config.Directory.RecordLoad(e.choice.Endpoint, e.load)
	e.outcome, e.retry, e.load = 0, 0, nil
	e.choice.Endpoint = ""
}

func (e *exchange) close() {
	e.cancelAbandoned()
	e.closeStream(route.OutcomeNeutral)
}
