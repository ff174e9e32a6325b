// Package app joins the parts of the sidecar and runs them.
package app

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"go.uber.org/fx"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/control"
	"toucanhinge.example/common/pkg/health"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/metrics"
	"toucanhinge.example/common/pkg/record"
	"toucanhinge.example/common/pkg/web"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
	"toucanhinge.example/sidecar/pkg/config"
	"toucanhinge.example/sidecar/pkg/dispatch"
	"toucanhinge.example/sidecar/pkg/entry"
	"toucanhinge.example/sidecar/pkg/order"
	"toucanhinge.example/sidecar/pkg/probe"
	"toucanhinge.example/sidecar/pkg/work"
)

// sweepPeriod is how often answers that nobody reads are looked for.
const sweepPeriod = 100 * time.Millisecond

// stopSlack is added to the drain time before a stop is cut off.
const stopSlack = 30 * time.Second

// Run runs the sidecar until a termination signal or a drain; a planned end is
// no error.
func Run(s config.Settings) error {
	gin.SetMode(gin.ReleaseMode)
	limit := clock.Millis(s.Drain.FinishMS).Duration() + stopSlack
	a := fx.New(
		fx.NopLogger,
		fx.StopTimeout(limit),
		fx.Supply(s),
		fx.Provide(
			newClock, newIncarnation, newLogger, newMetrics, newBook, newHTTP, newControl, newEngine, newStatus,
			newCounters, newNotes, newDispatcher, newGate, newProbe, newWatching, newHandler, newPuller, newOrders,
			newLeaver, newBeater, newProcess,
		),
		fx.Invoke(func(lifecycle fx.Lifecycle, p *process) {
			lifecycle.Append(fx.Hook{OnStart: p.start, OnStop: p.stop})
		}),
	)
	if err := a.Err(); err != nil {
		return fmt.Errorf("join the parts: %w", err)
	}
	if err := a.Start(context.Background()); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	<-a.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := a.Stop(ctx); err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	return nil
}

// processConfig is what a process is made of.
type processConfig struct {
	fx.In

	Settings   config.Settings
	Clock      clock.Clock
	Logger     log.Logger
	Metrics    *metrics.Set
	Counters   *counters
	Records       *record.Log
	Status     *health.Status
	Dispatcher *dispatch.Dispatcher
	Probe      *probe.Probe
	ConfigWatcher   *watching
	Handler    *entry.Handler
	Puller     *work.Puller
	Orders     *order.Runner
	Drainer     *leaver
	Heartbeater     *control.Heartbeater
}

// process runs the duties, each on its goroutine.
type process struct {
	config  processConfig
	duties  sync.WaitGroup
	serving sync.WaitGroup
	cancel  context.CancelFunc
	entry   *web.Server
	admin   *web.Server
}

func newProcess(c processConfig) *process {
	return &process{config: c}
}

func (p *process) start(context.Context) error {
	p.config.ConfigWatcher.orders = p.config.Orders
	p.config.ConfigWatcher.leave = p.config.Drainer.leave
	p.config.Drainer.beat = p.config.Heartbeater.Trigger
	p.config.Counters.watch(p.config.Dispatcher)
	if err := p.listen(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	for _, duty := range []func(context.Context){
		p.config.Dispatcher.Run, p.config.Probe.Run, p.config.ConfigWatcher.watcher.Run, p.config.Heartbeater.Run, p.config.Puller.Run, p.sweep, p.begin,
	} {
		p.run(ctx, duty)
	}
	if takesOrders(p.config.Settings) {
		p.run(ctx, p.config.Orders.Run)
	}
	return nil
}

func (p *process) run(ctx context.Context, duty func(context.Context)) {
	p.duties.Add(1)
	go func() {
		defer p.duties.Done()
		duty(ctx)
	}()
}

func (p *process) listen() error {
	mux := http.NewServeMux()
	mux.Handle(p.config.Handler.Mount())
	var err error
	if p.entry, err = web.Listen(p.config.Settings.Listen, mux); err != nil {
		return fmt.Errorf("gateways: %w", err)
	}
	if p.admin, err = web.Listen(p.config.Settings.AdminListen, p.adminRouter()); err != nil {
		return fmt.Errorf("operators: %w", err)
	}
	for _, server := range []*web.Server{p.entry, p.admin} {
		p.serving.Add(1)
		go func() {
			defer p.serving.Done()
			if err := server.Serve(); err != nil {
				level.Error(p.config.Logger).Log(logs.KeyEvent, "serve-failed", logs.KeyError, err)
			}
		}()
	}
	return nil
}

func (p *process) adminRouter() http.Handler {
	router := gin.New()
	router.Use(gin.Recovery())
	p.config.Status.Mount(router, p.config.Metrics.Registry)
	path, handler := toucanhingev1connect.NewExplainServiceHandler(p.config.Records)
	router.Any(path+"*call", gin.WrapH(handler))
	return router
}

// begin opens the endpoint once the configuration is known.
func (p *process) begin(ctx context.Context) {
	select {
	case <-p.config.ConfigWatcher.watcher.Started():
	case <-ctx.Done():
		return
	}
	p.config.Orders.Submit(order.ConfigConfirmed{})
	p.config.ConfigWatcher.tellOrder()
	p.config.Puller.SetGroupCount(p.config.ConfigWatcher.watcher.Groups())
	if p.config.Drainer.leaving() {
		return
	}
	p.config.Puller.SetOpen(p.config.Settings.Kind == config.KindModel && p.config.Settings.Batch.Slots > 0)
	p.config.Status.Ready()
	level.Info(p.config.Logger).Log(logs.KeyEvent, "ready", "version", p.config.ConfigWatcher.watcher.Fleet().Version)
}

func (p *process) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.config.Handler.Sweep(p.config.Clock.Now())
		}
	}
}

// stop drains, also when a signal came, then ends the duties.
func (p *process) stop(ctx context.Context) error {
	p.config.Drainer.leave("signal")
	select {
	case <-p.config.Drainer.left:
	case <-ctx.Done():
	}
	err := p.entry.Shutdown(ctx)
	p.cancel()
	p.duties.Wait()
	if adminErr := p.admin.Shutdown(ctx); err == nil {
		err = adminErr
	}
	p.serving.Wait()
	if err != nil {
		return fmt.Errorf("stop serving: %w", err)
	}
	return nil
}

func newBeater(s config.Settings, l log.Logger, c *control.Client, i incarnation, w *watching, o *order.Runner, v *leaver) *control.Heartbeater {
	request := func() *toucanhingev1.BeatRequest {
		state := toucanhingev1.MemberState_MEMBER_STATE_READY
		if v.leaving() {
			state = toucanhingev1.MemberState_MEMBER_STATE_LEAVING
		}
		return &toucanhingev1.BeatRequest{
			Name: s.Name, Version: w.watcher.Fleet().Version, Order: o.Fence(),
			Member: &toucanhingev1.Member{
				Role: toucanhingev1.Role_ROLE_SIDECAR, Address: s.Listen, Admin: s.AdminListen, Vm: s.VM,
				DataCentre: s.DataCentre, Incarnation: uint64(i), State: state, Service: s.Service,
				Slots: uint32(s.Engine.Slots),
			},
		}
	}
	return control.NewHeartbeater(control.HeartbeaterConfig{
		Client: c, Logger: l, Request: request, Accepted: w.watcher.RaiseMinVersion,
		Superseded: func() { v.leave("superseded") },
	})
}
