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

var errBusy = errors.New("engines don't become idle")

const (
	yieldCalls   = 300
	yieldSpacing = 23 * time.Millisecond
	yieldTokens  = 2
)

var yieldExperiment = Experiment{
	Name:    "yield",
	Description:   "a lone online call at an engine full of batch against one at an empty engine, in steps",
	Figures: []string{"yield.p99.steps"},
	Run:     runYield,
}

func runYield(ctx context.Context, b *Bench) error {
	f, err := b.fleet(ctx, fleet.Config{Controls: 1, Gateways: 1, Sidecars: 1, Engine: fleet.Engine{Slots: harmSlots}})
	if err != nil {
		return err
	}
	defer b.end(f)
	batch := caller.New(caller.Config{URL: f.Gateways[0].URL(), Key: fleet.OtherTeamKey})
	for run := range b.Config.Runs {
		name := fmt.Sprintf("yield%d", run)
		alone := loneCalls(ctx, f, name+"a")
		filler, err := uploadFiller(ctx, batch, name)
		if err != nil {
			return err
		}
		time.Sleep(fillSettle)
		before, err := f.EngineTotals(ctx, f.Engines[0])
		if err != nil {
			return err
		}
		start := time.Now()
		full := loneCalls(ctx, f, name+"f")
		after, err := f.EngineTotals(ctx, f.Engines[0])
		if err != nil {
			return err
		}
		step := time.Since(start).Seconds() * 1000 / float64(after.Steps-before.Steps)
		b.say("   alone: %s", alone)
		b.say("   full:  %s; a step takes %.1f ms", full, step)
		b.add("yield.p99.steps", max(0, full.FirstToken.Ms(99)-alone.FirstToken.Ms(99))/step)
		if err := batch.Cancel(ctx, filler); err != nil {
			return err
		}
		if err := waitIdle(ctx, f); err != nil {
			return err
		}
	}
	return nil
}

// loneCalls come one at a time at a spacing that shares no period with the steps.
func loneCalls(ctx context.Context, f *fleet.Fleet, name string) *load.Report {
	mix := load.Mix{Model: fleet.Model, UniqueBytes: 60, MinTokens: yieldTokens, Name: name}
	schedule := make([]time.Duration, yieldCalls)
	for i := range schedule {
		schedule[i] = time.Duration(i) * yieldSpacing
	}
	return load.Run(ctx, load.Config{Target: f.Target, Make: mix.Make, Schedule: schedule, Deadline: time.Minute})
}
