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

var errDies = connect.NewError(connect.CodeInternal, errors.New("the sidecar gives up"))

// step is what a sidecar does with one attempt; it returns how the call ends.
type step func(ctx context.Context, b frames, out *connect.ServerStream[toucanhingev1.Frame]) error

// pieces sends data frames "a", "b", "c" … with the given sequence numbers.
func pieces(id string, sequences ...uint64) func(frames) []*toucanhingev1.Frame {
	return func(b frames) []*toucanhingev1.Frame {
		list := []*toucanhingev1.Frame{b.head(200, "text/event-stream")}
		for _, n := range sequences {
			list = append(list, b.data(n, chunk(id, string(rune('a'+n-1)))))
		}
		return list
	}
}

func sends(first func(frames) []*toucanhingev1.Frame, then error, more ...func(frames) *toucanhingev1.Frame) step {
	return func(_ context.Context, b frames, out *connect.ServerStream[toucanhingev1.Frame]) error {
		list := first(b)
		for _, m := range more {
			list = append(list, m(b))
		}
		if err := send(out, list...); err != nil {
			return err
		}
		return then
	}
}

func ends(count uint64) func(frames) *toucanhingev1.Frame {
	return func(b frames) *toucanhingev1.Frame { return b.end(count) }
}

func refuses(reason string, ran toucanhingev1.Ran) step {
	return func(_ context.Context, b frames, out *connect.ServerStream[toucanhingev1.Frame]) error {
		return out.Send(b.refusal(reason, ran, 700))
	}
}

func hangs(first func(frames) []*toucanhingev1.Frame) step {
	return func(ctx context.Context, b frames, out *connect.ServerStream[toucanhingev1.Frame]) error {
		if err := send(out, first(b)...); err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	}
}

func foreign(request string, attempt uint32) func(frames) *toucanhingev1.Frame {
	return func(b frames) *toucanhingev1.Frame {
		f := b.data(2, chunk("x", "FOREIGN"))
		if request != "" {
			f.RequestId = request
		}
		f.Attempt = attempt
		return f
	}
}

// follow makes sidecars act by the attempt's number, whichever gets it; the last
// step repeats.
func follow(steps []step, sidecars ...*fakeSidecar) {
	for _, f := range sidecars {
		f.run = func(ctx context.Context, r *toucanhingev1.RunRequest, out *connect.ServerStream[toucanhingev1.Frame]) error {
			at := min(int(r.GetAttempt()), len(steps)) - 1
			return steps[at](ctx, frames{r}, out)
		}
	}
}

func given(sidecars ...*fakeSidecar) (all []*toucanhingev1.RunRequest) {
	for _, f := range sidecars {
		all = append(all, f.requests()...)
	}
	return all
}

// The caller reads one stream, whatever its endpoints do to it: the text "abc"
// in order and closed by [DONE], or an explicit error event and no [DONE]. Each
// line makes the first attempts misbehave in one way.
func TestStreamIsWholeOrSaysThatItIsNot(t *testing.T) {
	none := func(frames) []*toucanhingev1.Frame { return nil }
	whole := sends(pieces("second", 1, 2, 3), nil, ends(3))
	rest := sends(pieces("first", 3), nil, ends(3))
	gone := refuses("resume-gone", toucanhingev1.Ran_RAN_YES)
	scenarios := []struct {
		name     string
		steps    []step
		text     string
		whole    bool
		attempts int
	}{
		{"answers well", []step{whole}, "abc", true, 1},
		{"doubles frames", []step{sends(pieces("first", 1, 1, 2, 1, 2, 3, 3), nil, ends(3))}, "abc", true, 1},
		{"out of order", []step{sends(pieces("first", 3, 1, 2), nil, ends(3))}, "abc", true, 1},
		{"end before the last piece", []step{sends(pieces("first", 1, 2), nil, ends(3), func(b frames) *toucanhingev1.Frame { return b.data(3, chunk("first", "c")) })}, "abc", true, 1},
		{"two ends", []step{sends(pieces("first", 1, 2, 3), nil, ends(3), ends(1))}, "abc", true, 1},
		{"frames of another request", []step{sends(none, nil, foreign("other", 1), func(b frames) *toucanhingev1.Frame { return b.data(1, chunk("f", "abc")) }, ends(1))}, "abc", true, 1},
		{"frames of another attempt", []step{sends(none, nil, foreign("", 7), func(b frames) *toucanhingev1.Frame { return b.data(1, chunk("f", "abc")) }, ends(1))}, "abc", true, 1},
		{"refuses, not run", []step{refuses("queue-full", toucanhingev1.Ran_RAN_NO), whole}, "abc", true, 2},
		{"refuses, unknown", []step{refuses("duplicate", toucanhingev1.Ran_RAN_UNKNOWN), whole}, "abc", true, 2},
		{"engine's error status", []step{sends(func(b frames) []*toucanhingev1.Frame {
			return []*toucanhingev1.Frame{b.head(500, "text/plain"), b.data(1, "oops"), b.end(1)}
		}, nil), whole}, "abc", true, 2},
		{"breaks before anything", []step{sends(none, errDies), whole}, "abc", true, 2},
		{"ends without an end frame", []step{sends(pieces("first", 1, 2), nil), rest}, "abc", true, 2},
		{"short by one, resumed there", []step{sends(pieces("first", 1, 2), nil, ends(3)), rest}, "abc", true, 2},
		{"counts fewer than it sent", []step{sends(pieces("first", 1, 2), nil, ends(1)), rest}, "abc", true, 2},
		{"ends with an error", []step{sends(pieces("first", 1, 2), nil, func(b frames) *toucanhingev1.Frame {
			f := b.end(2)
			f.GetEnd().Error = "engine-lost"
			return f
		}), rest}, "abc", true, 2},
		{"stalls, goes on elsewhere", []step{hangs(pieces("first", 1, 2)), sends(pieces("second", 1), nil, ends(1))}, "aba", true, 2},
		{"dies, resume gone, goes on elsewhere", []step{sends(pieces("first", 1, 2), errDies), gone, sends(pieces("second", 1), nil, ends(1))}, "aba", true, 3},
		{"stalls, the next one can't say", []step{hangs(pieces("first", 1, 2)), refuses("duplicate", toucanhingev1.Ran_RAN_UNKNOWN), whole}, "ab", false, 2},
		{"dies again and again", []step{sends(pieces("first", 1, 2), errDies), gone, refuses("queue-full", toucanhingev1.Ran_RAN_NO)}, "ab", false, 3},
		{"says [DONE] itself, then dies", []step{sends(pieces("first", 1, 2), errDies, func(b frames) *toucanhingev1.Frame {
			return b.data(3, "[DONE]")
		}), gone, refuses("queue-full", toucanhingev1.Ran_RAN_NO)}, "ab", false, 3},
		{"a gap that never fills", []step{sends(pieces("first", 1, 3), errDies), gone, refuses("queue-full", toucanhingev1.Ran_RAN_NO)}, "a", false, 3},
		{"not run, said after data", []step{sends(pieces("first", 1, 2), nil, func(b frames) *toucanhingev1.Frame {
			return b.refusal("queue-full", toucanhingev1.Ran_RAN_NO, 1)
		}), rest}, "abc", true, 2},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			a, b := newSidecar(t, "e1", service), newSidecar(t, "e2", service)
			follow(s.steps, a, b)
			g := startGateway(t, nil, a, b)
			r := g.send(http.MethodPost, chatPath, streamBody)
			text, whole := r.text()
			require.Equal(t, s.text, text, r.body)
			require.Equal(t, s.whole, whole, r.body)
			require.Len(t, given(a, b), s.attempts)
			if !s.whole {
				require.Contains(t, r.body, "event: error\n")
				require.Contains(t, r.body, `"reason":"answer-cut"`)
			}
		})
	}
}

// An endpoint dies in the middle of "ab". The one that goes on must be told the
// text so far, asked for no more tokens than are left, and its pieces must carry
// the id that the caller knows, or the caller's library would see a second answer.
func TestResumeElsewhereHandsTheTextOver(t *testing.T) {
	a, b := newSidecar(t, "e1", service), newSidecar(t, "e2", service)
	follow([]step{hangs(pieces("first", 1, 2)), sends(pieces("second", 1), nil, ends(1))}, a, b)
	g := startGateway(t, nil, a, b)
	body := strings.Replace(streamBody, `"stream":true`, `"stream":true,"max_tokens":10`, 1)
	r := g.send(http.MethodPost, chatPath, body)
	_, whole := r.text()
	require.True(t, whole, r.body)
	require.NotContains(t, r.body, `"second"`)
	require.Equal(t, 3, strings.Count(r.body, `"id":"first"`))
	var second *toucanhingev1.RunRequest
	for _, request := range given(a, b) {
		if request.GetAttempt() == 2 {
			second = request
		}
	}
	require.JSONEq(t, `{"model":"`+model+`","stream":true,"max_tokens":8,"continue_final_message":true,"add_generation_prompt":false,
		"messages":[{"role":"user","content":"is parcel 7 under servitude?"},{"role":"assistant","content":"ab"}]}`, string(second.GetBody()))
	require.Zero(t, second.GetResumeAfter())
}

// A sidecar freezes in the middle of a stream: its connections stay open, and it
// answers no report. Its caller must not wait for the stall limit or for the
// connection's pings; the unanswered reports are enough to go on elsewhere.
func TestFrozenSidecarsStreamsGoOnElsewhere(t *testing.T) {
	a, b := newSidecar(t, "e1", service), newSidecar(t, "e2", service)
	follow([]step{hangs(pieces("first", 1, 2)), sends(pieces("second", 1), nil, ends(1))}, a, b)
	for _, f := range []*fakeSidecar{a, b} {
		f.load = func() *toucanhingev1.Load {
			if len(f.requests()) > 0 && f.requests()[0].GetAttempt() == 1 {
				return nil
			}
			return idle()
		}
	}
	g := startGateway(t, func(s *config.Settings) { s.Retry.StallTimeout = 3_600_000 }, a, b)
	text, whole := g.send(http.MethodPost, chatPath, streamBody).text()
	require.Equal(t, "aba", text)
	require.True(t, whole)
}

// A whole answer is held back until its end frame, so a caller never reads half
// of one, and a failure before it can still be retried.
func TestWholeAnswersAndNonIdempotentCalls(t *testing.T) {
	said := func(b frames) []*toucanhingev1.Frame {
		return []*toucanhingev1.Frame{b.head(201, "text/plain"), b.data(1, "one"), b.data(2, "two")}
	}
	good := sends(said, nil, ends(2))
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
		{"idempotent, dies in the middle", "true", []step{sends(said, errDies), good}, 201, "", "", 2},
		{"idempotent, short", "true", []step{sends(said, nil, ends(3)), good}, 201, "", "", 2},
		{"idempotent, all refuse", "true", []step{refuses("queue-full", toucanhingev1.Ran_RAN_NO)}, 503, "queue-full", "no", 2},
		{"idempotent, dies, then refused", "true", []step{sends(said, errDies), refuses("queue-full", toucanhingev1.Ran_RAN_NO)}, 502, "unknown-outcome", "unknown", 2},
		{"not idempotent, dies before anything", "false", []step{sends(func(frames) []*toucanhingev1.Frame { return nil }, errDies), good}, 502, "unknown-outcome", "unknown", 1},
		{"not idempotent, dies in the middle", "false", []step{sends(said, errDies), good}, 502, "unknown-outcome", "unknown", 1},
		{"not idempotent, short", "false", []step{sends(said, nil, ends(3)), good}, 502, "unknown-outcome", "unknown", 1},
		{"not idempotent, refused as not run", "false", []step{refuses("leaving", toucanhingev1.Ran_RAN_NO), good}, 201, "", "", 2},
		{"not idempotent, not run said after data", "false", []step{sends(said, nil, func(b frames) *toucanhingev1.Frame {
			return b.refusal("leaving", toucanhingev1.Ran_RAN_NO, 1)
		}), good}, 502, "unknown-outcome", "unknown", 1},
		{"not idempotent, run already", "false", []step{refuses("duplicate", toucanhingev1.Ran_RAN_YES), good}, 409, "already-run", "yes", 1},
		{"not idempotent, can't say", "false", []step{refuses("duplicate", toucanhingev1.Ran_RAN_UNKNOWN), good}, 502, "unknown-outcome", "unknown", 1},
		{"a plain service's 500 is its answer", "true", []step{sends(func(b frames) []*toucanhingev1.Frame {
			return []*toucanhingev1.Frame{b.head(500, "text/plain"), b.data(1, "onetwo")}
		}, nil, ends(1)), good}, 500, "", "", 1},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			a, b := newSidecar(t, "p1", plainName), newSidecar(t, "p2", plainName)
			follow(s.steps, a, b)
			g := startGateway(t, nil, a, b)
			r := g.send(http.MethodPost, "/svc/"+plainName+"/visits", "{}", "X-Idempotent", s.idempotent, "Idempotency-Key", "k")
			require.Equal(t, s.status, r.status, r.body)
			require.Len(t, given(a, b), s.attempts)
			for _, request := range given(a, b) {
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

// The caller closes its connection in the middle of a stream. The engine would
// go on for nobody: a sidecar keeps the run of a lost stream for a resume, so it
// must be told by a call of its own.
func TestCallerGoneIsToldToTheSidecar(t *testing.T) {
	sidecar := newSidecar(t, "e1", service)
	follow([]step{hangs(pieces("first", 1))}, sidecar)
	g := startGateway(t, nil, sidecar)
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, g.url+chatPath, strings.NewReader(streamBody))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+teamKey)
	answer, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = answer.Body.Close() }()
	cancel()
	require.Eventually(t, func() bool {
		return len(sidecar.cancels()) == 1 && sidecar.cancels()[0].GetRequestId() == sidecar.requests()[0].GetRequestId()
	}, patience, tick)
}

// The endpoint accepts the request and says nothing until the caller's deadline:
// the caller is told at that time, and that it may have run.
func TestDeadlinePassesWhileTheEndpointIsSilent(t *testing.T) {
	sidecar := newSidecar(t, "e1", service)
	follow([]step{hangs(func(frames) []*toucanhingev1.Frame { return nil })}, sidecar)
	g := startGateway(t, nil, sidecar)
	r := g.send(http.MethodPost, chatPath, streamBody, "X-Deadline-Ms", "200")
	require.Equal(t, http.StatusGatewayTimeout, r.status)
	require.Equal(t, "deadline", r.refusal(t).Error.Reason)
	require.Equal(t, "unknown", r.refusal(t).Error.Run)
	require.Eventually(t, func() bool { return len(sidecar.cancels()) == 1 }, patience, tick)
}

// Every endpoint says that a new request waits 30 s; the caller waits 1 s. It is
// refused at once, and told when to come back, instead of waiting for nothing.
func TestWhatCannotBeInTimeIsRefusedAtOnce(t *testing.T) {
	sidecar := newSidecar(t, "e1", service)
	sidecar.load = func() *toucanhingev1.Load {
		return &toucanhingev1.Load{Running: 8, Queued: 90, Slots: 8, Healthy: true, WaitMs: 30_000}
	}
	g := startGateway(t, nil, sidecar)
	require.Eventually(t, func() bool { return g.parts.directory.Saturated(service) }, patience, tick)
	r := g.send(http.MethodPost, chatPath, streamBody, "X-Deadline-Ms", "1000")
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.Equal(t, "deadline", r.refusal(t).Error.Reason)
	require.Equal(t, "no", r.refusal(t).Error.Run)
	require.Equal(t, "30", r.header.Get("Retry-After"))
	require.Empty(t, sidecar.requests())
}

// An endpoint leaves in the middle of the day: its load says so, or its entry
// does. Nothing new may go there from then on.
func TestLeavingEndpointGetsNothing(t *testing.T) {
	a, b := newSidecar(t, "e1", service), newSidecar(t, "e2", service)
	var told atomic.Int32
	a.load = func() *toucanhingev1.Load {
		told.Add(1)
		return &toucanhingev1.Load{Slots: 8, Healthy: true, Leaving: true}
	}
	g := startGateway(t, nil, a, b)
	// The third report is asked for after the first one's answer was taken.
	require.Eventually(t, func() bool { return told.Load() >= 3 }, patience, tick)
	for range 20 {
		require.Equal(t, http.StatusOK, g.send(http.MethodPost, chatPath, streamBody).status)
	}
	require.Empty(t, a.requests())
	require.Len(t, b.requests(), 20)
	leaving := b.entry()
	leaving.GetMember().State = toucanhingev1.MemberState_MEMBER_STATE_LEAVING
	g.control.put(leaving)
	require.Eventually(t, func() bool {
		return g.send(http.MethodPost, chatPath, streamBody).status == http.StatusServiceUnavailable
	}, patience, tick)
}

// A caller in a hurry is refused by the only endpoint, which can't make its
// deadline. The next caller has time: the first one's refusal must not make the
// endpoint look full to it.
func TestRefusalForOneDeadlineKeepsNobodyElseAway(t *testing.T) {
	sidecar := newSidecar(t, "e1", service)
	whole := sidecar.say("all is well")
	sidecar.run = func(ctx context.Context, r *toucanhingev1.RunRequest, out *connect.ServerStream[toucanhingev1.Frame]) error {
		if r.GetBudgetMs() <= 5_000 {
			return out.Send(frames{r}.refusal("deadline", toucanhingev1.Ran_RAN_NO, 400))
		}
		return whole(ctx, r, out)
	}
	g := startGateway(t, nil, sidecar)
	hurried := g.send(http.MethodPost, chatPath, streamBody, "X-Deadline-Ms", "5000")
	require.Equal(t, "deadline", hurried.refusal(t).Error.Reason)
	require.Equal(t, "no", hurried.refusal(t).Error.Run)
	require.Equal(t, http.StatusOK, g.send(http.MethodPost, chatPath, streamBody).status)
	require.Empty(t, sidecar.cancels())
}

// The deadline travels with the call as whole milliseconds, so the endpoint's runs out a
// moment before the gateway's own. The endpoint ends the stream then; the gateway hears of
// that first. The caller must still be told that its time is up, and not that the
// endpoint broke off.
func TestTheEndpointsDeadlineRunsOutFirst(t *testing.T) {
	const deadline, early = 200 * time.Millisecond, 4 * time.Millisecond
	sidecar := newSidecar(t, "e1", service)
	follow([]step{func(ctx context.Context, _ frames, _ *connect.ServerStream[toucanhingev1.Frame]) error {
		at, _ := ctx.Deadline()
		time.Sleep(time.Until(at) - early)
		return nil
	}}, sidecar)
	g := startGateway(t, nil, sidecar)
	for range 5 {
		r := g.send(http.MethodPost, chatPath, streamBody, "X-Deadline-Ms", strconv.Itoa(int(deadline.Milliseconds())))
		require.Equal(t, http.StatusGatewayTimeout, r.status)
		require.Equal(t, "deadline", r.refusal(t).Error.Reason)
	}
}
