// Package work pulls batch items from control: it leases a few, has them
// admitted and run, renews the leases and reports the outcomes.
package work

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/control"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/ring"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/sidecar/pkg/admit"
	"toucanhinge.example/sidecar/pkg/dispatch"
	"toucanhinge.example/sidecar/pkg/engine"
)

// tickPeriod is how often the keeper is stepped without an event; it bounds how
// late a run-out lease is noticed and how long an outcome waits.
const tickPeriod = 10 * time.Millisecond

// idlePeriod is the same while nothing is held; control's answers say when to
// ask again anyway.
const idlePeriod = 50 * time.Millisecond

// callTimeout ends one call to control, its retries included. A completion that
// is not acknowledged by then is put back and tried again.
const callTimeout = 4 * time.Second

// Config describes a puller.
type Config struct {
	Clock       clock.Clock
	Logger      log.Logger
	Control     *control.Client
	Dispatcher  *dispatch.Dispatcher
	Engine      *engine.Client
	Leases      LeaseManagerConfig
	Name        string
	Incarnation uint64
	Service     string
	// MaxResultBytes is the largest result.
	MaxResultBytes int
	// OnUnreachable is told that the engine can't be reached.
	OnUnreachable func()
	// RecordEvent is told what became of an item, for counters and records.
	RecordEvent func(item, event, detail string)
}

// Puller is the runtime of a keeper.
type Puller struct {
	config Config
	events *ring.Ring[func(now clock.Millis) []Action]
	keeper *LeaseManager
	runs   map[Key]*run
	open   atomic.Bool
	groups atomic.Uint32
	held   atomic.Int64
	calls  sync.WaitGroup
	alive  context.Context
	stop   context.CancelFunc
}

// eventRing is the most events that wait for the keeper: every held item can
// have one, and every group three answers.
const eventRing = 1024

// New makes a puller that asks for nothing until Open and Groups are told.
func New(config Config) *Puller {
	p := &Puller{
		config: config,
		events: ring.New[func(clock.Millis) []Action](ring.Config{Size: eventRing}),
		keeper: NewLeaseManager(config.Leases),
		runs:   map[Key]*run{},
	}
	p.alive, p.stop = context.WithCancel(context.Background())
	return p
}

// SetOpen lets the puller ask for items, or not.
func (p *Puller) SetOpen(open bool) {
	p.open.Store(open)
}

// SetGroupCount tells how many groups control runs.
func (p *Puller) SetGroupCount(count uint32) {
	p.groups.Store(count)
}

// LeaseCount is how many leases are held.
func (p *Puller) LeaseCount() int {
	return int(p.held.Load())
}

// Run keeps leases until the context ends.
func (p *Puller) Run(ctx context.Context) {
	defer p.calls.Wait()
	defer p.stop()
	timer := time.NewTimer(tickPeriod)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-p.events.Items():
			p.step(event)
		case <-timer.C:
			p.step(p.keeper.Tick)
		}
		// Each event steps the keeper too, so putting the tick off loses nothing.
		if p.keeper.LeaseCount() > 0 {
			timer.Reset(tickPeriod)
		} else {
			timer.Reset(idlePeriod)
		}
	}
}

func (p *Puller) step(event func(clock.Millis) []Action) {
	p.keeper.SetGroupCount(p.groups.Load())
	p.keeper.SetOpen(p.open.Load())
	for _, a := range event(p.config.Clock.Now()) {
		p.act(a)
	}
	p.held.Store(int64(p.keeper.LeaseCount()))
}

// tell hands an event to the keeper's goroutine.
func (p *Puller) tell(event func(clock.Millis) []Action) {
	_ = p.events.Put(p.alive, event)
}

func (p *Puller) act(a Action) {
	switch a.Verb {
	case VerbLease:
		p.call(func(ctx context.Context) { p.ask(ctx, a) })
	case VerbRenew:
		p.call(func(ctx context.Context) { p.renew(ctx, a) })
	case VerbReport:
		p.call(func(ctx context.Context) { p.report(ctx, a) })
	case VerbRun:
		p.start(a)
	case VerbStop:
		p.lost(a.Key)
	}
}

func (p *Puller) call(do func(context.Context)) {
	p.calls.Add(1)
	go func() {
		defer p.calls.Done()
		ctx, cancel := context.WithTimeout(p.alive, callTimeout)
		defer cancel()
		do(ctx)
	}()
}

func (p *Puller) ask(ctx context.Context, a Action) {
	sent := p.config.Clock.Now()
	reply, err := control.Call(ctx, p.config.Control, a.Group, "lease",
		func(ctx context.Context, r *control.Replica) (*connect.Response[toucanhingev1.LeaseResponse], error) {
			sent = p.config.Clock.Now()
			return r.Work.Lease(ctx, connect.NewRequest(&toucanhingev1.LeaseRequest{
				Sidecar: p.config.Name, Incarnation: p.config.Incarnation, Service: p.config.Service,
				Group: a.Group, Most: a.MaxItems,
			}))
		})
	if err != nil {
		p.warn("lease-failed", a.Group, err)
		p.tell(func(now clock.Millis) []Action { return p.keeper.LeaseFailed(now, a.Group) })
		return
	}
	p.tell(func(now clock.Millis) []Action { return p.keeper.Granted(now, sent, a.Group, reply.Msg) })
}

func (p *Puller) renew(ctx context.Context, a Action) {
	sent := p.config.Clock.Now()
	reply, err := control.Call(ctx, p.config.Control, a.Group, "renew",
		func(ctx context.Context, r *control.Replica) (*connect.Response[toucanhingev1.RenewResponse], error) {
			sent = p.config.Clock.Now()
			return r.Work.Renew(ctx, connect.NewRequest(&toucanhingev1.RenewRequest{
				Sidecar: p.config.Name, Incarnation: p.config.Incarnation, Group: a.Group, Leases: a.Leases,
			}))
		})
	if err != nil {
		p.warn("renew-failed", a.Group, err)
		p.tell(func(now clock.Millis) []Action { return p.keeper.RenewFailed(now, a.Group) })
		return
	}
	p.tell(func(now clock.Millis) []Action { return p.keeper.Renewed(now, sent, a.Group, a.Leases, reply.Msg) })
}

func (p *Puller) report(ctx context.Context, a Action) {
	reply, err := control.Call(ctx, p.config.Control, a.Group, "complete",
		func(ctx context.Context, r *control.Replica) (*connect.Response[toucanhingev1.CompleteResponse], error) {
			return r.Work.Complete(ctx, connect.NewRequest(&toucanhingev1.CompleteRequest{
				Sidecar: p.config.Name, Group: a.Group, Completions: a.Completions,
			}))
		})
	if err != nil || len(reply.Msg.GetVerdicts()) != len(a.Completions) {
		p.warn("complete-failed", a.Group, err)
		p.tell(func(now clock.Millis) []Action { return p.keeper.ReportFailed(now, a.Group, a.Completions) })
		return
	}
	for i, c := range a.Completions {
		p.config.RecordEvent(itemName(c.GetJob(), c.GetIndex()), "verdict", verdictName(reply.Msg.GetVerdicts()[i]))
	}
	p.tell(func(now clock.Millis) []Action { return p.keeper.Reported(now, a.Group, a.Completions) })
}

func (p *Puller) warn(event string, group uint32, err error) {
	if p.alive.Err() == nil {
		level.Warn(p.config.Logger).Log(logs.KeyEvent, event, logs.KeyGroup, group, logs.KeyError, err)
	}
}

func itemName(job string, index uint64) string {
	return fmt.Sprintf("%s/%d", job, index)
}

// start hands a leased item to the admission machine.
func (p *Puller) start(a Action) {
	r := &run{
		puller: p, key: a.Key, id: p.config.Dispatcher.NextID(), item: a.Item,
		// The lease's number tells attempts of one item apart at the engine.
		name:     fmt.Sprintf("%s.%d.%d", a.Item.GetJob(), a.Item.GetIndex(), a.Item.GetLease()),
		verdicts: make(chan admit.Action, 8),
	}
	p.runs[a.Key] = r
	p.config.RecordEvent(itemName(a.Item.GetJob(), a.Item.GetIndex()), "leased", fmt.Sprintf("lease %d attempt %d", a.Key.Lease, a.Item.GetAttempt()))
	request, err := prepare(a.Item.GetBody())
	if err != nil {
		go p.ended(r, failed(reasonMalformed))
		return
	}
	r.request = request
	p.config.Dispatcher.SubmitItem(admit.Offer{ID: r.id, PrefillTokens: request.prefill}, r.deliver)
}

// lost stops an item whose lease no longer holds: another process may run it
// now, and our result would be refused anyway.
func (p *Puller) lost(key Key) {
	r, found := p.runs[key]
	if !found {
		return
	}
	delete(p.runs, key)
	p.config.RecordEvent(itemName(r.item.GetJob(), r.item.GetIndex()), "lease-lost", "")
	p.config.Dispatcher.Submit(admit.Withdraw{ID: r.id})
}

// ended takes an item's outcome from its goroutine, or from the dispatcher's.
func (p *Puller) ended(r *run, end result) {
	completion := &toucanhingev1.Completion{
		Job: r.item.GetJob(), Index: r.item.GetIndex(), Lease: r.key.Lease,
		Outcome: end.outcome, Body: end.body, Reason: end.reason,
	}
	p.tell(func(now clock.Millis) []Action {
		delete(p.runs, r.key)
		actions, held := p.keeper.Ended(now, r.key, completion)
		event := outcomeName(end.outcome)
		if !held {
			event = "unreported"
		}
		p.config.RecordEvent(itemName(r.item.GetJob(), r.item.GetIndex()), event, end.reason)
		return actions
	})
}

func outcomeName(o toucanhingev1.Outcome) string {
	switch o {
	case toucanhingev1.Outcome_OUTCOME_DONE:
		return "done"
	case toucanhingev1.Outcome_OUTCOME_FAILED:
		return "failed"
	case toucanhingev1.Outcome_OUTCOME_RETRY:
		return "retry"
	case toucanhingev1.Outcome_OUTCOME_RETURNED:
		return "returned"
	default:
		return "unknown"
	}
}

func verdictName(v toucanhingev1.Verdict) string {
	switch v {
	case toucanhingev1.Verdict_VERDICT_ACCEPTED:
		return "accepted"
	case toucanhingev1.Verdict_VERDICT_STALE:
		return "stale"
	case toucanhingev1.Verdict_VERDICT_DECIDED:
		return "decided"
	case toucanhingev1.Verdict_VERDICT_CANCELLED:
		return "cancelled"
	default:
		return "unknown"
	}
}
