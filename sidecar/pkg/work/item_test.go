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
	patience = 20 * time.Second
	look     = 2 * time.Millisecond
	soundly  = `{"messages":[{"role":"user","content":"x"}],"max_tokens":4}`
)

// leaser is control's side: it hands out its items once and keeps completions.
type leaser struct {
	toucanhingev1connect.UnimplementedWorkServiceHandler
	mu      sync.Mutex
	items   []*toucanhingev1.LeasedItem
	done    []*toucanhingev1.Completion
	span    int64
	revoked []uint64
	// lose drops so many answers to Complete, after having taken them in.
	lose int
}

func (l *leaser) Lease(
	_ context.Context, r *connect.Request[toucanhingev1.LeaseRequest],
) (*connect.Response[toucanhingev1.LeaseResponse], error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := min(len(l.items), int(r.Msg.GetMost()))
	items := l.items[:count]
	l.items = l.items[count:]
	return connect.NewResponse(&toucanhingev1.LeaseResponse{Items: items, LeaseMs: l.span, RetryMs: 20}), nil
}

func (l *leaser) Renew(
	_ context.Context, _ *connect.Request[toucanhingev1.RenewRequest],
) (*connect.Response[toucanhingev1.RenewResponse], error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return connect.NewResponse(&toucanhingev1.RenewResponse{LeaseMs: l.span, Revoked: l.revoked}), nil
}

func (l *leaser) Complete(
	_ context.Context, r *connect.Request[toucanhingev1.CompleteRequest],
) (*connect.Response[toucanhingev1.CompleteResponse], error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.done = append(l.done, r.Msg.GetCompletions()...)
	if l.lose > 0 {
		l.lose--
		return nil, connect.NewError(connect.CodeInternal, io.ErrUnexpectedEOF)
	}
	answer := &toucanhingev1.CompleteResponse{}
	for range r.Msg.GetCompletions() {
		answer.Verdicts = append(answer.Verdicts, toucanhingev1.Verdict_VERDICT_ACCEPTED)
	}
	return connect.NewResponse(answer), nil
}

func (l *leaser) completions() []*toucanhingev1.Completion {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*toucanhingev1.Completion(nil), l.done...)
}

// model is the engine's side. A stream stops after its second token until it is
// released, unless it is suspended; what is kept can be resumed.
type model struct {
	mu        sync.Mutex
	posts     int
	resumes   int
	cancels   int
	forgets   bool
	gate      chan struct{}
	suspended chan struct{}
	answer    http.HandlerFunc
}

func (m *model) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		m.mu.Lock()
		m.posts++
		answer := m.answer
		m.mu.Unlock()
		if answer != nil {
			answer(w, r)
			return
		}
		m.stream(w, r, 1)
	})
	mux.HandleFunc("POST /streams/{id}/{how}", func(_ http.ResponseWriter, r *http.Request) {
		m.mu.Lock()
		if r.PathValue("how") == "cancel" {
			m.cancels++
			m.mu.Unlock()
			return
		}
		close(m.suspended)
		m.suspended = make(chan struct{})
		m.mu.Unlock()
		// The stream ends before our answer arrives: time enough for a reader
		// that takes this for a broken connection to resume it.
		time.Sleep(50 * time.Millisecond)
	})
	mux.HandleFunc("GET /streams/{id}/resume", func(w http.ResponseWriter, r *http.Request) {
		m.mu.Lock()
		m.resumes++
		forgets := m.forgets
		m.mu.Unlock()
		after := 0
		_, _ = fmt.Sscan(r.URL.Query().Get("after"), &after)
		if forgets {
			http.Error(w, "unknown", http.StatusNotFound)
			return
		}
		m.stream(w, r, after+1)
	})
	return mux
}

func (m *model) stream(w http.ResponseWriter, r *http.Request, from int) {
	m.mu.Lock()
	gate, suspended := m.gate, m.suspended
	m.mu.Unlock()
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

func (m *model) counts() (posts, resumes, cancels int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.posts, m.resumes, m.cancels
}

type fixture struct {
	t          *testing.T
	leaser     *leaser
	model      *model
	dispatcher *dispatch.Dispatcher
	puller     *Puller
	suspicions chan struct{}
	now        func() clock.Millis
}

func newFixture(t *testing.T, bodies ...string) *fixture {
	t.Helper()
	f := &fixture{
		t: t, leaser: &leaser{span: 60_000}, model: &model{suspended: make(chan struct{})},
		suspicions: make(chan struct{}, 100), now: clock.System().Now,
	}
	for n, body := range bodies {
		f.leaser.items = append(f.leaser.items, &toucanhingev1.LeasedItem{Job: "j", Index: uint64(n), Lease: 7, Attempt: 1, Body: []byte(body)})
	}
	return f
}

// start runs the puller beside an engine at a URL, or the fixture's own.
func (f *fixture) start(url string) *fixture {
	f.t.Helper()
	mux := http.NewServeMux()
	mux.Handle(toucanhingev1connect.NewWorkServiceHandler(f.leaser))
	server, err := web.Listen("127.0.0.1:0", mux)
	require.NoError(f.t, err)
	engines := httptest.NewServer(f.model.handler())
	if url == "" {
		url = engines.URL
	}
	ticking := clock.FromFunc(func() clock.Millis { return f.now() })
	machine := admit.New(admit.Config{Policy: admit.Yield, Slots: 1, MinSlots: 1, QueueLimit: 2, BatchSlots: 1, MaxPrefillTokens: 999, BatchWeight: 100, BurstHalfLife: 1})
	f.dispatcher = dispatch.New(dispatch.Config{Clock: ticking, Machine: machine, Ring: ring.Config{Size: 64}})
	f.puller = New(Config{
		Clock: ticking, Logger: log.NewNopLogger(), Dispatcher: f.dispatcher, Engine: engine.New(engine.Config{URL: url}),
		Control: control.New(control.Config{Addresses: []string{server.Address()}, HTTP: web.NewClient()}),
		Leases:  LeaseManagerConfig{MaxItems: 4, MaxPerRequest: 4, FlushDelay: 1, FlushSize: 64}, Name: "e1", Service: "s", MaxResultBytes: 4_000,
		OnUnreachable: func() { f.suspicions <- struct{}{} }, RecordEvent: func(string, string, string) {},
	})
	f.puller.SetGroupCount(job.FirstGroup + 1)
	f.puller.SetOpen(true)
	ctx, cancel := context.WithCancel(context.Background())
	var duties sync.WaitGroup
	duties.Go(func() { _ = server.Serve() })
	duties.Go(func() { f.dispatcher.Run(ctx) })
	duties.Go(func() { f.puller.Run(ctx) })
	f.t.Cleanup(func() {
		cancel()
		stopped, stop := context.WithCancel(context.Background())
		stop()
		_ = server.Shutdown(stopped)
		engines.CloseClientConnections()
		engines.Close()
		duties.Wait()
	})
	return f
}

func (f *fixture) eventually(holds func() bool) {
	f.t.Helper()
	require.Eventually(f.t, holds, patience, look)
}

func (f *fixture) first() *toucanhingev1.Completion {
	f.t.Helper()
	f.eventually(func() bool { return len(f.leaser.completions()) > 0 })
	return f.leaser.completions()[0]
}

// online takes the only slot and gives it back.
func (f *fixture) online() (release func()) {
	f.t.Helper()
	id := f.dispatcher.NextID()
	started := make(chan admit.Action, 2)
	require.True(f.t, f.dispatcher.SubmitRequest(admit.Arrive{ID: id, Deadline: 1 << 50}, func(a admit.Action) { started <- a }))
	select {
	case a := <-started:
		require.Equal(f.t, admit.Start, a.Verb)
	case <-time.After(patience):
		f.t.Fatal("the online request got no slot")
	}
	return func() { f.dispatcher.Submit(admit.Finished{ID: id}) }
}

func text(t *testing.T, body []byte) string {
	t.Helper()
	var answer wholeAnswer
	require.NoError(t, json.Unmarshal(body, &answer))
	require.Equal(t, "chat.completion", answer.Object)
	require.Len(t, answer.Choices, 1)
	return answer.Choices[0].Message.Content
}

// An item has its second token when an online request needs the slot. The item
// is suspended, the request runs, and the item goes on from its third token: its
// result is whole, and it was begun once. When the engine has forgotten the
// stream, it is begun again and the tokens are counted as lost.
func TestItemYieldsAndGoesOn(t *testing.T) {
	scenarios := []struct {
		name    string
		forgets bool
		posts   int
		lost    uint64
	}{{"kept", false, 1, 0}, {"forgotten", true, 2, 2}}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			f := newFixture(t, soundly)
			f.model.gate, f.model.forgets = make(chan struct{}), s.forgets
			f.start("")
			f.eventually(func() bool { posts, _, _ := f.model.counts(); return posts == 1 && f.dispatcher.Snapshot().Batch == 1 })
			f.eventually(func() bool { return f.pieces() == 2 })
			release := f.online()
			require.Equal(t, 1, f.dispatcher.Snapshot().Suspended)
			close(f.model.gate)
			release()
			completion := f.first()
			require.Equal(t, toucanhingev1.Outcome_OUTCOME_DONE, completion.GetOutcome())
			require.Equal(t, "t1t2t3t4", text(t, completion.GetBody()))
			posts, resumes, _ := f.model.counts()
			require.Equal(t, s.posts, posts)
			require.Equal(t, 1, resumes)
			f.eventually(func() bool { return f.dispatcher.Snapshot().Stats.TokensLost == s.lost })
		})
	}
}

// pieces counts the tokens that the first item has.
func (f *fixture) pieces() int {
	count := make(chan int, 1)
	f.puller.tell(func(clock.Millis) []Action {
		total := 0
		for _, r := range f.puller.runs {
			total += int(r.taken.Load())
		}
		count <- total
		return nil
	})
	return <-count
}

// Whatever the engine answers, the item ends with one outcome and its reason.
func TestOutcomes(t *testing.T) {
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { http.Error(w, `{}`, code) }
	}
	stream := func(raw string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, raw)
		}
	}
	piece := `data: {"choices":[{"index":0,"delta":{"content":"%s"}}]}` + "\n\n"
	scenarios := []struct {
		name    string
		body    string
		answer  http.HandlerFunc
		outcome toucanhingev1.Outcome
		reason  string
	}{
		{"whole", soundly, nil, toucanhingev1.Outcome_OUTCOME_DONE, ""},
		{"not JSON", `{"messages"`, nil, toucanhingev1.Outcome_OUTCOME_FAILED, "malformed"},
		{"neither chat nor completion", `{"x":1}`, nil, toucanhingev1.Outcome_OUTCOME_FAILED, "malformed"},
		{"refused for good", soundly, status(400), toucanhingev1.Outcome_OUTCOME_FAILED, "status-400"},
		{"too many", soundly, status(429), toucanhingev1.Outcome_OUTCOME_RETRY, "status-429"},
		{"broken engine", soundly, status(500), toucanhingev1.Outcome_OUTCOME_RETRY, "status-500"},
		{"short", soundly, stream(fmt.Sprintf(piece, "a")), toucanhingev1.Outcome_OUTCOME_RETRY, "short"},
		{"garbage", soundly, stream("data: <<\n\ndata: [DONE]\n\n"), toucanhingev1.Outcome_OUTCOME_RETRY, "garbage"},
		{"nothing", soundly, stream("data: [DONE]\n\n"), toucanhingev1.Outcome_OUTCOME_RETRY, "short"},
		{"garbage in one", soundly, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{") }, toucanhingev1.Outcome_OUTCOME_RETRY, "garbage"},
		{"too large", soundly, stream(fmt.Sprintf(piece, strings.Repeat("x", 5_000)) + "data: [DONE]\n\n"), toucanhingev1.Outcome_OUTCOME_FAILED, "too-large"},
		{"crash in the middle", soundly, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, fmt.Sprintf(piece, "a"))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, toucanhingev1.Outcome_OUTCOME_RETRY, "cut"},
		{"one that can't be streamed", `{"messages":[{}],"tools":[{}]}`, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"object":"chat.completion","choices":[{"index":0,"message":{"content":"t1t2t3t4"}}]}`)
		}, toucanhingev1.Outcome_OUTCOME_DONE, ""},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			f := newFixture(t, s.body)
			f.model.answer, f.model.forgets = s.answer, true
			completion := f.start("").first()
			require.Equal(t, s.outcome, completion.GetOutcome(), completion.GetReason())
			require.Equal(t, s.reason, completion.GetReason())
			if s.outcome == toucanhingev1.Outcome_OUTCOME_DONE {
				require.Equal(t, "t1t2t3t4", text(t, completion.GetBody()))
			}
			f.eventually(func() bool { return f.puller.LeaseCount() == 0 && f.dispatcher.Snapshot().Batch == 0 })
			require.Len(t, f.leaser.completions(), 1)
		})
	}
}

// Nothing listens at the engine's port. The item has spent no attempt: it is
// returned, and the engine comes under suspicion at once.
func TestUnreachableEngineReturnsItems(t *testing.T) {
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	f := newFixture(t, soundly).start(gone.URL)
	completion := f.first()
	require.Equal(t, toucanhingev1.Outcome_OUTCOME_RETURNED, completion.GetOutcome())
	require.NotEmpty(t, f.suspicions)
}

// The answer to a completion is lost. It is reported again, as the lease still
// holds and control counts the first one only.
func TestLostAcknowledgementIsReportedAgain(t *testing.T) {
	f := newFixture(t, soundly)
	f.leaser.lose = 1
	f.start("")
	f.eventually(func() bool { return len(f.leaser.completions()) == 2 && f.puller.LeaseCount() == 0 })
}

// A job is cancelled while its item runs, or while it is suspended for an online
// request: control revokes the lease at the next renewal. The item is given up at
// the engine, doesn't go on, and nothing is reported.
func TestRevokedLeaseStopsTheItem(t *testing.T) {
	for _, suspended := range []bool{false, true} {
		t.Run(fmt.Sprintf("suspended %v", suspended), func(t *testing.T) {
			f := newFixture(t, soundly)
			f.model.gate = make(chan struct{})
			f.leaser.span, f.leaser.revoked = 1_000, []uint64{7}
			f.start("")
			f.eventually(func() bool { return f.dispatcher.Snapshot().Batch == 1 })
			release := func() {}
			if suspended {
				release = f.online()
			}
			f.eventually(func() bool {
				_, _, cancels := f.model.counts()
				return cancels == 1 && f.puller.LeaseCount() == 0
			})
			release()
			f.eventually(func() bool { s := f.dispatcher.Snapshot(); return s.Batch+s.Suspended+s.Online == 0 })
			_, resumes, _ := f.model.counts()
			require.Zero(t, resumes)
			require.Empty(t, f.leaser.completions())
		})
	}
}
