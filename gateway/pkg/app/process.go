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
	commoncontrol "toucanhinge.example/common/pkg/control"
	"toucanhinge.example/common/pkg/health"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/metrics"
	"toucanhinge.example/common/pkg/record"
	"toucanhinge.example/common/pkg/web"
	"toucanhinge.example/gateway/pkg/config"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

// drainPollInterval is the interval at which the process checks whether its drain was requested.
const drainPollInterval = 200 * time.Millisecond

// process owns the listeners and the background goroutines of the gateway.
type process struct {
	settings    config.Settings
	status      *health.Status
	logger      log.Logger
	components  *components
	shutdowner  fx.Shutdowner
	set         *metrics.Set
	decisionLog *record.Log
	heartbeater *commoncontrol.Heartbeater
	incarnation uint64

	callerServer *web.Server
	adminServer  *web.Server
	background   sync.WaitGroup
	cancel       context.CancelFunc
	shutdownOnce sync.Once
	shuttingDown chan struct{}
}

func newProcess(
	settings config.Settings, now clock.Clock, status *health.Status, logger log.Logger, set *metrics.Set,
	decisionLog *record.Log, components *components, shutdowner fx.Shutdowner,
) *process {
	p := &process{
		settings: settings, status: status, logger: logger, components: components, shutdowner: shutdowner, set: set,
		decisionLog: decisionLog,
		incarnation: uint64(now.Now()), shuttingDown: make(chan struct{}),
	}
	p.heartbeater = commoncontrol.NewHeartbeater(commoncontrol.HeartbeaterConfig{
		Client: components.client, Logger: logger, Request: p.heartbeat,
		Accepted: components.watcher.RaiseMinVersion, Superseded: p.shutdown,
	})
	return p
}

// start opens the listeners first, so that a port in use is reported at once.
func (p *process) start(context.Context) error {
	var err error
	if p.callerServer, err = web.Listen(p.settings.Listen, p.components.server.Handler()); err != nil {
		return fmt.Errorf("serve callers: %w", err)
	}
	if p.adminServer, err = web.Listen(p.settings.AdminListen, p.adminHandler()); err != nil {
		return fmt.Errorf("serve operators: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.goBackground(func() { p.serve(p.callerServer) })
	p.goBackground(func() { p.serve(p.adminServer) })
	p.goBackground(func() { p.components.watcher.Run(ctx) })
	p.goBackground(func() { p.heartbeater.Run(ctx) })
	p.goBackground(func() { p.components.directory.Poll(ctx) })
	p.goBackground(func() { p.components.directory.SendCancels(ctx) })
	p.goBackground(func() { p.components.claims.Run(ctx) })
	p.goBackground(func() { p.watchFleet(ctx) })
	level.Info(p.logger).Log(logs.KeyEvent, "started", "listen", p.callerServer.Address(), "admin", p.adminServer.Address())
	return nil
}

func (p *process) goBackground(run func()) {
	p.background.Add(1)
	go func() {
		defer p.background.Done()
		run()
	}()
}

func (p *process) serve(server *web.Server) {
	if err := server.Serve(); err != nil {
		level.Error(p.logger).Log(logs.KeyEvent, "listener-failed", logs.KeyError, err)
		p.shutdown()
	}
}

func (p *process) adminHandler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	p.status.Mount(router, p.set.Registry)
	path, explain := toucanhingev1connect.NewExplainServiceHandler(p.decisionLog)
	router.Any(path+"*call", gin.WrapH(explain))
	return router
}

// heartbeat returns the heartbeat request with the current state of the process.
func (p *process) heartbeat() *toucanhingev1.BeatRequest {
	state := toucanhingev1.MemberState_MEMBER_STATE_READY
	if p.isShuttingDown() {
		state = toucanhingev1.MemberState_MEMBER_STATE_LEAVING
	}
	return &toucanhingev1.BeatRequest{
		Name: p.settings.Name,
		Member: &toucanhingev1.Member{
			Role: toucanhingev1.Role_ROLE_GATEWAY, Address: p.settings.Listen, Admin: p.settings.AdminListen,
			Vm: p.settings.VM, DataCentre: p.settings.DataCentre, Incarnation: p.incarnation, State: state,
		},
		Version: p.components.watcher.Fleet().Version,
	}
}

func (p *process) isShuttingDown() bool {
	select {
	case <-p.shuttingDown:
		return true
	default:
		return false
	}
}

// watchFleet marks the process ready once it has the fleet configuration, and stops it when that
// configuration requests its drain.
func (p *process) watchFleet(ctx context.Context) {
	select {
	case <-p.components.watcher.Started():
		if p.isShuttingDown() {
			return
		}
		p.status.Ready()
		level.Info(p.logger).Log(logs.KeyEvent, "ready")
	case <-ctx.Done():
		return
	}
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for !p.drainRequested() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
	level.Info(p.logger).Log(logs.KeyEvent, "asked-to-leave")
	p.shutdown()
}

func (p *process) drainRequested() bool {
	fleet := p.components.watcher.Fleet()
	if fleet.Drained(p.settings.Name, p.settings.VM) {
		return true
	}
	entry, found := fleet.Entry(toucanhingev1.Kind_KIND_MEMBER, p.settings.Name)
	member := entry.GetMember()
	return found && member.GetIncarnation() == p.incarnation &&
		member.GetState() == toucanhingev1.MemberState_MEMBER_STATE_LEAVING
}

func (p *process) shutdown() {
	if err := p.shutdowner.Shutdown(); err != nil {
		level.Error(p.logger).Log(logs.KeyEvent, "shutdown-failed", logs.KeyError, err)
	}
}

// stop shuts down without interrupting requests. Readiness fails first while new requests are still served, so
// that the load balancer has time to stop sending them. Then the listener closes and open requests finish.
func (p *process) stop(ctx context.Context) error {
	p.status.NotReady("leaving")
	p.shutdownOnce.Do(func() { close(p.shuttingDown) })
	p.heartbeater.Trigger()
	p.components.server.Drain()
	level.Info(p.logger).Log(logs.KeyEvent, "leaving")
	time.Sleep(clock.Millis(p.settings.Drain.BalancerWait).Duration())
	finishCtx, cancel := context.WithTimeout(ctx, clock.Millis(p.settings.Drain.FinishTimeout).Duration())
	defer cancel()
	err := p.callerServer.Shutdown(finishCtx)
	p.cancel()
	if adminErr := p.adminServer.Shutdown(ctx); err == nil {
		err = adminErr
	}
	p.background.Wait()
	if err != nil {
		return fmt.Errorf("stop the gateway: %w", err)
	}
	level.Info(p.logger).Log(logs.KeyEvent, "stopped")
	return nil
}
