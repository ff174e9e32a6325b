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
	"toucanhinge.example/common/pkg/partcrashes"
	"toucanhinge.example/common/pkg/runner"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// probeTimeout is how long a runner has to show whether it still runs after a call broke off: two round trips between data
// centres, and scheduling delay on a slow VM. A retry is delayed by this time if the runner's VM is unreachable and answers
// nothing.
const probeTimeout = 40 * time.Millisecond

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
	var verdict crashes.Verdict
	verdict, e.trials.request = x.CheckRequest(e.request.ID, e.requestFingerprint(), e.trials.request)
	if verdict.Status != crashes.Allowed {
		return verdict, ReasonCrashes
	}
	verdict, e.trials.parts = x.CheckParts(e.request.ID, partcrashes.Candidate{
		Request: e.requestFingerprint(), Parts: e.request.SharedParts, Trial: e.trials.parts,
	})
	return verdict, ReasonPartCrashes
}

// trials identify the trials that a request is: of itself at the end of its quarantine, and of suspected parts of its prompt; 0 for
// none.
type trials struct{ request, parts uint64 }

// beginTrials records that the request runs.
func (e *exchange) beginTrials() { e.trials, e.callTrials = trials{}, e.trials }

// returnTrials lets another request be the trial if this one was to be and reached no runner.
func (e *exchange) returnTrials() {
	if e.trials.request != 0 {
		e.server.config.Exchange.ReturnRequestTrial(e.requestFingerprint(), e.trials.request)
	}
	if e.trials.parts != 0 {
		e.server.config.Exchange.ReturnPartTrial(e.request.SharedParts, e.trials.parts)
	}
}

// brokenCall is a call that broke off, with what it says if its runner has crashed.
type brokenCall struct {
	runner  *toucanhingev1.Runner
	request string
	runs    int
	report  crashes.Report
	parts   partcrashes.Report
	// running is how long events had come, -1 for none.
	running clock.Millis
}

// detectCrash reports a crash if a call broke because its runner crashed. A runner that still runs may also break a
// connection.
func (e *exchange) detectCrash(ctx context.Context, r *toucanhingev1.Runner, startedAt clock.Millis, err error) {
	probe := e.server.config.Client.Probe
	if probe == nil || errors.Is(err, errRunnerFailed) || errors.Is(err, errEventTimeout) || errors.Is(err, errMissingEvent) {
		return
	}
	call := e.brokenCall(r, startedAt)
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	presence := probe(ctx, r)
	e.server.metrics.broken.WithLabelValues(string(presence)).Inc()
	level.Info(e.server.config.Logger).Log(logs.KeyEvent, logs.EventCallBroke, logs.KeyRequest, e.request.ID, "runner", r.GetId(),
		"presence", presence, "running-ms", call.running, "sent-ms", call.report.Ran,
		logs.KeyParts, e.request.SharedParts, logs.KeyError, err)
	switch presence {
	case runner.Gone:
		e.server.reportCrash(call)
	case runner.Silent, runner.Unknown:
		go e.server.recheck(call)
	case runner.Present:
	}
}

func (e *exchange) brokenCall(r *toucanhingev1.Runner, startedAt clock.Millis) brokenCall {
	now, crash := e.now(), crashes.CrashOf(r)
	call := brokenCall{runner: r, request: e.request.ID, runs: e.runs, running: -1}
	if e.callFirstEventAt > 0 {
		call.running = now - e.callFirstEventAt
	}
	call.report = crashes.Report{Crash: crash, Fingerprint: e.requestFingerprint(), Phase: crashes.Answering, Ran: now - startedAt, At: now, Trial: e.callTrials.request}
	if e.route.Streams() && e.callFirstEventAt == 0 {
		call.report.Phase = crashes.BeforeFirstEvent
	}
	call.parts = partcrashes.Report{
		Crash: crash, Request: e.requestFingerprint(), Parts: e.request.SharedParts, Unanswered: e.callFirstEventAt == 0, At: now,
		Ran: now - startedAt, Trial: e.callTrials.parts,
	}
	return call
}

// recheck probes the runner of a broken call again that gave no answer at first.
func (s *Server) recheck(call brokenCall) {
	presence := s.config.Client.ProbeAgain(call.runner)
	if !presence.IsKnown() {
		return
	}
	s.metrics.broken.WithLabelValues("later-" + string(presence)).Inc()
	if presence == runner.Gone {
		s.reportCrash(call)
	}
}

// reportCrash reports that the runner of a broken call has crashed.
func (s *Server) reportCrash(call brokenCall) {
	s.metrics.crashes.Inc()
	level.Info(s.config.Logger).Log(logs.KeyEvent, logs.EventRunnerCrashed, logs.KeyRequest, call.request,
		logs.KeyFingerprint, call.report.Fingerprint, "runner", call.runner.GetId(), "ran", call.runs, "running-ms", call.running,
		logs.KeyParts, call.parts.Parts)
	s.config.Exchange.ReportCrash(call.report)
	s.config.Exchange.ReportPartCrash(call.parts)
}

// recordBegin records that the runner answers the request and didn't crash when it began. A runner that crashes may have sent
// events before.
func (e *exchange) recordBegin() {
	if e.begun || e.now()-e.callFirstEventAt < crashes.ConfirmedAnswer {
		return
	}
	e.begun = true
	e.server.config.Exchange.RecordBegin(e.request.SharedParts, e.callFirstEventAt)
}

// recordSuccess records that the request was answered completely.
func (e *exchange) recordSuccess(answer *runner.Answer) {
	x := e.server.config.Exchange
	if x.HasSuspects() {
		e.server.clearSuspicion(e.requestFingerprint())
	}
	if answer.Status != http.StatusOK {
		return
	}
	beganAt := e.now()
	if e.callFirstEventAt > 0 {
		beganAt = e.callFirstEventAt
	}
	if !e.begun {
		e.begun = true
		x.RecordBegin(e.request.SharedParts, beganAt)
	}
	x.RecordAnswer(e.request.SharedParts, beganAt)
}

// clearSuspicion clears the suspicion of a request that ran without crashing its runner.
func (s *Server) clearSuspicion(fingerprint crashes.Fingerprint) {
	s.config.Exchange.RecordSuccess(fingerprint)
}

// requestFingerprint returns the fingerprint of the request, which is computed on first use.
func (e *exchange) requestFingerprint() crashes.Fingerprint {
	if e.fingerprint == nil {
		fingerprint := crashes.FingerprintOf(e.request.Method, e.request.Host, e.request.Target, e.request.Body)
		e.fingerprint = &fingerprint
	}
	return *e.fingerprint
}
