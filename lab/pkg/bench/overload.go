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
	overloadLength   = 8 * time.Second
	overloadDeadline = 2500 * time.Millisecond
	// overloadSteady is when the queues have reached their usual length. Only
	// calls that start after it count for the goodput: earlier ones find empty
	// queues, and would make it look better.
	overloadSteady = 3 * time.Second
	overloadUnder  = 0.7
)

var overloadExperiment = Experiment{
	Name:    "overload",
	Description:   "twice the load that the fleet can carry: answered in time, refusals, attempts",
	Figures: []string{"overload2.goodput", "overload2.attempts", "overload2.refusal.p99.ms"},
	Run:     runOverload,
}

func runOverload(ctx context.Context, b *Bench) error {
	for run := range b.Config.Runs {
		if err := overloadRun(ctx, b, run); err != nil {
			return err
		}
	}
	return nil
}

func overloadRun(ctx context.Context, b *Bench, run int) error {
	f, err := b.fleet(ctx, fleet.Config{Controls: 1, Gateways: 2, Sidecars: harmEngines, Engine: fleet.Engine{Slots: harmSlots}})
	if err != nil {
		return err
	}
	defer b.end(f)
	capacity, err := directCapacity(ctx, f, fmt.Sprintf("cap%d", run))
	if err != nil {
		return err
	}
	before, err := f.EnginePosts(ctx)
	if err != nil {
		return err
	}
	report, good := overloadLoad(ctx, f, fmt.Sprintf("over%d", run), 2*capacity, b.Config.Seed, 0)
	after, err := f.EnginePosts(ctx)
	if err != nil {
		return err
	}
	b.say("   capacity %.0f calls/s; twice: %s", capacity, report)
	b.add("overload2.goodput", ratio(good, capacity))
	b.add("overload2.refusal.p99.ms", report.Refusals.Ms(99))
	retries, err := f.Retries(ctx)
	if err != nil {
		return err
	}
	b.add("overload2.attempts", 1+ratio(retries, float64(report.Calls)))
	b.add("overload2.engine.runs", ratio(float64(after-before), float64(report.Complete)))
	if run == 0 {
		resending, good := overloadLoad(ctx, f, fmt.Sprintf("again%d", run), 2*capacity, b.Config.Seed+1, 3)
		b.say("   twice, callers resending: %s", resending)
		b.add("overload2.resending.goodput", ratio(good, capacity))
	}
	under, _ := overloadLoad(ctx, f, fmt.Sprintf("under%d", run), overloadUnder*capacity, b.Config.Seed+2, 0)
	b.say("   then %.0f%%: %s", 100*overloadUnder, under)
	b.add("overload2.after.goodput", ratio(float64(under.InTime), float64(under.Calls)))
	return nil
}

func overloadMix(name string) load.Mix {
	return load.Mix{Model: fleet.Model, UniqueBytes: 200, MinTokens: harmTokensMin, MaxTokens: harmTokensMax, Name: name}
}

// overloadLoad also says how many calls a second were answered in time once the
// queues are steady.
func overloadLoad(
	ctx context.Context, f *fleet.Fleet, name string, rate float64, seed uint64, resends int,
) (report *load.Report, good float64) {
	schedule := load.Poisson(rate).Schedule(overloadLength, seed)
	var inTime atomic.Int64
	report = load.Run(ctx, load.Config{
		Target: f.Target, Make: overloadMix(name).Make, Schedule: schedule, Deadline: overloadDeadline, Resends: resends,
		OnOutcome: func(n int, o load.Outcome) {
			if o.Complete && o.Total <= overloadDeadline && schedule[n] >= overloadSteady {
				inTime.Add(1)
			}
		},
	})
	return report, float64(inTime.Load()) / (overloadLength - overloadSteady).Seconds()
}

// directCapacity is the calls a second that the engines carry when all slots
// are always in use, asked directly.
func directCapacity(ctx context.Context, f *fleet.Fleet, name string) (float64, error) {
	const calls = 1200
	report := load.Run(ctx, load.Config{
		Target: f.EngineTarget, Make: overloadMix(name).Make, Schedule: make([]time.Duration, calls), Deadline: time.Minute,
	})
	if err := (&arm{report: report}).sound(); err != nil {
		return 0, err
	}
	time.Sleep(foreignPause)
	// Toward the end slots run empty; the rate up to nine tenths of the calls
	// is the full one.
	return calls * 0.9 / (report.Total.Ms(90) / 1000), nil
}
