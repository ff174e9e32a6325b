package batchrun

import (
	"context"

	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/control/pkg/dispatch"
)

// handleOutcome applies the outcome of a call.
func (d *Driver) handleOutcome(ctx context.Context, now clock.Millis, o outcome) {
	key, id := o.run.key, o.run.target.GetId()
	current := d.runs[key] == o.run
	if current {
		delete(d.runs, key)
	}
	d.config.Metrics.Ended.WithLabelValues(string(o.kind)).Inc()
	level.Info(d.config.Logger).Log(logs.KeyEvent, logs.EventItemEnded, logs.KeyJob, key.Job, "index", key.Index,
		"item", o.run.item, "runner", id, "software", o.run.target.GetVersion(), "outcome", o.kind, "events", o.run.progress.lastEvent(), "late-ms", d.machine.Lateness(now, key), "left-ms", d.machine.Remaining(now, key), logs.KeyError, o.err)
	if !current {
		d.handleStaleOutcome(ctx, o)
		return
	}
	if o.run.begun || o.run.ranLong {
		d.machine.Progressed(key)
	}
	switch o.kind {
	case finished:
		d.machine.Finished(now, key)
		delete(d.progress, key)
		delete(d.failures, key)
		d.completeItem(ctx, key, o.run.progress)
	case impossible:
		d.stop(key)
		d.failItem(ctx, key, "impossible")
	case failed:
		d.recordFailure(now, key, id)
		d.countFailure(ctx, key)
	case endless:
		// It isn't the item that failed, so the attempt doesn't count.
		d.recordFailure(now, key, id)
	case refused:
		d.machine.Block(id, now+refusedBackoff)
		d.machine.Stopped(now, key, 0)
	case unreachable:
		d.machine.Block(id, now+unreachableBackoff)
		d.machine.Stopped(now, key, 0)
	case notAccepted:
		d.machine.Stopped(now, key, notAcceptedBackoff)
	case broken:
		d.machine.Stopped(now, key, refusedBackoff)
	case crashed:
		d.machine.Crashed(now, key, refusedBackoff)
	case quarantined:
		d.machine.Stopped(now, key, min(max(o.until-now, 0), maxQuarantineBackoff))
	case superseded:
		// The earlier call's outcome was handled before and has ended the item.
		d.machine.Stopped(now, key, refusedBackoff)
	case paused:
	}
	d.machine.SetVersion(key, o.run.progress.writtenBy())
}

// recordFailure records that a runner failed an item, whose call has ended.
func (d *Driver) recordFailure(now clock.Millis, key dispatch.Key, id string) {
	if d.machine.Failed(now, key, refusedBackoff) {
		level.Warn(d.config.Logger).Log(logs.KeyEvent, "runner-failing", "runner", id)
	}
}

// handleStaleOutcome applies the outcome of a call whose item was preempted and has since started
// elsewhere. Only the runner's verdict on the item itself still counts.
func (d *Driver) handleStaleOutcome(ctx context.Context, o outcome) {
	key := o.run.key
	if !o.kind.isVerdict() || !d.machine.Has(key) {
		return
	}
	switch o.kind {
	case finished:
		d.stop(key)
		d.completeItem(ctx, key, o.run.progress)
	case impossible:
		d.stop(key)
		d.failItem(ctx, key, "impossible")
	case failed:
		d.countFailure(ctx, key)
	default:
	}
}
