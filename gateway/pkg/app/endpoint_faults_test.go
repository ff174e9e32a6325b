package app

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/gateway/pkg/config"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

var errSidecarFailed = connect.NewError(connect.CodeInternal, errors.New("the sidecar failed"))

// step handles one attempt in a sidecar. Its error ends the call.
type step func(ctx context.Context, b frameBuilder, out *connect.ServerStream[toucanhingev1.Frame]) error

// dataFrames returns a head and data frames with the given sequence numbers. Frame 1 contains "a", frame 2 "b", and
// so on.
func dataFrames(id string, sequences ...uint64) func(frameBuilder) []*toucanhingev1.Frame {
	return func(b frameBuilder) []*toucanhingev1.Frame {
		list := []*toucanhingev1.Frame{b.head(200, "text/event-stream")}
		for _, n := range sequences {
			list = append(list, b.data(n, chunk(id, string(rune('a'+n-1)))))
		}
		return list
	}
}

func sendStep(first func(frameBuilder) []*toucanhingev1.Frame, result error, more ...func(frameBuilder) *toucanhingev1.Frame) step {
	return func(_ context.Context, b frameBuilder, out *connect.ServerStream[toucanhingev1.Frame]) error {
		list := first(b)
		for _, m := range more {
			list = append(list, m(b))
		}
		if err := sendFrames(out, list...); err != nil {
			return err
		}
		return result
	}
}

func endFrame(count uint64) func(frameBuilder) *toucanhingev1.Frame {
	return func(b frameBuilder) *toucanhingev1.Frame { return b.end(count) }
}

func refuseStep(reason string, ran toucanhingev1.Ran) step {
	return func(_ context.Context, b frameBuilder, out *connect.ServerStream[toucanhingev1.Frame]) error {
		return out.Send(b.refusal(reason, ran, 700))
	}
}

func hangStep(first func(frameBuilder) []*toucanhingev1.Frame) step {
	return func(ctx context.Context, b frameBuilder, out *connect.ServerStream[toucanhingev1.Frame]) error {
		if err := sendFrames(out, first(b)...); err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	}
}

func foreignFrame(request string, attempt uint32) func(frameBuilder) *toucanhingev1.Frame {
	return func(b frameBuilder) *toucanhingev1.Frame {
		f := b.data(2, chunk("x", "FOREIGN"))
		if request != "" {
			f.RequestId = request
		}
		f.Attempt = attempt
		return f
	}
}

// runSteps makes the sidecars run the step with the number of the attempt, regardless of which sidecar gets it. The
// last step repeats.
func runSteps(steps []step, sidecars ...*fakeSidecar) {
	for _, f := range sidecars {
		f.run = func(ctx context.Context, r *toucanhingev1.RunRequest, out *connect.ServerStream[toucanhingev1.Frame]) error {
			index := min(int(r.GetAttempt()), len(steps)) - 1
			return steps[index](ctx, frameBuilder{request: r, software: f.software}, out)
		}
	}
}

func allRequests(sidecars ...*fakeSidecar) (all []*toucanhingev1.RunRequest) {
	for _, f := range sidecars {
		all = append(all, f.requests()...)
	}
	return all
}

// Endpoints fail in various ways during a stream. The caller must get either the text "abc" in order, ended by
// [DONE], or an explicit error event and no [DONE]. Each scenario makes the first attempts misbehave in one way.
func TestStreamIsCompleteOrEndsWithError(t *testing.T) {
	noFrames := func(frameBuilder) []*toucanhingev1.Frame { return nil }
	complete := sendStep(dataFrames("second", 1, 2, 3), nil, endFrame(3))
	rest := sendStep(dataFrames("first", 3), nil, endFrame(3))
	resumeGone := refuseStep("resume-gone", toucanhingev1.Ran_RAN_YES)
	scenarios := []struct {
		name     string
		steps    []step
		text     string
		complete bool
		attempts int
	}{
		{"responds correctly", []step{complete}, "abc", true, 1},
		{"duplicates frames", []step{sendStep(dataFrames("first", 1, 1, 2, 1, 2, 3, 3), nil, endFrame(3))}, "abc", true, 1},
		{"out of order", []step{sendStep(dataFrames("first", 3, 1, 2), nil, endFrame(3))}, "abc", true, 1},
		{"end before the last piece", []step{sendStep(dataFrames("first", 1, 2), nil, endFrame(3), func(b frameBuilder) *toucanhingev1.Frame { return b.data(3, chunk("first", "c")) })}, "abc", true, 1},
		{"two ends", []step{sendStep(dataFrames("first", 1, 2, 3), nil, endFrame(3), endFrame(1))}, "abc", true, 1},
		{"frames of another request", []step{sendStep(noFrames, nil, foreignFrame("other", 1), func(b frameBuilder) *toucanhingev1.Frame { return b.data(1, chunk("f", "abc")) }, endFrame(1))}, "abc", true, 1},
		{"frames of another attempt", []step{sendStep(noFrames, nil, foreignFrame("", 7), func(b frameBuilder) *toucanhingev1.Frame { return b.data(1, chunk("f", "abc")) }, endFrame(1))}, "abc", true, 1},
		{"refuses, not run", []step{refuseStep("queue-full", toucanhingev1.Ran_RAN_NO), complete}, "abc", true, 2},
		{"refuses, unknown", []step{refuseStep("duplicate", toucanhingev1.Ran_RAN_UNKNOWN), complete}, "abc", true, 2},
		{"engine's error status", []step{sendStep(func(b frameBuilder) []*toucanhingev1.Frame {
			return []*toucanhingev1.Frame{b.head(500, "text/plain"), b.data(1, "oops"), b.end(1)}
		}, nil), complete}, "abc", true, 2},
		{"fails before the first frame", []step{sendStep(noFrames, errSidecarFailed), complete}, "abc", true, 2},
		{"ends without an end frame", []step{sendStep(dataFrames("first", 1, 2), nil), rest}, "abc", true, 2},
		{"one frame missing, resumed at the same endpoint", []step{sendStep(dataFrames("first", 1, 2), nil, endFrame(3)), rest}, "abc", true, 2},
		{"end counts fewer frames than sent", []step{sendStep(dataFrames("first", 1, 2), nil, endFrame(1)), rest}, "abc", true, 2},
		{"ends with an error", []step{sendStep(dataFrames("first", 1, 2), nil, func(b frameBuilder) *toucanhingev1.Frame {
			f := b.end(2)
			f.GetEnd().Error = "engine-lost"
			return f
		}), rest}, "abc", true, 2},
		{"stalls, resumed elsewhere", []step{hangStep(dataFrames("first", 1, 2)), sendStep(dataFrames("second", 1), nil, endFrame(1))}, "aba", true, 2},
		{"fails, resume gone, resumed elsewhere", []step{sendStep(dataFrames("first", 1, 2), errSidecarFailed), resumeGone, sendStep(dataFrames("second", 1), nil, endFrame(1))}, "aba", true, 3},
		{"stalls, next refuses with unknown outcome", []step{hangStep(dataFrames("first", 1, 2)), refuseStep("duplicate", toucanhingev1.Ran_RAN_UNKNOWN), complete}, "ab", false, 2},
		{"fails repeatedly", []step{sendStep(dataFrames("first", 1, 2), errSidecarFailed), resumeGone, refuseStep("queue-full", toucanhingev1.Ran_RAN_NO)}, "ab", false, 3},
		{"sends [DONE] itself, then fails", []step{sendStep(dataFrames("first", 1, 2), errSidecarFailed, func(b frameBuilder) *toucanhingev1.Frame {
			return b.data(3, "[DONE]")
		}), resumeGone, refuseStep("queue-full", toucanhingev1.Ran_RAN_NO)}, "ab", false, 3},
		{"gap that is never filled", []step{sendStep(dataFrames("first", 1, 3), errSidecarFailed), resumeGone, refuseStep("queue-full", toucanhingev1.Ran_RAN_NO)}, "a", false, 3},
		{"refusal as not run after data", []step{sendStep(dataFrames("first", 1, 2), nil, func(b frameBuilder) *toucanhingev1.Frame {
			return b.refusal("queue-full", toucanhingev1.Ran_RAN_NO, 1)
		}), rest}, "abc", true, 2},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			a, b := newSidecar(t, "e1", service), newSidecar(t, "e2", service)
			runSteps(s.steps, a, b)
			g := startGateway(t, nil, a, b)
			r := g.send(http.MethodPost, chatPath, streamBody)
			text, done := r.joinedText()
			require.Equal(t, s.text, text, r.body)
			require.Equal(t, s.complete, done, r.body)
			require.Len(t, allRequests(a, b), s.attempts)
			if !s.complete {
				require.Contains(t, r.body, "event: error\n")
				require.Contains(t, r.body, `"reason":"answer-cut"`)
			}
		})
	}
}

// An endpoint stalls after "ab". The endpoint that resumes must get the text so far and a request for the remaining
// tokens only. Its chunks must carry the id of the first ones, otherwise the client library of the caller would see a
// second response.
func TestResumeSendsPartialTextToNextEndpoint(t *testing.T) {
	a, b := newSidecar(t, "e1", service), newSidecar(t, "e2", service)
	runSteps([]step{hangStep(dataFrames("first", 1, 2)), sendStep(dataFrames("second", 1), nil, endFrame(1))}, a, b)
	g := startGateway(t, nil, a, b)
	body := strings.Replace(streamBody, `"stream":true`, `"stream":true,"max_tokens":10`, 1)
	r := g.send(http.MethodPost, chatPath, body)
	_, done := r.joinedText()
	require.True(t, done, r.body)
	require.NotContains(t, r.body, `"second"`)
	require.Equal(t, 3, strings.Count(r.body, `"id":"first"`))
	var second *toucanhingev1.RunRequest
	for _, request := range allRequests(a, b) {
		if request.GetAttempt() == 2 {
			second = request
		}
	}
	require.JSONEq(t, `{"model":"`+model+`","stream":true,"max_tokens":8,"continue_final_message":true,"add_generation_prompt":false,
		"messages":[{"role":"user","content":"is parcel 7 under servitude?"},{"role":"assistant","content":"ab"}]}`, string(second.GetBody()))
	require.Zero(t, second.GetResumeAfter())
}

// A sidecar freezes in the middle of a stream: its connections stay open, but it no longer answers report calls. The
// unanswered reports must suffice to resume elsewhere, without waiting for the stall timeout or the pings of the
// connection.
func TestStreamResumesWhenSidecarFreezes(t *testing.T) {
	a, b := newSidecar(t, "e1", service), newSidecar(t, "e2", service)
	runSteps([]step{hangStep(dataFrames("first", 1, 2)), sendStep(dataFrames("second", 1), nil, endFrame(1))}, a, b)
	for _, f := range []*fakeSidecar{a, b} {
		f.load = func() *toucanhingev1.Load {
			if len(f.requests()) > 0 && f.requests()[0].GetAttempt() == 1 {
				return nil
			}
			return idleLoad()
		}
	}
	g := startGateway(t, func(s *config.Settings) { s.Retry.StallTimeout = 3_600_000 }, a, b)
	text, done := g.send(http.MethodPost, chatPath, streamBody).joinedText()
	require.Equal(t, "aba", text)
	require.True(t, done)
}

// A response that is not streamed is buffered until its end frame, so that a caller never gets a part of it and a
// failure before the end can still be retried.
func TestNonStreamedResponsesAndRetries(t *testing.T) {
	twoPieces := func(b frameBuilder) []*toucanhingev1.Frame {
		return []*toucanhingev1.Frame{b.head(201, "text/plain"), b.data(1, "one"), b.data(2, "two")}
	}
	good := sendStep(twoPieces, nil, endFrame(2))
	scenarios := []struct {
		name       string
		idempotent string
		steps      []step
		status     int
		reason     string
		run        string
		attempts   int
	}{
		{"good", "false", []step{good}, 201, "", "", 1},
		{"idempotent, fails in the middle", "true", []step{sendStep(twoPieces, errSidecarFailed), good}, 201, "", "", 2},
		{"idempotent, frame missing", "true", []step{sendStep(twoPieces, nil, endFrame(3)), good}, 201, "", "", 2},
		{"idempotent, all refuse", "true", []step{refuseStep("queue-full", toucanhingev1.Ran_RAN_NO)}, 503, "queue-full", "no", 2},
		{"idempotent, fails, then refused", "true", []step{sendStep(twoPieces, errSidecarFailed), refuseStep("queue-full", toucanhingev1.Ran_RAN_NO)}, 502, "unknown-outcome", "unknown", 2},
		{"not idempotent, fails before the first frame", "false", []step{sendStep(func(frameBuilder) []*toucanhingev1.Frame { return nil }, errSidecarFailed), good}, 502, "unknown-outcome", "unknown", 1},
		{"not idempotent, fails in the middle", "false", []step{sendStep(twoPieces, errSidecarFailed), good}, 502, "unknown-outcome", "unknown", 1},
		{"not idempotent, frame missing", "false", []step{sendStep(twoPieces, nil, endFrame(3)), good}, 502, "unknown-outcome", "unknown", 1},
		{"not idempotent, refused as not run", "false", []step{refuseStep("leaving", toucanhingev1.Ran_RAN_NO), good}, 201, "", "", 2},
		{"not idempotent, refused as not run after data", "false", []step{sendStep(twoPieces, nil, func(b frameBuilder) *toucanhingev1.Frame {
			return b.refusal("leaving", toucanhingev1.Ran_RAN_NO, 1)
		}), good}, 502, "unknown-outcome", "unknown", 1},
		{"not idempotent, run already", "false", []step{refuseStep("duplicate", toucanhingev1.Ran_RAN_YES), good}, 409, "already-run", "yes", 1},
		{"not idempotent, refused with unknown outcome", "false", []step{refuseStep("duplicate", toucanhingev1.Ran_RAN_UNKNOWN), good}, 502, "unknown-outcome", "unknown", 1},
		{"status 500 of a plain service is passed on", "true", []step{sendStep(func(b frameBuilder) []*toucanhingev1.Frame {
			return []*toucanhingev1.Frame{b.head(500, "text/plain"), b.data(1, "onetwo")}
		}, nil, endFrame(1)), good}, 500, "", "", 1},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			a, b := newSidecar(t, "p1", plainName), newSidecar(t, "p2", plainName)
			runSteps(s.steps, a, b)
			g := startGateway(t, nil, a, b)
			r := g.send(http.MethodPost, "/svc/"+plainName+"/visits", "{}", "X-Idempotent", s.idempotent, "Idempotency-Key", "k")
			require.Equal(t, s.status, r.status, r.body)
			require.Len(t, allRequests(a, b), s.attempts)
			for _, request := range allRequests(a, b) {
				for _, h := range request.GetHeaders() {
					require.NotEqual(t, "Idempotency-Key", h.GetName())
				}
			}
			if s.reason == "" {
				require.Equal(t, "onetwo", r.body)
				return
			}
			found := r.refusal(t)
			require.Equal(t, s.reason, found.Error.Reason)
			require.Equal(t, s.run, found.Error.Run)
			require.Equal(t, s.run == "no", r.header.Get("Retry-After") != "")
		})
	}
}

// The caller closes its connection in the middle of a stream. A sidecar retains the run of a lost stream so that it
// can be resumed, so the engine would continue in vain unless the gateway sends the sidecar a cancel call.
func TestCallerDisconnectCancelsRun(t *testing.T) {
	sidecar := newSidecar(t, "e1", service)
	runSteps([]step{hangStep(dataFrames("first", 1))}, sidecar)
	g := startGateway(t, nil, sidecar)
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, g.url+chatPath, strings.NewReader(streamBody))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+teamKey)
	resp, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	cancel()
	require.Eventually(t, func() bool {
		return len(sidecar.cancels()) == 1 && sidecar.cancels()[0].GetRequestId() == sidecar.requests()[0].GetRequestId()
	}, testTimeout, pollInterval)
}

// The endpoint accepts the request and sends nothing until the caller's deadline. The caller must get a refusal at
// that time, which states that the request may have been run.
func TestDeadlineExpiresAtUnresponsiveEndpoint(t *testing.T) {
	sidecar := newSidecar(t, "e1", service)
	runSteps([]step{hangStep(func(frameBuilder) []*toucanhingev1.Frame { return nil })}, sidecar)
	g := startGateway(t, nil, sidecar)
	r := g.send(http.MethodPost, chatPath, streamBody, "X-Deadline-Ms", "200")
	require.Equal(t, http.StatusGatewayTimeout, r.status)
	require.Equal(t, "deadline", r.refusal(t).Error.Reason)
	require.Equal(t, "unknown", r.refusal(t).Error.Run)
	require.Eventually(t, func() bool { return len(sidecar.cancels()) == 1 }, testTimeout, pollInterval)
}

// Every endpoint reports a wait of 30 s for new requests; the caller waits 1 s. Its request must be refused at once,
// with the time after which to retry.
func TestRequestIsRefusedWhenWaitExceedsDeadline(t *testing.T) {
	sidecar := newSidecar(t, "e1", service)
	sidecar.load = func() *toucanhingev1.Load {
		return &toucanhingev1.Load{Running: 8, Queued: 90, Slots: 8, Healthy: true, WaitMs: 30_000}
	}
	g := startGateway(t, nil, sidecar)
	require.Eventually(t, func() bool { return g.components.directory.Saturated(service) }, testTimeout, pollInterval)
	r := g.send(http.MethodPost, chatPath, streamBody, "X-Deadline-Ms", "1000")
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.Equal(t, "deadline", r.refusal(t).Error.Reason)
	require.Equal(t, "no", r.refusal(t).Error.Run)
	require.Equal(t, "30", r.header.Get("Retry-After"))
	require.Empty(t, sidecar.requests())
}

// An endpoint drains, as stated by its load reports or by its fleet entry. From then on, it must get no new requests.
func TestDrainingEndpointGetsNoRequests(t *testing.T) {
	a, b := newSidecar(t, "e1", service), newSidecar(t, "e2", service)
	var reports atomic.Int32
	a.load = func() *toucanhingev1.Load {
		reports.Add(1)
		return &toucanhingev1.Load{Slots: 8, Healthy: true, Leaving: true}
	}
	g := startGateway(t, nil, a, b)
	// The third report is requested only after the first response was applied.
	require.Eventually(t, func() bool { return reports.Load() >= 3 }, testTimeout, pollInterval)
	for range 20 {
		require.Equal(t, http.StatusOK, g.send(http.MethodPost, chatPath, streamBody).status)
	}
	require.Empty(t, a.requests())
	require.Len(t, b.requests(), 20)
	draining := b.entry()
	draining.GetMember().State = toucanhingev1.MemberState_MEMBER_STATE_LEAVING
	g.control.putEntries(draining)
	require.Eventually(t, func() bool {
		return g.send(http.MethodPost, chatPath, streamBody).status == http.StatusServiceUnavailable
	}, testTimeout, pollInterval)
}

// The only endpoint refuses a request because it can't meet its short deadline. That refusal must not make the
// endpoint look full to the next request, which has a longer deadline.
func TestDeadlineRefusalDoesNotMarkEndpointFull(t *testing.T) {
	sidecar := newSidecar(t, "e1", service)
	respond := sidecar.respondWith("all is well")
	sidecar.run = func(ctx context.Context, r *toucanhingev1.RunRequest, out *connect.ServerStream[toucanhingev1.Frame]) error {
		if r.GetBudgetMs() <= 5_000 {
			return out.Send(frameBuilder{request: r}.refusal("deadline", toucanhingev1.Ran_RAN_NO, 400))
		}
		return respond(ctx, r, out)
	}
	g := startGateway(t, nil, sidecar)
	urgent := g.send(http.MethodPost, chatPath, streamBody, "X-Deadline-Ms", "5000")
	require.Equal(t, "deadline", urgent.refusal(t).Error.Reason)
	require.Equal(t, "no", urgent.refusal(t).Error.Run)
	require.Equal(t, http.StatusOK, g.send(http.MethodPost, chatPath, streamBody).status)
	require.Empty(t, sidecar.cancels())
}

// The deadline is sent with the call in whole milliseconds, so the deadline at the endpoint expires slightly before
// that of the gateway, and the gateway sees the endpoint end the stream first. The refusal must still state that the
// deadline passed, and not that the endpoint failed.
func TestEndpointDeadlineExpiresBeforeGatewayDeadline(t *testing.T) {
	const deadline, early = 200 * time.Millisecond, 4 * time.Millisecond
	sidecar := newSidecar(t, "e1", service)
	runSteps([]step{func(ctx context.Context, _ frameBuilder, _ *connect.ServerStream[toucanhingev1.Frame]) error {
		expiry, _ := ctx.Deadline()
		time.Sleep(time.Until(expiry) - early)
		return nil
	}}, sidecar)
	g := startGateway(t, nil, sidecar)
	for range 5 {
		r := g.send(http.MethodPost, chatPath, streamBody, "X-Deadline-Ms", strconv.Itoa(int(deadline.Milliseconds())))
		require.Equal(t, http.StatusGatewayTimeout, r.status)
		require.Equal(t, "deadline", r.refusal(t).Error.Reason)
	}
}

// Guards against an answer of which engines of two software versions wrote a part each: it must end with an error.
func TestAnswerIsNotContinuedByOtherSoftware(t *testing.T) {
	for _, c := range []struct {
		name, first, second string
		continued           bool
	}{{"same software", "v1", "v1", true}, {"other software", "v1", "v2", false}, {"unknown software", "v1", "", false}} {
		t.Run(c.name, func(t *testing.T) {
			a, b := newSidecar(t, "e1", service), newSidecar(t, "e2", service)
			runSteps([]step{hangStep(dataFrames("first", 1, 2)), sendStep(dataFrames("second", 1), nil, endFrame(1))}, a, b)
			a.software, b.software = c.first, c.second
			for _, f := range []*fakeSidecar{a, b} {
				f.load = frameBuilder{software: f.software}.load
			}
			g := startGateway(t, nil, a, b)
			// The gateway must know the loads of both.
			time.Sleep(300 * time.Millisecond)
			_, done := g.send(http.MethodPost, chatPath, streamBody).joinedText()
			require.Equal(t, c.continued, done)
		})
	}
}
