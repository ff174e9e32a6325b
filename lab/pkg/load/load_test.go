package load

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/http1test"
	"toucanhinge.example/lab/pkg/engine"
)

func startTarget(t *testing.T, config engine.Config) Target {
	t.Helper()
	e := engine.New(config)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); e.Run(ctx) }()
	server := httptest.NewServer(e.Handler())
	t.Cleanup(func() { server.Close(); stop(); <-done })
	return Target{URL: server.URL, Client: NewClient(64)}
}

// Guards against a measurement that counts broken answers as served.
func TestBrokenAnswersAreFailures(t *testing.T) {
	const timeout = 5 * time.Second
	const text = `data: {"choices":[{"delta":{"content":"x"},"finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n"
	for _, c := range http1test.BrokenAnswers(text) {
		// A stream ends with its end mark.
		if c.HeadSound {
			continue
		}
		t.Run(c.Name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			target := Target{URL: "http://" + c.Server.Start(t), Client: NewClient(1)}
			outcome := target.Call(ctx, Request{Path: "/", ID: "q", Body: c.Request}, time.Now())
			require.NoError(t, ctx.Err(), "the caller waits for more of a broken answer")
			require.Error(t, outcome.Err)
			require.False(t, outcome.Complete)
			require.Zero(t, outcome.Status)
		})
	}
}

func TestScheduleIsDeterministicWithGivenMean(t *testing.T) {
	for _, shape := range []Shape{Poisson(1), FrequentBursts, RareBursts} {
		shape = shape.WithMean(200)
		first := shape.Schedule(5*time.Minute, 7)
		require.Equal(t, first, shape.Schedule(5*time.Minute, 7))
		require.InEpsilon(t, 200*300, len(first), 0.1)
		require.IsIncreasing(t, first)
	}
}

func TestCompleteResponsesAreMeasured(t *testing.T) {
	target := startTarget(t, engine.Config{Timing: engine.Timing{Speed: 20}})
	mix := Mix{Model: "m", UniqueBytes: 60, MinTokens: 5, MaxTokens: 5, Name: "w"}
	report := Run(context.Background(), Config{
		Target: func(int) Target { return target }, Make: mix.Make, Schedule: Poisson(100).Schedule(200*time.Millisecond, 1),
	})
	require.Positive(t, report.Calls)
	require.Equal(t, report.Calls, report.Complete, report.String())
	require.Equal(t, report.Calls*5, report.Tokens)
	require.Equal(t, int64(report.Calls*4), report.TokenGaps.Count())
}

// Guards against coordinated omission. The server stalls while ten calls are
// scheduled. A closed loop would send them one after the other and record the stall in
// only one latency. The open loop starts all ten on schedule, and each must record it.
func TestStallIsCountedForEveryScheduledCall(t *testing.T) {
	unblock := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-unblock
		_, _ = w.Write([]byte("data: {\"choices\":[{\"delta\":{\"content\":\" a\"},\"finish_reason\":\"length\"}]}\n\ndata: [DONE]\n\n"))
	}))
	defer server.Close()
	time.AfterFunc(300*time.Millisecond, func() { close(unblock) })
	report := Run(context.Background(), Config{
		Target:   func(int) Target { return Target{URL: server.URL, Client: NewClient(10)} },
		Make:     Mix{UniqueBytes: 1, MinTokens: 1, Name: "s"}.Make,
		Schedule: make([]time.Duration, 10),
	})
	require.Equal(t, 10, report.Complete)
	require.Greater(t, report.FirstToken.Ms(5), 200.0)
}

func TestRefusalsAndTruncationsAreReported(t *testing.T) {
	scenarios := []struct {
		name   string
		faults engine.Faults
		check  func(t *testing.T, r *Report)
	}{
		{"refusal", engine.Faults{Status: 503}, func(t *testing.T, r *Report) {
			require.Equal(t, map[string]int{"fault": 1}, r.Reasons)
			require.Equal(t, 3, r.Sends)
		}},
		{"short", engine.Faults{Short: true}, func(t *testing.T, r *Report) { require.Equal(t, 1, r.Failed()) }},
		{"cut", engine.Faults{Cut: true}, func(t *testing.T, r *Report) { require.Equal(t, 1, r.Failed()) }},
		{"garbage", engine.Faults{Garbage: true}, func(t *testing.T, r *Report) { require.Equal(t, 1, r.Failed()) }},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			target := startTarget(t, engine.Config{Timing: engine.Timing{Speed: 20}, Faults: s.faults})
			report := Run(context.Background(), Config{
				Target: func(int) Target { return target }, Make: Mix{UniqueBytes: 9, MinTokens: 4, Name: "f"}.Make,
				Schedule: []time.Duration{0}, Resends: 2,
			})
			require.Zero(t, report.Complete)
			s.check(t, report)
		})
	}
}
