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

const drainPollInterval = 20 * time.Millisecond

// returnTimeout is the maximum wait until control has accepted the returned items.
// Otherwise their leases expire on their own.
const returnTimeout = 5 * time.Second

// drainer shuts this process down gracefully: it refuses new work at once, lets running
// requests finish and returns batch items.
type drainer struct {
	settings   config.Settings
	logger     log.Logger
	status     *health.Status
	dispatcher *dispatch.Dispatcher
	handler    *entry.Handler
	puller     *work.Puller
	shutdowner fx.Shutdowner
	// triggerBeat sends a heartbeat to control at once. It is set before a drain can
	// start.
	triggerBeat func()
	once        sync.Once
	drained     chan struct{}
	draining    chan struct{}
}

func newDrainer(
	s config.Settings, l log.Logger, status *health.Status, d *dispatch.Dispatcher, h *entry.Handler, p *work.Puller, f fx.Shutdowner,
) *drainer {
	return &drainer{
		settings: s, logger: l, status: status, dispatcher: d, handler: h, puller: p, shutdowner: f,
		drained: make(chan struct{}), draining: make(chan struct{}),
	}
}

// isDraining reports whether the drain has started.
func (d *drainer) isDraining() bool {
	select {
	case <-d.draining:
		return true
	default:
		return false
	}
}

// start starts the drain once. The process is shut down when the drain ends.
func (d *drainer) start(reason string) {
	d.once.Do(func() {
		level.Info(d.logger).Log(logs.KeyEvent, "leaving", "reason", reason)
		close(d.draining)
		d.status.NotReady("leaving")
		d.puller.SetOpen(false)
		d.dispatcher.Submit(admit.Drain{})
		d.triggerBeat()
		go d.drain()
	})
}

func (d *drainer) drain() {
	defer close(d.drained)
	timeout := clock.Millis(d.settings.Drain.FinishMS).Duration()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := d.handler.Wait(ctx); err != nil {
		level.Warn(d.logger).Log(logs.KeyEvent, "drain-cut", logs.KeyError, err)
		d.dispatcher.Submit(admit.DrainEnd{})
	}
	d.awaitReturns()
	time.Sleep(clock.Millis(d.settings.Drain.LingerMS).Duration())
	if err := d.shutdowner.Shutdown(); err != nil {
		level.Error(d.logger).Log(logs.KeyEvent, "shutdown-failed", logs.KeyError, err)
	}
}

func (d *drainer) awaitReturns() {
	deadline := time.Now().Add(returnTimeout)
	for d.puller.LeaseCount() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
}
