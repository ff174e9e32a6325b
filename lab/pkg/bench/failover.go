package bench

import (
	"context"
	"fmt"
	"time"

	"toucanhinge.example/lab/pkg/fleet"
	"toucanhinge.example/lab/pkg/load"
)

const failoverKills = 5

var failoverExperiment = Experiment{
	Name:        "failover",
	Description: "time from kill -9 of the configuration group's leader to the next accepted change",
	Figures:     []string{"failover.p99.ms"},
	Run:         runFailover,
}

func runFailover(ctx context.Context, b *Bench) error {
	f, err := b.startFleet(ctx, fleet.Config{Controls: 3})
	if err != nil {
		return err
	}
	defer b.stopFleet(f)
	times := load.NewHistogram()
	for n := range failoverKills * b.Config.Runs {
		leader, err := f.Leader(ctx, 0)
		if err != nil {
			return fmt.Errorf("find leader: %w", err)
		}
		start := time.Now()
		if err := leader.Kill(); err != nil {
			return err
		}
		if _, err := f.ApplyLinkChange(ctx, n); err != nil {
			return fmt.Errorf("change after the kill: %w", err)
		}
		took := time.Since(start)
		times.Record(took)
		b.printf("   %d: %d ms", n+1, took.Milliseconds())
		if err := leader.Start(); err != nil {
			return err
		}
		if err := leader.WaitReady(ctx); err != nil {
			return err
		}
	}
	b.addFigure("failover.p99.ms", times.Ms(99))
	b.addFigure("failover.p50.ms", times.Ms(50))
	return nil
}
