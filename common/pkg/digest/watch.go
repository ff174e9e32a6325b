package digest

import (
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/occupancy"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Watch tells all daemons when a runner falls silent under one call, and when it speaks
// again. A nil watch watches nothing.
type Watch struct {
	exchange *Exchange
	runner   *toucanhingev1.Runner

	mu      sync.Mutex
	timer   *time.Timer
	silence occupancy.Detector
	told    bool
	stopped bool
}

// Watch begins to watch a call. The first event may have to wait for a place, a span.
func (x *Exchange) Watch(r *toucanhingev1.Runner, wait clock.Millis) *Watch {
	w := &Watch{exchange: x, runner: r}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc((wait + occupancy.UnresponsiveAfter).Duration(), w.check)
	return w
}

// check runs when the call has been silent. Another call that hears from the
// runner proves it alive: then only this answer was lost.
func (w *Watch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	x, id := w.exchange, w.runner.GetId()
	now := x.config.Clock.Now()
	queued := false
	x.View(func(t *occupancy.Table) { queued = t.Queued(now, id, int(w.runner.GetSlots())) })
	if w.silence.Unresponsive(now, x.heardAt(id), queued) && !w.told {
		w.told = true
		x.SetUnresponsive(id, true)
		level.Info(x.config.Logger).Log(logs.KeyEvent, "runner-silent", "runner", id, "for-ms", occupancy.UnresponsiveAfter)
	}
	w.timer.Reset(occupancy.QueueCheckInterval.Duration())
}

// RecordEvent notes an event.
func (w *Watch) RecordEvent() {
	if w == nil {
		return
	}
	w.exchange.hear(w.runner.GetId())
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silence.Started = true
	if !w.stopped {
		w.timer.Reset(occupancy.UnresponsiveAfter.Duration())
	}
	if w.told {
		w.told = false
		w.exchange.SetUnresponsive(w.runner.GetId(), false)
	}
}

// Stop ends the watch.
func (w *Watch) Stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// heardFor is how long it is kept when something came from a runner last: runners come and
// go, and only the last fractions of a second tell anything.
const heardFor clock.Millis = 10_000

// hear notes that something came from a runner.
func (x *Exchange) hear(id string) {
	now := x.config.Clock.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.heard[id] = now
	if now-x.heardPruned < heardFor {
		return
	}
	x.heardPruned = now
	for other, at := range x.heard {
		if now-at > heardFor {
			delete(x.heard, other)
		}
	}
}

// heardAt is when something came from a runner last, over all calls of this daemon; 0 for
// never.
func (x *Exchange) heardAt(id string) clock.Millis {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.heard[id]
}
