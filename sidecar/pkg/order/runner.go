package order

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/ring"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/sidecar/pkg/engine"
)

const (
	tickInterval  = 50 * time.Millisecond
	eventRingSize = 64
)

// RunnerConfig configures a Runner.
type RunnerConfig struct {
	Clock   clock.Clock
	Logger  log.Logger
	Machine *Machine
	// Read and Send call the engine.
	Read func(context.Context) (engine.State, error)
	Send func(context.Context, engine.Order) (current uint64, refused bool, err error)
	// Gate opens and closes the endpoint for new work.
	Gate func(open bool)
	// Idle reports whether no work of this sidecar runs at the engine.
	Idle func() bool
	// RecordEvent records the result of an order in records and counters.
	RecordEvent func(fence uint64, event, detail string)
}

// Runner executes the actions of a Machine.
type Runner struct {
	config   RunnerConfig
	events   *ring.Ring[Event]
	draining bool
	fence    atomic.Uint64
}

// NewRunner creates a Runner.
func NewRunner(config RunnerConfig) *Runner {
	return &Runner{config: config, events: ring.New[Event](ring.Config{Size: eventRingSize})}
}

// Submit enqueues an Update or ConfigConfirmed and reports whether there was space in
// the ring. A dropped event is submitted again by the caller or after the next change
// of the configuration.
func (r *Runner) Submit(event Event) bool {
	return r.events.Offer(event)
}

// Fence returns the fence of the engine's order.
func (r *Runner) Fence() uint64 {
	return r.fence.Load()
}

// Run executes orders until the context ends. It makes all calls to the engine, so
// there is at most one at a time.
func (r *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-r.events.Items():
			r.step(ctx, event)
		case <-ticker.C:
			r.tick(ctx)
		}
	}
}

func (r *Runner) tick(ctx context.Context) {
	if r.draining && r.config.Idle() {
		r.step(ctx, Drained{})
	}
	r.step(ctx, Tick{})
}

func (r *Runner) step(ctx context.Context, event Event) {
	pending := []Event{event}
	for len(pending) > 0 && ctx.Err() == nil {
		actions := r.config.Machine.Step(r.config.Clock.Now(), pending[0])
		pending = pending[1:]
		for _, a := range actions {
			if result := r.act(ctx, a); result != nil {
				pending = append(pending, result)
			}
		}
	}
	r.fence.Store(r.config.Machine.Fence())
}

func (r *Runner) act(ctx context.Context, a Action) Event {
	switch a.Verb {
	case Close:
		r.draining = true
		r.config.Gate(false)
		return nil
	case Open:
		r.draining = false
		r.config.Gate(true)
		return nil
	case Read:
		return r.read(ctx)
	default:
		return r.send(ctx, a.Order)
	}
}

func (r *Runner) read(ctx context.Context) Event {
	state, err := r.config.Read(ctx)
	if err != nil {
		level.Debug(r.config.Logger).Log(logs.KeyEvent, "orders-unreadable", logs.KeyError, err)
	}
	return ReadResult{State: state, Failed: err != nil}
}

func (r *Runner) send(ctx context.Context, o engine.Order) Event {
	current, refused, err := r.config.Send(ctx, o)
	result := SendResult{Fence: o.Fence, Current: current, Refused: refused, Failed: err != nil}
	event := "order-taken"
	switch {
	case err != nil:
		event = "order-doubtful"
	case refused:
		event = "order-refused"
	}
	level.Info(r.config.Logger).Log(logs.KeyEvent, event, "fence", o.Fence, "held", current, logs.KeyError, err)
	r.config.RecordEvent(o.Fence, event, o.Kind)
	return result
}

// DesiredFromEntry converts a configuration entry to a desired order. It returns false
// if the entry holds no order of a known kind.
func DesiredFromEntry(e *toucanhingev1.Entry) (Desired, bool) {
	o := e.GetOrder()
	var kind string
	switch o.GetKind() {
	case toucanhingev1.OrderKind_ORDER_KIND_LOAD_MODEL:
		kind = KindModel
	case toucanhingev1.OrderKind_ORDER_KIND_LOAD_ADAPTER:
		kind = KindAdapter
	case toucanhingev1.OrderKind_ORDER_KIND_SET_VERSION:
		kind = KindVersion
	case toucanhingev1.OrderKind_ORDER_KIND_SET_ROLE:
		kind = KindRole
	default:
		return Desired{}, false
	}
	return Desired{
		Order: engine.Order{
			Fence: e.GetVersion(), Kind: kind, Model: o.GetModel(), Adapter: o.GetAdapter(),
			Version: o.GetModelVersion(), Role: o.GetEngineRole(),
		},
		NotBefore: clock.Millis(o.GetNotBeforeMs()),
	}, true
}
