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
	Log      *record.Log
	Metrics   *Metrics
	Logger    log.Logger
	Budget    *attempt.Budget
	// MaxAttempts is the most attempts of one request.
	MaxAttempts uint32
	// StallTimeout is the longest silence between two pieces, a span.
	StallTimeout clock.Millis
	// MaxBuffered is the most bytes of a whole answer kept back until its end.
	MaxBuffered int
}

// Executor runs the online requests of one gateway.
type Executor struct {
	config Config
	mu     sync.Mutex
}

// New makes a runner.
func New(config Config) *Executor {
	return &Executor{config: config}
}

func (r *Executor) earn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.config.Budget.Earn()
}

func (r *Executor) spend(cause attempt.Cause) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.config.Budget.Spend(cause)
}

// Run carries the request to its end. The context ends when the caller leaves.
func (r *Executor) Run(ctx context.Context, request *Request, sink Sink) Result {
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
			Request:    request.ID,
			Deadline:   request.Deadline,
			Idempotent: request.Idempotent,
			Buffered:       !request.Stream,
			Resumable:  request.Stream && request.Text != nil,
			Model:      request.Model,
			MaxAttempts:   r.config.MaxAttempts,
			Spend:      r.spend,
		}),
	}
	defer f.close()
	f.run(ctx)
	return f.ending
}
