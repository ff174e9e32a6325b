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
	"toucanhinge.example/common/pkg/runner"
	"toucanhinge.example/common/pkg/sse"
	"toucanhinge.example/gateway/pkg/place"
)

const (
	// eventBuffer holds some events of about 100 bytes.
	eventBuffer = 2 << 10
	// gapShare is the part of the route's longest pause after which a stream
	// goes on elsewhere: the rest is left for the new runner's first event.
	gapShare = 0.6
	// firstShare is the same part of the route's objective for the first event,
	// counted after the wait for a place that was expected.
	firstShare = 0.5
	// leastGap is the shortest silence that counts. Runners make an event every
	// 20 ms, 80 when slow, and our own processor may be busy for some tens.
	leastGap clock.Millis = 100
)

// stream passes events on, one by one, each whole. An event that broke off in
// the middle never reaches the caller, so that the stream can go on at another
// runner right after the last one.
func (e *exchange) stream(answer *runner.Answer, silence *silenceTimer, watch *digest.Watch) error {
	reader := sse.NewReader(answer.Body, eventBuffer)
	flusher := http.NewResponseController(e.w)
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			e.begin(answer)
			return nil
		}
		if err != nil {
			return err
		}
		silence.restart(e.longestGap())
		watch.RecordEvent()
		if event.Numbered {
			if e.resume && event.ID != e.after+1 {
				return errGap
			}
			e.after, e.resume = event.ID, true
		}
		if e.heardAt == 0 {
			e.heardAt = e.now()
		}
		if e.firstAt == 0 {
			e.firstAt = e.now()
		}
		e.begin(answer)
		e.events++
		if _, err := e.w.Write(event.Raw); err != nil {
			return fmt.Errorf("%w: %w", errLeft, err)
		}
		if err := flusher.Flush(); err != nil {
			return fmt.Errorf("%w: %w", errLeft, err)
		}
	}
}

func (e *exchange) longestGap() clock.Millis {
	return max(clock.Millis(gapShare*float64(e.route.GapObjectiveMs)), leastGap)
}

func (e *exchange) longestFirst() clock.Millis {
	return e.wait + max(clock.Millis(firstShare*float64(e.route.Objective())), leastGap)
}

// watch breaks a call off after a silence, if the request may go on elsewhere and
// a place is free there. A runner that can't be replaced is waited for: its
// silence proves nothing, and in a burst it is only busy. Breaking off calls that
// merely queued there, with no place free elsewhere, failed one request in ten at
// three times the usual load.
func (e *exchange) watch(breakOff func()) *silenceTimer {
	t := &silenceTimer{}
	if !e.route.Streams() || !e.route.Resumable || e.ran+1 >= int(e.route.MaxAttempts) {
		return t
	}
	ask := place.Request{Service: e.service, Tried: slices.Clone(e.tried)}
	t.arm(e.longestFirst(), func() bool {
		choice, found := e.server.choose(ask)
		if !found || choice.Wait > 0 || slices.Contains(ask.Tried, choice.Runner.GetId()) {
			return false
		}
		breakOff()
		return true
	})
	return t
}

// silenceTimer runs out when no event comes; one that isn't armed never does.
type silenceTimer struct {
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	fired   bool
}

// arm starts the timer. When it runs out, act says whether it broke the call off;
// if not, it is asked again a moment later.
func (t *silenceTimer) arm(span clock.Millis, act func() bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(span.Duration(), func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.stopped {
			return
		}
		if t.fired = act(); !t.fired {
			t.timer.Reset(leastGap.Duration())
		}
	})
}

func (t *silenceTimer) restart(span clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil && !t.fired {
		t.timer.Reset(span.Duration())
	}
}

func (t *silenceTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	if t.timer != nil {
		t.timer.Stop()
	}
}

// explain names the silence as the cause of an error that it led to.
func (t *silenceTimer) explain(ctx context.Context, err error) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	var unsent *runner.NotSentError
	if err != nil && t.fired && ctx.Err() == nil && !errors.As(err, &unsent) {
		return errSilent
	}
	return err
}
