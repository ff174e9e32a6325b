// Package work pulls batch items from control: it leases items, runs them through
// admission and the engine, renews the leases and reports the outcomes.
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

// tickInterval is the interval between steps of the LeaseManager without an event. It
// bounds the delay in detecting expired leases and in reporting outcomes.
const tickInterval = 10 * time.Millisecond

// idleTickInterval is the tick interval while there are no leases. Control's answers
// set the time of the next lease request anyway.
const idleTickInterval = 50 * time.Millisecond

// callTimeout limits one call to control including its retries. Completions that are
// not acknowledged by then are reported again.
const callTimeout = 4 * time.Second

// Config configures a Puller.
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
	// MaxResultBytes is the maximum size of a result.
	MaxResultBytes int
	// OnUnreachable is called if the engine can't be reached.
	OnUnreachable func()
	// RecordEvent records an event of an item in counters and records.
	RecordEvent func(item, event, detail string)
}

// Puller executes the actions of a LeaseManager.
type Puller struct {
	config     Config
	events     *ring.Ring[func(now clock.Millis) []Action]
	leases     *LeaseManager
	runs       map[Key]*run
	open       atomic.Bool
	groupCount atomic.Uint32
	leaseCount atomic.Int64
	calls      sync.WaitGroup
	runCtx     context.Context
	cancelRun  context.CancelFunc
}

// eventRingSize is the maximum number of events that wait for the LeaseManager. Every
// leased item can have one event, and every group three answers.
const eventRingSize = 1024

// New creates a Puller that requests no items before SetOpen and SetGroupCount.
func New(config Config) *Puller {
	p := &Puller{
		config: config,
		events: ring.New[func(clock.Millis) []Action](ring.Config{Size: eventRingSize}),
		leases: NewLeaseManager(config.Leases),
		runs:   map[Key]*run{},
	}
	p.runCtx, p.cancelRun = context.WithCancel(context.Background())
	return p
}

// SetOpen sets whether the Puller requests new items.
func (p *Puller) SetOpen(open bool) {
	p.open.Store(open)
}

// SetGroupCount sets the number of groups that control runs.
func (p *Puller) SetGroupCount(count uint32) {
	p.groupCount.Store(count)
}

// LeaseCount returns the number of leased items.
func (p *Puller) LeaseCount() int {
	return int(p.leaseCount.Load())
}

// Run pulls items and manages their leases until the context ends.
func (p *Puller) Run(ctx context.Context) {
	defer p.calls.Wait()
	defer p.cancelRun()
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-p.events.Items():
			p.step(event)
		case <-timer.C:
			p.step(p.leases.Tick)
		}
		// Each event steps the LeaseManager too, so resetting the timer delays nothing.
		if p.leases.LeaseCount() > 0 {
			timer.Reset(tickInterval)
		} else {
			timer.Reset(idleTickInterval)
		}
	}
}

func (p *Puller) step(event func(clock.Millis) []Action) {
	p.leases.SetGroupCount(p.groupCount.Load())
	p.leases.SetOpen(p.open.Load())
	for _, a := range event(p.config.Clock.Now()) {
		p.act(a)
	}
	p.leaseCount.Store(int64(p.leases.LeaseCount()))
}

// submit passes an event to the goroutine of the LeaseManager.
func (p *Puller) submit(event func(clock.Millis) []Action) {
	_ = p.events.Put(p.runCtx, event)
}

func (p *Puller) act(a Action) {
	switch a.Verb {
	case VerbLease:
		p.call(func(ctx context.Context) { p.lease(ctx, a) })
	case VerbRenew:
		p.call(func(ctx context.Context) { p.renew(ctx, a) })
	case VerbReport:
		p.call(func(ctx context.Context) { p.report(ctx, a) })
	case VerbRun:
		p.start(a)
	case VerbStop:
		p.withdraw(a.Key)
	}
}

func (p *Puller) call(do func(context.Context)) {
	p.calls.Add(1)
	go func() {
		defer p.calls.Done()
		ctx, cancel := context.WithTimeout(p.runCtx, callTimeout)
		defer cancel()
		do(ctx)
	}()
}

func (p *Puller) lease(ctx context.Context, a Action) {
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
		p.submit(func(now clock.Millis) []Action { return p.leases.LeaseFailed(now, a.Group) })
		return
	}
	p.submit(func(now clock.Millis) []Action { return p.leases.Granted(now, sent, a.Group, reply.Msg) })
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
		p.submit(func(now clock.Millis) []Action { return p.leases.RenewFailed(now, a.Group) })
		return
	}
	p.submit(func(now clock.Millis) []Action { return p.leases.Renewed(now, sent, a.Group, a.Leases, reply.Msg) })
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
		p.submit(func(now clock.Millis) []Action { return p.leases.ReportFailed(now, a.Group, a.Completions) })
		return
	}
	for i, c := range a.Completions {
		p.config.RecordEvent(itemName(c.GetJob(), c.GetIndex()), "verdict", verdictName(reply.Msg.GetVerdicts()[i]))
	}
	p.submit(func(now clock.Millis) []Action { return p.leases.Reported(now, a.Group, a.Completions) })
}

func (p *Puller) warn(event string, group uint32, err error) {
	if p.runCtx.Err() == nil {
		level.Warn(p.config.Logger).Log(logs.KeyEvent, event, logs.KeyGroup, group, logs.KeyError, err)
	}
}

func itemName(job string, index uint64) string {
	return fmt.Sprintf("%s/%d", job, index)
}

// start offers a leased item to the admission machine.
func (p *Puller) start(a Action) {
	r := &run{
		puller: p, key: a.Key, id: p.config.Dispatcher.NextID(), item: a.Item,
		// The lease number distinguishes the attempts of an item at the engine.
		name:    fmt.Sprintf("%s.%d.%d", a.Item.GetJob(), a.Item.GetIndex(), a.Item.GetLease()),
		actions: make(chan admit.Action, 8),
	}
	p.runs[a.Key] = r
	p.config.RecordEvent(itemName(a.Item.GetJob(), a.Item.GetIndex()), "leased", fmt.Sprintf("lease %d attempt %d", a.Key.Lease, a.Item.GetAttempt()))
	request, err := prepare(a.Item.GetBody())
	if err != nil {
		go p.reportResult(r, failed(reasonMalformed))
		return
	}
	r.request = request
	p.config.Dispatcher.SubmitItem(admit.Offer{ID: r.id, PrefillTokens: request.prefillTokens}, r.deliver)
}

// withdraw stops an item whose lease was lost: another process may run it now, and
// control would refuse this process's result.
func (p *Puller) withdraw(key Key) {
	r, found := p.runs[key]
	if !found {
		return
	}
	delete(p.runs, key)
	p.config.RecordEvent(itemName(r.item.GetJob(), r.item.GetIndex()), "lease-lost", "")
	p.config.Dispatcher.Submit(admit.Withdraw{ID: r.id})
}

// reportResult submits an item's result to the LeaseManager. It is called on the
// goroutine of the run or of the dispatcher.
func (p *Puller) reportResult(r *run, res result) {
	completion := &toucanhingev1.Completion{
		Job: r.item.GetJob(), Index: r.item.GetIndex(), Lease: r.key.Lease,
		Outcome: res.outcome, Body: res.body, Reason: res.reason,
	}
	p.submit(func(now clock.Millis) []Action {
		delete(p.runs, r.key)
		actions, valid := p.leases.Ended(now, r.key, completion)
		event := outcomeName(res.outcome)
		if !valid {
			event = "unreported"
		}
		p.config.RecordEvent(itemName(r.item.GetJob(), r.item.GetIndex()), event, res.reason)
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
