// Package dispatch runs the admission machine: one goroutine receives events from a
// bounded ring, steps the machine and delivers each action to its request or item.
package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/ring"
	"toucanhinge.example/sidecar/pkg/admit"
)

// tickInterval is how often the machine is stepped without an event while requests or
// items wait. It limits how late a request is refused after its deadline.
const tickInterval = 10 * time.Millisecond

// idleTickInterval is the tick interval while nothing waits.
const idleTickInterval = 200 * time.Millisecond

// Deliver receives the actions for one request or item. It must not block.
type Deliver func(admit.Action)

type envelope struct {
	event   admit.Event
	id      admit.ID
	deliver Deliver
	done    chan struct{}
}

// Config holds the dispatcher's settings and dependencies.
type Config struct {
	Clock   clock.Clock
	Machine *admit.Machine
	// Ring configures the queue of events for the machine.
	Ring ring.Config
}

// Dispatcher owns the admission machine.
type Dispatcher struct {
	config       Config
	events       *ring.Ring[envelope]
	deliverFuncs map[admit.ID]Deliver
	snapshot     atomic.Pointer[admit.Snapshot]
	lastID       atomic.Uint64
	// observeRunning is called with the number of this sidecar's requests at the engine.
	observeRunning func(now clock.Millis, count int)
	// runCtx ends when Run returns.
	runCtx    context.Context
	cancelRun context.CancelFunc
}

// New returns a dispatcher. It handles events once Run is called.
func New(config Config) *Dispatcher {
	d := &Dispatcher{
		config:       config,
		events:       ring.New[envelope](config.Ring),
		deliverFuncs: map[admit.ID]Deliver{},
	}
	d.runCtx, d.cancelRun = context.WithCancel(context.Background())
	initial := config.Machine.Snapshot(config.Clock.Now())
	d.snapshot.Store(&initial)
	return d
}

// ObserveRunning sets a function that is called after each step with the number of this
// sidecar's requests at the engine. It must be called before Run.
func (d *Dispatcher) ObserveRunning(observe func(now clock.Millis, count int)) {
	d.observeRunning = observe
}

// NextID returns a new unique ID.
func (d *Dispatcher) NextID() admit.ID {
	return admit.ID(d.lastID.Add(1))
}

// SubmitRequest submits a new online request. It returns false if the ring is full or the
// dispatcher has stopped. Otherwise deliver receives exactly one Start or Refuse.
func (d *Dispatcher) SubmitRequest(arrival admit.Arrive, deliver Deliver) bool {
	select {
	case <-d.runCtx.Done():
		return false
	default:
	}
	return d.events.Offer(envelope{event: arrival, id: arrival.ID, deliver: deliver})
}

// SubmitItem submits a batch item. deliver receives its actions until Finished is
// submitted or a Return is delivered.
func (d *Dispatcher) SubmitItem(item admit.Offer, deliver Deliver) {
	d.enqueue(envelope{event: item, id: item.ID, deliver: deliver})
}

// Submit submits any other event. It blocks while the ring is full, because a lost
// Finished event would leak a slot.
func (d *Dispatcher) Submit(event admit.Event) {
	d.enqueue(envelope{event: event})
}

// Flush blocks until all events that were submitted earlier have been handled.
func (d *Dispatcher) Flush() {
	done := make(chan struct{})
	d.enqueue(envelope{event: admit.Tick{}, done: done})
	select {
	case <-done:
	case <-d.runCtx.Done():
	}
}

// enqueue blocks while the ring is full. It returns when the dispatcher stops, because the
// ring is not read after that.
func (d *Dispatcher) enqueue(e envelope) {
	if d.events.Offer(e) {
		return
	}
	_ = d.events.Put(d.runCtx, e)
}

// Snapshot returns the machine's state after its last step.
func (d *Dispatcher) Snapshot() admit.Snapshot {
	return *d.snapshot.Load()
}

// Run steps the machine until the context ends.
func (d *Dispatcher) Run(ctx context.Context) {
	defer d.cancelRun()
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-d.events.Items():
			d.handle(e)
		case <-timer.C:
			d.handle(envelope{event: admit.Tick{}})
		}
		// Each event steps the machine too, so resetting the timer delays no work.
		if s := d.Snapshot(); s.Queued+s.Waiting+s.Suspended > 0 {
			timer.Reset(tickInterval)
		} else {
			timer.Reset(idleTickInterval)
		}
	}
}

func (d *Dispatcher) handle(e envelope) {
	if e.deliver != nil {
		d.deliverFuncs[e.id] = e.deliver
	}
	now := d.config.Clock.Now()
	actions := d.config.Machine.Step(now, e.event)
	// Whoever receives an action sees its effect.
	s := d.config.Machine.Snapshot(now)
	d.snapshot.Store(&s)
	for _, a := range actions {
		d.deliverAction(a)
	}
	if f, finished := e.event.(admit.Finished); finished {
		delete(d.deliverFuncs, f.ID)
	}
	if d.observeRunning != nil {
		d.observeRunning(now, s.Online+s.Batch)
	}
	if e.done != nil {
		close(e.done)
	}
}

func (d *Dispatcher) deliverAction(a admit.Action) {
	deliver, found := d.deliverFuncs[a.ID]
	if !found {
		return
	}
	if a.Verb == admit.Refuse || a.Verb == admit.Return {
		delete(d.deliverFuncs, a.ID)
	}
	deliver(a)
}
