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
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// connectCheckTimeout is how long a runner has to refuse a connection: a round trip between data
// centres, and scheduling delay on a slow VM. A retry is delayed by this time if the runner's VM is
// unreachable and answers nothing.
const connectCheckTimeout = 40 * time.Millisecond

// checkQuarantine refuses a request that crashes runners, independent of its ID and of the gateways
// that served it before. A suspected request waits until the crash reports of all gateways have
// arrived: otherwise a retry 70 ms after a crash would crash one more runner.
func (e *exchange) checkQuarantine(ctx context.Context) *Refusal {
	x := e.server.config.Exchange
	for x.HasSuspects() {
		verdict := x.CheckRequest(e.requestFingerprint())
		wait := (verdict.Until - e.now()).Duration()
		switch verdict.Status {
		case crashes.Quarantined:
			return &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonCrashes, RetryAfter: wait}
		case crashes.Allowed:
			return nil
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

// detectCrash reports a crash if a call broke because its runner crashed. A runner that is still
// running may also break a connection; only a crashed one refuses a new connection.
func (e *exchange) detectCrash(ctx context.Context, r *toucanhingev1.Runner, startedAt clock.Millis, err error) {
	refuses := e.server.config.Client.Refuses
	if refuses == nil || errors.Is(err, errRunnerFailed) || errors.Is(err, errEventTimeout) || errors.Is(err, errMissingEvent) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, connectCheckTimeout)
	defer cancel()
	if !refuses(ctx, r) {
		return
	}
	running := clock.Millis(-1)
	if e.callFirstEventAt > 0 {
		running = e.now() - e.callFirstEventAt
	}
	phase := crashes.PhaseOf(running, e.now()-startedAt, e.route.Streams())
	e.server.metrics.crashes.Inc()
	level.Info(e.server.config.Logger).Log(logs.KeyEvent, logs.EventRunnerCrashed, logs.KeyRequest, e.request.ID,
		logs.KeyFingerprint, e.requestFingerprint(), "runner", r.GetId(), "ran", e.runs, "running-ms", running,
		logs.KeyParts, e.request.SharedParts)
	if phase == crashes.Late {
		e.recordSuccess()
	}
	e.server.config.Exchange.ReportCrash(r, e.requestFingerprint(), phase)
}

// recordSuccess clears the suspicion of a request that ran without crashing its runner.
func (e *exchange) recordSuccess() {
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
