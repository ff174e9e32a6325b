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

// countFailure logs a failed attempt, so that the attempt limit of an item holds across changes of leader. A waiting item
// isn't sent again before: if the log is slow or the leader is lost, its failures would go uncounted.
func (d *Driver) countFailure(ctx context.Context, key dispatch.Key) {
	logged, limit := d.attemptLimit(key)
	failures := max(logged, d.failures[key]) + 1
	d.failures[key] = failures
	level.Info(d.config.Logger).Log(logs.KeyEvent, "item-failure-counted", logs.KeyJob, key.Job, "index", key.Index,
		"failures", failures, "logged", logged, "limit", limit)
	if failures >= limit {
		d.stop(key)
		d.failItem(ctx, key, "attempts")
		return
	}
	d.machine.Hold(key)
	d.background(func() {
		d.logWithRetry(ctx, &toucanhingev1.SystemStep{Step: &toucanhingev1.SystemStep_CountFailure{
			CountFailure: &toucanhingev1.CountFailureStep{Job: key.Job, Item: key.Index},
		}})
		d.mu.Lock()
		d.counted = append(d.counted, key)
		d.mu.Unlock()
		d.Wake()
	})
}

// attemptLimit returns how many failures of an item are logged, and with how many it is given up.
func (d *Driver) attemptLimit(key dispatch.Key) (logged, limit uint32) {
	limit = 1
	d.config.Machine.View(func(s *systemstate.State) {
		j := s.Job(key.Job)
		if j == nil {
			return
		}
		logged = j.Items[key.Index].Failures
		if route, found := s.Route(j); found {
			limit = max(route.MaxAttempts, 1)
		}
	})
	return logged, limit
}

// completeItem logs an item's text as its result. Only the unlogged part is sent, unless the logged progress
// differs from the progress that this driver recorded.
func (d *Driver) completeItem(ctx context.Context, key dispatch.Key, p *progress) {
	d.config.Metrics.Listed.WithLabelValues("finished").Inc()
	finish := func(after uint64, text []byte) *toucanhingev1.SystemStep {
		return &toucanhingev1.SystemStep{Step: &toucanhingev1.SystemStep_FinishItem{FinishItem: &toucanhingev1.FinishItemStep{
			Job: key.Job, Item: key.Index, Completed: true, Text: text, After: after,
		}}}
	}
	d.background(func() {
		part := p.unlogged()
		if listed, ok := d.logWithRetry(ctx, finish(part.after, part.text)).(bool); ok && !listed {
			d.logWithRetry(ctx, finish(0, p.fullText()))
		}
	})
}

// failItem logs an item as failed.
func (d *Driver) failItem(ctx context.Context, key dispatch.Key, reason string) {
	d.config.Metrics.Listed.WithLabelValues(reason).Inc()
	level.Info(d.config.Logger).Log(logs.KeyEvent, "item-given-up", logs.KeyJob, key.Job, "index", key.Index, "reason", reason)
	d.background(func() {
		d.logWithRetry(ctx, &toucanhingev1.SystemStep{Step: &toucanhingev1.SystemStep_FinishItem{
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

// logWithRetry logs a step and returns its result. It retries while this process leads, so that a slow disk
// doesn't cause an item to run again.
func (d *Driver) logWithRetry(ctx context.Context, step *toucanhingev1.SystemStep) any {
	for ctx.Err() == nil {
		result, err := d.commits.log(ctx, step)
		if err == nil {
			return result
		}
		level.Warn(d.config.Logger).Log(logs.KeyEvent, "item-step-unlogged", logs.KeyError, err)
		select {
		case <-ctx.Done():
		case <-time.After(stepInterval + time.Duration(rand.Int64N(int64(stepInterval)))):
		}
	}
	return nil
}

// failItemsWithoutRoute fails the items of jobs whose route was removed.
func (d *Driver) failItemsWithoutRoute(ctx context.Context, now clock.Millis) {
	for job, items := range d.routes.expired(now, d.machine.Jobs) {
		for i := range items {
			key := dispatch.Key{Job: job, Index: uint32(i)}
			if d.machine.Has(key) {
				d.stop(key)
				d.failItem(ctx, key, "route-gone")
			}
		}
	}
}
