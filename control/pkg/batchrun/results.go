package batchrun

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/control/pkg/dispatch"
	"toucanhinge.example/control/pkg/systemstate"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// countFailure notes a failed attempt durably, so that an item that fails at
// every runner ends at its limit even if the leader changes in between.
func (d *Driver) countFailure(ctx context.Context, key dispatch.Key) {
	attempts, limit := uint32(1), uint32(1)
	d.config.Machine.View(func(s *systemstate.State) {
		j := s.Job(key.Job)
		if j == nil {
			return
		}
		attempts += j.Items[key.Index].Failures
		if route, found := s.Route(j); found {
			limit = max(route.MaxAttempts, 1)
		}
	})
	if attempts >= limit {
		d.stop(key)
		d.fail(ctx, key, "attempts")
		return
	}
	d.background(func() {
		d.insist(ctx, &toucanhingev1.SystemStep{Step: &toucanhingev1.SystemStep_CountFailure{
			CountFailure: &toucanhingev1.CountFailureStep{Job: key.Job, Item: key.Index},
		}})
	})
}

// complete lists an item's text. Only what isn't logged yet travels, unless the
// log holds another progress than we believe.
func (d *Driver) complete(ctx context.Context, key dispatch.Key, p *progress) {
	d.config.Metrics.Listed.WithLabelValues("finished").Inc()
	finish := func(after uint64, text []byte) *toucanhingev1.SystemStep {
		return &toucanhingev1.SystemStep{Step: &toucanhingev1.SystemStep_FinishItem{FinishItem: &toucanhingev1.FinishItemStep{
			Job: key.Job, Item: key.Index, Completed: true, Text: text, After: after,
		}}}
	}
	d.background(func() {
		after, _, rest := p.unkept()
		if listed, ok := d.insist(ctx, finish(after, rest)).(bool); ok && !listed {
			d.insist(ctx, finish(0, p.whole()))
		}
	})
}

// fail lists an item that is given up.
func (d *Driver) fail(ctx context.Context, key dispatch.Key, reason string) {
	d.config.Metrics.Listed.WithLabelValues(reason).Inc()
	level.Info(d.config.Logger).Log(logs.KeyEvent, "item-given-up", logs.KeyJob, key.Job, "index", key.Index, "reason", reason)
	d.background(func() {
		d.insist(ctx, &toucanhingev1.SystemStep{Step: &toucanhingev1.SystemStep_FinishItem{
			FinishItem: &toucanhingev1.FinishItemStep{Job: key.Job, Item: key.Index},
		}})
	})
}

func (d *Driver) background(run func()) {
	d.active.Add(1)
	go func() {
		defer d.active.Done()
		run()
	}()
}

// insist logs a step, again and again while this process leads, and returns its
// outcome: a result that was made must not be made once more because the disk was
// slow.
func (d *Driver) insist(ctx context.Context, step *toucanhingev1.SystemStep) any {
	for ctx.Err() == nil {
		answer, err := d.commits.log(ctx, step)
		if err == nil {
			return answer
		}
		level.Warn(d.config.Logger).Log(logs.KeyEvent, "item-step-unlogged", logs.KeyError, err)
		select {
		case <-ctx.Done():
		case <-time.After(stepEvery + time.Duration(rand.Int64N(int64(stepEvery)))):
		}
	}
	return nil
}

// giveUpLostRoutes lists the items of jobs whose route is gone as failed.
func (d *Driver) giveUpLostRoutes(ctx context.Context, now clock.Millis) {
	for job, items := range d.routes.gone(now, d.machine.Jobs) {
		for i := range items {
			key := dispatch.Key{Job: job, Index: uint32(i)}
			if d.machine.Has(key) {
				d.stop(key)
				d.fail(ctx, key, "route-gone")
			}
		}
	}
}
