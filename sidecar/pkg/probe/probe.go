// Package probe polls the engine for its health and for the load that other clients put on
// it.
package probe

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/sidecar/pkg/admit"
)

// Report is the result of one poll.
type Report struct {
	// InFlight is the number of requests that the engine runs and queues, AsOf the time of
	// the count.
	InFlight int
	AsOf     clock.Millis
}

// Config holds the probe's settings and dependencies.
type Config struct {
	Clock    clock.Clock
	Logger   log.Logger
	Interval time.Duration
	// FailureThreshold is the number of consecutive failed polls after which the engine is
	// unhealthy.
	FailureThreshold int
	// Poll fetches a report from the engine.
	Poll func(context.Context) (Report, error)
	// OnForeignSlots receives the number of slots that other clients use. OnHealth
	// receives changes of the engine's health.
	OnForeignSlots func(slots int)
	OnHealth       func(healthy bool)
}

// Probe polls the engine.
type Probe struct {
	config      Config
	unreachable chan struct{}
	mu          sync.Mutex
	estimator   admit.ForeignEstimator
	failedPolls int
	healthy     bool
}

// New returns a probe. The engine counts as unhealthy until its first successful poll.
func New(config Config) *Probe {
	return &Probe{config: config, unreachable: make(chan struct{}, 1)}
}

// RecordOwnCount records how many of this sidecar's requests are at the engine.
func (p *Probe) RecordOwnCount(now clock.Millis, count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.estimator.RecordOwnCount(now, count)
}

// ReportUnreachable reports that a call could not reach the engine. The engine then counts
// as unhealthy until a poll succeeds. Otherwise items would be leased and returned in a
// loop until enough polls have failed.
func (p *Probe) ReportUnreachable() {
	select {
	case p.unreachable <- struct{}{}:
	default:
	}
}

// Run polls until the context ends.
func (p *Probe) Run(ctx context.Context) {
	ticker := time.NewTicker(p.config.Interval)
	defer ticker.Stop()
	p.poll(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.unreachable:
			p.setHealthy(false, "unreachable")
		case <-ticker.C:
			p.poll(ctx)
		}
	}
}

func (p *Probe) poll(ctx context.Context) {
	// select picks randomly if a tick and the end of the context coincide.
	if ctx.Err() != nil {
		return
	}
	report, err := p.config.Poll(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		p.failedPolls++
		if p.failedPolls >= p.config.FailureThreshold {
			p.setHealthy(false, err.Error())
		}
		return
	}
	p.failedPolls = 0
	p.setHealthy(true, "")
	now := p.config.Clock.Now()
	p.mu.Lock()
	slots := p.estimator.Estimate(now, report.AsOf, report.InFlight)
	p.mu.Unlock()
	p.config.OnForeignSlots(slots)
}

func (p *Probe) setHealthy(healthy bool, reason string) {
	if p.healthy == healthy {
		return
	}
	p.healthy = healthy
	event := "engine-healthy"
	if !healthy {
		event = "engine-unhealthy"
	}
	level.Info(p.config.Logger).Log(logs.KeyEvent, event, logs.KeyError, reason)
	p.config.OnHealth(healthy)
}
