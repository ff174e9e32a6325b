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
	shared "toucanhinge.example/common/pkg/control"
	"toucanhinge.example/common/pkg/health"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/metrics"
	"toucanhinge.example/common/pkg/record"
	"toucanhinge.example/common/pkg/web"
	"toucanhinge.example/gateway/pkg/config"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

// leaveTick is how often the process looks whether it was asked to leave.
const leaveTick = 200 * time.Millisecond

// process owns the listeners and the goroutines of the gateway's duties.
type process struct {
	settings    config.Settings
	status      *health.Status
	logger      log.Logger
	parts       *parts
	shutdowner  fx.Shutdowner
	set         *metrics.Set
	book        *record.Log
	beater      *shared.Heartbeater
	incarnation uint64

	callers *web.Server
	admin   *web.Server
	duties  sync.WaitGroup
	cancel  context.CancelFunc
	leaving sync.Once
	gone    chan struct{}
}

func newProcess(
	settings config.Settings, now clock.Clock, status *health.Status, logger log.Logger, set *metrics.Set,
	book *record.Log, parts *parts, shutdowner fx.Shutdowner,
) *process {
	p := &process{
		settings: settings, status: status, logger: logger, parts: parts, shutdowner: shutdowner, set: set, book: book,
		incarnation: uint64(now.Now()), gone: make(chan struct{}),
	}
	p.beater = shared.NewHeartbeater(shared.HeartbeaterConfig{
		Client: parts.client, Logger: logger, Request: p.beat,
		Accepted: parts.watcher.RaiseMinVersion, Superseded: p.shutdown,
	})
	return p
}

// start takes the addresses first, so that a port in use is told at once.
func (p *process) start(context.Context) error {
	var err error
	if p.callers, err = web.Listen(p.settings.Listen, p.parts.server.Handler()); err != nil {
		return fmt.Errorf("serve callers: %w", err)
	}
	if p.admin, err = web.Listen(p.settings.AdminListen, p.adminHandler()); err != nil {
		return fmt.Errorf("serve operators: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.duty(func() { p.serve(p.callers) })
	p.duty(func() { p.serve(p.admin) })
	p.duty(func() { p.parts.watcher.Run(ctx) })
	p.duty(func() { p.beater.Run(ctx) })
	p.duty(func() { p.parts.directory.Poll(ctx) })
	p.duty(func() { p.parts.directory.SendCancels(ctx) })
	p.duty(func() { p.parts.claims.Run(ctx) })
	p.duty(func() { p.watch(ctx) })
	level.Info(p.logger).Log(logs.KeyEvent, "started", "listen", p.callers.Address(), "admin", p.admin.Address())
	return nil
}

func (p *process) duty(run func()) {
	p.duties.Add(1)
	go func() {
		defer p.duties.Done()
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
	path, explain := toucanhingev1connect.NewExplainServiceHandler(p.book)
	router.Any(path+"*call", gin.WrapH(explain))
	return router
}

// beat says what this process is now.
func (p *process) beat() *toucanhingev1.BeatRequest {
	state := toucanhingev1.MemberState_MEMBER_STATE_READY
	if p.isLeaving() {
		state = toucanhingev1.MemberState_MEMBER_STATE_LEAVING
	}
	return &toucanhingev1.BeatRequest{
		Name: p.settings.Name,
		Member: &toucanhingev1.Member{
			Role: toucanhingev1.Role_ROLE_GATEWAY, Address: p.settings.Listen, Admin: p.settings.AdminListen,
			Vm: p.settings.VM, DataCentre: p.settings.DataCentre, Incarnation: p.incarnation, State: state,
		},
		Version: p.parts.watcher.Fleet().Version,
	}
}

func (p *process) isLeaving() bool {
	select {
	case <-p.gone:
		return true
	default:
		return false
	}
}

// watch makes the process ready once its configuration is in force, and stops
// it when the configuration asks it to leave.
func (p *process) watch(ctx context.Context) {
	select {
	case <-p.parts.watcher.Started():
		if p.isLeaving() {
			return
		}
		p.status.Ready()
		level.Info(p.logger).Log(logs.KeyEvent, "ready")
	case <-ctx.Done():
		return
	}
	ticker := time.NewTicker(leaveTick)
	defer ticker.Stop()
	for !p.askedToLeave() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
	level.Info(p.logger).Log(logs.KeyEvent, "asked-to-leave")
	p.shutdown()
}

func (p *process) askedToLeave() bool {
	fleet := p.parts.watcher.Fleet()
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

// stop leaves without cutting a request off: readiness fails first and new
// requests are still answered, so that the balancer has time to turn away; then
// the listener closes and what is under way ends.
func (p *process) stop(ctx context.Context) error {
	p.status.NotReady("leaving")
	p.leaving.Do(func() { close(p.gone) })
	p.beater.Trigger()
	p.parts.server.Drain()
	level.Info(p.logger).Log(logs.KeyEvent, "leaving")
	time.Sleep(clock.Millis(p.settings.Drain.BalancerWait).Duration())
	finish, cancel := context.WithTimeout(ctx, clock.Millis(p.settings.Drain.FinishTimeout).Duration())
	defer cancel()
	err := p.callers.Shutdown(finish)
	p.cancel()
	if adminErr := p.admin.Shutdown(ctx); err == nil {
		err = adminErr
	}
	p.duties.Wait()
	if err != nil {
		return fmt.Errorf("leave: %w", err)
	}
	level.Info(p.logger).Log(logs.KeyEvent, "stopped")
	return nil
}
