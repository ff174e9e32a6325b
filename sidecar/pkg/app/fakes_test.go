package app

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/web"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
	"toucanhinge.example/sidecar/pkg/engine"
)

// fakeControl serves one configuration and a list of items in one group.
type fakeControl struct {
	toucanhingev1connect.UnimplementedFleetServiceHandler
	toucanhingev1connect.UnimplementedWorkServiceHandler
	mu      sync.Mutex
	entries []*toucanhingev1.Entry
	version uint64
	changed chan struct{}
	items   []*toucanhingev1.LeasedItem
	done    map[uint64]*toucanhingev1.Completion
	members []*toucanhingev1.Member
}

func newFakeControl(t *testing.T) (*fakeControl, string) {
	t.Helper()
	c := &fakeControl{version: 1, changed: make(chan struct{}), done: map[uint64]*toucanhingev1.Completion{}}
	mux := http.NewServeMux()
	mux.Handle(toucanhingev1connect.NewFleetServiceHandler(c))
	mux.Handle(toucanhingev1connect.NewWorkServiceHandler(c))
	s, err := web.Listen("127.0.0.1:0", mux)
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.Shutdown(ctx)
		<-served
	})
	return c, s.Address()
}

func (c *fakeControl) put(e *toucanhingev1.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	e.Version = c.version
	c.entries = append(c.entries, e)
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *fakeControl) Floor(
	context.Context, *connect.Request[toucanhingev1.FloorRequest],
) (*connect.Response[toucanhingev1.FloorResponse], error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return connect.NewResponse(&toucanhingev1.FloorResponse{Version: c.version, Groups: 2}), nil
}

func (c *fakeControl) Watch(
	ctx context.Context, _ *connect.Request[toucanhingev1.WatchRequest], stream *connect.ServerStream[toucanhingev1.WatchResponse],
) error {
	for {
		c.mu.Lock()
		update := &toucanhingev1.WatchResponse{Version: c.version, Whole: true, Entries: c.entries}
		changed := c.changed
		c.mu.Unlock()
		if err := stream.Send(update); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *fakeControl) Beat(
	_ context.Context, r *connect.Request[toucanhingev1.BeatRequest],
) (*connect.Response[toucanhingev1.BeatResponse], error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = append(c.members, r.Msg.GetMember())
	return connect.NewResponse(&toucanhingev1.BeatResponse{LeaseMs: 6000, Version: c.version, Current: true}), nil
}

func (c *fakeControl) lastState() toucanhingev1.MemberState {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.members) == 0 {
		return 0
	}
	return c.members[len(c.members)-1].GetState()
}

func (c *fakeControl) Lease(
	_ context.Context, r *connect.Request[toucanhingev1.LeaseRequest],
) (*connect.Response[toucanhingev1.LeaseResponse], error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := min(int(r.Msg.GetMost()), len(c.items))
	items := c.items[:count]
	c.items = c.items[count:]
	return connect.NewResponse(&toucanhingev1.LeaseResponse{Items: items, LeaseMs: 10_000, RetryMs: 50}), nil
}

func (c *fakeControl) Renew(
	context.Context, *connect.Request[toucanhingev1.RenewRequest],
) (*connect.Response[toucanhingev1.RenewResponse], error) {
	return connect.NewResponse(&toucanhingev1.RenewResponse{LeaseMs: 10_000}), nil
}

func (c *fakeControl) Complete(
	_ context.Context, r *connect.Request[toucanhingev1.CompleteRequest],
) (*connect.Response[toucanhingev1.CompleteResponse], error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	answer := &toucanhingev1.CompleteResponse{}
	for _, completion := range r.Msg.GetCompletions() {
		c.done[completion.GetIndex()] = completion
		answer.Verdicts = append(answer.Verdicts, toucanhingev1.Verdict_VERDICT_ACCEPTED)
	}
	return connect.NewResponse(answer), nil
}

func (c *fakeControl) completed(outcome toucanhingev1.Outcome) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, completion := range c.done {
		if completion.GetOutcome() == outcome {
			count++
		}
	}
	return count
}

// fakeEngine streams three tokens; while held it stops after the first.
type fakeEngine struct {
	mu      sync.Mutex
	posts   []string
	release chan struct{}
	held    engine.State
	ordered int
}

func newFakeEngine(t *testing.T) (*fakeEngine, string) {
	t.Helper()
	e := &fakeEngine{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("POST /plain", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Kind", "plain")
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write(append([]byte("got "), body...))
	})
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"running":0}`) })
	mux.HandleFunc("GET /orders", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		_ = json.NewEncoder(w).Encode(e.held)
	})
	mux.HandleFunc("POST /orders", func(_ http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		_ = json.NewDecoder(r.Body).Decode(&e.held)
		e.held.Loading = true
		e.ordered++
	})
	mux.HandleFunc("POST /streams/{id}/{how}", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return e, s.URL
}

// order tells how many orders came, and ends the loading when asked.
func (e *fakeEngine) order(loaded bool) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if loaded {
		e.held.Loading = false
	}
	return e.ordered
}

func (e *fakeEngine) hold() (release func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := make(chan struct{})
	e.release = held
	return func() { close(held) }
}

func (e *fakeEngine) chat(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	e.posts = append(e.posts, r.Header.Get("X-Request-Id"))
	release := e.release
	e.mu.Unlock()
	if !strings.Contains(string(body), `"stream":true`) {
		_ = json.NewEncoder(w).Encode(map[string]any{"object": "chat.completion"})
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= 3; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t%d\"}}]}\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
		if n == 1 && release != nil {
			select {
			case <-release:
			case <-r.Context().Done():
				return
			}
		}
	}
	_, _ = io.WriteString(w, "id: 4\ndata: [DONE]\n\n")
}
