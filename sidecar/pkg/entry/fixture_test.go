package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/ring"
	"toucanhinge.example/common/pkg/web"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
	"toucanhinge.example/sidecar/pkg/admit"
	"toucanhinge.example/sidecar/pkg/dispatch"
	"toucanhinge.example/sidecar/pkg/engine"
	"toucanhinge.example/sidecar/pkg/plain"
)

const (
	waitTimeout  = 20 * time.Second
	pollInterval = 2 * time.Millisecond
	tokenCount   = 6
)

// backend is a fake engine or plain service. It streams tokens, pauses after the second
// one until the gate opens, and counts runs and cancels.
type backend struct {
	mu      sync.Mutex
	runs    map[string]int
	cancels map[string]int
	gate    chan struct{}
	// answer replaces the stream when set.
	answer http.HandlerFunc
}

func (b *backend) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{id}/cancel", func(w http.ResponseWriter, r *http.Request) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.cancels[r.PathValue("id")]++
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /streams/{id}/resume", func(w http.ResponseWriter, r *http.Request) {
		if r.PathValue("id") != "kept" {
			http.Error(w, "unknown", http.StatusNotFound)
			return
		}
		after := 0
		_, _ = fmt.Sscan(r.URL.Query().Get("after"), &after)
		b.writeStream(w, r, after+1)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		b.mu.Lock()
		b.runs[r.Header.Get(engine.RequestIDHeader)]++
		answer := b.answer
		b.mu.Unlock()
		if answer != nil {
			answer(w, r)
			return
		}
		b.writeStream(w, r, 1)
	})
	return mux
}

func (b *backend) writeStream(w http.ResponseWriter, r *http.Request, from int) {
	b.mu.Lock()
	gate := b.gate
	b.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	for n := from; n <= tokenCount; n++ {
		if n == 3 && gate != nil {
			select {
			case <-gate:
			case <-r.Context().Done():
				return
			}
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: t%d\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", tokenCount+1)
}

func (b *backend) runCount(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// totalRuns returns the number of runs under any stream ID.
func (b *backend) totalRuns() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := 0
	for _, runs := range b.runs {
		total += runs
	}
	return total
}

func (b *backend) cancelCount(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cancels[id]
}

type fixture struct {
	t          testing.TB
	backend    *backend
	handler    *Handler
	client     toucanhingev1connect.EndpointServiceClient
	dispatcher *dispatch.Dispatcher
	url        string
}

func newFixture(t testing.TB, change func(*Config)) *fixture {
	t.Helper()
	f := &fixture{t: t, backend: &backend{runs: map[string]int{}, cancels: map[string]int{}}}
	server := httptest.NewServer(f.backend.handler())
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	f.url = server.URL
	machine := admit.New(admit.Config{Policy: admit.Yield, Slots: 2, MinSlots: 1, QueueLimit: 2, BatchSlots: 2, MaxPrefillTokens: 9, BurstWindow: 50, BurstHalfLife: 9})
	f.dispatcher = dispatch.New(dispatch.Config{Clock: clock.System(), Machine: machine, Ring: ring.Config{Size: 64}})
	config := Config{
		Clock: clock.System(), Dispatcher: f.dispatcher, Engine: engine.New(engine.Config{URL: server.URL}), Endpoint: "e1", Model: true,
		MaxAnswerBytes: 64 << 10, MaxRetainedBytes: 1 << 20, Retention: 60_000, Dedup: plain.Config{MaxRequests: 100, Retention: 60_000},
		Load:       func() *toucanhingev1.Load { return &toucanhingev1.Load{Slots: 2} },
		TeamWeight: func(string) int { return 1 },
		OnRefused:  func(string, admit.Reason, toucanhingev1.Ran) {},
		OnStarted:  func(string, uint32) {},
		OnEnded:    func(string, string) {},
	}
	if change != nil {
		change(&config)
	}
	f.handler = New(config)
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Add(1)
	go func() { defer tasks.Done(); f.dispatcher.Run(ctx) }()
	mux := http.NewServeMux()
	mux.Handle(f.handler.Mount())
	entry, err := web.Listen("127.0.0.1:0", mux)
	require.NoError(t, err)
	tasks.Add(1)
	go func() { defer tasks.Done(); _ = entry.Serve() }()
	f.client = toucanhingev1connect.NewEndpointServiceClient(web.NewClient(), "http://"+entry.Address())
	t.Cleanup(func() {
		done, stop := context.WithCancel(context.Background())
		stop()
		_ = entry.Shutdown(done)
		cancel()
		tasks.Wait()
	})
	return f
}

func request(id string, attempt uint32) *toucanhingev1.RunRequest {
	return &toucanhingev1.RunRequest{
		RequestId: id, Attempt: attempt, Team: "d", Method: http.MethodPost, Path: "/v1/completions", Body: []byte("{}"),
		BudgetMs: 60_000, Idempotent: true, Stream: true,
	}
}

// reader is one gateway's call.
type reader struct {
	t            testing.TB
	stream       *connect.ServerStreamForClient[toucanhingev1.Frame]
	cancel       context.CancelFunc
	text         string
	last         *toucanhingev1.Frame
	nextSequence uint64
}

func (f *fixture) run(r *toucanhingev1.RunRequest) *reader {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	f.t.Cleanup(cancel)
	stream, err := f.client.Run(ctx, connect.NewRequest(r))
	require.NoError(f.t, err)
	return &reader{t: f.t, stream: stream, cancel: cancel, nextSequence: r.GetResumeAfter() + 1}
}

// runAsync starts a call whose first frame is delayed.
func (f *fixture) runAsync(r *toucanhingev1.RunRequest) <-chan *reader {
	started := make(chan *reader, 1)
	go func() { started <- f.run(r) }()
	return started
}

// read receives frames until the last frame or maxFrames data frames have arrived.
func (r *reader) read(maxFrames int) *reader {
	r.t.Helper()
	for count := 0; count < maxFrames && r.stream.Receive(); {
		r.last = r.stream.Msg()
		if data := r.last.GetData(); data != nil {
			require.Equal(r.t, r.nextSequence, r.last.GetSequence())
			r.nextSequence++
			r.text += string(data)
			count++
		}
	}
	return r
}

func (r *reader) readAll() *reader {
	r.t.Helper()
	return r.read(1 << 30)
}

func (r *reader) requireComplete(text string) {
	r.t.Helper()
	require.Equal(r.t, text, r.text)
	require.NotNil(r.t, r.last.GetEnd(), "%v", r.last)
	require.Empty(r.t, r.last.GetEnd().GetError())
	require.Equal(r.t, uint64(tokenCount), r.last.GetEnd().GetFrames())
}

func (r *reader) requireRefused(reason admit.Reason, ran toucanhingev1.Ran) {
	r.t.Helper()
	require.Equal(r.t, string(reason), r.last.GetRefusal().GetReason())
	require.Equal(r.t, ran, r.last.GetRefusal().GetRan())
	require.NotNil(r.t, r.last.GetLoad())
}

func (f *fixture) eventually(condition func() bool) {
	f.t.Helper()
	require.Eventually(f.t, condition, waitTimeout, pollInterval)
}

const answerText = "t1t2t3t4t5t6"

// answerTextFrom returns the text of the answer starting at token n.
func answerTextFrom(n int) string {
	text := ""
	for ; n <= tokenCount; n++ {
		text += fmt.Sprintf("t%d", n)
	}
	return text
}
