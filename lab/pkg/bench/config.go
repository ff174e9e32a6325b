package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"toucanhinge.example/common/pkg/control"
	"toucanhinge.example/common/pkg/web"
	"toucanhinge.example/common/pkg/fleetconfig"
	"toucanhinge.example/lab/pkg/fleet"
	"toucanhinge.example/lab/pkg/load"
)

const (
	watchersFew   = 20
	watchersMany  = 100
	configChanges = 100
	changeEvery   = 30 * time.Millisecond
	configWait    = 20 * time.Second
)

var errBehind = errors.New("watchers stay behind")

var configExperiment = Experiment{
	Name:    "config",
	Description:   "an accepted change to in force at 100 watchers, and the controls' CPU for one watcher and change",
	Figures: []string{"config.p99.ms"},
	Run:     runConfig,
}

func runConfig(ctx context.Context, b *Bench) error {
	for range b.Config.Runs {
		few, _, err := spread(ctx, b, watchersFew)
		if err != nil {
			return err
		}
		many, times, err := spread(ctx, b, watchersMany)
		if err != nil {
			return err
		}
		b.add("config.p99.ms", times.Ms(99))
		b.add("config.p50.ms", times.Ms(50))
		b.add("config.watcher.us", (many-few)/(watchersMany-watchersFew))
	}
	return nil
}

// arrival is one version that came into force at one watcher.
type arrival struct {
	version uint64
	at      time.Time
}

// made is one accepted change; its time counts from the call, so the answer's
// own way is in it.
type made struct {
	version uint64
	start   time.Time
}

// arrivals notes for each watcher when each version was in force.
type arrivals struct {
	mu   sync.Mutex
	seen [][]arrival
}

// spread makes changes under watchers, and says the controls' CPU for a change
// in microseconds and how long each change took to each watcher.
func spread(ctx context.Context, b *Bench, watchers int) (perChange float64, times *load.Histogram, err error) {
	f, err := b.fleet(ctx, fleet.Config{Controls: 3})
	if err != nil {
		return 0, nil, err
	}
	defer b.end(f)
	a := &arrivals{seen: make([][]arrival, watchers)}
	watching, stop := context.WithCancel(ctx)
	var duties sync.WaitGroup
	defer func() { stop(); duties.Wait() }()
	if err := a.watch(watching, f, &duties); err != nil {
		return 0, nil, err
	}
	before, err := usages(f.Controls)
	if err != nil {
		return 0, nil, err
	}
	changes, err := makeChanges(ctx, f)
	if err != nil {
		return 0, nil, err
	}
	if err := a.wait(changes[len(changes)-1].version); err != nil {
		return 0, nil, err
	}
	after, err := usages(f.Controls)
	if err != nil {
		return 0, nil, err
	}
	for i := range after {
		perChange += (after[i].CPUTime - before[i].CPUTime).Seconds() * processorUS / configChanges
	}
	return perChange, a.times(changes), nil
}

// watch starts the watchers and waits until each has a configuration.
func (a *arrivals) watch(ctx context.Context, f *fleet.Fleet, duties *sync.WaitGroup) error {
	for n := range a.seen {
		client := control.New(control.Config{Addresses: f.ControlAddresses(), HTTP: web.NewClient()})
		w := control.NewWatcher(control.WatcherConfig{
			Client: client, Process: fmt.Sprintf("watcher-%d", n), Logger: log.NewNopLogger(),
			Changed: func(w *fleetconfig.Fleet) { a.note(n, w.Version) },
		})
		duties.Go(func() { w.Run(ctx) })
		select {
		case <-w.Started():
		case <-time.After(configWait):
			return fmt.Errorf("watcher %d: %w", n, errBehind)
		}
	}
	return nil
}

func (a *arrivals) note(watcher int, version uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seen[watcher] = append(a.seen[watcher], arrival{version: version, at: time.Now()})
}

func makeChanges(ctx context.Context, f *fleet.Fleet) ([]made, error) {
	changes := make([]made, 0, configChanges)
	for n := range configChanges {
		start := time.Now()
		entry, err := f.ApplyLinkChange(ctx, n)
		if err != nil {
			return nil, fmt.Errorf("change %d: %w", n, err)
		}
		changes = append(changes, made{version: entry.GetVersion(), start: start})
		time.Sleep(changeEvery)
	}
	return changes, nil
}

// wait waits until every watcher has the version in force.
func (a *arrivals) wait(version uint64) error {
	for until := time.Now().Add(configWait); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if a.slowest() >= version {
			return nil
		}
	}
	return fmt.Errorf("%d of %d: %w", a.slowest(), version, errBehind)
}

func (a *arrivals) slowest() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	slowest := ^uint64(0)
	for _, seen := range a.seen {
		if len(seen) == 0 {
			return 0
		}
		slowest = min(slowest, seen[len(seen)-1].version)
	}
	return slowest
}

// times is how long each change took until each watcher had it or a newer one.
func (a *arrivals) times(changes []made) *load.Histogram {
	a.mu.Lock()
	defer a.mu.Unlock()
	times := load.NewHistogram()
	for _, seen := range a.seen {
		at := 0
		for _, change := range changes {
			for seen[at].version < change.version {
				at++
			}
			times.Record(seen[at].at.Sub(change.start))
		}
	}
	return times
}
