// Package app assembles the components of the sidecar and runs them.
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

// sweepInterval is how often expired and unread answers are removed.
const sweepInterval = 100 * time.Millisecond

// stopMargin is added to the drain time to get the timeout of a stop.
const stopMargin = 30 * time.Second

// Run runs the sidecar until a termination signal or a drain. A planned shutdown is no
// error.
func Run(s config.Settings) error {
	gin.SetMode(gin.ReleaseMode)
	stopTimeout := clock.Millis(s.Drain.FinishMS).Duration() + stopMargin
	a := fx.New(
		fx.NopLogger,
		fx.StopTimeout(stopTimeout),
		fx.Supply(s),
		fx.Provide(
			newClock, newIncarnation, newLogger, newMetrics, newRecordLog, newHTTPClient, newControlClient, newEngineClient, newStatus,
			newCounters, newRecorder, newDispatcher, newGate, newProbe, newConfigWatcher, newHandler, newPuller, newOrderRunner,
			newDrainer, newHeartbeater, newProcess,
		),
		fx.Invoke(func(lifecycle fx.Lifecycle, p *process) {
			lifecycle.Append(fx.Hook{OnStart: p.start, OnStop: p.stop})
		}),
	)
	if err := a.Err(); err != nil {
		return fmt.Errorf("assemble the sidecar: %w", err)
	}
	if err := a.Start(context.Background()); err != nil {
		return fmt.Errorf("start the sidecar: %w", err)
	}
	<-a.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := a.Stop(ctx); err != nil {
		return fmt.Errorf("stop the sidecar: %w", err)
	}
	return nil
}

// processConfig holds the components of a process.
type processConfig struct {
	fx.In

	Settings      config.Settings
	Clock         clock.Clock
	Logger        log.Logger
	Metrics       *metrics.Set
	Counters      *counters
	Records       *record.Log
	Status        *health.Status
	Dispatcher    *dispatch.Dispatcher
	Probe         *probe.Probe
	ConfigWatcher *configWatcher
	Handler       *entry.Handler
	Puller        *work.Puller
	Orders        *order.Runner
	Drainer       *drainer
	Heartbeater   *control.Heartbeater
}

// process runs the background tasks, each in its own goroutine.
type process struct {
	config        processConfig
	tasks         sync.WaitGroup
	serving       sync.WaitGroup
	cancel        context.CancelFunc
	gatewayServer *web.Server
	adminServer   *web.Server
}

func newProcess(c processConfig) *process {
	return &process{config: c}
}

func (p *process) start(context.Context) error {
	p.config.ConfigWatcher.orders = p.config.Orders
	p.config.ConfigWatcher.drain = p.config.Drainer.start
	p.config.Drainer.triggerBeat = p.config.Heartbeater.Trigger
	p.config.Counters.registerAdmissionMetrics(p.config.Dispatcher)
	if err := p.listen(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	for _, task := range []func(context.Context){
		p.config.Dispatcher.Run, p.config.Probe.Run, p.config.ConfigWatcher.watcher.Run, p.config.Heartbeater.Run,
		p.config.Puller.Run, p.sweep, p.openWhenConfigured,
	} {
		p.run(ctx, task)
	}
	if acceptsOrders(p.config.Settings) {
		p.run(ctx, p.config.Orders.Run)
	}
	return nil
}

func (p *process) run(ctx context.Context, task func(context.Context)) {
	p.tasks.Add(1)
	go func() {
		defer p.tasks.Done()
		task(ctx)
	}()
}

func (p *process) listen() error {
	mux := http.NewServeMux()
	mux.Handle(p.config.Handler.Mount())
	var err error
	if p.gatewayServer, err = web.Listen(p.config.Settings.Listen, mux); err != nil {
		return fmt.Errorf("listen for gateways: %w", err)
	}
	if p.adminServer, err = web.Listen(p.config.Settings.AdminListen, p.adminRouter()); err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	for _, server := range []*web.Server{p.gatewayServer, p.adminServer} {
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

// openWhenConfigured opens the endpoint once the configuration is known.
func (p *process) openWhenConfigured(ctx context.Context) {
	select {
	case <-p.config.ConfigWatcher.watcher.Started():
	case <-ctx.Done():
		return
	}
	p.config.Orders.Submit(order.ConfigConfirmed{})
	p.config.ConfigWatcher.submitOrder()
	p.config.Puller.SetGroupCount(p.config.ConfigWatcher.watcher.Groups())
	if p.config.Drainer.isDraining() {
		return
	}
	p.config.Puller.SetOpen(p.config.Settings.Kind == config.KindModel && p.config.Settings.Batch.Slots > 0)
	p.config.Status.Ready()
	level.Info(p.config.Logger).Log(logs.KeyEvent, "ready", "version", p.config.ConfigWatcher.watcher.Fleet().Version)
}

func (p *process) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
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

// stop drains the sidecar, also after a signal, then ends the background tasks.
func (p *process) stop(ctx context.Context) error {
	p.config.Drainer.start("signal")
	select {
	case <-p.config.Drainer.drained:
	case <-ctx.Done():
	}
	err := p.gatewayServer.Shutdown(ctx)
	p.cancel()
	p.tasks.Wait()
	if adminErr := p.adminServer.Shutdown(ctx); err == nil {
		err = adminErr
	}
	p.serving.Wait()
	if err != nil {
		return fmt.Errorf("shut down the servers: %w", err)
	}
	return nil
}

func newHeartbeater(
	s config.Settings, l log.Logger, c *control.Client, i incarnation, w *configWatcher, o *order.Runner, d *drainer,
) *control.Heartbeater {
	request := func() *toucanhingev1.BeatRequest {
		state := toucanhingev1.MemberState_MEMBER_STATE_READY
		if d.isDraining() {
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
		Superseded: func() { d.start("superseded") },
	})
}
