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
	"toucanhinge.example/common/pkg/quota"
	"toucanhinge.example/common/pkg/routing"
	"toucanhinge.example/common/pkg/runner"
	"toucanhinge.example/common/pkg/streamorigin"
	"toucanhinge.example/gateway/pkg/fairshare"
	"toucanhinge.example/gateway/pkg/placement"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// fullBlockDuration is how long a runner is blocked after it refused a call because it was
	// full: about the time until one of its slots becomes free.
	fullBlockDuration clock.Millis = 60
	// unreachableBlockDuration is how long a runner that can't be reached is blocked. It is
	// tried again about once a second, by a request that can be retried at another runner.
	unreachableBlockDuration clock.Millis = 1_000
	// otherInstanceBlockDuration is how long a runner is blocked if another instance uses its
	// address. The list of runners is updated within one or two seconds.
	otherInstanceBlockDuration clock.Millis = 5_000
	// maxConnectTime is the longest time after which a connection attempt without an answer says something
	// about the runner. Attempts end after 100 ms; a later end means that this process didn't run meanwhile.
	maxConnectTime clock.Millis = 150
	// deprioritizeDuration is how long a runner is deprioritized after one of its calls broke.
	deprioritizeDuration clock.Millis = 1_000
	// maxTries limits the runners to which a request is sent, including runners that
	// didn't run it.
	maxTries = 6
	// minMeasuredEvents is the number of events from which on the time per event of a call says something
	// about its runner.
	minMeasuredEvents = 5
)

var (
	errEventTimeout = errors.New("call runner: no event within the timeout")
	errMissingEvent = errors.New("read stream: an event is missing")
	errOtherVersion = errors.New("read stream: it began at another software version")
	errCallerLeft   = errors.New("write answer: the caller disconnected")
	errRunnerFailed = errors.New("call runner: unexpected status")
)

// exchange serves one request, from its placement to the end of its answer.
type exchange struct {
	server  *Server
	w       http.ResponseWriter
	route   routing.Route
	auth    Authorization
	request Request
	service string
	// team is the ID of the caller's team in the contention for slots.
	team     quota.ID
	deadline clock.Millis
	// retry is set if the caller retries a request that was refused before.
	retry bool

	// tried lists the runners to which the request was sent, versions their software versions; runs counts those
	// that may have run it.
	tried    []string
	versions []string
	runs     int
	// headerSent is set once the answer's header was sent to the caller, and atEvent while what was sent ends with a
	// numbered event, after which another call can continue.
	headerSent  bool
	atEvent     bool
	resume      bool
	lastEventID uint64
	events      int
	// origin is where the stream began; its service is empty before the first event. originSent is set once it was recorded.
	origin     streamorigin.Origin
	originSent bool

	outcome      string
	reason       string
	firstEventAt clock.Millis
	// callFirstEventAt is when the first event of the current call arrived, 0 before.
	callFirstEventAt clock.Millis
	// fingerprint identifies equal requests; it is nil until it is needed.
	fingerprint *crashes.Fingerprint
	// trials are those that the request is until it runs, callTrials those that the current call is.
	trials, callTrials trials
	// begun is set once the answer of the current call has begun and its runner didn't crash shortly after.
	begun  bool
	queued bool
	// leaveQueue takes the request out of the wait queue. It has no effect if the request doesn't wait.
	leaveQueue func()
	// turn is what the request found when it last looked for a slot as a waiter.
	turn turn
	// expectedWait is the wait for a slot that the last placement estimated, and waited the time spent
	// in the wait queue.
	expectedWait clock.Millis
	waited       clock.Millis
	// share is the team's position relative to its share when the request last found no free slot.
	share fairshare.Status
	// overShare is set if the team used more than its share at that time.
	overShare bool
	// noQueue is set if the request may not join the queue of a runner, because the team used much more or because
	// the free slots were reserved for others.
	noQueue bool
	// pace and presentPace are those of the selected runner when it was selected, and callEvents counts the
	// events of the current call.
	pace, presentPace float64
	callEvents        int
	err               error
}

func (e *exchange) now() clock.Millis { return e.server.config.Clock.Now() }

// serve sends the request to runners until it is answered or refused, or fails.
func (e *exchange) serve(ctx context.Context) {
	defer func() {
		e.leaveQueue()
		e.returnTrials()
	}()
	if refusal := e.resolveOrigin(ctx); refusal != nil {
		e.giveUp(ctx, *refusal)
		return
	}
	for len(e.tried) < maxTries {
		// A request may be quarantined before it waits for a slot or meanwhile.
		refusal := e.checkQuarantine(ctx)
		var choice placement.Choice
		if refusal == nil {
			choice, refusal = e.admit(ctx)
		}
		if refusal == nil && e.queued {
			refusal = e.checkQuarantine(ctx)
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
	if e.origin.Service != "" {
		e.giveUp(ctx, *e.noVersionRefusal())
		return
	}
	_, req, _ := e.selectRunner()
	e.giveUp(ctx, *e.unavailableRefusal(ReasonNoRunner, req))
}

// giveUp ends a request that can't be served. The answer distinguishes a request that wasn't run
// from one that may have run.
func (e *exchange) giveUp(ctx context.Context, refusal Refusal) {
	e.leaveQueue()
	e.reason = refusal.Reason
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		e.outcome = outcomeCallerLeft
	case e.headerSent:
		e.cutOff()
	case e.runs > 0:
		e.fail(refusal)
	default:
		e.outcome = outcomeRefused
		e.server.Refuse(e.w, refusal)
	}
}

// fail answers that the request failed and may have run.
func (e *exchange) fail(refusal Refusal) {
	e.outcome, e.reason = outcomeFailed, refusal.Reason
	answer := Refusal{Status: http.StatusBadGateway, Reason: refusal.Reason}
	switch refusal.Reason {
	case ReasonTimeLimit:
		answer.Status = http.StatusGatewayTimeout
	case ReasonCrashes, ReasonPartCrashes, ReasonPartSuspected:
		answer.RetryAfter = refusal.RetryAfter
	}
	e.server.Refuse(e.w, answer)
}

// cutOff marks an answer as incomplete whose header was sent, so that report breaks the connection.
func (e *exchange) cutOff() {
	e.outcome = outcomeCutOff
}

// attempt sends the request to one runner, and reports whether to send it to another one.
func (e *exchange) attempt(parent context.Context, r *toucanhingev1.Runner) (again bool) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	e.tried = append(e.tried, r.GetId())
	e.versions = append(e.versions, r.GetVersion())
	e.server.config.Exchange.Add(r.GetId(), occupancy.Load{Online: 1})
	defer e.server.config.Exchange.Add(r.GetId(), occupancy.Load{Online: -1})
	defer e.server.contention.countRunning(e.service, e.team)()
	// Only now the next waiters see that the slot is taken.
	e.leaveQueue()
	startedAt := e.now()
	e.callFirstEventAt, e.callEvents, e.begun = 0, 0, false
	timer := e.startEventTimer(cancel)
	defer timer.stop()
	var watch *digest.Watch
	if e.route.Streams() {
		watch = e.server.config.Exchange.Watch(r, e.expectedWait)
		defer watch.Stop()
	}
	e.server.config.Exchange.BeginCall(r.GetId())
	answer, err := e.server.config.Client.Open(ctx, e.call(r))
	if err != nil {
		return e.handleCallError(parent, r, startedAt, timer.resolveError(parent, err))
	}
	defer func() { _ = answer.Body.Close() }()
	if !answer.OtherInstance {
		e.server.config.Exchange.RecordContact(r.GetId(), startedAt)
	}
	if answer.Load != nil && !answer.OtherInstance {
		e.server.config.Exchange.Observe(r.GetId(), answer.Load.Total())
		e.server.config.Exchange.ObservePace(r.GetId(), answer.Load.Pace)
	}
	if answer.NotRun || answer.OtherInstance {
		return e.handleNotRun(r, answer)
	}
	e.runs++
	e.beginTrials()
	// An answer whose header was sent can only continue with events; a failure may be retried.
	if e.headerSent && answer.Status != http.StatusOK || answer.Status >= http.StatusInternalServerError && e.mayRetry() {
		return e.handleBrokenCall(parent, r, startedAt, fmt.Errorf("%w: %d", errRunnerFailed, answer.Status))
	}
	if e.route.Streams() && answer.Status == http.StatusOK {
		err = timer.resolveError(parent, e.stream(r, answer, timer, watch))
	} else {
		err = e.copyBody(answer)
	}
	if err == nil {
		e.recordSuccess(answer)
		e.setOutcome(answer)
		if e.outcome == outcomeRunnerFailed {
			// A runner may fail a part of its requests although it accepts all. Its slots are free again
			// at once, so that it would attract more requests than sound runners.
			e.server.updatePlacement(func(m *placement.Machine) { m.Deprioritize(r.GetId(), e.now()+deprioritizeDuration) })
		}
		e.recordTimes(r, startedAt)
		return false
	}
	return e.handleBrokenCall(parent, r, startedAt, err)
}

// recordTimes records how long a call took that ended without an error. Times are converted to the mean pace
// of the service by the pace that the runner had.
func (e *exchange) recordTimes(r *toucanhingev1.Runner, startedAt clock.Millis) {
	now := e.now()
	hold, first, gap := float64(now-startedAt)/e.pace, 0.0, 0.0
	if e.callFirstEventAt > 0 && e.expectedWait == 0 {
		first = float64(e.callFirstEventAt-startedAt) / e.presentPace
	}
	if e.callEvents >= minMeasuredEvents {
		perEvent := float64(now-e.callFirstEventAt) / float64(e.callEvents-1)
		gap = perEvent / e.presentPace
		e.server.config.Exchange.MeasurePace(r.GetId(), perEvent)
	}
	e.server.updatePlacement(func(m *placement.Machine) {
		m.RecordHold(e.service, clock.Millis(hold))
		m.RecordRequest(e.route.Name, e.request.Size, clock.Millis(hold))
		m.RecordEvents(e.service, first, gap)
	})
}

func (e *exchange) call(r *toucanhingev1.Runner) runner.Call {
	return runner.Call{
		Runner: r, Request: e.request.ID, Method: e.request.Method, Target: e.request.Target, Host: e.request.Host,
		Header: e.request.Header, Team: e.auth.Team.GetName(), Body: e.request.Body, Chunked: e.request.Chunked,
		Remaining: max(e.deadline-e.now(), 1), Resume: e.resume, After: e.lastEventID,
	}
}

func (e *exchange) setOutcome(answer *runner.Answer) {
	e.outcome = outcomeServed
	if answer.Status >= http.StatusInternalServerError {
		e.outcome = outcomeRunnerFailed
	}
}

// report logs and counts the outcome of the request. If the answer is incomplete, it panics to break
// the caller's connection, so that the answer can't be taken for a complete one.
func (e *exchange) report() {
	if e.runs == 0 {
		e.server.ReleaseQuota(e.auth)
	}
	e.server.metrics.requests.WithLabelValues(e.outcome).Inc()
	now := e.now()
	firstEvent := clock.Millis(-1)
	if e.firstEventAt > 0 {
		firstEvent = e.firstEventAt - e.request.Arrived
		e.server.metrics.firstEvent.Observe(firstEvent.Duration().Seconds())
	}
	logger := level.Info(e.server.config.Logger)
	if e.outcome != outcomeServed && e.outcome != outcomeCallerLeft {
		logger = level.Warn(e.server.config.Logger)
	}
	if e.fingerprint != nil {
		// Identifies the log lines of the request's other attempts.
		logger = log.With(logger, logs.KeyFingerprint, *e.fingerprint)
	}
	if e.queued {
		logger = log.With(logger, "queue-rank", e.turn.rank, "queue-free", e.turn.free, "queue-gateways", e.turn.gateways, "queue-age-ms", e.turn.age)
	}
	if e.request.Resume {
		logger = log.With(logger, "resumes", e.request.Resumes, "resume-after", e.request.After)
	}
	if e.pace != 1 && e.pace != 0 {
		logger = log.With(logger, "pace", e.pace, "present-pace", e.presentPace)
	}
	withShare(logger, e.share).Log(logs.KeyEvent, logs.EventRequestEnded, logs.KeyRequest, e.request.ID,
		"route", e.route.Name, "team", e.auth.Team.GetName(), "version", e.server.Version(),
		"outcome", e.outcome, "reason", e.reason, "runners", e.tried, "software", e.versions, "ran", e.runs,
		"expected-wait-ms", e.expectedWait, "returned", e.retry, "waited-ms", e.waited, "first-ms", firstEvent,
		"objective-ms", e.route.Objective(), "took-ms", now-e.request.Arrived, "events", e.events,
		"left-ms", e.deadline-now, logs.KeyError, e.err)
	if e.outcome == outcomeCutOff {
		panic(http.ErrAbortHandler)
	}
}
