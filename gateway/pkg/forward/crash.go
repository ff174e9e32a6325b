package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/crashes"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/runner"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// connectCheckTimeout is how long a runner has to refuse a connection: a round trip between data
// centres, and scheduling delay on a slow VM. A retry is delayed by this time if the runner's VM is
// unreachable and answers nothing.
const connectCheckTimeout = 40 * time.Millisecond

// maxSuspectedWait is how long a request waits while another one finds out whether a part of its prompt crashes
// runners. Clients of streams wait two seconds.
const maxSuspectedWait clock.Millis = 1_500

// suspectedRetryAfter is the time after which a caller should retry a request that has waited for maxSuspectedWait.
const suspectedRetryAfter = time.Second

// checkQuarantine refuses a request that crashes runners, by itself or because of a part of its prompt, independent of
// its ID and of the gateways that served it before. A suspected request waits until the crash reports of all gateways
// have arrived: otherwise a retry 70 ms after a crash would crash one more runner. Of the requests with a suspected
// part one runs at a time, and the others wait for its result.
func (e *exchange) checkQuarantine(ctx context.Context) *Refusal {
	checkedAt := e.now()
	for e.server.config.Exchange.HasSuspects() {
		verdict, reason := e.verdict()
		wait := (verdict.Until - e.now()).Duration()
		switch verdict.Status {
		case crashes.Quarantined:
			return &Refusal{Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: wait}
		case crashes.Allowed:
			return nil
		}
		if reason == ReasonPartCrashes && e.now()-checkedAt >= maxSuspectedWait {
			return &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonPartSuspected, RetryAfter: suspectedRetryAfter}
		}
		// The slot isn't used meanwhile.
		e.leaveQueue()
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonTimeLimit}
		}
	}
	return nil
}

// verdict decides whether the request may run, with the reason for a refusal.
func (e *exchange) verdict() (crashes.Verdict, string) {
	x := e.server.config.Exchange
	if verdict := x.CheckRequest(e.requestFingerprint()); verdict.Status != crashes.Allowed {
		return verdict, ReasonCrashes
	}
	verdict, trial := x.CheckParts(e.request.SharedParts, e.trial)
	e.trial = e.trial || trial
	return verdict, ReasonPartCrashes
}

// detectCrash reports a crash if a call broke because its runner crashed. A runner that is still
// running may also break a connection; only a crashed one refuses a new connection.
func (e *exchange) detectCrash(ctx context.Context, r *toucanhingev1.Runner, startedAt clock.Millis, err error) {
	probe := e.server.config.Client.Probe
	if probe == nil || errors.Is(err, errRunnerFailed) || errors.Is(err, errEventTimeout) || errors.Is(err, errMissingEvent) {
		return
	}
	running := clock.Millis(-1)
	if e.callFirstEventAt > 0 {
		running = e.now() - e.callFirstEventAt
	}
	phase := crashes.PhaseOf(running, e.now()-startedAt, e.route.Streams())
	ctx, cancel := context.WithTimeout(ctx, connectCheckTimeout)
	defer cancel()
	presence := probe(ctx, r)
	e.server.metrics.broken.WithLabelValues(string(presence)).Inc()
	level.Info(e.server.config.Logger).Log(logs.KeyEvent, logs.EventCallBroke, logs.KeyRequest, e.request.ID, "runner", r.GetId(),
		"presence", presence, "running-ms", running, "sent-ms", e.now()-startedAt, "suspect", phase != crashes.Late, "parts-suspect", !e.answered, logs.KeyError, err)
	if presence != runner.Gone {
		return
	}
	e.server.metrics.crashes.Inc()
	level.Info(e.server.config.Logger).Log(logs.KeyEvent, logs.EventRunnerCrashed, logs.KeyRequest, e.request.ID,
		logs.KeyFingerprint, e.requestFingerprint(), "runner", r.GetId(), "ran", e.runs, "running-ms", running,
		logs.KeyParts, e.request.SharedParts)
	if phase == crashes.Late {
		e.clearSuspicion()
	}
	e.server.config.Exchange.ReportCrash(r, e.requestFingerprint(), phase)
	if !e.answered {
		e.server.config.Exchange.ReportPartCrash(r, e.requestFingerprint(), e.request.SharedParts, e.callFirstEventAt == 0)
	}
}

// recordAnswer records that the runner answers the request and didn't crash when it began. A runner that crashes may
// have sent an event shortly before.
func (e *exchange) recordAnswer() {
	if e.answered || e.now()-e.callFirstEventAt < crashes.ConfirmedAnswer {
		return
	}
	e.answered = true
	e.server.config.Exchange.RecordAnswer(e.request.SharedParts, e.callFirstEventAt)
}

// recordSuccess records that the request was answered completely.
func (e *exchange) recordSuccess(answer *runner.Answer) {
	e.clearSuspicion()
	if !e.answered && answer.Status == http.StatusOK {
		e.answered = true
		e.server.config.Exchange.RecordAnswer(e.request.SharedParts, e.now())
	}
}

// clearSuspicion clears the suspicion of a request that ran without crashing its runner.
func (e *exchange) clearSuspicion() {
	if x := e.server.config.Exchange; x.HasSuspects() {
		x.RecordSuccess(e.requestFingerprint())
	}
}

// requestFingerprint returns the fingerprint of the request, which is computed on first use.
func (e *exchange) requestFingerprint() crashes.Fingerprint {
	if e.fingerprint == nil {
		fingerprint := crashes.FingerprintOf(e.request.Method, e.request.Host, e.request.Target, e.request.Body)
		e.fingerprint = &fingerprint
	}
	return *e.fingerprint
}
