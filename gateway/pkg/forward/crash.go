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

// refusalTime is how long a runner has to refuse a connection: two ways between data centres
// and a slow VM's turn. The request waits so long before it goes on elsewhere, where a
// machine is cut off and answers nothing.
const refusalTime = 40 * time.Millisecond

// quarantined refuses a request that crashes the runners that run it, under whatever id and
// at whatever gateway it comes. One that is in doubt waits until all gateways have told what
// they know: without that, one that comes again 70 ms after a crash crashes a runner more.
func (e *exchange) quarantined(ctx context.Context) *Refusal {
	x := e.server.config.Exchange
	for x.HasSuspects() {
		verdict := x.CheckRequest(e.contentID())
		wait := (verdict.Until - e.now()).Duration()
		switch verdict.Status {
		case crashes.Quarantined:
			return &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonCrashes, RetryAfter: wait}
		case crashes.Allowed:
			return nil
		}
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

// sightCrash notes it if a call broke off because its runner crashed. A runner may also
// break one connection and live on; one that refuses a new connection at once doesn't.
func (e *exchange) sightCrash(ctx context.Context, r *toucanhingev1.Runner, began clock.Millis, err error) {
	refuses := e.server.config.Client.Refuses
	if refuses == nil || errors.Is(err, errStatus) || errors.Is(err, errSilent) || errors.Is(err, errGap) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, refusalTime)
	defer cancel()
	if !refuses(ctx, r) {
		return
	}
	running := clock.Millis(-1)
	if e.heardAt > 0 {
		running = e.now() - e.heardAt
	}
	sign := crashes.PhaseOf(running, e.now()-began, e.route.Streams())
	e.server.metrics.crashes.Inc()
	level.Info(e.server.config.Logger).Log(logs.KeyEvent, logs.EventRunnerCrashed, logs.KeyRequest, e.request.ID,
		logs.KeyFingerprint, e.contentID(), "runner", r.GetId(), "ran", e.ran, "running-ms", running)
	if sign == crashes.Late {
		e.survived()
	}
	e.server.config.Exchange.ReportCrash(r, e.contentID(), sign)
}

// survived clears a request that ran without crashing its runner, if it was suspected.
func (e *exchange) survived() {
	if x := e.server.config.Exchange; x.HasSuspects() {
		x.RecordSuccess(e.contentID())
	}
}

func (e *exchange) contentID() crashes.Fingerprint {
	if e.content == nil {
		content := crashes.FingerprintOf(e.request.Method, e.request.Host, e.request.Target, e.request.Body)
		e.content = &content
	}
	return *e.content
}
