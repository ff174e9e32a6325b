package bench

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"toucanhinge.example/lab/pkg/fleet"
	"toucanhinge.example/lab/pkg/load"
)

const (
	overloadDuration = 8 * time.Second
	overloadDeadline = 2500 * time.Millisecond
	// overloadWarmup is the time after which the queues have reached their steady
	// length. Only calls that start later count towards the goodput. Earlier calls
	// find empty queues and would raise it.
	overloadWarmup = 3 * time.Second
	underloadShare = 0.7
)

var overloadExperiment = Experiment{
	Name:        "overload",
	Description: "load of twice the fleet's capacity: responses in time, refusals, attempts",
	Figures:     []string{"overload2.goodput", "overload2.attempts", "overload2.refusal.p99.ms"},
	Run:         runOverload,
}

func runOverload(ctx context.Context, b *Bench) error {
	for run := range b.Config.Runs {
		if err := measureOverload(ctx, b, run); err != nil {
			return err
		}
	}
	return nil
}

func measureOverload(ctx context.Context, b *Bench, run int) error {
	f, err := b.startFleet(ctx, fleet.Config{Controls: 1, Gateways: 2, Sidecars: interferenceEngines, Engine: fleet.Engine{Slots: interferenceSlots}})
	if err != nil {
		return err
	}
	defer b.stopFleet(f)
	capacity, err := directCapacity(ctx, f, fmt.Sprintf("cap%d", run))
	if err != nil {
		return err
	}
	before, err := f.EnginePosts(ctx)
	if err != nil {
		return err
	}
	report, good := runAtRate(ctx, f, fmt.Sprintf("over%d", run), 2*capacity, b.Config.Seed, 0)
	after, err := f.EnginePosts(ctx)
	if err != nil {
		return err
	}
	b.printf("   capacity %.0f calls/s; twice: %s", capacity, report)
	b.addFigure("overload2.goodput", ratio(good, capacity))
	b.addFigure("overload2.refusal.p99.ms", report.Refusals.Ms(99))
	retries, err := f.Retries(ctx)
	if err != nil {
		return err
	}
	b.addFigure("overload2.attempts", 1+ratio(retries, float64(report.Calls)))
	b.addFigure("overload2.engine.runs", ratio(float64(after-before), float64(report.Complete)))
	if run == 0 {
		resending, good := runAtRate(ctx, f, fmt.Sprintf("again%d", run), 2*capacity, b.Config.Seed+1, 3)
		b.printf("   twice, callers resending: %s", resending)
		b.addFigure("overload2.resending.goodput", ratio(good, capacity))
	}
	under, _ := runAtRate(ctx, f, fmt.Sprintf("under%d", run), underloadShare*capacity, b.Config.Seed+2, 0)
	b.printf("   then %.0f%%: %s", 100*underloadShare, under)
	b.addFigure("overload2.after.goodput", ratio(float64(under.InTime), float64(under.Calls)))
	return nil
}

func overloadMix(name string) load.Mix {
	return load.Mix{Model: fleet.Model, UniqueBytes: 200, MinTokens: interferenceTokensMin, MaxTokens: interferenceTokensMax, Name: name}
}

// runAtRate runs calls at the given rate. It also returns the goodput: the calls per
// second that completed in time after overloadWarmup.
func runAtRate(
	ctx context.Context, f *fleet.Fleet, name string, rate float64, seed uint64, resends int,
) (report *load.Report, good float64) {
	schedule := load.Poisson(rate).Schedule(overloadDuration, seed)
	var inTime atomic.Int64
	report = load.Run(ctx, load.Config{
		Target: f.Target, Make: overloadMix(name).Make, Schedule: schedule, Deadline: overloadDeadline, Resends: resends,
		OnOutcome: func(n int, o load.Outcome) {
			if o.Complete && o.Total <= overloadDeadline && schedule[n] >= overloadWarmup {
				inTime.Add(1)
			}
		},
	})
	return report, float64(inTime.Load()) / (overloadDuration - overloadWarmup).Seconds()
}

// directCapacity returns the calls per second that the engines complete with all
// slots in use. The calls bypass gateways and sidecars.
func directCapacity(ctx context.Context, f *fleet.Fleet, name string) (float64, error) {
	const calls = 1200
	report := load.Run(ctx, load.Config{
		Target: f.EngineTarget, Make: overloadMix(name).Make, Schedule: make([]time.Duration, calls), Deadline: time.Minute,
	})
	if err := (&arm{report: report}).checkSuccessShare(); err != nil {
		return 0, err
	}
	time.Sleep(foreignLoadCooldown)
	// Slots become idle towards the end, so the rate is measured over the first 90%
	// of the calls.
	return calls * 0.9 / (report.Total.Ms(90) / 1000), nil
}
