package work

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
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/control"
	"toucanhinge.example/common/pkg/job"
	"toucanhinge.example/common/pkg/ring"
	"toucanhinge.example/common/pkg/web"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
	"toucanhinge.example/sidecar/pkg/admit"
	"toucanhinge.example/sidecar/pkg/dispatch"
	"toucanhinge.example/sidecar/pkg/engine"
)

const (
	waitTimeout  = 20 * time.Second
	pollInterval = 2 * time.Millisecond
	chatBody     = `{"messages":[{"role":"user","content":"x"}],"max_tokens":4}`
)

// fakeControl is a control VM that leases each of its items once and stores the
// completions.
type fakeControl struct {
	toucanhingev1connect.UnimplementedWorkServiceHandler
	mu        sync.Mutex
	items     []*toucanhingev1.LeasedItem
	completed []*toucanhingev1.Completion
	leaseMS   int64
	revoked   []uint64
	// dropReplies is the number of Complete calls that fail after their completions
	// have been stored.
	dropReplies int
}

func (c *fakeControl) Lease(
	_ context.Context, r *connect.Request[toucanhingev1.LeaseRequest],
) (*connect.Response[toucanhingev1.LeaseResponse], error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := min(len(c.items), int(r.Msg.GetMost()))
	items := c.items[:count]
	c.items = c.items[count:]
	return connect.NewResponse(&toucanhingev1.LeaseResponse{Items: items, LeaseMs: c.leaseMS, RetryMs: 20}), nil
}

func (c *fakeControl) Renew(
	_ context.Context, _ *connect.Request[toucanhingev1.RenewRequest],
) (*connect.Response[toucanhingev1.RenewResponse], error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return connect.NewResponse(&toucanhingev1.RenewResponse{LeaseMs: c.leaseMS, Revoked: c.revoked}), nil
}

func (c *fakeControl) Complete(
	_ context.Context, r *connect.Request[toucanhingev1.CompleteRequest],
) (*connect.Response[toucanhingev1.CompleteResponse], error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.completed = append(c.completed, r.Msg.GetCompletions()...)
	if c.dropReplies > 0 {
		c.dropReplies--
		return nil, connect.NewError(connect.CodeInternal, io.ErrUnexpectedEOF)
	}
	answer := &toucanhingev1.CompleteResponse{}
	for range r.Msg.GetCompletions() {
		answer.Verdicts = append(answer.Verdicts, toucanhingev1.Verdict_VERDICT_ACCEPTED)
	}
	return connect.NewResponse(answer), nil
}

func (c *fakeControl) completions() []*toucanhingev1.Completion {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*toucanhingev1.Completion(nil), c.completed...)
}

// fakeEngine is an engine whose streams wait after the second token until the gate is
// closed, and end there if they are suspended. Suspended streams can be resumed, except
// if forgetsStreams is set.
type fakeEngine struct {
	mu             sync.Mutex
	posts          int
	resumes        int
	cancels        int
	forgetsStreams bool
	gate           chan struct{}
	suspended      chan struct{}
	answer         http.HandlerFunc
}

func (e *fakeEngine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		e.mu.Lock()
		e.posts++
		answer := e.answer
		e.mu.Unlock()
		if answer != nil {
			answer(w, r)
			return
		}
		e.stream(w, r, 1)
	})
	mux.HandleFunc("POST /streams/{id}/{how}", func(_ http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		if r.PathValue("how") == "cancel" {
			e.cancels++
			e.mu.Unlock()
			return
		}
		close(e.suspended)
		e.suspended = make(chan struct{})
		e.mu.Unlock()
		// The stream ends before this answer arrives, which leaves a reader enough
		// time to mistake the end for a broken connection and resume the stream.
		time.Sleep(50 * time.Millisecond)
	})
	mux.HandleFunc("GET /streams/{id}/resume", func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		e.resumes++
		forgets := e.forgetsStreams
		e.mu.Unlock()
		after := 0
		_, _ = fmt.Sscan(r.URL.Query().Get("after"), &after)
		if forgets {
			http.Error(w, "unknown", http.StatusNotFound)
			return
		}
		e.stream(w, r, after+1)
	})
	return mux
}

func (e *fakeEngine) stream(w http.ResponseWriter, r *http.Request, from int) {
	e.mu.Lock()
	gate, suspended := e.gate, e.suspended
	e.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	for n := from; n <= 4; n++ {
		if n == 3 && gate != nil {
			select {
			case <-gate:
			case <-suspended:
				return
			case <-r.Context().Done():
				return
			}
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"id\":\"c\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t%d\"}}]}\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
	}
	_, _ = io.WriteString(w, "id: 5\ndata: [DONE]\n\n")
}

func (e *fakeEngine) counts() (posts, resumes, cancels int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.posts, e.resumes, e.cancels
}

type fixture struct {
	t           *testing.T
	control     *fakeControl
	engine      *fakeEngine
	dispatcher  *dispatch.Dispatcher
	puller      *Puller
	unreachable chan struct{}
	now         func() clock.Millis
}

func newFixture(t *testing.T, bodies ...string) *fixture {
	t.Helper()
	f := &fixture{
		t: t, control: &fakeControl{leaseMS: 60_000}, engine: &fakeEngine{suspended: make(chan struct{})},
		unreachable: make(chan struct{}, 100), now: clock.System().Now,
	}
	for n, body := range bodies {
		f.control.items = append(f.control.items, &toucanhingev1.LeasedItem{Job: "j", Index: uint64(n), Lease: 7, Attempt: 1, Body: []byte(body)})
	}
	return f
}

// start runs the Puller with the engine at the URL, or with the fixture's engine if the
// URL is empty.
func (f *fixture) start(url string) *fixture {
	f.t.Helper()
	mux := http.NewServeMux()
	mux.Handle(toucanhingev1connect.NewWorkServiceHandler(f.control))
	server, err := web.Listen("127.0.0.1:0", mux)
	require.NoError(f.t, err)
	engines := httptest.NewServer(f.engine.handler())
	if url == "" {
		url = engines.URL
	}
	fixtureClock := clock.FromFunc(func() clock.Millis { return f.now() })
	machine := admit.New(admit.Config{Policy: admit.Yield, Slots: 1, MinSlots: 1, QueueLimit: 2, BatchSlots: 1, MaxPrefillTokens: 999, BatchWeight: 100, BurstHalfLife: 1})
	f.dispatcher = dispatch.New(dispatch.Config{Clock: fixtureClock, Machine: machine, Ring: ring.Config{Size: 64}})
	f.puller = New(Config{
		Clock: fixtureClock, Logger: log.NewNopLogger(), Dispatcher: f.dispatcher, Engine: engine.New(engine.Config{URL: url}),
		Control: control.New(control.Config{Addresses: []string{server.Address()}, HTTP: web.NewClient()}),
		Leases:  LeaseManagerConfig{MaxItems: 4, MaxPerRequest: 4, FlushDelay: 1, FlushSize: 64}, Name: "e1", Service: "s", MaxResultBytes: 4_000,
		OnUnreachable: func() { f.unreachable <- struct{}{} }, RecordEvent: func(string, string, string) {},
	})
	f.puller.SetGroupCount(job.FirstGroup + 1)
	f.puller.SetOpen(true)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = server.Serve() })
	wg.Go(func() { f.dispatcher.Run(ctx) })
	wg.Go(func() { f.puller.Run(ctx) })
	f.t.Cleanup(func() {
		cancel()
		expired, expire := context.WithCancel(context.Background())
		expire()
		_ = server.Shutdown(expired)
		engines.CloseClientConnections()
		engines.Close()
		wg.Wait()
	})
	return f
}

func (f *fixture) eventually(holds func() bool) {
	f.t.Helper()
	require.Eventually(f.t, holds, waitTimeout, pollInterval)
}

func (f *fixture) firstCompletion() *toucanhingev1.Completion {
	f.t.Helper()
	f.eventually(func() bool { return len(f.control.completions()) > 0 })
	return f.control.completions()[0]
}

// startOnline starts an online request in the only slot. release ends the request.
func (f *fixture) startOnline() (release func()) {
	f.t.Helper()
	id := f.dispatcher.NextID()
	started := make(chan admit.Action, 2)
	require.True(f.t, f.dispatcher.SubmitRequest(admit.Arrive{ID: id, Deadline: 1 << 50}, func(a admit.Action) { started <- a }))
	select {
	case a := <-started:
		require.Equal(f.t, admit.Start, a.Verb)
	case <-time.After(waitTimeout):
		f.t.Fatal("online request got no slot")
	}
	return func() { f.dispatcher.Submit(admit.Finished{ID: id}) }
}

func answerText(t *testing.T, body []byte) string {
	t.Helper()
	var answer assembledAnswer
	require.NoError(t, json.Unmarshal(body, &answer))
	require.Equal(t, "chat.completion", answer.Object)
	require.Len(t, answer.Choices, 1)
	return answer.Choices[0].Message.Content
}

// An item has received its second token when an online request needs the slot. The item
// is suspended, the request runs, and the item resumes with its third token: its result
// is complete and it was started once. If the engine has lost the stream, the item is
// started again and its tokens are counted as lost.
func TestItemYieldsToOnlineAndResumes(t *testing.T) {
	scenarios := []struct {
		name    string
		forgets bool
		posts   int
		lost    uint64
	}{{"stream retained", false, 1, 0}, {"stream lost", true, 2, 2}}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			f := newFixture(t, chatBody)
			f.engine.gate, f.engine.forgetsStreams = make(chan struct{}), s.forgets
			f.start("")
			f.eventually(func() bool { posts, _, _ := f.engine.counts(); return posts == 1 && f.dispatcher.Snapshot().Batch == 1 })
			f.eventually(func() bool { return f.chunkCount() == 2 })
			release := f.startOnline()
			require.Equal(t, 1, f.dispatcher.Snapshot().Suspended)
			close(f.engine.gate)
			release()
			completion := f.firstCompletion()
			require.Equal(t, toucanhingev1.Outcome_OUTCOME_DONE, completion.GetOutcome())
			require.Equal(t, "t1t2t3t4", answerText(t, completion.GetBody()))
			posts, resumes, _ := f.engine.counts()
			require.Equal(t, s.posts, posts)
			require.Equal(t, 1, resumes)
			f.eventually(func() bool { return f.dispatcher.Snapshot().Stats.TokensLost == s.lost })
		})
	}
}

// chunkCount returns the number of tokens received by all runs.
func (f *fixture) chunkCount() int {
	count := make(chan int, 1)
	f.puller.submit(func(clock.Millis) []Action {
		total := 0
		for _, r := range f.puller.runs {
			total += int(r.chunkCount.Load())
		}
		count <- total
		return nil
	})
	return <-count
}

// Each kind of engine answer leads to exactly one outcome with its reason.
func TestOutcomesOfEngineAnswers(t *testing.T) {
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { http.Error(w, `{}`, code) }
	}
	stream := func(raw string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, raw)
		}
	}
	chunk := `data: {"choices":[{"index":0,"delta":{"content":"%s"}}]}` + "\n\n"
	scenarios := []struct {
		name    string
		body    string
		answer  http.HandlerFunc
		outcome toucanhingev1.Outcome
		reason  string
	}{
		{"complete", chatBody, nil, toucanhingev1.Outcome_OUTCOME_DONE, ""},
		{"not JSON", `{"messages"`, nil, toucanhingev1.Outcome_OUTCOME_FAILED, "malformed"},
		{"neither chat nor completion", `{"x":1}`, nil, toucanhingev1.Outcome_OUTCOME_FAILED, "malformed"},
		{"permanent error status", chatBody, status(400), toucanhingev1.Outcome_OUTCOME_FAILED, "status-400"},
		{"too many requests", chatBody, status(429), toucanhingev1.Outcome_OUTCOME_RETRY, "status-429"},
		{"internal error", chatBody, status(500), toucanhingev1.Outcome_OUTCOME_RETRY, "status-500"},
		{"incomplete stream", chatBody, stream(fmt.Sprintf(chunk, "a")), toucanhingev1.Outcome_OUTCOME_RETRY, "short"},
		{"invalid chunk", chatBody, stream("data: <<\n\ndata: [DONE]\n\n"), toucanhingev1.Outcome_OUTCOME_RETRY, "garbage"},
		{"empty stream", chatBody, stream("data: [DONE]\n\n"), toucanhingev1.Outcome_OUTCOME_RETRY, "short"},
		{"invalid answer without streaming", chatBody, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{") }, toucanhingev1.Outcome_OUTCOME_RETRY, "garbage"},
		{"too large", chatBody, stream(fmt.Sprintf(chunk, strings.Repeat("x", 5_000)) + "data: [DONE]\n\n"), toucanhingev1.Outcome_OUTCOME_FAILED, "too-large"},
		{"crash during the stream", chatBody, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, fmt.Sprintf(chunk, "a"))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, toucanhingev1.Outcome_OUTCOME_RETRY, "cut"},
		{"request without streaming", `{"messages":[{}],"tools":[{}]}`, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"object":"chat.completion","choices":[{"index":0,"message":{"content":"t1t2t3t4"}}]}`)
		}, toucanhingev1.Outcome_OUTCOME_DONE, ""},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			f := newFixture(t, s.body)
			f.engine.answer, f.engine.forgetsStreams = s.answer, true
			completion := f.start("").firstCompletion()
			require.Equal(t, s.outcome, completion.GetOutcome(), completion.GetReason())
			require.Equal(t, s.reason, completion.GetReason())
			if s.outcome == toucanhingev1.Outcome_OUTCOME_DONE {
				require.Equal(t, "t1t2t3t4", answerText(t, completion.GetBody()))
			}
			f.eventually(func() bool { return f.puller.LeaseCount() == 0 && f.dispatcher.Snapshot().Batch == 0 })
			require.Len(t, f.control.completions(), 1)
		})
	}
}

// No process listens at the engine's port. The item has used up no attempt, so it is
// returned, and OnUnreachable is called.
func TestUnreachableEngineReturnsItems(t *testing.T) {
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	f := newFixture(t, chatBody).start(closed.URL)
	completion := f.firstCompletion()
	require.Equal(t, toucanhingev1.Outcome_OUTCOME_RETURNED, completion.GetOutcome())
	require.NotEmpty(t, f.unreachable)
}

// The answer to a completion is lost. The completion is reported again, as the lease is
// still valid and control counts only the first report.
func TestLostAcknowledgementIsReportedAgain(t *testing.T) {
	f := newFixture(t, chatBody)
	f.control.dropReplies = 1
	f.start("")
	f.eventually(func() bool { return len(f.control.completions()) == 2 && f.puller.LeaseCount() == 0 })
}

// A job is cancelled while its item runs or is suspended for an online request, so
// control revokes the lease at the next renewal. The item is cancelled at the engine,
// not resumed, and not reported.
func TestRevokedLeaseStopsItem(t *testing.T) {
	for _, suspended := range []bool{false, true} {
		t.Run(fmt.Sprintf("suspended %v", suspended), func(t *testing.T) {
			f := newFixture(t, chatBody)
			f.engine.gate = make(chan struct{})
			f.control.leaseMS, f.control.revoked = 1_000, []uint64{7}
			f.start("")
			f.eventually(func() bool { return f.dispatcher.Snapshot().Batch == 1 })
			release := func() {}
			if suspended {
				release = f.startOnline()
			}
			f.eventually(func() bool {
				_, _, cancels := f.engine.counts()
				return cancels == 1 && f.puller.LeaseCount() == 0
			})
			release()
			f.eventually(func() bool { s := f.dispatcher.Snapshot(); return s.Batch+s.Suspended+s.Online == 0 })
			_, resumes, _ := f.engine.counts()
			require.Zero(t, resumes)
			require.Empty(t, f.control.completions())
		})
	}
}
