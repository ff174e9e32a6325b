package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/sidecar/pkg/admit"
	"toucanhinge.example/sidecar/pkg/engine"
)

// Resuming after a broken connection must not run the request again: the next attempt
// sends the last sequence number that the gateway has, and receives the remaining frames
// with continued numbering.
func TestResumeAfterBrokenConnection(t *testing.T) {
	f := newFixture(t, nil)
	f.backend.gate = make(chan struct{})
	first := f.run(request("r1", 1)).read(2)
	first.cancel()
	second := request("r1", 2)
	second.ResumeAfter = 1
	resumed := f.runAsync(second)
	close(f.backend.gate)
	rest := (<-resumed).readAll()
	rest.requireComplete(answerTextFrom(2))
	require.Equal(t, uint32(2), rest.last.GetAttempt())
	require.Equal(t, 1, f.backend.runCount("r1"))
}

// A gateway repeats an attempt because the start of the answer was lost, and again after
// the whole answer was sent. Both calls receive the whole answer; the request runs once.
func TestRepeatedAttemptIsNotRunAgain(t *testing.T) {
	f := newFixture(t, nil)
	f.run(request("r1", 1)).readAll().requireComplete(answerText)
	f.run(request("r1", 1)).readAll().requireComplete(answerText)
	require.Equal(t, 1, f.backend.totalRuns())
}

// After a restart, the sidecar has no record of the request, but the engine still retains
// its stream. The answer is resumed from that stream.
func TestResumeFromEngineAfterRestart(t *testing.T) {
	f := newFixture(t, nil)
	r := request("kept", 2)
	r.ResumeAfter = 2
	f.run(r).readAll().requireComplete(answerTextFrom(3))
	require.Zero(t, f.backend.runCount("kept"))
	r = request("unknown", 2)
	r.ResumeAfter = 2
	f.run(r).readAll().requireRefused(reasonResumeGone, toucanhingev1.Ran_RAN_YES)
}

// A gateway abandons an attempt and starts the request again on the same endpoint. The
// first attempt is cancelled at the engine by its own stream ID; the second runs under
// another ID.
func TestLaterAttemptSupersedesEarlier(t *testing.T) {
	f := newFixture(t, nil)
	f.backend.gate = make(chan struct{})
	f.run(request("r1", 1)).read(1)
	second := f.runAsync(request("r1", 2))
	f.eventually(func() bool { return f.backend.cancelCount("r1") == 1 })
	close(f.backend.gate)
	(<-second).readAll().requireComplete(answerText)
	require.Equal(t, 1, f.backend.runCount("r1.2"))
	f.run(request("r1", 1)).readAll().requireRefused(admit.ReasonDuplicate, toucanhingev1.Ran_RAN_UNKNOWN)
}

// A gateway cancels a running and a queued request. The running one is cancelled at the
// engine and frees its slot. The queued one never reaches the engine and is refused as not
// run.
func TestCancelRunningAndQueuedRequests(t *testing.T) {
	f := newFixture(t, nil)
	f.backend.gate = make(chan struct{})
	running := f.run(request("r1", 1)).read(1)
	f.run(request("r2", 1)).read(1)
	waiting := f.runAsync(request("r3", 1))
	f.eventually(func() bool { return f.dispatcher.Snapshot().Queued == 1 })
	cancel := func(id string) {
		_, err := f.client.Cancel(context.Background(), connect.NewRequest(&toucanhingev1.CancelRequest{RequestId: id, Attempt: 1}))
		require.NoError(t, err)
	}
	cancel("r3")
	(<-waiting).readAll().requireRefused(admit.ReasonCancelled, toucanhingev1.Ran_RAN_NO)
	cancel("r1")
	require.Equal(t, "cancelled", running.readAll().last.GetEnd().GetError())
	f.eventually(func() bool { return f.backend.cancelCount("r1") == 1 && f.dispatcher.Snapshot().Online == 1 })
	require.Zero(t, f.backend.runCount("r3"))
}

// A caller disconnects without a cancel. Its answer is cancelled after the retention time
// without a reader, because it would hold its slot until it ends.
func TestSweepCancelsUnreadAnswer(t *testing.T) {
	now := clock.System()
	f := newFixture(t, func(c *Config) { c.Retention = 50 })
	f.backend.gate = make(chan struct{})
	f.run(request("r1", 1)).read(1).cancel()
	f.eventually(func() bool {
		f.handler.Sweep(now.Now())
		return f.backend.cancelCount("r1") == 1 && f.dispatcher.Snapshot().Online == 0
	})
}

// A non-idempotent call to a plain service is resent: as the same attempt and as new
// attempts, while it runs, after it ended and after its answer was evicted. It must reach
// the service once, and no refusal may report that it was not run.
func TestNonIdempotentRunsOnce(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.Model, c.Retention = false, 1 })
	calls := make(chan struct{}, 10)
	release := make(chan struct{})
	f.backend.answer = func(w http.ResponseWriter, _ *http.Request) {
		calls <- struct{}{}
		<-release
		_, _ = io.WriteString(w, "paid")
	}
	nonIdempotent := func(attempt uint32) *toucanhingev1.RunRequest {
		r := request("pay", attempt)
		r.Idempotent, r.Stream = false, false
		return r
	}
	first := f.runAsync(nonIdempotent(1))
	<-calls
	f.run(nonIdempotent(2)).readAll().requireRefused(admit.ReasonDuplicate, toucanhingev1.Ran_RAN_UNKNOWN)
	close(release)
	require.Equal(t, "paid", (<-first).readAll().text)
	f.run(nonIdempotent(3)).readAll().requireRefused(admit.ReasonDuplicate, toucanhingev1.Ran_RAN_UNKNOWN)
	f.handler.Sweep(clock.System().Now() + 1_000_000)
	f.run(nonIdempotent(4)).readAll().requireRefused(admit.ReasonDuplicate, toucanhingev1.Ran_RAN_UNKNOWN)
	f.run(nonIdempotent(1)).readAll().requireRefused(admit.ReasonDuplicate, toucanhingev1.Ran_RAN_UNKNOWN)
	require.Empty(t, calls)
}

// When the deduplicator is full, evicting an entry could run a request twice, so a new
// request is refused as not run.
func TestFullDeduplicatorRefusesRequest(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.Model, c.Dedup.MaxRequests = false, 1 })
	f.backend.answer = func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "paid") }
	first, second := request("a", 1), request("b", 1)
	first.Idempotent, second.Idempotent = false, false
	require.Equal(t, "paid", f.run(first).readAll().text)
	f.run(second).readAll().requireRefused(reasonBusy, toucanhingev1.Ran_RAN_NO)
	require.Equal(t, 1, f.backend.runCount(""))
}

// A non-idempotent call could not connect to the service. It is reported as not run, and a
// retry must be able to run.
func TestUnreachableServiceAllowsRetry(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.Model = false })
	working := f.handler.config.Engine
	f.handler.config.Engine = engine.New(engine.Config{URL: closedPort(t)})
	nonIdempotent := func(attempt uint32) *toucanhingev1.RunRequest {
		r := request("pay", attempt)
		r.Idempotent = false
		return r
	}
	f.run(nonIdempotent(1)).readAll().requireRefused(ReasonUnreachable, toucanhingev1.Ran_RAN_NO)
	f.handler.config.Engine = working
	require.NotNil(t, f.run(nonIdempotent(2)).readAll().last.GetEnd())
	require.Equal(t, 1, f.backend.totalRuns())
}

// The process freezes between admission and the start of a request. The caller has timed
// out and may have been served elsewhere, so the request must not be sent.
func TestFrozenProcessDoesNotStartExpiredRequest(t *testing.T) {
	clockReads := &atomic.Int64{}
	f := newFixture(t, func(c *Config) {
		c.Clock = clock.FromFunc(func() clock.Millis {
			if clockReads.Add(1) == 1 {
				return clock.System().Now()
			}
			return clock.System().Now() + 3_600_000
		})
	})
	f.run(request("r1", 1)).readAll().requireRefused(admit.ReasonDeadline, toucanhingev1.Ran_RAN_NO)
	require.Zero(t, f.backend.totalRuns())
}

func closedPort(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return "http://" + l.Addr().String()
}

// Each failure must report correctly whether the request was run.
func TestFailuresReportWhetherRequestRan(t *testing.T) {
	closeConnection := func(w http.ResponseWriter, _ *http.Request) {
		connection, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = connection.Close()
		}
	}
	scenarios := []struct {
		name   string
		change func(*testing.T, *fixture, *toucanhingev1.RunRequest)
		reason string
		ran    toucanhingev1.Ran
		runs   int
	}{
		{"no budget", func(_ *testing.T, _ *fixture, r *toucanhingev1.RunRequest) { r.BudgetMs = 0 }, "deadline", toucanhingev1.Ran_RAN_NO, 0},
		{"deadline passed in transit", func(_ *testing.T, _ *fixture, r *toucanhingev1.RunRequest) { r.BudgetMs = -5 }, "deadline", toucanhingev1.Ran_RAN_NO, 0},
		{"no path", func(_ *testing.T, _ *fixture, r *toucanhingev1.RunRequest) { r.Path = "x" }, "malformed", toucanhingev1.Ran_RAN_NO, 0},
		{"no id", func(_ *testing.T, _ *fixture, r *toucanhingev1.RunRequest) { r.RequestId = "" }, "malformed", toucanhingev1.Ran_RAN_NO, 0},
		{"leaving", func(_ *testing.T, f *fixture, _ *toucanhingev1.RunRequest) { f.dispatcher.Submit(admit.Drain{}) }, "leaving", toucanhingev1.Ran_RAN_NO, 0},
		{"unhealthy", func(_ *testing.T, f *fixture, _ *toucanhingev1.RunRequest) {
			f.dispatcher.Submit(admit.Gate{Reason: admit.ReasonUnhealthy})
		}, "unhealthy", toucanhingev1.Ran_RAN_NO, 0},
		{"engine unreachable", func(t *testing.T, f *fixture, _ *toucanhingev1.RunRequest) {
			f.handler.config.Engine = engine.New(engine.Config{URL: closedPort(t)})
		}, "unreachable", toucanhingev1.Ran_RAN_NO, 0},
		{"engine closes connection after reading", func(_ *testing.T, f *fixture, _ *toucanhingev1.RunRequest) { f.backend.answer = closeConnection }, "broken", toucanhingev1.Ran_RAN_UNKNOWN, 1},
		{"deadline during answer", func(_ *testing.T, f *fixture, r *toucanhingev1.RunRequest) {
			f.backend.gate = make(chan struct{})
			r.BudgetMs = 200
		}, "deadline", toucanhingev1.Ran_RAN_YES, 1},
		{"no end mark", func(_ *testing.T, f *fixture, _ *toucanhingev1.RunRequest) {
			f.backend.answer = func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, "id: 1\ndata: t1\n\n")
			}
		}, "short", toucanhingev1.Ran_RAN_YES, 1},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			f := newFixture(t, nil)
			r := request("r1", 1)
			s.change(t, f, r)
			end := f.run(r).readAll().last
			reason, ran := end.GetRefusal().GetReason(), end.GetRefusal().GetRan()
			if end.GetEnd() != nil {
				reason, ran = end.GetEnd().GetError(), end.GetEnd().GetRan()
			}
			require.Equal(t, s.reason, reason)
			require.Equal(t, s.ran, ran)
			require.Equal(t, s.runs, f.backend.runCount("r1"))
		})
	}
}

// A slow reader receives the whole answer while the engine's output waits within a byte
// limit. Without the limit, a few slow callers would exhaust the memory.
func TestSlowReaderReceivesWholeAnswer(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.Model = false })
	big := strings.Repeat("0123456789abcdef", 64<<10)
	f.backend.answer = func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, big) }
	r := f.run(request("r1", 1))
	maxSize := 0
	for r.stream.Receive() {
		r.last = r.stream.Msg()
		r.text += string(r.last.GetData())
		if attempt := f.handler.registry.find("r1", 1); attempt != nil {
			maxSize = max(maxSize, attempt.answer.size())
		}
	}
	require.Len(t, r.text, len(big))
	require.Empty(t, r.last.GetEnd().GetError())
	require.LessOrEqual(t, maxSize, 64<<10)
}

// Two teams use the same request ID. Each receives its own answer, and a cancel that
// matches both requests cancels neither.
func TestTeamsCanUseSameRequestID(t *testing.T) {
	f := newFixture(t, nil)
	f.backend.gate = make(chan struct{})
	first := f.run(request("r1", 1))
	other := request("r1", 1)
	other.Team = "other"
	second := f.run(other)
	f.eventually(func() bool { return f.backend.runCount("r1") == 1 && f.backend.runCount("r1~2") == 1 })
	_, err := f.client.Cancel(context.Background(), connect.NewRequest(&toucanhingev1.CancelRequest{RequestId: "r1", Attempt: 1}))
	require.NoError(t, err)
	close(f.backend.gate)
	first.readAll().requireComplete(answerText)
	second.readAll().requireComplete(answerText)
}
