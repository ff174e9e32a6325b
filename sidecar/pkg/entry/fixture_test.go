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
	patience = 20 * time.Second
	look     = 2 * time.Millisecond
	tokens   = 6
)

// backend stands for the engine or plain service: it streams tokens, pausing
// after the second until it is released, and counts what reaches it.
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
		b.stream(w, r, after+1)
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
		b.stream(w, r, 1)
	})
	return mux
}

func (b *backend) stream(w http.ResponseWriter, r *http.Request, from int) {
	b.mu.Lock()
	gate := b.gate
	b.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	for n := from; n <= tokens; n++ {
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
	_, _ = fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", tokens+1)
}

func (b *backend) count(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// total counts what reached it under any name.
func (b *backend) total() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := 0
	for _, runs := range b.runs {
		all += runs
	}
	return all
}

func (b *backend) cancelled(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cancels[id]
}

type fixture struct {
	t       testing.TB
	backend *backend
	handler *Handler
	calls   toucanhingev1connect.EndpointServiceClient
	d       *dispatch.Dispatcher
	url     string
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
	f.d = dispatch.New(dispatch.Config{Clock: clock.System(), Machine: machine, Ring: ring.Config{Size: 64}})
	config := Config{
		Clock: clock.System(), Dispatcher: f.d, Engine: engine.New(engine.Config{URL: server.URL}), Endpoint: "e1", Model: true,
		MaxAnswerBytes: 64 << 10, MaxRetainedBytes: 1 << 20, Retention: 60_000, Dedup: plain.Config{MaxRequests: 100, Retention: 60_000},
		Load:       func() *toucanhingev1.Load { return &toucanhingev1.Load{Slots: 2} },
		TeamWeight: func(string) int { return 1 },
		OnRefused:    func(string, admit.Reason, toucanhingev1.Ran) {},
		OnStarted:    func(string, uint32) {},
		OnEnded:      func(string, string) {},
	}
	if change != nil {
		change(&config)
	}
	f.handler = New(config)
	ctx, cancel := context.WithCancel(context.Background())
	var duties sync.WaitGroup
	duties.Add(1)
	go func() { defer duties.Done(); f.d.Run(ctx) }()
	mux := http.NewServeMux()
	mux.Handle(f.handler.Mount())
	entry, err := web.Listen("127.0.0.1:0", mux)
	require.NoError(t, err)
	duties.Add(1)
	go func() { defer duties.Done(); _ = entry.Serve() }()
	f.calls = toucanhingev1connect.NewEndpointServiceClient(web.NewClient(), "http://"+entry.Address())
	t.Cleanup(func() {
		done, stop := context.WithCancel(context.Background())
		stop()
		_ = entry.Shutdown(done)
		cancel()
		duties.Wait()
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
	t      testing.TB
	stream *connect.ServerStreamForClient[toucanhingev1.Frame]
	cancel context.CancelFunc
	text   string
	last   *toucanhingev1.Frame
	next   uint64
}

func (f *fixture) run(r *toucanhingev1.RunRequest) *reader {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	f.t.Cleanup(cancel)
	stream, err := f.calls.Run(ctx, connect.NewRequest(r))
	require.NoError(f.t, err)
	return &reader{t: f.t, stream: stream, cancel: cancel, next: r.GetResumeAfter() + 1}
}

// begin runs a call that gets no frame for a while.
func (f *fixture) begin(r *toucanhingev1.RunRequest) <-chan *reader {
	started := make(chan *reader, 1)
	go func() { started <- f.run(r) }()
	return started
}

// read takes frames until the last one or until so many data frames came.
func (r *reader) read(most int) *reader {
	r.t.Helper()
	for count := 0; count < most && r.stream.Receive(); {
		r.last = r.stream.Msg()
		if data := r.last.GetData(); data != nil {
			require.Equal(r.t, r.next, r.last.GetSequence())
			r.next++
			r.text += string(data)
			count++
		}
	}
	return r
}

func (r *reader) all() *reader {
	r.t.Helper()
	return r.read(1 << 30)
}

func (r *reader) whole(text string) {
	r.t.Helper()
	require.Equal(r.t, text, r.text)
	require.NotNil(r.t, r.last.GetEnd(), "%v", r.last)
	require.Empty(r.t, r.last.GetEnd().GetError())
	require.Equal(r.t, uint64(tokens), r.last.GetEnd().GetFrames())
}

func (r *reader) refused(reason admit.Reason, ran toucanhingev1.Ran) {
	r.t.Helper()
	require.Equal(r.t, string(reason), r.last.GetRefusal().GetReason())
	require.Equal(r.t, ran, r.last.GetRefusal().GetRan())
	require.NotNil(r.t, r.last.GetLoad())
}

func (f *fixture) eventually(holds func() bool) {
	f.t.Helper()
	require.Eventually(f.t, holds, patience, look)
}

const answerText = "t1t2t3t4t5t6"

// from is the answer's text from a token on.
func from(n int) string {
	text := ""
	for ; n <= tokens; n++ {
		text += fmt.Sprintf("t%d", n)
	}
	return text
}
