// Package batchrun runs the items of batch jobs at the runners, as package
// dispatch decides, while this process leads the core.
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
	// stepEvery is the longest time between two decisions; changes of the load
	// are decided on at once.
	stepEvery = 50 * time.Millisecond
	// stepGap is the shortest time between two. Behind 89 gateways the load changes hundreds
	// of times a second, and a decision among 3,000 waiting items takes 0.15 ms
	// (BenchmarkStep). An online request waits for an item's place 2 ms longer.
	stepGap = 5 * time.Millisecond
	// refusedPause keeps items off a runner that was full when we thought it
	// wasn't: about the time in which one of its places becomes free.
	refusedPause clock.Millis = 100
	// unreachablePause keeps items off a runner that can't be reached.
	unreachablePause clock.Millis = 1_000
	// untakenPause is how long an item waits that no gateway took. A new leader hears of the
	// first gateways within some 100 ms.
	untakenPause clock.Millis = 300
	// expirySlack is added to the time after which an item may be given up: the
	// time of acceptance was taken by another VM's clock.
	expirySlack clock.Millis = 5_000
	// keepEvery is how often the progress of running items is logged: what a
	// change of leader costs at most. The bytes are logged in any case.
	keepEvery clock.Millis = 1_000
	// keepGap and keepBytes spread that over the second: logged at once, the progress of 500
	// items is a megabyte to each member, and heartbeats wait behind it.
	keepGap   clock.Millis = 50
	keepBytes              = 64 << 10
)

// Config describes a driver.
type Config struct {
	Machine *systemstate.Machine
	// Propose logs steps and returns once they are applied.
	Propose  func(ctx context.Context, steps ...*toucanhingev1.SystemStep) ([]any, error)
	Client   runner.Client
	Exchange *digest.Exchange
	// Runners lists the running instances as far as known.
	Runners    func() []*toucanhingev1.Runner
	DataCentre string
	// OnLag is told how late this process is with its decisions, a span; may be nil.
	OnLag    func(lag clock.Millis)
	Clock   clock.Clock
	Logger  log.Logger
	Metrics *Metrics
}

// Driver keeps the items of all open jobs going.
type Driver struct {
	config Config
	wake   chan struct{}

	mu      sync.Mutex
	changes []systemstate.Change
	ended   []outcome

	// The rest belongs to Run.
	machine  *dispatch.Machine
	runs     map[dispatch.Key]*run
	progress map[dispatch.Key]*progress
	routes   *routes
	limiter  *startLimiter
	loads    *occupancy.Cache[dispatch.Load]
	pace     pace
	commits  *groupCommit
	keptAt   clock.Millis
	keeping  atomic.Bool
	active   sync.WaitGroup
}

// New makes a driver.
func New(config Config) *Driver {
	return &Driver{config: config, wake: make(chan struct{}, 1), commits: &groupCommit{propose: config.Propose}}
}

// Notify tells a change of the state; it never blocks.
func (d *Driver) Notify(change systemstate.Change) {
	d.mu.Lock()
	d.changes = append(d.changes, change)
	d.mu.Unlock()
	d.Wake()
}

// Wake asks for a decision: the load has changed.
func (d *Driver) Wake() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Run drives the items until the context ends, and then breaks all calls off.
func (d *Driver) Run(ctx context.Context) {
	d.machine = dispatch.New()
	d.runs = map[dispatch.Key]*run{}
	d.progress = map[dispatch.Key]*progress{}
	d.routes = newRoutes(d.config.Machine)
	d.limiter = newStartLimiter()
	d.loads, d.pace = &occupancy.Cache[dispatch.Load]{Read: loadAt}, pace{}
	d.takeChanges()
	d.takeEnded()
	d.reload()
	defer d.active.Wait()
	timer := time.NewTimer(stepEvery)
	defer timer.Stop()
	for {
		began := time.Now()
		timer.Reset(d.step(ctx))
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		case <-timer.C:
		}
		d.rest(began)
	}
}

// rest keeps the gap between two decisions: a change after a quiet moment is decided on at
// once, those of a busy one together. How late it returns tells how busy this process is.
func (d *Driver) rest(began time.Time) {
	early := stepGap - time.Since(began)
	if early <= 0 {
		return
	}
	before := time.Now()
	time.Sleep(early)
	lag := clock.Millis((time.Since(before) - early).Milliseconds())
	d.limiter.note(lag)
	if d.config.OnLag != nil {
		d.config.OnLag(lag)
	}
}

func (d *Driver) takeChanges() []systemstate.Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	taken := d.changes
	d.changes = nil
	return taken
}

func (d *Driver) takeEnded() []outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	taken := d.ended
	d.ended = nil
	return taken
}

// reload takes in all that is open, at the start and after a snapshot.
func (d *Driver) reload() {
	d.config.Machine.View(func(s *systemstate.State) {
		for _, j := range s.OpenJobs() {
			d.addJob(s, j)
		}
	})
}

func (d *Driver) addJob(s *systemstate.State, j *systemstate.Job) {
	due, expires, rank := j.Accepted, j.Accepted+expirySlack, uint32(0)
	if route, found := s.Route(j); found {
		rank = s.Priority(j, route)
		due += clock.Millis(route.CompletionMs)
		expires += clock.Millis(route.RetentionMs)
	}
	for i := range j.Items {
		if !j.Items[i].Done {
			d.machine.Add(dispatch.Item{
				Key: dispatch.Key{Job: j.Name, Index: uint32(i)}, Deadline: due, Expires: expires, Tokens: j.Items[i].Tokens,
				Team: j.Team, Priority: rank,
			})
		}
	}
}

// step takes up what happened and decides, and returns the longest time until the next step.
func (d *Driver) step(ctx context.Context) time.Duration {
	now := d.config.Clock.Now()
	for _, change := range d.takeChanges() {
		d.follow(change)
	}
	for _, o := range d.takeEnded() {
		d.settle(ctx, now, o)
	}
	d.routes.refresh()
	d.giveUpLostRoutes(ctx, now)
	d.keepProgress(ctx, now)
	return d.decide(ctx, now)
}

// decide makes a whole decision if one is due. Else it only lets items give way, where
// something changed.
func (d *Driver) decide(ctx context.Context, now clock.Millis) (next time.Duration) {
	began := time.Now()
	runners := d.config.Runners()
	var changed []*toucanhingev1.Runner
	d.config.Exchange.View(func(t *occupancy.Table) { changed = d.loads.Refresh(now, runners, t) })
	around := d.surroundings(runners)
	if left := d.pace.left(began); left > 0 {
		d.act(ctx, d.machine.Yield(now, changed, around))
		return left
	}
	allowed := d.limiter.allowed(now)
	around.MaxStarts = &allowed
	actions := d.machine.Step(now, around)
	d.pace.took(began, time.Now())
	d.limiter.spent(len(actions.Start))
	d.act(ctx, actions)
	waiting, running := d.machine.Counts()
	d.config.Metrics.Waiting.Set(float64(waiting))
	d.config.Metrics.Running.Set(float64(running))
	return stepEvery
}

func (d *Driver) follow(change systemstate.Change) {
	switch change.Kind {
	case systemstate.JobAccepted:
		d.config.Machine.View(func(s *systemstate.State) {
			if j := s.Job(change.Job); j != nil && j.Open() {
				d.addJob(s, j)
			}
		})
	case systemstate.ItemListed:
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

// stop forgets an item and breaks its call off.
func (d *Driver) stop(key dispatch.Key) {
	d.machine.Drop(key)
	delete(d.progress, key)
	if r := d.runs[key]; r != nil {
		r.halt()
	}
}

// loadAt is what other daemons have under way at a runner.
func loadAt(now clock.Millis, id string, t *occupancy.Table) dispatch.Load {
	total, own := t.Load(id), t.Own(id)
	return dispatch.Load{
		Online: total.Online, Batch: total.Batch - own.Batch, Foreign: t.Foreign(now, id), Unresponsive: t.Unresponsive(now, id),
	}
}

func (d *Driver) surroundings(runners []*toucanhingev1.Runner) dispatch.Environment {
	return dispatch.Environment{
		Runners:  runners,
		Load:     d.loads.Get,
		Services: d.routes.services,
		Near:     func(r *toucanhingev1.Runner) bool { return r.GetDataCentre() == d.config.DataCentre },
	}
}

func (d *Driver) act(ctx context.Context, actions dispatch.Actions) {
	for _, key := range actions.GiveUp {
		if r := d.runs[key]; r != nil {
			r.halt()
		}
		d.fail(ctx, key, "expired")
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
}

func (d *Driver) start(ctx context.Context, start dispatch.Start) {
	p := d.progress[start.Key]
	if p == nil {
		p = d.load(start.Key)
		d.progress[start.Key] = p
	}
	runCtx, cancel := context.WithCancel(ctx)
	r := &run{
		driver: d, key: start.Key, target: start.Runner, progress: p,
		before: d.runs[start.Key], cancel: cancel, done: make(chan struct{}),
	}
	d.runs[start.Key] = r
	d.config.Exchange.Add(start.Runner.GetId(), occupancy.Load{Batch: 1})
	d.active.Add(1)
	go func() {
		defer d.active.Done()
		o := r.run(runCtx)
		cancel()
		d.config.Exchange.Add(start.Runner.GetId(), occupancy.Load{Batch: -1})
		close(r.done)
		d.mu.Lock()
		d.ended = append(d.ended, o)
		d.mu.Unlock()
		d.Wake()
	}()
}
