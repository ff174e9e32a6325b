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
	Name:    "failover",
	Description:   "kill -9 of the leader of the configuration group, to the next accepted change",
	Figures: []string{"failover.p99.ms"},
	Run:     runFailover,
}

func runFailover(ctx context.Context, b *Bench) error {
	f, err := b.fleet(ctx, fleet.Config{Controls: 3})
	if err != nil {
		return err
	}
	defer b.end(f)
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
		b.say("   %d: %d ms", n+1, took.Milliseconds())
		if err := leader.Start(); err != nil {
			return err
		}
		if err := leader.WaitReady(ctx); err != nil {
			return err
		}
	}
	b.add("failover.p99.ms", times.Ms(99))
	b.add("failover.p50.ms", times.Ms(50))
	return nil
}
