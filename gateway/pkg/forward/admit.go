package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/gateway/pkg/admission"
	"toucanhinge.example/gateway/pkg/placement"
)

// admit selects a runner, waits for a free slot if necessary, or returns the refusal.
func (e *exchange) admit(ctx context.Context) (placement.Choice, *Refusal) {
	choice, req, found := e.selectRunner()
	switch {
	case !found && e.origin.Service != "":
		return choice, e.noVersionRefusal()
	case !found:
		return choice, e.unavailableRefusal(ReasonNoRunner, req)
	case e.headerSent:
		// A stream that the caller has begun to receive continues without regard to other requests.
		return choice, nil
	case e.origin.Service != "":
		return choice, e.admitResumed(choice, req)
	}
	switch admission.Decide(e.now(), req) {
	case admission.Admit:
		return choice, nil
	case admission.Wait:
		return e.awaitSlot(ctx)
	default:
		return choice, e.noSlotRefusal(req)
	}
}

// admitResumed admits a stream that the caller resumes before the requests that wait for a slot: those can begin at any
// runner, while few may run its software version. It is refused only if it would wait for too long.
func (e *exchange) admitResumed(choice placement.Choice, req admission.Request) *Refusal {
	if choice.Wait <= min(maxResumeWait, e.deadline-e.now()) {
		return nil
	}
	return e.noSlotRefusal(req)
}

// placementRequest returns the input for the selection of a runner.
func (e *exchange) placementRequest() placement.Request {
	return placement.Request{
		Service: e.service, Version: e.origin.Version, Route: e.route.Name, Size: e.request.Size, Tried: slices.Clone(e.tried), Objective: e.route.Objective(), Gap: clock.Millis(e.route.GapObjectiveMs),
	}
}

// selectRunner selects a runner by the current loads and returns the input for its admission.
func (e *exchange) selectRunner() (placement.Choice, admission.Request, bool) {
	return e.place(e.placementRequest())
}

// place selects a runner as requested and returns the input for the admission of the request there.
func (e *exchange) place(at placement.Request) (placement.Choice, admission.Request, bool) {
	choice, found := e.server.selectRunner(at)
	if found {
		e.checkShare(&choice)
	}
	e.expectedWait, e.pace, e.presentPace = choice.Wait, choice.Pace, choice.Present
	hold, queueFull := e.server.queueState(e.service, e.auth.Team.GetName(), e.overShare)
	if found {
		hold = choice.Hold
	}
	return choice, admission.Request{
		Arrived: e.request.Arrived, Deadline: e.deadline, Objective: e.route.Objective(), Retry: e.retry,
		ExpectedWait: choice.Wait, QueuePosition: choice.QueuePosition, Slots: int(choice.Runner.GetSlots()), Hold: hold, RequestHold: choice.RequestHold,
		Gap: clock.Millis(e.route.GapObjectiveMs), QueueFull: queueFull && !e.queued, MayHaveRun: e.runs > 0,
		OverShare: e.overShare, NoQueue: e.noQueue,
	}, found
}

// noSlotRefusal refuses a request for lack of a slot.
func (e *exchange) noSlotRefusal(req admission.Request) *Refusal {
	e.server.contention.recordRefusal(e.now(), e.service, e.team, req.Hold)
	if req.OverShare && !req.MayHaveRun {
		e.logOverShare()
		return e.unavailableRefusal(ReasonOverShare, req)
	}
	return e.unavailableRefusal(ReasonFull, req)
}

// unavailableRefusal returns a 503 refusal with the time after which to retry, and records it for the
// detection of overload.
func (e *exchange) unavailableRefusal(reason string, req admission.Request) *Refusal {
	s, now := e.server, e.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queue(now, e.service)
	q.overload.RecordRefusal(now)
	after := q.retryAfter(now, req, s.placement.Slots(now, e.service), admission.RetryDraw(e.overShare, rand.Float64()))
	if !req.Retry && !req.MayHaveRun {
		// Callers retry once.
		q.returns.Add(now, now+after)
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: after.Duration()}
}
