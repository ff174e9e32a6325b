// Package batchrun runs the items of batch jobs on runners while this process leads the core. Package
// dispatch decides which items start, yield or fail.
package batchrun

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/digest"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/occupancy"
	"toucanhinge.example/common/pkg/runner"
	"toucanhinge.example/control/pkg/dispatch"
	"toucanhinge.example/control/pkg/systemstate"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// stepInterval is the longest time between two steps. A change of the load triggers a step at once.
	stepInterval = 50 * time.Millisecond
	// minStepGap is the shortest time between two steps. With 89 gateways the load changes hundreds of
	// times a second, and each decision among 3,000 waiting items costs 0.15 ms. The gap makes an
	// online request wait 2 ms longer for an item's slot.
	minStepGap = 5 * time.Millisecond
	// refusedBackoff is how long a runner that refused an item for lack of slots is blocked. One of its
	// slots becomes free within about that time.
	refusedBackoff clock.Millis = 100
	// unreachableBackoff is how long an unreachable runner is blocked.
	unreachableBackoff clock.Millis = 1_000
	// notAcceptedBackoff is how long an item waits after no gateway accepted its call. A new leader
	// discovers the first gateways within about 100 ms.
	notAcceptedBackoff clock.Millis = 300
	// expirySlack is added to an item's expiry, since the acceptance time was read from another VM's clock.
	expirySlack clock.Millis = 5_000
	// progressLogInterval is how often the progress of a running item is logged. A change of leader loses
	// at most that much of its work. A shorter interval logs the same bytes in more commands.
	progressLogInterval clock.Millis = 1_000
	// minProgressLogGap and maxProgressLogBytes spread progress commands over the interval. Logged at
	// once, the progress of 500 items is a megabyte for each member and delays heartbeats.
	minProgressLogGap   clock.Millis = 50
	maxProgressLogBytes              = 64 << 10
)

// Config holds the dependencies and settings of a Driver.
type Config struct {
	Machine *systemstate.Machine
	// Propose logs steps and returns their results once they are applied.
	Propose  func(ctx context.Context, steps ...*toucanhingev1.SystemStep) ([]any, error)
	Client   runner.Client
	Exchange *digest.Exchange
	// Runners returns the known runners.
	Runners    func() []*toucanhingev1.Runner
	DataCentre string
	// Pace returns how long work usually takes on a runner, relative to the mean of its service's
	// runners; nil if paces aren't known.
	Pace func(runner string) float64
	// Weights returns the present weights of the teams, nil while no team has one; itself nil if slots
	// are never shared by weight.
	Weights func() func(team string) float64
	// MaxBodyBytes limits the bodies of the items that run at the same time, in bytes; 0 for no limit.
	MaxBodyBytes int64
	// OnLag is called with the delay of each decision, if it isn't nil.
	OnLag   func(lag clock.Millis)
	Clock   clock.Clock
	Logger  log.Logger
	Metrics *Metrics
}

// Driver runs the items of all open jobs.
type Driver struct {
	config Config
	bodies *bodyLimit
	wake   chan struct{}

	mu sync.Mutex
	// running is set while Run runs; nobody else reads the changes.
	running bool
	changes []systemstate.Change
	ended   []outcome
	// counted are the items whose newest failure was logged.
	counted []dispatch.Key

	// The fields below are used by the goroutine of Run only, except where they synchronize themselves.
	machine  *dispatch.Machine
	runs     map[dispatch.Key]*run
	progress map[dispatch.Key]*progress
	// failures counts the failed attempts of items that this driver knows, including those that aren't logged yet.
	failures         map[dispatch.Key]uint32
	routes           *routeCache
	limiter          *startLimiter
	loads            *occupancy.Cache[dispatch.Load]
	paces            *paceCache
	tokens           tokenMeter
	overloaded       bool
	pacer            decisionPacer
	commits          *groupCommit
	progressLoggedAt clock.Millis
	loggingProgress  atomic.Bool
	active           sync.WaitGroup
}

// New returns a driver that does nothing until Run is called.
func New(config Config) *Driver {
	return &Driver{
		config: config, wake: make(chan struct{}, 1), commits: &groupCommit{propose: config.Propose}, bodies: newBodyLimit(config.MaxBodyBytes),
	}
}

// Run runs items until the context ends, and then cancels all calls.
func (d *Driver) Run(ctx context.Context) {
	d.machine = dispatch.New()
	d.runs = map[dispatch.Key]*run{}
	d.progress = map[dispatch.Key]*progress{}
	d.failures = map[dispatch.Key]uint32{}
	d.routes = newRouteCache(d.config.Machine)
	d.limiter = newStartLimiter()
	d.loads, d.pacer = &occupancy.Cache[dispatch.Load]{Read: externalLoad}, decisionPacer{}
	d.overloaded = false
	d.paces = &paceCache{read: d.config.Pace}
	d.tokens.reset(d.config.Clock.Now())
	d.setRunning(true)
	defer d.setRunning(false)
	d.drainEnded()
	d.drainCounted()
	d.reload()
	defer d.active.Wait()
	timer := time.NewTimer(stepInterval)
	defer timer.Stop()
	for {
		startedAt := time.Now()
		timer.Reset(d.step(ctx))
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		case <-timer.C:
		}
		d.waitStepGap(startedAt)
	}
}

// waitStepGap sleeps until minStepGap has passed since the step started. A change after an idle period is
// handled at once, and changes that come close together are handled by one step. The delay of
// the wake-up measures how busy this process is.
func (d *Driver) waitStepGap(startedAt time.Time) {
	remaining := minStepGap - time.Since(startedAt)
	if remaining <= 0 {
		return
	}
	before := time.Now()
	time.Sleep(remaining)
	lag := clock.Millis((time.Since(before) - remaining).Milliseconds())
	d.limiter.recordLag(lag)
	if d.config.OnLag != nil {
		d.config.OnLag(lag)
	}
}

// reload adds the items of all open jobs, at the start and after a snapshot was applied.
func (d *Driver) reload() {
	d.config.Machine.View(func(s *systemstate.State) {
		for _, j := range s.OpenJobs() {
			d.addJob(s, j)
		}
	})
}

func (d *Driver) addJob(s *systemstate.State, j *systemstate.Job) {
	deadline, expires, priority := j.Accepted, j.Accepted+expirySlack, uint32(0)
	if route, found := s.Route(j); found {
		priority = s.Priority(j, route)
		deadline += clock.Millis(route.CompletionMs)
		expires += clock.Millis(route.RetentionMs)
	}
	for i := range j.Items {
		if !j.Items[i].Done {
			d.machine.Add(dispatch.Item{
				Key: dispatch.Key{Job: j.Name, Index: uint32(i)}, Deadline: deadline, Expires: expires, Tokens: j.Items[i].Tokens,
				Team: j.Team, Priority: priority, Version: j.Items[i].Version,
			})
		}
	}
}

// step applies pending changes and call outcomes, decides, and returns the longest time until the next step.
func (d *Driver) step(ctx context.Context) time.Duration {
	now := d.config.Clock.Now()
	for _, change := range d.drainChanges() {
		d.applyChange(now, change)
	}
	for _, o := range d.drainEnded() {
		d.handleOutcome(ctx, now, o)
	}
	for _, key := range d.drainCounted() {
		d.machine.Release(now, key, refusedBackoff)
	}
	for _, id := range d.machine.FailingRunners(now) {
		// Gateways then avoid the runner, too, until this expires.
		d.config.Exchange.SetUnresponsive(id, true)
	}
	d.routes.refresh()
	d.failItemsWithoutRoute(ctx, now)
	d.logProgress(ctx, now)
	return d.decide(ctx, now)
}

// decide makes a full decision if the pacer allows one. Otherwise it only preempts items on runners whose
// load changed.
func (d *Driver) decide(ctx context.Context, now clock.Millis) (next time.Duration) {
	startedAt := time.Now()
	runners := d.config.Runners()
	var changed []*toucanhingev1.Runner
	d.config.Exchange.View(func(t *occupancy.Table) { changed = d.loads.Refresh(now, runners, t) })
	d.paces.refresh(now, runners)
	input := d.dispatchInput(runners)
	if remaining := d.pacer.untilNext(startedAt); remaining > 0 {
		d.execute(ctx, d.machine.Yield(now, changed, input))
		return remaining
	}
	allowed := d.limiter.allowed(now)
	input.MaxStarts = &allowed
	actions := d.machine.Step(now, input)
	d.pacer.record(startedAt, time.Now())
	d.limiter.spend(len(actions.Start) + len(actions.Move))
	d.execute(ctx, actions)
	waiting, running := d.machine.Counts()
	d.config.Metrics.Waiting.Set(float64(waiting))
	d.config.Metrics.Running.Set(float64(running))
	if overloaded := d.machine.Overloaded(); overloaded != d.overloaded {
		d.overloaded = overloaded
		level.Info(d.config.Logger).Log(logs.KeyEvent, "items-overloaded", "active", overloaded, "waiting", waiting, "running", running,
			"shared", input.Weight != nil)
	}
	return stepInterval
}

func (d *Driver) applyChange(now clock.Millis, change systemstate.Change) {
	switch change.Kind {
	case systemstate.JobAccepted:
		d.config.Machine.View(func(s *systemstate.State) {
			if j := s.Job(change.Job); j != nil && j.Open() {
				d.addJob(s, j)
			}
		})
	case systemstate.ItemListed:
		d.recordTokens(now, change)
		d.stop(dispatch.Key{Job: change.Job, Index: change.Item})
	case systemstate.JobEnded:
		d.stopJob(change.Job)
	case systemstate.Reloaded:
		d.reload()
	}
}

func (d *Driver) stopJob(job string) {
	items := 0
	d.config.Machine.View(func(s *systemstate.State) {
		if j := s.Job(job); j != nil {
			items = len(j.Items)
		}
	})
	for i := range items {
		d.stop(dispatch.Key{Job: job, Index: uint32(i)})
	}
}

// stop removes an item and cancels its call.
func (d *Driver) stop(key dispatch.Key) {
	d.machine.Drop(key)
	delete(d.progress, key)
	delete(d.failures, key)
	if r := d.runs[key]; r != nil {
		r.halt()
	}
}

// externalLoad returns the load on a runner apart from the batch items of this daemon.
func externalLoad(now clock.Millis, id string, t *occupancy.Table) dispatch.Load {
	total, own := t.Load(id), t.Own(id)
	return dispatch.Load{
		Online: total.Online, Batch: total.Batch - own.Batch, Foreign: t.Foreign(now, id), Unresponsive: t.Unresponsive(now, id),
	}
}

func (d *Driver) dispatchInput(runners []*toucanhingev1.Runner) dispatch.Environment {
	input := dispatch.Environment{
		Runners:  runners,
		Load:     d.loads.Get,
		Services: d.routes.services,
		Near:     func(r *toucanhingev1.Runner) bool { return r.GetDataCentre() == d.config.DataCentre },
		Pace:     d.paces.get(),
	}
	if d.config.Weights != nil {
		input.Weight = d.config.Weights()
	}
	return input
}

func (d *Driver) execute(ctx context.Context, actions dispatch.Actions) {
	for _, key := range actions.Expired {
		if r := d.runs[key]; r != nil {
			r.halt()
		}
		d.failItem(ctx, key, "expired")
	}
	for _, key := range actions.Pause {
		d.config.Metrics.Paused.Inc()
		level.Info(d.config.Logger).Log(logs.KeyEvent, logs.EventItemPaused, logs.KeyJob, key.Job, "index", key.Index, "reason", "online-work")
		if r := d.runs[key]; r != nil {
			r.halt()
		}
	}
	for _, start := range actions.Start {
		d.start(ctx, start)
	}
	for _, to := range actions.Move {
		d.move(ctx, to)
	}
}

// move ends an item's call and resumes the item on a faster runner once the call has ended.
func (d *Driver) move(ctx context.Context, to dispatch.Start) {
	d.config.Metrics.Moved.Inc()
	from := ""
	if r := d.runs[to.Key]; r != nil {
		from = r.target.GetId()
		r.halt()
	}
	level.Info(d.config.Logger).Log(logs.KeyEvent, logs.EventItemMoved, logs.KeyJob, to.Key.Job, "index", to.Key.Index,
		"from", from, "runner", to.Runner.GetId(), "left-ms", d.machine.Remaining(d.config.Clock.Now(), to.Key), "reason", "faster-runner")
	d.start(ctx, to)
}

func (d *Driver) start(ctx context.Context, start dispatch.Start) {
	p := d.progress[start.Key]
	if p == nil {
		p = d.loadProgress(start.Key)
		d.progress[start.Key] = p
	}
	runCtx, cancel := context.WithCancel(ctx)
	r := &run{
		driver: d, key: start.Key, target: start.Runner, progress: p,
		previous: d.runs[start.Key], cancel: cancel, done: make(chan struct{}),
	}
	d.runs[start.Key] = r
	d.config.Exchange.Add(start.Runner.GetId(), occupancy.Load{Batch: 1})
	d.active.Add(1)
	go func() {
		defer d.active.Done()
		o := r.run(runCtx)
		cancel()
		d.config.Exchange.Add(start.Runner.GetId(), occupancy.Load{Batch: -1})
		r.kind = o.kind
		d.mu.Lock()
		d.ended = append(d.ended, o)
		d.mu.Unlock()
		close(r.done)
		d.Wake()
	}()
}
