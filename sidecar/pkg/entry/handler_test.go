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

// The connection of a gateway breaks in the middle of an answer. It calls again
// with the last sequence number it has, and gets the rest with the numbering
// going on. The engine runs the request once.
func TestResumeAfterABrokenConnection(t *testing.T) {
	f := newFixture(t, nil)
	f.backend.gate = make(chan struct{})
	first := f.run(request("r1", 1)).read(2)
	first.cancel()
	second := request("r1", 2)
	second.ResumeAfter = 1
	resumed := f.begin(second)
	close(f.backend.gate)
	rest := (<-resumed).all()
	rest.whole(from(2))
	require.Equal(t, uint32(2), rest.last.GetAttempt())
	require.Equal(t, 1, f.backend.count("r1"))
}

// A gateway repeats the same attempt, as its answer's start was lost, and again
// after all was sent. Both get the answer from the start; it ran once.
func TestSameAttemptAgainIsNotRunAgain(t *testing.T) {
	f := newFixture(t, nil)
	f.run(request("r1", 1)).all().whole(answerText)
	f.run(request("r1", 1)).all().whole(answerText)
	require.Equal(t, 1, f.backend.total())
}

// The sidecar was restarted: it knows nothing of the request, but the engine
// still holds its stream. The answer goes on from there.
func TestResumeThroughTheEngine(t *testing.T) {
	f := newFixture(t, nil)
	r := request("kept", 2)
	r.ResumeAfter = 2
	f.run(r).all().whole(from(3))
	require.Zero(t, f.backend.count("kept"))
	r = request("unknown", 2)
	r.ResumeAfter = 2
	f.run(r).all().refused(reasonResumeGone, toucanhingev1.Ran_RAN_YES)
}

// A gateway gives an attempt up and starts the request again here. The first is
// cancelled at the engine by its own name, the second runs under another.
func TestLaterAttemptSupersedes(t *testing.T) {
	f := newFixture(t, nil)
	f.backend.gate = make(chan struct{})
	f.run(request("r1", 1)).read(1)
	second := f.begin(request("r1", 2))
	f.eventually(func() bool { return f.backend.cancelled("r1") == 1 })
	close(f.backend.gate)
	(<-second).all().whole(answerText)
	require.Equal(t, 1, f.backend.count("r1.2"))
	f.run(request("r1", 1)).all().refused(admit.ReasonDuplicate, toucanhingev1.Ran_RAN_UNKNOWN)
}

// The caller has gone: the gateway cancels a request that runs and one that
// waits. The first is cancelled at the engine and frees its slot; the second
// never reaches the engine and is refused as not run.
func TestCancel(t *testing.T) {
	f := newFixture(t, nil)
	f.backend.gate = make(chan struct{})
	running := f.run(request("r1", 1)).read(1)
	f.run(request("r2", 1)).read(1)
	waiting := f.begin(request("r3", 1))
	f.eventually(func() bool { return f.d.Snapshot().Queued == 1 })
	cancel := func(id string) {
		_, err := f.calls.Cancel(context.Background(), connect.NewRequest(&toucanhingev1.CancelRequest{RequestId: id, Attempt: 1}))
		require.NoError(t, err)
	}
	cancel("r3")
	(<-waiting).all().refused(admit.ReasonCancelled, toucanhingev1.Ran_RAN_NO)
	cancel("r1")
	require.Equal(t, "cancelled", running.all().last.GetEnd().GetError())
	f.eventually(func() bool { return f.backend.cancelled("r1") == 1 && f.d.Snapshot().Online == 1 })
	require.Zero(t, f.backend.count("r3"))
}

// The caller has gone without a word. Nobody reads the answer for as long as one
// is kept, so it is stopped: it would hold its slot to the end.
func TestUnreadAnswerIsStopped(t *testing.T) {
	now := clock.System()
	f := newFixture(t, func(c *Config) { c.Retention = 50 })
	f.backend.gate = make(chan struct{})
	f.run(request("r1", 1)).read(1).cancel()
	f.eventually(func() bool {
		f.handler.Sweep(now.Now())
		return f.backend.cancelled("r1") == 1 && f.d.Snapshot().Online == 0
	})
}

// A plain service's call that may run only once is sent again: the same attempt,
// a new attempt, while it runs, after it ended, and after its answer was
// forgotten. It reaches the service once, and no refusal says that it was not run.
func TestNonIdempotentRunsOnce(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.Model, c.Retention = false, 1 })
	calls := make(chan struct{}, 10)
	release := make(chan struct{})
	f.backend.answer = func(w http.ResponseWriter, _ *http.Request) {
		calls <- struct{}{}
		<-release
		_, _ = io.WriteString(w, "paid")
	}
	once := func(attempt uint32) *toucanhingev1.RunRequest {
		r := request("pay", attempt)
		r.Idempotent, r.Stream = false, false
		return r
	}
	first := f.begin(once(1))
	<-calls
	f.run(once(2)).all().refused(admit.ReasonDuplicate, toucanhingev1.Ran_RAN_UNKNOWN)
	close(release)
	require.Equal(t, "paid", (<-first).all().text)
	f.run(once(3)).all().refused(admit.ReasonDuplicate, toucanhingev1.Ran_RAN_UNKNOWN)
	f.handler.Sweep(clock.System().Now() + 1_000_000)
	f.run(once(4)).all().refused(admit.ReasonDuplicate, toucanhingev1.Ran_RAN_UNKNOWN)
	f.run(once(1)).all().refused(admit.ReasonDuplicate, toucanhingev1.Ran_RAN_UNKNOWN)
	require.Empty(t, calls)
}

// The memory of started requests is full. Forgetting one could run it twice, so
// a new request is refused as not run.
func TestFullMemoryRefuses(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.Model, c.Dedup.MaxRequests = false, 1 })
	f.backend.answer = func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "paid") }
	first, second := request("a", 1), request("b", 1)
	first.Idempotent, second.Idempotent = false, false
	require.Equal(t, "paid", f.run(first).all().text)
	f.run(second).all().refused(reasonBusy, toucanhingev1.Ran_RAN_NO)
	require.Equal(t, 1, f.backend.count(""))
}

// A call that may run only once found nobody at the service's port. It was not
// run, so the gateway may send it again, and it is tried again.
func TestNotRunMayBeTriedAgain(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.Model = false })
	sound := f.handler.config.Engine
	f.handler.config.Engine = engine.New(engine.Config{URL: closedPort(t)})
	once := func(attempt uint32) *toucanhingev1.RunRequest {
		r := request("pay", attempt)
		r.Idempotent = false
		return r
	}
	f.run(once(1)).all().refused(ReasonUnreachable, toucanhingev1.Ran_RAN_NO)
	f.handler.config.Engine = sound
	require.NotNil(t, f.run(once(2)).all().last.GetEnd())
	require.Equal(t, 1, f.backend.total())
}

// The process is frozen between the decision to start and the start itself. Its
// caller has given up and may have been served elsewhere, so nothing is sent.
func TestThawedProcessStartsNothing(t *testing.T) {
	asked := &atomic.Int64{}
	f := newFixture(t, func(c *Config) {
		c.Clock = clock.FromFunc(func() clock.Millis {
			if asked.Add(1) == 1 {
				return clock.System().Now()
			}
			return clock.System().Now() + 3_600_000
		})
	})
	f.run(request("r1", 1)).all().refused(admit.ReasonDeadline, toucanhingev1.Ran_RAN_NO)
	require.Zero(t, f.backend.total())
}

func closedPort(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return "http://" + l.Addr().String()
}

// Refusals say truly whether the request was run.
func TestRefusedOrBroken(t *testing.T) {
	hangUp := func(w http.ResponseWriter, _ *http.Request) {
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
		{"no time left", func(_ *testing.T, _ *fixture, r *toucanhingev1.RunRequest) { r.BudgetMs = 0 }, "deadline", toucanhingev1.Ran_RAN_NO, 0},
		{"time ran out on the way", func(_ *testing.T, _ *fixture, r *toucanhingev1.RunRequest) { r.BudgetMs = -5 }, "deadline", toucanhingev1.Ran_RAN_NO, 0},
		{"no path", func(_ *testing.T, _ *fixture, r *toucanhingev1.RunRequest) { r.Path = "x" }, "malformed", toucanhingev1.Ran_RAN_NO, 0},
		{"no id", func(_ *testing.T, _ *fixture, r *toucanhingev1.RunRequest) { r.RequestId = "" }, "malformed", toucanhingev1.Ran_RAN_NO, 0},
		{"leaving", func(_ *testing.T, f *fixture, _ *toucanhingev1.RunRequest) { f.d.Submit(admit.Drain{}) }, "leaving", toucanhingev1.Ran_RAN_NO, 0},
		{"unhealthy", func(_ *testing.T, f *fixture, _ *toucanhingev1.RunRequest) {
			f.d.Submit(admit.Gate{Reason: admit.ReasonUnhealthy})
		}, "unhealthy", toucanhingev1.Ran_RAN_NO, 0},
		{"engine can't be reached", func(t *testing.T, f *fixture, _ *toucanhingev1.RunRequest) {
			f.handler.config.Engine = engine.New(engine.Config{URL: closedPort(t)})
		}, "unreachable", toucanhingev1.Ran_RAN_NO, 0},
		{"engine hangs up after reading", func(_ *testing.T, f *fixture, _ *toucanhingev1.RunRequest) { f.backend.answer = hangUp }, "broken", toucanhingev1.Ran_RAN_UNKNOWN, 1},
		{"deadline in the middle", func(_ *testing.T, f *fixture, r *toucanhingev1.RunRequest) {
			f.backend.gate = make(chan struct{})
			r.BudgetMs = 200
		}, "deadline", toucanhingev1.Ran_RAN_YES, 1},
		{"short", func(_ *testing.T, f *fixture, _ *toucanhingev1.RunRequest) {
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
			end := f.run(r).all().last
			reason, ran := end.GetRefusal().GetReason(), end.GetRefusal().GetRan()
			if end.GetEnd() != nil {
				reason, ran = end.GetEnd().GetError(), end.GetEnd().GetRan()
			}
			require.Equal(t, s.reason, reason)
			require.Equal(t, s.ran, ran)
			require.Equal(t, s.runs, f.backend.count("r1"))
		})
	}
}

// A caller reads slowly. The engine's answer waits for it within a bound, and
// all of it arrives; without the bound a few slow callers would fill the memory.
func TestSlowReaderGetsAll(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.Model = false })
	big := strings.Repeat("0123456789abcdef", 64<<10)
	f.backend.answer = func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, big) }
	r := f.run(request("r1", 1))
	held := 0
	for r.stream.Receive() {
		r.last = r.stream.Msg()
		r.text += string(r.last.GetData())
		if attempt := f.handler.registry.find("r1", 1); attempt != nil {
			held = max(held, attempt.answer.size())
		}
	}
	require.Len(t, r.text, len(big))
	require.Empty(t, r.last.GetEnd().GetError())
	require.LessOrEqual(t, held, 64<<10)
}

// Two teams chose the same id. Each gets its own answer, and a cancel that could
// mean either stops neither.
func TestTeamsMayShareAnID(t *testing.T) {
	f := newFixture(t, nil)
	f.backend.gate = make(chan struct{})
	first := f.run(request("r1", 1))
	other := request("r1", 1)
	other.Team = "other"
	second := f.run(other)
	f.eventually(func() bool { return f.backend.count("r1") == 1 && f.backend.count("r1~2") == 1 })
	_, err := f.calls.Cancel(context.Background(), connect.NewRequest(&toucanhingev1.CancelRequest{RequestId: "r1", Attempt: 1}))
	require.NoError(t, err)
	close(f.backend.gate)
	first.all().whole(answerText)
	second.all().whole(answerText)
}
