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
	tickPeriod = 50 * time.Millisecond
	eventRing  = 64
)

// RunnerConfig describes a runner.
type RunnerConfig struct {
	Clock   clock.Clock
	Logger  log.Logger
	Machine *Machine
	// Read and Send call the engine.
	Read func(context.Context) (engine.State, error)
	Send func(context.Context, engine.Order) (held uint64, refused bool, err error)
	// Gate opens and closes the endpoint for new work.
	Gate func(open bool)
	// Idle says that nothing of ours runs at the engine.
	Idle func() bool
	// RecordEvent is told what happened to an order, for records and counters.
	RecordEvent func(fence uint64, event, detail string)
}

// Runner is the runtime of a machine.
type Runner struct {
	config   RunnerConfig
	events   *ring.Ring[Event]
	draining bool
	fence    atomic.Uint64
}

// NewRunner makes a runner.
func NewRunner(config RunnerConfig) *Runner {
	return &Runner{config: config, events: ring.New[Event](ring.Config{Size: eventRing})}
}

// Submit hands in the newest order, or the start. A full ring drops it; the next
// change of the configuration, or the caller, tells it again.
func (r *Runner) Submit(event Event) bool {
	return r.events.Offer(event)
}

// Fence is the number of the order that the engine holds.
func (r *Runner) Fence() uint64 {
	return r.fence.Load()
}

// Run carries out orders until the context ends. Calls to the engine are made
// from here, so there is never more than one at a time.
func (r *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
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
			if answer := r.act(ctx, a); answer != nil {
				pending = append(pending, answer)
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
	held, err := r.config.Read(ctx)
	if err != nil {
		level.Debug(r.config.Logger).Log(logs.KeyEvent, "orders-unreadable", logs.KeyError, err)
	}
	return ReadResult{State: held, Failed: err != nil}
}

func (r *Runner) send(ctx context.Context, o engine.Order) Event {
	held, refused, err := r.config.Send(ctx, o)
	sent := SendResult{Fence: o.Fence, Current: held, Refused: refused, Failed: err != nil}
	event := "order-taken"
	switch {
	case err != nil:
		event = "order-doubtful"
	case refused:
		event = "order-refused"
	}
	level.Info(r.config.Logger).Log(logs.KeyEvent, event, "fence", o.Fence, "held", held, logs.KeyError, err)
	r.config.RecordEvent(o.Fence, event, o.Kind)
	return sent
}

// DesiredFromEntry turns an entry of the configuration into what is wanted; false when it is none.
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
