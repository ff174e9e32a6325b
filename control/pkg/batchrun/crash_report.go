package batchrun

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/crashes"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/partcrashes"
	"toucanhinge.example/common/pkg/runner"
)

// maxQuarantineBackoff is the longest delay until an item with a quarantined part is checked again: the part may have
// been cleared in the meantime.
const maxQuarantineBackoff clock.Millis = 5_000

// probeTimeout is how long a runner has to show whether it still runs after a call broke off.
const probeTimeout = 100 * time.Millisecond

// longRun is the time from which on an item has run long enough that it needs no rest after a crash of its runner.
const longRun clock.Millis = 500

// maxClaimWait is how long an item that has announced that it tries a suspected part waits until it may.
const maxClaimWait clock.Millis = 400

// minQuarantineBackoff is the shortest delay until such an item is checked again. While an item with a suspected part
// of its prompt is tried, there may be thousands of others with it.
const minQuarantineBackoff clock.Millis = 300

// quarantinedUntil returns the time until which the item must not run because a part of its prompt is suspected of
// crashing runners, or 0 if it may run. The item as a whole is never suspected.
func (r *run) quarantinedUntil(ctx context.Context, call runner.Call) clock.Millis {
	x, now := r.driver.config.Exchange, r.driver.config.Clock.Now
	if !x.HasSuspects() {
		return 0
	}
	c := partcrashes.Candidate{Request: fingerprintOf(call), Parts: r.parts, Owed: true}
	for until := now() + maxClaimWait; ; {
		verdict, trial := x.CheckParts(r.item, c)
		c.Trial, r.trial = trial, trial
		switch {
		case verdict.Status == crashes.Allowed:
			return 0
		case verdict.Status == crashes.Quarantined, trial == 0, now() > until, ctx.Err() != nil:
			r.returnTrial()
			return max(verdict.Until, now()+minQuarantineBackoff)
		}
		time.Sleep((verdict.Until - now()).Duration())
	}
}

// returnTrial records that the item reached no runner although it was to try its suspected parts.
func (r *run) returnTrial() {
	if r.trial != 0 {
		r.driver.config.Exchange.ReturnPartTrial(r.parts, r.trial)
	}
}

// readParts reads the parts of the item's prompt that other requests may share.
func (r *run) readParts(call runner.Call) {
	var err error
	if r.parts, err = r.driver.config.Client.SharedParts(call.Header); err != nil {
		level.Warn(r.driver.config.Logger).Log(logs.KeyEvent, logs.EventPartsUnreadable, logs.KeyJob, r.key.Job, "index", r.key.Index,
			logs.KeyItem, call.Request, logs.KeyError, err)
	}
}

// recordBegin records that the runner answers the item and didn't crash when it began. A runner that crashes may have sent
// events before.
func (r *run) recordBegin() {
	now := r.driver.config.Clock.Now()
	if r.firstEventAt == 0 {
		r.firstEventAt = now
	}
	if !r.begun && now-r.firstEventAt >= crashes.ConfirmedAnswer {
		r.begun = true
		r.driver.config.Exchange.RecordBegin(r.parts, r.firstEventAt)
	}
}

// brokenCall is a call that broke off, with what it says if its runner has crashed.
type brokenCall struct {
	call runner.Call
	// running is how long events had come, -1 for none.
	running clock.Millis
	parts   partcrashes.Report
}

func (r *run) brokenCall(call runner.Call, startedAt clock.Millis) brokenCall {
	at := r.driver.config.Clock.Now()
	b := brokenCall{call: call, running: -1, parts: partcrashes.Report{
		Crash: crashes.CrashOf(call.Runner), Request: fingerprintOf(call), Parts: r.parts, Unanswered: r.firstEventAt == 0, At: at, Ran: at - startedAt, Trial: r.trial,
	}}
	if r.progress.lastEvent() > call.After {
		// Gateways buffer events, so the time of the first event is unknown. Items start only in free
		// slots, so the item has run since the call was sent.
		b.running = at - startedAt
	}
	return b
}

// detectCrash reports a crash if the call broke because its runner crashed, and returns the outcome of the call.
func (r *run) detectCrash(ctx context.Context, call runner.Call, startedAt clock.Millis) outcomeKind {
	config := r.driver.config
	if config.Client.Probe == nil || ctx.Err() != nil || r.isHalted() {
		return broken
	}
	b := r.brokenCall(call, startedAt)
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	presence := config.Client.Probe(probeCtx, call.Runner)
	level.Info(config.Logger).Log(logs.KeyEvent, logs.EventCallBroke, logs.KeyJob, r.key.Job, "index", r.key.Index, logs.KeyItem, call.Request,
		"runner", call.Runner.GetId(), "presence", presence, "sent-ms", b.parts.Ran)
	if !presence.IsKnown() {
		go r.recheck(b)
	}
	if presence != runner.Gone {
		return broken
	}
	r.reportCrash(b)
	r.ranLong = r.begun || b.running >= longRun
	if r.ranLong {
		return broken
	}
	return crashed
}

// recheck probes the runner of a broken call again that gave no answer at first.
func (r *run) recheck(b brokenCall) {
	if r.driver.config.Client.ProbeAgain(b.call.Runner) == runner.Gone {
		r.reportCrash(b)
	}
}

// reportCrash reports that the runner of a broken call has crashed.
func (r *run) reportCrash(b brokenCall) {
	config, report := r.driver.config, b.parts
	level.Info(config.Logger).Log(logs.KeyEvent, logs.EventRunnerCrashed, logs.KeyJob, r.key.Job, "index", r.key.Index,
		logs.KeyItem, b.call.Request, logs.KeyFingerprint, report.Request, "runner", b.call.Runner.GetId(), "running-ms", b.running,
		logs.KeyParts, report.Parts)
	// The crash counts among those that requests meet by chance; the item isn't its cause.
	config.Exchange.ReportCrash(crashes.Report{Crash: report.Crash, Fingerprint: report.Request, At: report.At})
	config.Exchange.ReportPartCrash(report)
}

// recordCompletion records that the runner answered the item completely.
func (r *run) recordCompletion() {
	x, beganAt := r.driver.config.Exchange, r.firstEventAt
	if beganAt == 0 {
		beganAt = r.driver.config.Clock.Now()
	}
	if !r.begun {
		x.RecordBegin(r.parts, beganAt)
	}
	x.RecordAnswer(r.parts, beganAt)
}

func fingerprintOf(call runner.Call) crashes.Fingerprint {
	return crashes.FingerprintOf(call.Method, call.Host, call.Target, call.Body)
}
