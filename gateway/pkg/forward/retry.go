package forward

import (
	"context"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/occupancy"
	"toucanhinge.example/common/pkg/runner"
	"toucanhinge.example/gateway/pkg/placement"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// handleCallError handles a call that ended without an answer, and reports whether to retry it.
func (e *exchange) handleCallError(ctx context.Context, r *toucanhingev1.Runner, startedAt clock.Millis, err error) (again bool) {
	var unsent *runner.NotSentError
	if errors.As(err, &unsent) {
		if ctx.Err() == nil {
			e.server.updatePlacement(func(m *placement.Machine) { m.Block(r.GetId(), e.now()+unreachableBlockDuration) })
			e.reportUnreachable(r, startedAt, unsent)
		}
		if unsent.Unresponsive {
			// Otherwise each other gateway would lose time by sending a request to this runner.
			e.server.config.Exchange.SetUnresponsive(r.GetId(), true)
		}
		return e.recordRetry(r, "unreachable", err)
	}
	e.runs++
	e.beginTrials()
	return e.handleBrokenCall(ctx, r, startedAt, err)
}

// reportUnreachable informs the other gateways of a runner that can't be reached, unless the cause may be this
// gateway: an error of its own, or a pause in which it didn't run.
func (e *exchange) reportUnreachable(r *toucanhingev1.Runner, startedAt clock.Millis, err *runner.NotSentError) {
	switch {
	case err.Refused:
		e.server.config.Exchange.ReportUnreachable(r.GetId(), occupancy.ConnectionRefused)
	case err.Unresponsive && e.now()-startedAt <= maxConnectTime:
		e.server.config.Exchange.ReportUnreachable(r.GetId(), occupancy.NoAnswer)
	}
}

// handleNotRun handles the answer of a runner that didn't run the request.
func (e *exchange) handleNotRun(r *toucanhingev1.Runner, answer *runner.Answer) (again bool) {
	block, reason := fullBlockDuration, "runner-full"
	if answer.OtherInstance {
		block, reason = otherInstanceBlockDuration, "other-instance"
		e.server.config.Exchange.ReportUnreachable(r.GetId(), occupancy.OtherInstance)
	}
	e.server.updatePlacement(func(m *placement.Machine) { m.Block(r.GetId(), e.now()+block) })
	return e.recordRetry(r, reason, nil)
}

// handleBrokenCall handles a call that broke after it was sent, and reports whether to retry it.
func (e *exchange) handleBrokenCall(ctx context.Context, r *toucanhingev1.Runner, startedAt clock.Millis, err error) (again bool) {
	e.err = err
	if errors.Is(err, errCallerLeft) || errors.Is(ctx.Err(), context.Canceled) {
		e.outcome = outcomeCallerLeft
		return false
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		e.giveUp(ctx, Refusal{Reason: ReasonTimeLimit})
		return false
	}
	e.server.updatePlacement(func(m *placement.Machine) { m.Deprioritize(r.GetId(), e.now()+deprioritizeDuration) })
	e.detectCrash(ctx, r, startedAt, err)
	if !e.mayRetry() {
		e.giveUp(ctx, Refusal{Reason: ReasonBroken})
		return false
	}
	return e.recordRetry(r, "broke-off", err)
}

// recordRetry counts and logs that the request is retried at another runner. It returns true.
func (e *exchange) recordRetry(r *toucanhingev1.Runner, reason string, err error) bool {
	e.err = err
	e.server.metrics.retried.WithLabelValues(reason).Inc()
	level.Info(e.server.config.Logger).Log(logs.KeyEvent, logs.EventRequestRetried, logs.KeyRequest, e.request.ID,
		"runner", r.GetId(), "software", r.GetVersion(), "after", e.lastEventID, "reason", reason, "ran", e.runs, logs.KeyError, err)
	return true
}

// mayRetry reports whether the request may run at one more runner.
func (e *exchange) mayRetry() bool {
	return e.route.Repeatable() && e.runs < int(max(e.route.MaxAttempts, 1)) && e.mayContinue()
}

// mayContinue reports whether the answer of another call may follow what the caller has received.
func (e *exchange) mayContinue() bool { return !e.headerSent || e.atEvent }
