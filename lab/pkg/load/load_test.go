package load

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/lab/pkg/engine"
)

func target(t *testing.T, config engine.Config) Target {
	t.Helper()
	e := engine.New(config)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); e.Run(ctx) }()
	server := httptest.NewServer(e.Handler())
	t.Cleanup(func() { server.Close(); stop(); <-done })
	return Target{URL: server.URL, Client: NewClient(64)}
}

func TestScheduleIsSeededAndKeepsItsMean(t *testing.T) {
	for _, shape := range []Shape{Poisson(1), FrequentBursts, RareBursts} {
		shape = shape.WithMean(200)
		first := shape.Schedule(5*time.Minute, 7)
		require.Equal(t, first, shape.Schedule(5*time.Minute, 7))
		require.InEpsilon(t, 200*300, len(first), 0.1)
		require.IsIncreasing(t, first)
	}
}

func TestWholeAnswersAreMeasured(t *testing.T) {
	there := target(t, engine.Config{Timing: engine.Timing{Speed: 20}})
	mix := Mix{Model: "m", UniqueBytes: 60, MinTokens: 5, MaxTokens: 5, Name: "w"}
	report := Run(context.Background(), Config{
		Target: func(int) Target { return there }, Make: mix.Make, Schedule: Poisson(100).Schedule(200*time.Millisecond, 1),
	})
	require.Positive(t, report.Calls)
	require.Equal(t, report.Calls, report.Complete, report.String())
	require.Equal(t, report.Calls*5, report.Tokens)
	require.Equal(t, int64(report.Calls*4), report.TokenGaps.Count())
}

// The server stalls on the first of ten calls which a closed loop would make
// one after the other: only one of its latencies would show the stall. The open
// loop starts all ten by the schedule, and each shows how long it was held up.
func TestStallIsCountedForEveryScheduledCall(t *testing.T) {
	free := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-free
		_, _ = w.Write([]byte("data: {\"choices\":[{\"delta\":{\"content\":\" a\"},\"finish_reason\":\"length\"}]}\n\ndata: [DONE]\n\n"))
	}))
	defer server.Close()
	time.AfterFunc(300*time.Millisecond, func() { close(free) })
	report := Run(context.Background(), Config{
		Target:   func(int) Target { return Target{URL: server.URL, Client: NewClient(10)} },
		Make:     Mix{UniqueBytes: 1, MinTokens: 1, Name: "s"}.Make,
		Schedule: make([]time.Duration, 10),
	})
	require.Equal(t, 10, report.Complete)
	require.Greater(t, report.FirstToken.Ms(5), 200.0)
}

func TestRefusalsAndCutsAreTold(t *testing.T) {
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
			there := target(t, engine.Config{Timing: engine.Timing{Speed: 20}, Faults: s.faults})
			report := Run(context.Background(), Config{
				Target: func(int) Target { return there }, Make: Mix{UniqueBytes: 9, MinTokens: 4, Name: "f"}.Make,
				Schedule: []time.Duration{0}, Resends: 2,
			})
			require.Zero(t, report.Complete)
			s.check(t, report)
		})
	}
}
