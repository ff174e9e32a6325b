package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"toucanhinge.example/lab/pkg/fleet"
	"toucanhinge.example/lab/pkg/load"
	"toucanhinge.example/lab/pkg/plots"
)

const (
	deathLength = 14 * time.Second
	deathAt     = 5 * time.Second
	deathShare  = 0.5
	// deathWindow is the span whose p99 we follow.
	deathWindow = 500 * time.Millisecond
	// deathNormal is how far above the p99 before the death counts as recovered.
	deathNormal = 1.5
)

var deathExperiment = Experiment{
	Name:    "death",
	Description:   "an endpoint VM dies with work in flight: calls lost, time until the first tokens are as before",
	Figures: []string{"death.lost", "death.recover.s"},
	Run:     runDeath,
}

// firsts notes the first-token times by the window of their start.
type firsts struct {
	mu      sync.Mutex
	windows []*load.Histogram
}

func runDeath(ctx context.Context, b *Bench) error {
	for run := range b.Config.Runs {
		if err := deathRun(ctx, b, run); err != nil {
			return err
		}
	}
	return nil
}

func deathRun(ctx context.Context, b *Bench, run int) error {
	f, err := b.fleet(ctx, fleet.Config{Controls: 1, Gateways: 2, Sidecars: harmEngines, Engine: fleet.Engine{Slots: harmSlots}})
	if err != nil {
		return err
	}
	defer b.end(f)
	capacity, err := directCapacity(ctx, f, fmt.Sprintf("cap%d", run))
	if err != nil {
		return err
	}
	schedule := load.Poisson(deathShare*capacity).Schedule(deathLength, b.Config.Seed)
	seen := &firsts{}
	for range deathLength / deathWindow {
		seen.windows = append(seen.windows, load.NewHistogram())
	}
	killed := make(chan error, 1)
	time.AfterFunc(deathAt, func() { killed <- killVM(f) })
	report := load.Run(ctx, load.Config{
		Target: f.Target, Make: overloadMix(fmt.Sprintf("death%d", run)).Make, Schedule: schedule, Deadline: time.Minute,
		OnOutcome: func(n int, o load.Outcome) { seen.note(schedule[n], o) },
	})
	if err := <-killed; err != nil {
		return err
	}
	b.say("   %s", report)
	b.add("death.lost", float64(report.Calls-report.Complete))
	b.add("death.recover.s", seen.recovery().Seconds())
	if run == 0 {
		b.draw("death", seen.picture())
	}
	return nil
}

func killVM(f *fleet.Fleet) error {
	if err := f.Engines[0].Kill(); err != nil {
		return err
	}
	return f.Sidecars[0].Kill()
}

func (s *firsts) note(at time.Duration, o load.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Complete {
		s.windows[min(int(at/deathWindow), len(s.windows)-1)].Record(o.FirstToken)
	}
}

// recovery is the time from the death to the first of two windows in a row whose
// p99 is normal. A window holds a few dozen calls, so that its p99 is nearly its
// slowest call, and a single late one long after the death says nothing about it.
func (s *firsts) recovery() time.Duration {
	before := load.NewHistogram()
	// The first second warms connections and caches up.
	for _, h := range s.windows[time.Second/deathWindow : deathAt/deathWindow] {
		before.Merge(h)
	}
	normal := func(i int) bool { return s.windows[i].Ms(99) <= deathNormal*before.Ms(99) }
	for i := int(deathAt / deathWindow); i+1 < len(s.windows); i++ {
		if normal(i) && normal(i+1) {
			return time.Duration(i)*deathWindow - deathAt
		}
	}
	return deathLength - deathAt
}

func (s *firsts) picture() plots.Picture {
	line := plots.Line{Name: "p99"}
	middle := plots.Line{Name: "p50"}
	for i, h := range s.windows {
		at := (time.Duration(i) * deathWindow).Seconds()
		line.Points = append(line.Points, plots.Point{X: at, Y: h.Ms(99)})
		middle.Points = append(middle.Points, plots.Point{X: at, Y: h.Ms(50)})
	}
	return plots.Picture{
		Title: "First token around the death of one of four endpoints, at 5 s",
		X:     "seconds", Y: "milliseconds", Lines: []plots.Line{line, middle},
	}
}
