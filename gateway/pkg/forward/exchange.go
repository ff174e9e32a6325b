package forward

import (
	"context"
	"fmt"
	"net/http"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/crashes"
	"toucanhinge.example/common/pkg/digest"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/occupancy"
	"toucanhinge.example/common/pkg/routing"
	"toucanhinge.example/common/pkg/runner"
	"toucanhinge.example/gateway/pkg/place"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// refusedPause keeps requests off a runner that was full when we thought it
	// wasn't: about the time in which one of its places becomes free.
	refusedPause clock.Millis = 60
	// unreachablePause keeps requests off a runner that can't be reached. It is
	// tried again about once a second, by a request that can go elsewhere.
	unreachablePause clock.Millis = 1_000
	// otherPause keeps requests off an address that another instance has: the
	// list of runners will say so within a second or two.
	otherPause clock.Millis = 5_000
	// brokenPause is how long a runner that broke a call off is a last choice.
	brokenPause clock.Millis = 1_000
	// mostTries bounds the runners that are asked for one request, those that
	// didn't run it included.
	mostTries = 6
)

var (
	errSilent = errors.New("the runner sent nothing for too long")
	errGap    = errors.New("an event of the stream is missing")
	errLeft   = errors.New("the caller left")
	errStatus = errors.New("the runner failed the request")
)

// exchange is one request on its way.
type exchange struct {
	server  *Server
	w       http.ResponseWriter
	route   routing.Route
	entry   Authorization
	request Request
	service string
	ends    clock.Millis
	// returned says that the caller was turned away before.
	returned bool

	// tried are the runners asked, ran how many of them may have run it.
	tried []string
	ran   int
	// begun says that the answer's header went to the caller.
	begun  bool
	resume bool
	after  uint64
	events int

	outcome string
	reason  string
	firstAt clock.Millis
	// heardAt is when the first event of the present call came, 0 before.
	heardAt clock.Millis
	// content is what the request asks for, nil until it is needed.
	content *crashes.Fingerprint
	inRoom  bool
	// wait is what the last choice expected, waited how long it was in the room.
	wait   clock.Millis
	waited clock.Millis
	err    error
}

func (e *exchange) now() clock.Millis { return e.server.config.Clock.Now() }

// serve tries runners until the request is answered or given up.
func (e *exchange) serve(ctx context.Context) {
	for len(e.tried) < mostTries {
		// What is kept from all runners is turned away before it waits for one, and after.
		refusal := e.quarantined(ctx)
		var choice place.Choice
		if refusal == nil {
			choice, refusal = e.choose(ctx)
		}
		if refusal == nil && e.inRoom {
			refusal = e.quarantined(ctx)
		}
		if refusal != nil {
			e.giveUp(ctx, *refusal)
			return
		}
		again := e.attempt(ctx, choice.Runner)
		if !again {
			return
		}
		if ctx.Err() != nil {
			e.giveUp(ctx, Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonTimeLimit})
			return
		}
	}
	_, ask, _ := e.look()
	e.giveUp(ctx, *e.refusal(ReasonNoRunner, ask))
}

// giveUp ends a request that can't be served, with the truth about whether it
// may have run.
func (e *exchange) giveUp(ctx context.Context, refusal Refusal) {
	e.reason = refusal.Reason
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		e.outcome = outcomeLeft
	case e.begun:
		e.cut()
	case e.ran > 0:
		e.fail(refusal)
	default:
		e.outcome = outcomeRefused
		e.server.Refuse(e.w, refusal)
	}
}

// fail answers that the request failed, and may have run.
func (e *exchange) fail(refusal Refusal) {
	e.outcome, e.reason = outcomeFailed, refusal.Reason
	answer := Refusal{Status: http.StatusBadGateway, Reason: refusal.Reason}
	switch refusal.Reason {
	case ReasonTimeLimit:
		answer.Status = http.StatusGatewayTimeout
	case ReasonCrashes:
		answer.RetryAfter = refusal.RetryAfter
	}
	e.server.Refuse(e.w, answer)
}

// cut ends an answer whose beginning has gone out, so that it can't look whole.
func (e *exchange) cut() {
	e.outcome = outcomeCut
}

// attempt asks one runner; again says that another one should be asked.
func (e *exchange) attempt(parent context.Context, r *toucanhingev1.Runner) (again bool) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	e.tried = append(e.tried, r.GetId())
	e.server.config.Exchange.Add(r.GetId(), occupancy.Load{Online: 1})
	defer e.server.config.Exchange.Add(r.GetId(), occupancy.Load{Online: -1})
	began := e.now()
	e.heardAt = 0
	silence := e.watch(cancel)
	defer silence.stop()
	var watch *digest.Watch
	if e.route.Streams() {
		watch = e.server.config.Exchange.Watch(r, e.wait)
		defer watch.Stop()
	}
	answer, err := e.server.config.Client.Open(ctx, e.call(r))
	if err != nil {
		return e.unanswered(parent, r, began, silence.explain(parent, err))
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.Load != nil && !answer.OtherInstance {
		e.server.config.Exchange.Observe(r.GetId(), answer.Load.Total())
	}
	if answer.NotRun || answer.OtherInstance {
		return e.notRun(r, answer)
	}
	e.ran++
	// What has begun can only go on with events, and a failure may be repeated.
	if e.begun && answer.Status != http.StatusOK || answer.Status >= http.StatusInternalServerError && e.mayRepeat() {
		return e.broken(parent, r, began, fmt.Errorf("%w: %d", errStatus, answer.Status))
	}
	if e.route.Streams() && answer.Status == http.StatusOK {
		err = silence.explain(parent, e.stream(answer, silence, watch))
	} else {
		err = e.pass(answer)
	}
	if err == nil {
		e.survived()
		e.finish(answer)
		span := e.now() - began
		e.server.learn(func(m *place.Machine) { m.RecordHold(e.service, span) })
		return false
	}
	return e.broken(parent, r, began, err)
}

func (e *exchange) call(r *toucanhingev1.Runner) runner.Call {
	return runner.Call{
		Runner: r, Request: e.request.ID, Method: e.request.Method, Target: e.request.Target, Host: e.request.Host,
		Header: e.request.Header, Team: e.entry.Team.GetName(), Body: e.request.Body, Chunked: e.request.Chunked,
		Remaining: max(e.ends-e.now(), 1), Resume: e.resume, After: e.after,
	}
}

// unanswered handles a call without an answer.
func (e *exchange) unanswered(ctx context.Context, r *toucanhingev1.Runner, began clock.Millis, err error) (again bool) {
	var unsent *runner.NotSentError
	if errors.As(err, &unsent) {
		if ctx.Err() == nil {
			e.server.learn(func(m *place.Machine) { m.Block(r.GetId(), e.now()+unreachablePause) })
		}
		if unsent.Unresponsive {
			// Each gateway would else find out by a request of its own.
			e.server.config.Exchange.SetUnresponsive(r.GetId(), true)
		}
		return e.again(r, "unreachable", err)
	}
	e.ran++
	return e.broken(ctx, r, began, err)
}

// notRun handles a runner's word that it didn't run the request.
func (e *exchange) notRun(r *toucanhingev1.Runner, answer *runner.Answer) (again bool) {
	pause, reason := refusedPause, "runner-full"
	if answer.OtherInstance {
		pause, reason = otherPause, "other-instance"
	}
	e.server.learn(func(m *place.Machine) { m.Block(r.GetId(), e.now()+pause) })
	return e.again(r, reason, nil)
}

// broken handles a call that ended early, after it was sent.
func (e *exchange) broken(ctx context.Context, r *toucanhingev1.Runner, began clock.Millis, err error) (again bool) {
	e.err = err
	if errors.Is(err, errLeft) || errors.Is(ctx.Err(), context.Canceled) {
		e.outcome = outcomeLeft
		return false
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		e.giveUp(ctx, Refusal{Reason: ReasonTimeLimit})
		return false
	}
	e.server.learn(func(m *place.Machine) { m.Deprioritize(r.GetId(), e.now()+brokenPause) })
	e.sightCrash(ctx, r, began, err)
	if !e.mayRepeat() {
		e.giveUp(ctx, Refusal{Reason: ReasonBroken})
		return false
	}
	return e.again(r, "broke-off", err)
}

func (e *exchange) again(r *toucanhingev1.Runner, reason string, err error) bool {
	e.err = err
	e.server.metrics.retried.WithLabelValues(reason).Inc()
	level.Info(e.server.config.Logger).Log(logs.KeyEvent, logs.EventRequestElsewhere, logs.KeyRequest, e.request.ID,
		"runner", r.GetId(), "reason", reason, "ran", e.ran, logs.KeyError, err)
	return true
}

// mayRepeat says whether the request may run at one more runner.
func (e *exchange) mayRepeat() bool {
	return e.route.Repeatable() && e.ran < int(max(e.route.MaxAttempts, 1))
}

func (e *exchange) finish(answer *runner.Answer) {
	e.outcome = outcomeServed
	if answer.Status >= http.StatusInternalServerError {
		e.outcome = outcomePassedOn
	}
}

// report logs how the request ended. A cut answer ends by breaking the caller's
// connection: its beginning has gone out, and it must not look whole.
func (e *exchange) report() {
	if e.ran == 0 {
		e.server.ReleaseQuota(e.entry)
	}
	e.server.metrics.requests.WithLabelValues(e.outcome).Inc()
	now := e.now()
	first := clock.Millis(-1)
	if e.firstAt > 0 {
		first = e.firstAt - e.request.Arrived
		e.server.metrics.first.Observe(first.Duration().Seconds())
	}
	logger := level.Info(e.server.config.Logger)
	if e.outcome != outcomeServed && e.outcome != outcomeLeft {
		logger = level.Warn(e.server.config.Logger)
	}
	if e.content != nil {
		// The key to the lines of the request's other attempts.
		logger = log.With(logger, logs.KeyFingerprint, *e.content)
	}
	logger.Log(logs.KeyEvent, logs.EventRequestEnded, logs.KeyRequest, e.request.ID,
		"route", e.route.Name, "team", e.entry.Team.GetName(), "version", e.server.Version(), "outcome", e.outcome, "reason", e.reason, "runners", e.tried, "ran", e.ran,
		"expected-wait-ms", e.wait, "returned", e.returned, "waited-ms", e.waited, "first-ms", first,
		"objective-ms", e.route.Objective(), "took-ms", now-e.request.Arrived, "events", e.events,
		"left-ms", e.ends-now, logs.KeyError, e.err)
	if e.outcome == outcomeCut {
		panic(http.ErrAbortHandler)
	}
}
