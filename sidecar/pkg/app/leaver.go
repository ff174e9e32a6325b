package app

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"go.uber.org/fx"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/health"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/sidecar/pkg/admit"
	"toucanhinge.example/sidecar/pkg/config"
	"toucanhinge.example/sidecar/pkg/dispatch"
	"toucanhinge.example/sidecar/pkg/entry"
	"toucanhinge.example/sidecar/pkg/work"
)

const drainLook = 20 * time.Millisecond

// returnWait is the longest wait for control to take back what is returned;
// without that the leases run out by themselves.
const returnWait = 5 * time.Second

// leaver takes this process out of service: no new work from the first moment,
// what runs is finished, batch items are handed back.
type leaver struct {
	settings   config.Settings
	logger     log.Logger
	status     *health.Status
	dispatcher *dispatch.Dispatcher
	handler    *entry.Handler
	puller     *work.Puller
	shutdowner fx.Shutdowner
	// beat tells control at once; set before anything can leave.
	beat   func()
	once   sync.Once
	left   chan struct{}
	leaves chan struct{}
}

func newLeaver(
	s config.Settings, l log.Logger, status *health.Status, d *dispatch.Dispatcher, h *entry.Handler, p *work.Puller, f fx.Shutdowner,
) *leaver {
	return &leaver{
		settings: s, logger: l, status: status, dispatcher: d, handler: h, puller: p, shutdowner: f,
		left: make(chan struct{}), leaves: make(chan struct{}),
	}
}

// leaving says whether this process is on its way out.
func (v *leaver) leaving() bool {
	select {
	case <-v.leaves:
		return true
	default:
		return false
	}
}

// leave starts the drain, once, and ends the process when it is done.
func (v *leaver) leave(reason string) {
	v.once.Do(func() {
		level.Info(v.logger).Log(logs.KeyEvent, "leaving", "reason", reason)
		close(v.leaves)
		v.status.NotReady("leaving")
		v.puller.SetOpen(false)
		v.dispatcher.Submit(admit.Drain{})
		v.beat()
		go v.drain()
	})
}

func (v *leaver) drain() {
	defer close(v.left)
	limit := clock.Millis(v.settings.Drain.FinishMS).Duration()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := v.handler.Wait(ctx); err != nil {
		level.Warn(v.logger).Log(logs.KeyEvent, "drain-cut", logs.KeyError, err)
		v.dispatcher.Submit(admit.DrainEnd{})
	}
	v.awaitReturns()
	time.Sleep(clock.Millis(v.settings.Drain.LingerMS).Duration())
	if err := v.shutdowner.Shutdown(); err != nil {
		level.Error(v.logger).Log(logs.KeyEvent, "shutdown-failed", logs.KeyError, err)
	}
}

func (v *leaver) awaitReturns() {
	end := time.Now().Add(returnWait)
	for v.puller.LeaseCount() > 0 && time.Now().Before(end) {
		time.Sleep(drainLook)
	}
}
