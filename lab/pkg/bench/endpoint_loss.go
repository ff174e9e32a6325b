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
	endpointLossDuration  = 14 * time.Second
	endpointLossAt        = 5 * time.Second
	endpointLossLoadShare = 0.5
	// endpointLossWindow is the length of the windows whose p99 is compared.
	endpointLossWindow = 500 * time.Millisecond
	// maxRecoveredRatio is the highest ratio of a window's p99 to the p99 before the loss that
	// counts as recovered.
	maxRecoveredRatio = 1.5
)

var endpointLossExperiment = Experiment{
	Name:        "death",
	Description: "an endpoint VM dies with requests in flight: calls lost, time until first-token latency recovers",
	Figures:     []string{"death.lost", "death.recover.s"},
	Run:         runEndpointLoss,
}

// firstTokenTimes records first-token times by the window of the calls' scheduled start.
type firstTokenTimes struct {
	mu      sync.Mutex
	windows []*load.Histogram
}

func runEndpointLoss(ctx context.Context, b *Bench) error {
	for run := range b.Config.Runs {
		if err := measureEndpointLoss(ctx, b, run); err != nil {
			return err
		}
	}
	return nil
}

func measureEndpointLoss(ctx context.Context, b *Bench, run int) error {
	f, err := b.startFleet(ctx, fleet.Config{Controls: 1, Gateways: 2, Sidecars: interferenceEngines, Engine: fleet.Engine{Slots: interferenceSlots}})
	if err != nil {
		return err
	}
	defer b.stopFleet(f)
	capacity, err := directCapacity(ctx, f, fmt.Sprintf("cap%d", run))
	if err != nil {
		return err
	}
	schedule := load.Poisson(endpointLossLoadShare*capacity).Schedule(endpointLossDuration, b.Config.Seed)
	seen := &firstTokenTimes{}
	for range endpointLossDuration / endpointLossWindow {
		seen.windows = append(seen.windows, load.NewHistogram())
	}
	killed := make(chan error, 1)
	time.AfterFunc(endpointLossAt, func() { killed <- killVM(f) })
	report := load.Run(ctx, load.Config{
		Target: f.Target, Make: overloadMix(fmt.Sprintf("death%d", run)).Make, Schedule: schedule, Deadline: time.Minute,
		OnOutcome: func(n int, o load.Outcome) { seen.record(schedule[n], o) },
	})
	if err := <-killed; err != nil {
		return err
	}
	b.printf("   %s", report)
	b.addFigure("death.lost", float64(report.Calls-report.Complete))
	b.addFigure("death.recover.s", seen.recovery().Seconds())
	if run == 0 {
		b.writePicture("death", seen.picture())
	}
	return nil
}

func killVM(f *fleet.Fleet) error {
	if err := f.Engines[0].Kill(); err != nil {
		return err
	}
	return f.Sidecars[0].Kill()
}

func (s *firstTokenTimes) record(at time.Duration, o load.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Complete {
		s.windows[min(int(at/endpointLossWindow), len(s.windows)-1)].Record(o.FirstToken)
	}
}

// recovery returns the time from the loss of the endpoint to the first of two consecutive windows
// with a normal p99. A window holds a few dozen calls, so its p99 is nearly its
// slowest call, and a single slow call long after the loss isn't caused by it.
func (s *firstTokenTimes) recovery() time.Duration {
	before := load.NewHistogram()
	// The first second warms up connections and caches.
	for _, h := range s.windows[time.Second/endpointLossWindow : endpointLossAt/endpointLossWindow] {
		before.Merge(h)
	}
	normal := func(i int) bool { return s.windows[i].Ms(99) <= maxRecoveredRatio*before.Ms(99) }
	for i := int(endpointLossAt / endpointLossWindow); i+1 < len(s.windows); i++ {
		if normal(i) && normal(i+1) {
			return time.Duration(i)*endpointLossWindow - endpointLossAt
		}
	}
	return endpointLossDuration - endpointLossAt
}

func (s *firstTokenTimes) picture() plots.Picture {
	p99 := plots.Line{Name: "p99"}
	p50 := plots.Line{Name: "p50"}
	for i, h := range s.windows {
		at := (time.Duration(i) * endpointLossWindow).Seconds()
		p99.Points = append(p99.Points, plots.Point{X: at, Y: h.Ms(99)})
		p50.Points = append(p50.Points, plots.Point{X: at, Y: h.Ms(50)})
	}
	return plots.Picture{
		Title: "First token around the death of one of four endpoints, at 5 s",
		X:     "seconds", Y: "milliseconds", Lines: []plots.Line{p99, p50},
	}
}
