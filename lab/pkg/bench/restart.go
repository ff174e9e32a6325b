package bench

import (
	"context"
	"fmt"
	"time"

	"toucanhinge.example/lab/pkg/fleet"
	"toucanhinge.example/lab/pkg/worker"
)

const (
	restartChanges = 1_000
	restartItems   = 100_000
)

var restartExperiment = Experiment{
	Name:    "restart",
	Description:   "start to ready of a control after 1,000 changes and 100,000 items, killed before",
	Figures: []string{"restart.ms"},
	Run:     runRestart,
}

func runRestart(ctx context.Context, b *Bench) error {
	f, err := b.fleet(ctx, fleet.Config{Controls: 3, JobGroups: 1})
	if err != nil {
		return err
	}
	defer b.end(f)
	for n := range restartChanges {
		if _, err := f.ApplyLinkChange(ctx, n); err != nil {
			return fmt.Errorf("change %d: %w", n, err)
		}
	}
	if _, err := worker.Upload(ctx, f.Operator.Client(), 1, header("restart", 1, 2), restartItems, benchItem); err != nil {
		return err
	}
	for _, n := range f.Controls {
		if err := n.Kill(); err != nil {
			return err
		}
		start := time.Now()
		if err := n.Start(); err != nil {
			return err
		}
		if err := n.WaitReady(ctx); err != nil {
			return err
		}
		b.add("restart.ms", float64(time.Since(start).Milliseconds()))
	}
	return nil
}
