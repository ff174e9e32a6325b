package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"toucanhinge.example/lab/pkg/caller"
	"toucanhinge.example/lab/pkg/fleet"
	"toucanhinge.example/lab/pkg/load"
)

var errEnginesBusy = errors.New("engines did not become idle")

const (
	yieldCalls   = 300
	yieldSpacing = 23 * time.Millisecond
	yieldTokens  = 2
)

var yieldExperiment = Experiment{
	Name:        "yield",
	Description: "a single online call to an engine full of batch items, compared with an idle engine, in steps",
	Figures:     []string{"yield.p99.steps"},
	Run:         runYield,
}

func runYield(ctx context.Context, b *Bench) error {
	f, err := b.startFleet(ctx, fleet.Config{Controls: 1, Gateways: 1, Sidecars: 1, Engine: fleet.Engine{Slots: interferenceSlots}})
	if err != nil {
		return err
	}
	defer b.stopFleet(f)
	batch := caller.New(caller.Config{URL: f.Gateways[0].URL(), Key: fleet.OtherTeamKey})
	for run := range b.Config.Runs {
		name := fmt.Sprintf("yield%d", run)
		alone := runSingleCalls(ctx, f, name+"a")
		job, err := uploadBackgroundJob(ctx, batch, name)
		if err != nil {
			return err
		}
		time.Sleep(fillWarmup)
		before, err := f.EngineTotals(ctx, f.Engines[0])
		if err != nil {
			return err
		}
		start := time.Now()
		full := runSingleCalls(ctx, f, name+"f")
		after, err := f.EngineTotals(ctx, f.Engines[0])
		if err != nil {
			return err
		}
		step := time.Since(start).Seconds() * 1000 / float64(after.Steps-before.Steps)
		b.printf("   alone: %s", alone)
		b.printf("   full:  %s; a step takes %.1f ms", full, step)
		b.addFigure("yield.p99.steps", max(0, full.FirstToken.Ms(99)-alone.FirstToken.Ms(99))/step)
		if err := batch.Cancel(ctx, job); err != nil {
			return err
		}
		if err := waitIdle(ctx, f); err != nil {
			return err
		}
	}
	return nil
}

// runSingleCalls sends single calls at an interval that shares no period with the steps.
func runSingleCalls(ctx context.Context, f *fleet.Fleet, name string) *load.Report {
	mix := load.Mix{Model: fleet.Model, UniqueBytes: 60, MinTokens: yieldTokens, Name: name}
	schedule := make([]time.Duration, yieldCalls)
	for i := range schedule {
		schedule[i] = time.Duration(i) * yieldSpacing
	}
	return load.Run(ctx, load.Config{Target: f.Target, Make: mix.Make, Schedule: schedule, Deadline: time.Minute})
}
