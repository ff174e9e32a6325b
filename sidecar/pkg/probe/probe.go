// Package probe watches the engine from beside: whether it answers, and how
// much load of others it carries.
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

// Report is what one poll brought.
type Report struct {
	// InFlight is what the engine runs and queues, AsOf when it counted.
	InFlight int
	AsOf     clock.Millis
}

// Config describes a probe.
type Config struct {
	Clock  clock.Clock
	Logger log.Logger
	Interval time.Duration
	// FailureThreshold is how many polls in a row may go without an answer.
	FailureThreshold int
	// Poll asks the engine.
	Poll func(context.Context) (Report, error)
	// OnForeignSlots is told the slots that others use; Health whether the engine answers.
	OnForeignSlots func(slots int)
	OnHealth  func(healthy bool)
}

// Probe is the goroutine that polls.
type Probe struct {
	config  Config
	suspect chan struct{}
	mu      sync.Mutex
	foreign admit.ForeignEstimator
	failed  int
	healthy bool
}

// New makes a probe. The engine counts as unhealthy until it answered once.
func New(config Config) *Probe {
	return &Probe{config: config, suspect: make(chan struct{}, 1)}
}

// RecordOwn notes how many requests we have at the engine.
func (p *Probe) RecordOwn(now clock.Millis, count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.foreign.RecordOwnCount(now, count)
}

// ReportUnreachable tells that the engine could not be reached, so that it counts as
// unhealthy until a poll says otherwise: else items would be leased and handed
// back in a loop until the next polls have failed.
func (p *Probe) ReportUnreachable() {
	select {
	case p.suspect <- struct{}{}:
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
		case <-p.suspect:
			p.set(false, "unreachable")
		case <-ticker.C:
			p.poll(ctx)
		}
	}
}

func (p *Probe) poll(ctx context.Context) {
	// A tick and the end may come together, and Go chooses either.
	if ctx.Err() != nil {
		return
	}
	report, err := p.config.Poll(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		p.failed++
		if p.failed >= p.config.FailureThreshold {
			p.set(false, err.Error())
		}
		return
	}
	p.failed = 0
	p.set(true, "")
	now := p.config.Clock.Now()
	p.mu.Lock()
	slots := p.foreign.Estimate(now, report.AsOf, report.InFlight)
	p.mu.Unlock()
	p.config.OnForeignSlots(slots)
}

func (p *Probe) set(healthy bool, why string) {
	if p.healthy == healthy {
		return
	}
	p.healthy = healthy
	event := "engine-healthy"
	if !healthy {
		event = "engine-unhealthy"
	}
	level.Info(p.config.Logger).Log(logs.KeyEvent, event, logs.KeyError, why)
	p.config.OnHealth(healthy)
}
