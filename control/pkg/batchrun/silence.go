package batchrun

import (
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/occupancy"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// quietTimer tells all daemons of a runner from which nothing comes under an item.
type quietTimer struct {
	driver *Driver
	runner *toucanhingev1.Runner

	mu      sync.Mutex
	timer   *time.Timer
	silence occupancy.Silence
	stopped bool
}

func (d *Driver) listen(r *toucanhingev1.Runner) *quietTimer {
	q := &quietTimer{driver: d, runner: r}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.timer = time.AfterFunc(occupancy.QuietAfter.Duration(), q.check)
	return q
}

// check runs when the item has been silent; it tells of it once.
func (q *quietTimer) check() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.stopped {
		return
	}
	d, id := q.driver, q.runner.GetId()
	now := d.config.Clock.Now()
	d.mu.Lock()
	heardAt := d.heard[id]
	d.mu.Unlock()
	queued := false
	d.config.Exchange.View(func(t *occupancy.Table) { queued = t.Queued(now, id, int(q.runner.GetSlots())) })
	if !q.silence.Proven(now, heardAt, queued) {
		q.timer.Reset(occupancy.QueueCheck.Duration())
		return
	}
	d.config.Exchange.SetSilent(id, true)
	level.Info(d.config.Logger).Log(logs.KeyEvent, "runner-silent", "runner", id, "for-ms", occupancy.QuietAfter)
}

// heard notes an event.
func (q *quietTimer) heard() {
	d := q.driver
	d.mu.Lock()
	d.heard[q.runner.GetId()] = d.config.Clock.Now()
	d.mu.Unlock()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.silence.Begun = true
	if !q.stopped {
		q.timer.Reset(occupancy.QuietAfter.Duration())
	}
}

func (q *quietTimer) stop() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stopped = true
	q.timer.Stop()
}
