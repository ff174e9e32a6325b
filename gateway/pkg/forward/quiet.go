package forward

import (
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/gateway/pkg/place"
)

// quietAfter is the silence of a runner, over all calls to it, after which no more
// requests are sent there if another one takes them. Events come every 20 ms, 80
// from a slow runner. A request that may run once can't be taken back from a
// runner that went dark: in one recorded day two such runners swallowed 12 of
// them, for two to five seconds each, since every gateway found out by itself.
const quietAfter clock.Millis = 150

// quietTimer tells all daemons when a runner falls silent under a call.
type quietTimer struct {
	server *Server
	runner string

	mu      sync.Mutex
	timer   *time.Timer
	told    bool
	stopped bool
}

// listen watches one call's runner. The first event may have to wait for a place.
func (e *exchange) listen(id string) *quietTimer {
	q := &quietTimer{server: e.server, runner: id}
	if !e.route.Streams() {
		return q
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.timer = time.AfterFunc((e.wait + quietAfter).Duration(), q.check)
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
	quiet := false
	now := q.server.config.Clock.Now()
	q.server.learn(func(m *place.Machine) { quiet = m.Quiet(now, q.runner, quietAfter) })
	if quiet && !q.told {
		q.told = true
		q.server.config.Exchange.SetSilent(q.runner, true)
		level.Info(q.server.config.Logger).Log(logs.KeyEvent, "runner-silent", "runner", q.runner, "for-ms", quietAfter)
	}
	q.timer.Reset(quietAfter.Duration())
}

// heard notes an event.
func (q *quietTimer) heard() {
	now := q.server.config.Clock.Now()
	q.server.learn(func(m *place.Machine) { m.Heard(now, q.runner) })
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.timer != nil {
		q.timer.Reset(quietAfter.Duration())
	}
	if q.told {
		q.told = false
		q.server.config.Exchange.SetSilent(q.runner, false)
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
