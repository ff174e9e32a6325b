package batchrun

import (
	"context"

	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/crashes"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/runner"
)

// withheldPause is the longest time until an item that is kept from the runners is looked
// at again: it may have been cleared meanwhile.
const withheldPause clock.Millis = 5_000

// withheld says until when an item is kept from the runners, 0 if it may run. It crashes
// those that run it, or may do so; it isn't given up for that before its time, since an
// accepted item is owed until then.
func (r *run) withheld(call runner.Call) clock.Millis {
	x := r.driver.config.Exchange
	if !x.HasSuspects() {
		return 0
	}
	verdict := x.CheckRequest(contentOf(call))
	if verdict.Status == crashes.Allowed {
		return 0
	}
	return verdict.Until
}

// sightCrash notes it if a call broke off because its runner crashed.
func (r *run) sightCrash(ctx context.Context, call runner.Call, began clock.Millis) {
	config := r.driver.config
	if config.Client.Refuses == nil || ctx.Err() != nil || !config.Client.Refuses(ctx, call.Runner) {
		return
	}
	asked, running := config.Clock.Now()-began, clock.Millis(-1)
	if r.progress.lastEvent() > call.After {
		// Gateways hold events back for a while, so when the first one came isn't known; items
		// begin only where a place is free, so they run from the start.
		running = asked
	}
	sign := crashes.PhaseOf(running, asked, true)
	level.Info(config.Logger).Log(logs.KeyEvent, logs.EventRunnerCrashed, logs.KeyJob, r.key.Job, "index", r.key.Index,
		logs.KeyItem, call.Request, logs.KeyFingerprint, contentOf(call), "runner", call.Runner.GetId(), "running-ms", running)
	if sign == crashes.Late {
		config.Exchange.RecordSuccess(contentOf(call))
	}
	config.Exchange.ReportCrash(call.Runner, contentOf(call), sign)
}

// survived clears an item that ran without crashing its runner, if it was suspected.
func (r *run) survived(call runner.Call) {
	if x := r.driver.config.Exchange; x.HasSuspects() {
		x.RecordSuccess(contentOf(call))
	}
}

func contentOf(call runner.Call) crashes.Fingerprint {
	return crashes.FingerprintOf(call.Method, call.Host, call.Target, call.Body)
}
