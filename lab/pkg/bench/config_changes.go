package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"toucanhinge.example/common/pkg/control"
	"toucanhinge.example/common/pkg/fleetconfig"
	"toucanhinge.example/common/pkg/web"
	"toucanhinge.example/lab/pkg/fleet"
	"toucanhinge.example/lab/pkg/load"
)

const (
	watchersFew    = 20
	watchersMany   = 100
	configChanges  = 100
	changeInterval = 30 * time.Millisecond
	watcherTimeout = 20 * time.Second
)

var errWatcherTimeout = errors.New("watchers did not reach the version in time")

var configExperiment = Experiment{
	Name:        "config",
	Description: "time from a change until 100 watchers have applied it, and the controls' CPU per watcher and change",
	Figures:     []string{"config.p99.ms"},
	Run:         runConfig,
}

func runConfig(ctx context.Context, b *Bench) error {
	for range b.Config.Runs {
		few, _, err := measurePropagation(ctx, b, watchersFew)
		if err != nil {
			return err
		}
		many, times, err := measurePropagation(ctx, b, watchersMany)
		if err != nil {
			return err
		}
		b.addFigure("config.p99.ms", times.Ms(99))
		b.addFigure("config.p50.ms", times.Ms(50))
		b.addFigure("config.watcher.us", (many-few)/(watchersMany-watchersFew))
	}
	return nil
}

// arrival records when one watcher applied a version.
type arrival struct {
	version uint64
	at      time.Time
}

// acceptedChange is a change accepted by the core. start is the time of the call, so
// measured times include the response's latency.
type acceptedChange struct {
	version uint64
	start   time.Time
}

// arrivals records for each watcher when it applied each version.
type arrivals struct {
	mu        sync.Mutex
	byWatcher [][]arrival
}

// measurePropagation makes changes while watchers run. It returns the controls' CPU
// per change in microseconds and the propagation times of all changes to all watchers.
func measurePropagation(ctx context.Context, b *Bench, watchers int) (perChange float64, times *load.Histogram, err error) {
	f, err := b.startFleet(ctx, fleet.Config{Controls: 3})
	if err != nil {
		return 0, nil, err
	}
	defer b.stopFleet(f)
	a := &arrivals{byWatcher: make([][]arrival, watchers)}
	watching, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer func() { stop(); wg.Wait() }()
	if err := a.watch(watching, f, &wg); err != nil {
		return 0, nil, err
	}
	before, err := nodeUsages(f.Controls)
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
	after, err := nodeUsages(f.Controls)
	if err != nil {
		return 0, nil, err
	}
	for i := range after {
		perChange += (after[i].CPUTime - before[i].CPUTime).Seconds() * microsPerSecond / configChanges
	}
	return perChange, a.propagationTimes(changes), nil
}

// watch starts the watchers and waits until each has received a configuration.
func (a *arrivals) watch(ctx context.Context, f *fleet.Fleet, wg *sync.WaitGroup) error {
	for n := range a.byWatcher {
		client := control.New(control.Config{Addresses: f.ControlAddresses(), HTTP: web.NewClient()})
		w := control.NewWatcher(control.WatcherConfig{
			Client: client, Process: fmt.Sprintf("watcher-%d", n), Logger: log.NewNopLogger(),
			Changed: func(w *fleetconfig.Fleet) { a.record(n, w.Version) },
		})
		wg.Go(func() { w.Run(ctx) })
		select {
		case <-w.Started():
		case <-time.After(watcherTimeout):
			return fmt.Errorf("watcher %d: %w", n, errWatcherTimeout)
		}
	}
	return nil
}

func (a *arrivals) record(watcher int, version uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byWatcher[watcher] = append(a.byWatcher[watcher], arrival{version: version, at: time.Now()})
}

func makeChanges(ctx context.Context, f *fleet.Fleet) ([]acceptedChange, error) {
	changes := make([]acceptedChange, 0, configChanges)
	for n := range configChanges {
		start := time.Now()
		entry, err := f.ApplyLinkChange(ctx, n)
		if err != nil {
			return nil, fmt.Errorf("change %d: %w", n, err)
		}
		changes = append(changes, acceptedChange{version: entry.GetVersion(), start: start})
		time.Sleep(changeInterval)
	}
	return changes, nil
}

// wait waits until every watcher has applied the version.
func (a *arrivals) wait(version uint64) error {
	for until := time.Now().Add(watcherTimeout); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if a.minVersion() >= version {
			return nil
		}
	}
	return fmt.Errorf("version %d of %d: %w", a.minVersion(), version, errWatcherTimeout)
}

func (a *arrivals) minVersion() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	lowest := ^uint64(0)
	for _, seen := range a.byWatcher {
		if len(seen) == 0 {
			return 0
		}
		lowest = min(lowest, seen[len(seen)-1].version)
	}
	return lowest
}

// propagationTimes returns the time from each change until each watcher applied it or
// a newer version.
func (a *arrivals) propagationTimes(changes []acceptedChange) *load.Histogram {
	a.mu.Lock()
	defer a.mu.Unlock()
	times := load.NewHistogram()
	for _, seen := range a.byWatcher {
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
