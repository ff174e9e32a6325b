package forward

import (
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/occupancy"
	"toucanhinge.example/gateway/pkg/place"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// quietTimer tells all daemons when a runner falls silent under a call.
type quietTimer struct {
	server *Server
	runner *toucanhingev1.Runner

	mu      sync.Mutex
	timer   *time.Timer
	silence occupancy.Silence
	told    bool
	stopped bool
}

// listen watches one call's runner. The first event may have to wait for a place.
func (e *exchange) listen(r *toucanhingev1.Runner) *quietTimer {
	q := &quietTimer{server: e.server, runner: r}
	if !e.route.Streams() {
		return q
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.timer = time.AfterFunc((e.wait + occupancy.QuietAfter).Duration(), q.check)
	return q
}

// check runs when the call has been silent. Another call that hears from the
// runner proves it alive: then only this answer was lost.
func (q *quietTimer) check() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.stopped {
		return
	}
	now := q.server.config.Clock.Now()
	if q.silence.Proven(now, q.server.heardAt(q.runner.GetId()), q.server.queued(q.runner)) && !q.told {
		q.told = true
		q.server.config.Exchange.SetSilent(q.runner.GetId(), true)
		level.Info(q.server.config.Logger).Log(logs.KeyEvent, "runner-silent", "runner", q.runner.GetId(),
			"for-ms", occupancy.QuietAfter)
	}
	q.timer.Reset(occupancy.QueueCheck.Duration())
}

// heard notes an event.
func (q *quietTimer) heard() {
	now := q.server.config.Clock.Now()
	q.server.learn(func(m *place.Machine) { m.Heard(now, q.runner.GetId()) })
	q.mu.Lock()
	defer q.mu.Unlock()
	q.silence.Begun = true
	if q.timer != nil {
		q.timer.Reset(occupancy.QuietAfter.Duration())
	}
	if q.told {
		q.told = false
		q.server.config.Exchange.SetSilent(q.runner.GetId(), false)
	}
}

func (q *quietTimer) stop() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stopped = true
	if q.timer != nil {
		q.timer.Stop()
	}
}

// heardAt is when anything came from a runner last, over all calls.
func (s *Server) heardAt(id string) (at clock.Millis) {
	s.learn(func(m *place.Machine) { at = m.HeardAt(id) })
	return at
}

// queued says whether more is under way at a runner than it has places.
func (s *Server) queued(r *toucanhingev1.Runner) (queued bool) {
	now := s.config.Clock.Now()
	s.config.Exchange.View(func(t *occupancy.Table) { queued = t.Queued(now, r.GetId(), int(r.GetSlots())) })
	return queued
}
