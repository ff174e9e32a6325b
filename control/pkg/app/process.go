package app

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"go.uber.org/fx"

	"toucanhinge.example/common/pkg/health"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/web"
	"toucanhinge.example/control/pkg/config"
)

const (
	readinessInterval = 50 * time.Millisecond
	// callTimeout is the maximum time that a planned stop waits for calls in flight.
	callTimeout = 10 * time.Second
)

// process owns the listener and the background goroutines.
type process struct {
	settings   config.Config
	status     *health.Status
	logger     log.Logger
	components *components
	groups     *groups
	shutdowner fx.Shutdowner

	server     *web.Server
	cancel     context.CancelFunc
	background sync.WaitGroup
	// stopBatchers stops the batchers. It is called after the last call has ended.
	stopBatchers context.CancelFunc
	batchers     sync.WaitGroup

	mu           sync.Mutex
	failure      error
	shuttingDown bool
}

func newProcess(
	settings config.Config, status *health.Status, logger log.Logger, c *components, gs *groups, shutdowner fx.Shutdowner,
) *process {
	return &process{settings: settings, status: status, logger: logger, components: c, groups: gs, shutdowner: shutdowner}
}

func (p *process) start(context.Context) error {
	server, err := web.Listen(p.settings.Listen, p.components.handler)
	if err != nil {
		p.groups.close()
		return fmt.Errorf("serve: %w", err)
	}
	p.server = server
	batcherCtx, stopBatchers := context.WithCancel(context.Background())
	p.stopBatchers = stopBatchers
	p.goBatcher(func() { p.groups.fleet.Steps.Run(batcherCtx) })
	for _, j := range p.groups.jobs {
		p.goBatcher(func() { j.Steps.Run(batcherCtx) })
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.groups.reportFailures(ctx)
	p.goBackground(p.serve)
	p.goBackground(func() { p.components.memberLeases.Run(ctx) })
	p.goBackground(func() { p.components.itemLeases.Run(ctx) })
	p.goBackground(func() { p.watchGroups(ctx) })
	if p.components.vmPoller != nil {
		p.goBackground(func() { p.components.vmPoller.Run(ctx) })
	}
	level.Info(p.logger).Log(logs.KeyEvent, "started", "listen", server.Address())
	return nil
}

func (p *process) goBackground(run func()) {
	p.background.Add(1)
	go func() {
		defer p.background.Done()
		run()
	}()
}

func (p *process) goBatcher(run func()) {
	p.batchers.Add(1)
	go func() {
		defer p.batchers.Done()
		run()
	}()
}

func (p *process) serve() {
	if err := p.server.Serve(); err != nil {
		p.fail(err)
	}
}

// watchGroups updates the readiness of the process, and stops the process if a replica
// fails.
func (p *process) watchGroups(ctx context.Context) {
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case err := <-p.groups.failed:
			p.fail(err)
			return
		case <-ticker.C:
			p.updateReadiness()
		}
	}
}

// updateReadiness reports the process as ready while every group has a leader. It
// does nothing during a shutdown: a process that became ready again would get calls
// and then cut them off.
func (p *process) updateReadiness() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shuttingDown {
		return
	}
	for number, g := range p.groups.replicas {
		if name, _, _ := g.Leader(); name == "" {
			p.status.NotReady(fmt.Sprintf("group %d has no leader", number))
			return
		}
	}
	if ready, _ := p.status.State(); !ready {
		level.Info(p.logger).Log(logs.KeyEvent, "ready")
	}
	p.status.Ready()
}

func (p *process) fail(err error) {
	p.mu.Lock()
	p.failure = err
	p.mu.Unlock()
	level.Error(p.logger).Log(logs.KeyEvent, "failed", logs.KeyError, err)
	if err := p.shutdowner.Shutdown(fx.ExitCode(1)); err != nil {
		level.Error(p.logger).Log(logs.KeyEvent, "shutdown-failed", logs.KeyError, err)
	}
}

func (p *process) err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failure
}

func (p *process) beginShutdown() {
	p.mu.Lock()
	p.shuttingDown = true
	p.status.NotReady("leaving")
	p.mu.Unlock()
	p.cancel()
}

// stop shuts the process down without cutting off calls. It fails the readiness
// check, transfers the leaderships so that no proposal waits for an election, makes
// watchers connect to other replicas, waits for calls in flight, and closes the
// replicas.
func (p *process) stop(ctx context.Context) error {
	p.beginShutdown()
	level.Info(p.logger).Log(logs.KeyEvent, "leaving")
	if _, err := p.groups.transferLeaderships(ctx); err != nil {
		level.Warn(p.logger).Log(logs.KeyEvent, "handover-failed", logs.KeyError, err)
	}
	callsCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := p.server.Shutdown(callsCtx)
	p.background.Wait()
	p.stopBatchers()
	p.batchers.Wait()
	p.groups.close()
	level.Info(p.logger).Log(logs.KeyEvent, "stopped")
	if err != nil {
		return fmt.Errorf("shut down the server: %w", err)
	}
	return nil
}
