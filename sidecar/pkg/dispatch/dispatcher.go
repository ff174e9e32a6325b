// Package dispatch runs the admission machine: one goroutine takes events from
// a bounded ring, steps the machine and hands each action to whoever waits for it.
package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/ring"
	"toucanhinge.example/sidecar/pkg/admit"
)

// tickPeriod is how often waiting requests and items are looked at without an
// event. It bounds how late a request hears that its deadline has passed.
const tickPeriod = 10 * time.Millisecond

// idlePeriod is the same while nothing waits.
const idlePeriod = 200 * time.Millisecond

// Deliver takes the actions about one request or item. It must not block.
type Deliver func(admit.Action)

type envelope struct {
	event   admit.Event
	id      admit.ID
	deliver Deliver
	done    chan struct{}
}

// Config describes a dispatcher.
type Config struct {
	Clock   clock.Clock
	Machine *admit.Machine
	// Ring is the most events that wait for the machine.
	Ring ring.Config
}

// Dispatcher owns the machine.
type Dispatcher struct {
	config   Config
	events   *ring.Ring[envelope]
	deliver  map[admit.ID]Deliver
	snapshot atomic.Pointer[admit.Snapshot]
	next     atomic.Uint64
	// watch is told how many requests of ours the engine has.
	watch func(now clock.Millis, count int)
	// alive ends with Run.
	alive context.Context
	stop  context.CancelFunc
}

// New makes a dispatcher; nothing moves until Run.
func New(config Config) *Dispatcher {
	d := &Dispatcher{
		config:  config,
		events:  ring.New[envelope](config.Ring),
		deliver: map[admit.ID]Deliver{},
	}
	d.alive, d.stop = context.WithCancel(context.Background())
	first := config.Machine.Snapshot(config.Clock.Now())
	d.snapshot.Store(&first)
	return d
}

// ObserveRunning tells how many requests we have at the engine after each step. It must
// be set before Run.
func (d *Dispatcher) ObserveRunning(watch func(now clock.Millis, count int)) {
	d.watch = watch
}

// NextID returns an id that was never given out before.
func (d *Dispatcher) NextID() admit.ID {
	return admit.ID(d.next.Add(1))
}

// SubmitRequest hands in a new online request. False means that the ring is full and
// the request was not taken; otherwise deliver gets exactly one Start or Refuse.
func (d *Dispatcher) SubmitRequest(arrive admit.Arrive, deliver Deliver) bool {
	select {
	case <-d.alive.Done():
		return false
	default:
	}
	return d.events.Offer(envelope{event: arrive, id: arrive.ID, deliver: deliver})
}

// SubmitItem hands in a batch item; deliver gets what is to be done with it until
// its Finished is told or it gets Return.
func (d *Dispatcher) SubmitItem(offer admit.Offer, deliver Deliver) {
	d.put(envelope{event: offer, id: offer.ID, deliver: deliver})
}

// Submit hands in any other event. It waits for room: an end that was lost would
// leave its slot taken for good.
func (d *Dispatcher) Submit(event admit.Event) {
	d.put(envelope{event: event})
}

// Flush returns once everything handed in before was stepped.
func (d *Dispatcher) Flush() {
	done := make(chan struct{})
	d.put(envelope{event: admit.Tick{}, done: done})
	select {
	case <-done:
	case <-d.alive.Done():
	}
}

// put waits for room until the dispatcher stops, so that nobody waits for a
// ring that nobody reads.
func (d *Dispatcher) put(e envelope) {
	if d.events.Offer(e) {
		return
	}
	_ = d.events.Put(d.alive, e)
}

// Snapshot is the machine's state after its last step.
func (d *Dispatcher) Snapshot() admit.Snapshot {
	return *d.snapshot.Load()
}

// Run steps the machine until the context ends.
func (d *Dispatcher) Run(ctx context.Context) {
	defer d.stop()
	timer := time.NewTimer(tickPeriod)
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
		// Each event steps the machine too, so putting the tick off loses nothing.
		if s := d.Snapshot(); s.Queued+s.Waiting+s.Suspended > 0 {
			timer.Reset(tickPeriod)
		} else {
			timer.Reset(idlePeriod)
		}
	}
}

func (d *Dispatcher) handle(e envelope) {
	if e.deliver != nil {
		d.deliver[e.id] = e.deliver
	}
	now := d.config.Clock.Now()
	for _, a := range d.config.Machine.Step(now, e.event) {
		d.hand(a)
	}
	if f, finished := e.event.(admit.Finished); finished {
		delete(d.deliver, f.ID)
	}
	s := d.config.Machine.Snapshot(now)
	d.snapshot.Store(&s)
	if d.watch != nil {
		d.watch(now, s.Online+s.Batch)
	}
	if e.done != nil {
		close(e.done)
	}
}

func (d *Dispatcher) hand(a admit.Action) {
	deliver, found := d.deliver[a.ID]
	if !found {
		return
	}
	if a.Verb == admit.Refuse || a.Verb == admit.Return {
		delete(d.deliver, a.ID)
	}
	deliver(a)
}
