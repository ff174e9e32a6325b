package batchrun

import (
	"context"

	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/crashes"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/runner"
)

// maxQuarantineBackoff is the longest delay until a quarantined item is checked again: it may have been
// cleared in the meantime.
const maxQuarantineBackoff clock.Millis = 5_000

// quarantinedUntil returns the time until which the item must not run because it is suspected of crashing
// runners, or 0 if it may run. A quarantined item doesn't fail before it expires, because an accepted
// item must be retried until then.
func (r *run) quarantinedUntil(call runner.Call) clock.Millis {
	x := r.driver.config.Exchange
	if !x.HasSuspects() {
		return 0
	}
	verdict := x.CheckRequest(fingerprintOf(call))
	if verdict.Status == crashes.Allowed {
		return 0
	}
	return verdict.Until
}

// reportCrash reports a crash if the call broke because its runner crashed.
func (r *run) reportCrash(ctx context.Context, call runner.Call, startedAt clock.Millis) {
	config := r.driver.config
	if config.Client.Refuses == nil || ctx.Err() != nil || !config.Client.Refuses(ctx, call.Runner) {
		return
	}
	elapsed, running := config.Clock.Now()-startedAt, clock.Millis(-1)
	if r.progress.lastEvent() > call.After {
		// Gateways buffer events, so the time of the first event is unknown. Items start only in free
		// slots, so the item has run since the call was sent.
		running = elapsed
	}
	phase := crashes.PhaseOf(running, elapsed, true)
	parts, err := config.Client.SharedParts(call.Header)
	level.Info(config.Logger).Log(logs.KeyEvent, logs.EventRunnerCrashed, logs.KeyJob, r.key.Job, "index", r.key.Index,
		logs.KeyItem, call.Request, logs.KeyFingerprint, fingerprintOf(call), "runner", call.Runner.GetId(), "running-ms", running,
		logs.KeyParts, parts, logs.KeyError, err)
	if phase == crashes.Late {
		config.Exchange.RecordSuccess(fingerprintOf(call))
	}
	config.Exchange.ReportCrash(call.Runner, fingerprintOf(call), phase)
}

// clearSuspicion clears a suspected item that ran without crashing its runner.
func (r *run) clearSuspicion(call runner.Call) {
	if x := r.driver.config.Exchange; x.HasSuspects() {
		x.RecordSuccess(fingerprintOf(call))
	}
}

func fingerprintOf(call runner.Call) crashes.Fingerprint {
	return crashes.FingerprintOf(call.Method, call.Host, call.Target, call.Body)
}
