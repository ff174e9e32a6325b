package online

import (
	"context"
	"sync"

	"github.com/go-kit/log"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/record"
	"toucanhinge.example/gateway/pkg/attempt"
	"toucanhinge.example/gateway/pkg/endpoint"
)

// Config describes a runner.
type Config struct {
	Gateway   string
	Clock     clock.Clock
	Directory *endpoint.Directory
	Book      *record.Log
	Metrics   *Metrics
	Logger    log.Logger
	Budget    *attempt.Budget
	// Attempts is the most attempts of one request.
	Attempts uint32
	// Stall is the longest silence between two pieces, a span.
	Stall clock.Millis
	// Held is the most bytes of a whole answer kept back until its end.
	Held int
}

// Runner runs the online requests of one gateway.
type Runner struct {
	config Config
	mu     sync.Mutex
}

// New makes a runner.
func New(config Config) *Runner {
	return &Runner{config: config}
}

func (r *Runner) earn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.config.Budget.Earn()
}

func (r *Runner) spend(cause attempt.Cause) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.config.Budget.Spend(cause)
}

// Run carries the request to its end. The context ends when the caller leaves.
func (r *Runner) Run(ctx context.Context, request *Request, sink Sink) Ending {
	r.earn()
	ctx, cancel := context.WithTimeout(ctx, (request.Deadline - r.config.Clock.Now()).Duration())
	defer cancel()
	r.config.Metrics.InFlight.Inc()
	defer r.config.Metrics.InFlight.Dec()
	f := &flight{
		runner:  r,
		request: request,
		sink:    sink,
		arrived: r.config.Clock.Now(),
		machine: attempt.New(attempt.Config{
			Request:     request.ID,
			Deadline:    request.Deadline,
			Idempotent:  request.Idempotent,
			Buffered:    !request.Stream,
			Resumable:   request.Stream && request.Text != nil,
			Model:       request.Model,
			MaxAttempts: r.config.Attempts,
			Spend:       r.spend,
		}),
	}
	defer f.close()
	f.run(ctx)
	return f.ending
}
