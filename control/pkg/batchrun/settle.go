package batchrun

import (
	"context"

	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/logs"
)

// settle takes up how a call ended.
func (d *Driver) settle(ctx context.Context, now clock.Millis, o outcome) {
	key, id := o.run.key, o.run.target.GetId()
	current := d.runs[key] == o.run
	if current {
		delete(d.runs, key)
	}
	d.config.Metrics.Ended.WithLabelValues(string(o.kind)).Inc()
	level.Info(d.config.Logger).Log(logs.KeyEvent, logs.EventItemEnded, logs.KeyJob, key.Job, "index", key.Index,
		"item", o.run.item, "runner", id, "outcome", o.kind, "events", o.run.progress.lastEvent(), "late-ms", d.machine.Lateness(now, key), "left-ms", d.machine.Remaining(now, key), logs.KeyError, o.err)
	if !current {
		d.settleEarlier(ctx, o)
		return
	}
	switch o.kind {
	case finished:
		d.machine.Finished(now, key)
		delete(d.progress, key)
		d.complete(ctx, key, o.run.progress)
	case impossible:
		d.stop(key)
		d.fail(ctx, key, "impossible")
	case failed:
		d.machine.Stopped(now, key, refusedPause)
		d.countFailure(ctx, key)
	case refused:
		d.machine.Block(id, now+refusedPause)
		d.machine.Stopped(now, key, 0)
	case unreachable:
		d.machine.Block(id, now+unreachablePause)
		d.machine.Stopped(now, key, 0)
	case untaken:
		d.machine.Stopped(now, key, untakenPause)
	case broken:
		d.machine.Stopped(now, key, refusedPause)
	case withheld:
		d.machine.Stopped(now, key, min(max(o.until-now, 0), withheldPause))
	case paused:
	}
}

// settleEarlier takes up how a call ended whose item gave way and has begun elsewhere
// meanwhile. Only what the runner said of the item itself still counts.
func (d *Driver) settleEarlier(ctx context.Context, o outcome) {
	key := o.run.key
	if !o.kind.runnerSaid() || !d.machine.Has(key) {
		return
	}
	switch o.kind {
	case finished:
		d.stop(key)
		d.complete(ctx, key, o.run.progress)
	case impossible:
		d.stop(key)
		d.fail(ctx, key, "impossible")
	case failed:
		d.countFailure(ctx, key)
	default:
	}
}
