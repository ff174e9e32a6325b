package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/digest"
	"toucanhinge.example/common/pkg/pace"
	"toucanhinge.example/common/pkg/runner"
	"toucanhinge.example/common/pkg/sse"
	"toucanhinge.example/common/pkg/streamorigin"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// eventBuffer is the size of the read buffer, which fits several events of about 100 bytes.
	eventBuffer = 2 << 10
	// gapTimeoutShare is the part of the route's objective for the gap between events after which a
	// stream continues at another runner: the rest is left for that runner's first event.
	gapTimeoutShare = 0.6
	// firstEventTimeoutShare is the same part of the route's objective for the first event. The time
	// counts from the end of the expected wait for a slot.
	firstEventTimeoutShare = 0.5
	// minEventTimeout is the shortest time without an event after which a stream continues at another
	// runner. Runners send an event every 20 ms, or every 80 ms when slow, and the gateway's own
	// processor may be busy for some tens of ms. Runners that report a slower pace get more time.
	minEventTimeout clock.Millis = 100
)

// stream forwards complete events, one at a time. An event that was received in part never reaches the
// caller, so that the stream can continue at another runner after the last complete event.
func (e *exchange) stream(r *toucanhingev1.Runner, answer *runner.Answer, timer *eventTimer, watch *digest.Watch) error {
	if e.origin.Service != "" && r.GetVersion() != e.origin.Version {
		return errOtherVersion
	}
	reader := sse.NewReader(answer.Body, eventBuffer)
	flusher := http.NewResponseController(e.w)
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			e.sendHeader(answer)
			return nil
		}
		if err != nil {
			return err
		}
		timer.reset(e.gapTimeout(r), r.GetVersion())
		watch.RecordEvent()
		if event.Numbered {
			if e.resume && event.ID != e.lastEventID+1 {
				return errMissingEvent
			}
			e.lastEventID, e.resume = event.ID, true
		}
		e.atEvent = event.Numbered || e.atEvent && len(event.Data) == 0
		if e.callFirstEventAt == 0 {
			e.callFirstEventAt = e.now()
			if e.origin.Service != "" {
				e.countContinuation()
			}
		}
		if e.origin.Service == "" {
			e.origin = streamorigin.Origin{Service: e.service, Version: r.GetVersion()}
		}
		if e.firstEventAt == 0 {
			e.firstEventAt = e.now()
		}
		e.sendHeader(answer)
		if !e.mayContinue() {
			timer.stop()
		}
		e.events++
		e.callEvents++
		if _, err := e.w.Write(event.Raw); err != nil {
			return fmt.Errorf("%w: %w", errCallerLeft, err)
		}
		if err := flusher.Flush(); err != nil {
			return fmt.Errorf("%w: %w", errCallerLeft, err)
		}
		e.recordOrigin()
		e.recordBegin()
	}
}

// countContinuation counts a call that has sent an event and continues a stream.
func (e *exchange) countContinuation() {
	by := "gateway"
	if e.events == 0 {
		by = "caller"
	}
	e.server.metrics.continued.WithLabelValues(by).Inc()
}

// gapTimeout returns the maximum time between two events of a stream from a runner.
func (e *exchange) gapTimeout(r *toucanhingev1.Runner) clock.Millis {
	return eventTimeout(gapTimeoutShare, clock.Millis(e.route.GapObjectiveMs), e.server.config.Exchange.PresentPace(r.GetId()))
}

// firstEventTimeout returns the maximum time until the first event of a call.
func (e *exchange) firstEventTimeout() clock.Millis {
	return e.expectedWait + eventTimeout(firstEventTimeoutShare, e.route.Objective(), e.presentPace)
}

// eventTimeout returns the maximum time without an event from a runner with the given present pace. A slow
// runner gets more time, but no more than the objective.
func eventTimeout(share float64, objective clock.Millis, present float64) clock.Millis {
	slow := min(clock.Millis(pace.TimeoutFactor(present)*float64(minEventTimeout)), objective)
	return max(clock.Millis(share*float64(objective)), minEventTimeout, slow)
}

// startEventTimer cancels a call that sends no event in time, if the request may continue at another
// runner that has a free slot. Without a free slot the call continues: in a burst the runner is
// probably only busy. Canceling calls that wait in the runner's queue while no slot was free elsewhere
// failed one request in ten at three times the usual load.
func (e *exchange) startEventTimer(cancel func()) *eventTimer {
	t := &eventTimer{version: e.origin.Version}
	if !e.route.Streams() || !e.route.Resumable || e.runs+1 >= int(e.route.MaxAttempts) {
		return t
	}
	req := e.placementRequest()
	t.start(e.firstEventTimeout(), func(version string) bool {
		req.Version = version
		choice, found := e.server.selectRunner(req)
		if !found || choice.Wait > 0 || slices.Contains(req.Tried, choice.Runner.GetId()) {
			return false
		}
		cancel()
		return true
	})
	return t
}

// eventTimer fires if no event arrives in time. A timer that wasn't started never fires.
type eventTimer struct {
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	fired   bool
	// version is the software version at which the stream may continue; empty for any.
	version string
}

// start starts the timer. When it fires, it calls tryCancel with the version, which reports whether it canceled the
// call; if not, the timer calls it again after minEventTimeout.
func (t *eventTimer) start(timeout clock.Millis, tryCancel func(version string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(timeout.Duration(), func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.stopped {
			return
		}
		if t.fired = tryCancel(t.version); !t.fired {
			t.timer.Reset(minEventTimeout.Duration())
		}
	})
}

// reset restarts the timer after an event of a runner of a software version.
func (t *eventTimer) reset(timeout clock.Millis, version string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version = version
	if t.timer != nil && !t.fired {
		t.timer.Reset(timeout.Duration())
	}
}

func (t *eventTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	if t.timer != nil {
		t.timer.Stop()
	}
}

// resolveError returns errEventTimeout instead of an error that the timer caused.
func (t *eventTimer) resolveError(ctx context.Context, err error) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	var unsent *runner.NotSentError
	if err != nil && t.fired && ctx.Err() == nil && !errors.As(err, &unsent) {
		return errEventTimeout
	}
	return err
}
