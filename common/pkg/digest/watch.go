package digest

import (
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/occupancy"
	"toucanhinge.example/common/pkg/pace"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Watch observes one call and informs all daemons when its runner becomes unresponsive, and when
// the runner responds again. A nil Watch does nothing.
type Watch struct {
	exchange *Exchange
	runner   *toucanhingev1.Runner
	// expectedAt is when the call is expected to have a slot.
	expectedAt clock.Millis

	mu       sync.Mutex
	timer    *time.Timer
	detector occupancy.Detector
	reported bool
	stopped  bool
}

// Watch starts to watch a call. wait is the time that the call may wait for a slot before its
// first event.
func (x *Exchange) Watch(r *toucanhingev1.Runner, wait clock.Millis) *Watch {
	w := &Watch{exchange: x, runner: r, expectedAt: x.config.Clock.Now() + wait}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc((wait + occupancy.UnresponsiveAfter).Duration(), w.check)
	return w
}

// check runs when the call has received no event for UnresponsiveAfter. An event of another call
// proves that the runner is alive and that only this call's response was lost.
func (w *Watch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	x, id := w.exchange, w.runner.GetId()
	now := x.config.Clock.Now()
	queued := false
	x.View(func(t *occupancy.Table) {
		queued = t.Queued(now, id, int(w.runner.GetSlots()))
		w.detector.Factor = pace.TimeoutFactor(t.Paces().Present(now, id))
	})
	seenAt := x.runnerSeenAt(id)
	if w.detector.Factor > 1 {
		// The timer has only waited as long as for a runner of the mean pace.
		seenAt = max(seenAt, w.expectedAt)
	}
	if w.detector.Unresponsive(now, seenAt, queued) && !w.reported {
		w.reported = true
		x.SetUnresponsive(id, true)
		level.Info(x.config.Logger).Log(logs.KeyEvent, "runner-silent", "runner", id, "for-ms", occupancy.UnresponsiveAfter,
			"pace-factor", w.detector.Factor)
	}
	w.timer.Reset(occupancy.QueueCheckInterval.Duration())
}

// RecordEvent records that the call received an event.
func (w *Watch) RecordEvent() {
	if w == nil {
		return
	}
	w.exchange.recordRunnerSeen(w.runner.GetId())
	w.mu.Lock()
	defer w.mu.Unlock()
	w.detector.Started = true
	if !w.stopped {
		w.timer.Reset(occupancy.UnresponsiveAfter.Duration())
	}
	if w.reported {
		w.reported = false
		w.exchange.SetUnresponsive(w.runner.GetId(), false)
	}
}

// Stop ends the observation of the call.
func (w *Watch) Stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// runnerSeenRetention is how long the time of a runner's last event is stored. Runners are
// replaced all the time, and only events of the last fraction of a second matter.
const runnerSeenRetention clock.Millis = 10_000

// recordRunnerSeen records an event from a runner.
func (x *Exchange) recordRunnerSeen(id string) {
	now := x.config.Clock.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.runnerSeen[id] = now
	x.table.RecordEvent(now, id)
	if now-x.runnerSeenPruned < runnerSeenRetention {
		return
	}
	x.runnerSeenPruned = now
	for runner, seenAt := range x.runnerSeen {
		if now-seenAt > runnerSeenRetention {
			delete(x.runnerSeen, runner)
		}
	}
}

// runnerSeenAt returns the time of a runner's last event over all calls of this daemon, 0 for none.
func (x *Exchange) runnerSeenAt(id string) clock.Millis {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.runnerSeen[id]
}
