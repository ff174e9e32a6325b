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

// Config configures an Executor.
type Config struct {
	Gateway   string
	Clock     clock.Clock
	Directory *endpoint.Directory
	DecisionLog       *record.Log
	Metrics   *Metrics
	Logger    log.Logger
	Budget    *attempt.Budget
	// MaxAttempts is the maximum number of attempts of one request.
	MaxAttempts uint32
	// StallTimeout is the maximum time between two chunks of a stream.
	StallTimeout clock.Millis
	// MaxBuffered is the maximum number of bytes of an answer buffered until it is complete.
	MaxBuffered int
}

// Executor executes the online requests of one gateway.
type Executor struct {
	config Config
	mu     sync.Mutex
}

// New returns an executor.
func New(config Config) *Executor {
	return &Executor{config: config}
}

func (x *Executor) earn() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.config.Budget.Earn()
}

func (x *Executor) spend(cause attempt.Cause) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.config.Budget.Spend(cause)
}

// Run executes the request until it ends. The context ends when the caller disconnects.
func (x *Executor) Run(ctx context.Context, request *Request, sink Sink) Result {
	x.earn()
	ctx, cancel := context.WithTimeout(ctx, (request.Deadline - x.config.Clock.Now()).Duration())
	defer cancel()
	x.config.Metrics.InFlight.Inc()
	defer x.config.Metrics.InFlight.Dec()
	e := &exchange{
		executor:  x,
		request:   request,
		sink:      sink,
		arrivedAt: x.config.Clock.Now(),
		machine: attempt.New(attempt.Config{
			Request:     request.ID,
			Deadline:    request.Deadline,
			Idempotent:  request.Idempotent,
			Buffered:    !request.Stream,
			Resumable:   request.Stream && request.Text != nil,
			Model:       request.Model,
			MaxAttempts: x.config.MaxAttempts,
			Spend:       x.spend,
		}),
	}
	defer e.close()
	e.run(ctx)
	return e.result
}
