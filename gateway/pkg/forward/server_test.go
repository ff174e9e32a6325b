package forward

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/digest"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/occupancy"
	"toucanhinge.example/common/pkg/routing"
	"toucanhinge.example/common/pkg/runner"
	"toucanhinge.example/gateway/pkg/placement"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// reply is how a scripted runner answers one call.
type reply struct {
	err           error
	status        int
	notRun        bool
	otherInstance bool
	// text is the body. After the body, the call returns an error if fails is set, and blocks until it ends if
	// hangs is set.
	text  string
	fails bool
	hangs bool
	// noAnswer is set if the call blocks until it ends and returns nothing.
	noAnswer bool
	// load is the load that the runner reports, 0 if it reports none.
	load int
	// pace is the pace that the runner reports with its load, in percent; 0 if it reports none.
	pace int
}

// fixture is a server with scripted runners.
type fixture struct {
	t      *testing.T
	server *Server
	client *http.Client
	url    string
	// log holds the log lines.
	log      *logBuffer
	registry *prometheus.Registry
	mu       sync.Mutex
	replies  []reply
	calls    []runner.Call
}

// logBuffer is a buffer for concurrent log lines.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// lines returns the lines of an event.
func (b *logBuffer) lines(event string) []map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []map[string]any
	for _, text := range bytes.Split(b.text.Bytes(), []byte("\n")) {
		line := map[string]any{}
		if json.Unmarshal(text, &line) == nil && line[logs.KeyEvent] == event {
			found = append(found, line)
		}
	}
	return found
}

var errConnReset = errors.New("connection reset")

func start(t *testing.T, replies ...reply) *fixture {
	t.Helper()
	f := &fixture{t: t, replies: replies, log: &logBuffer{}, registry: prometheus.NewRegistry()}
	x, err := digest.Listen(digest.Config{
		Address: "127.0.0.1:0", Source: "g", Clock: clock.System(), Logger: log.NewNopLogger(), Version: func() uint64 { return 0 },
	})
	require.NoError(t, err)
	f.server = New(Config{
		Client: runner.Client{Open: f.open}, Exchange: x, DataCentre: "here", Clock: clock.System(),
		Logger: log.NewJSONLogger(f.log), Registerer: f.registry,
	})
	route := func(prefix string, kind toucanhingev1.RouteKind, resumable bool) *toucanhingev1.Route {
		return &toucanhingev1.Route{
			Name: prefix, Host: "team", Prefix: prefix, Kind: kind, Resumable: resumable, MaxAttempts: 2,
			TimeLimitMs: 1_000, ObjectiveMs: 300, GapObjectiveMs: 200, Shares: []*toucanhingev1.RouteShare{{Service: "llm", Weight: 1}},
		}
	}
	table, err := routing.New(&toucanhingev1.RoutingTable{
		Version: 1, Services: []*toucanhingev1.RoutedService{{Name: "llm"}},
		Routes: []*toucanhingev1.Route{
			route("/idempotent/", toucanhingev1.RouteKind_ROUTE_KIND_IDEMPOTENT, false),
			route("/once/", toucanhingev1.RouteKind_ROUTE_KIND_NON_IDEMPOTENT, false),
			route("/stream/", toucanhingev1.RouteKind_ROUTE_KIND_STREAM, false),
			route("/resumable/", toucanhingev1.RouteKind_ROUTE_KIND_STREAM, true),
		},
	})
	require.NoError(t, err)
	f.server.SetTable(table)
	f.setRunners("a", "b", "c")
	web := httptest.NewServer(http.HandlerFunc(f.handle))
	t.Cleanup(web.Close)
	f.url, f.client = web.URL, web.Client()
	return f
}

func (f *fixture) setRunners(ids ...string) {
	var runners []*toucanhingev1.Runner
	for _, id := range ids {
		runners = append(runners, &toucanhingev1.Runner{Id: id, Service: "llm", DataCentre: "here", Slots: 2})
	}
	f.server.SetRunners(runners, 1)
}

func (f *fixture) handle(w http.ResponseWriter, r *http.Request) {
	auth, refusal := f.server.Authorize("q", "team", r.RequestURI, r.Header.Get("Key"))
	if refusal != nil {
		f.server.Refuse(w, *refusal)
		return
	}
	timeout := clock.Millis(0)
	if _, err := fmt.Sscan(r.Header.Get("Patience"), &timeout); err != nil {
		timeout = 0
	}
	request := Request{
		ID: "q", Method: r.Method, Target: r.RequestURI, Host: "team", Arrived: f.server.config.Clock.Now(), Timeout: timeout,
		Resumes: r.Header.Get("Resumes"),
	}
	if _, err := fmt.Sscan(r.Header.Get("After"), &request.After); err == nil {
		request.Resume = true
	}
	f.server.Serve(r.Context(), w, auth, request)
}

// sent returns the calls so far.
func (f *fixture) sent() []runner.Call {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.calls)
}

func (f *fixture) open(ctx context.Context, call runner.Call) (*runner.Answer, error) {
	f.mu.Lock()
	f.calls = append(f.calls, call)
	r := reply{err: &runner.NotSentError{Runner: call.Runner.GetId(), Err: errConnReset}}
	if len(f.replies) > 0 {
		r, f.replies = f.replies[0], f.replies[1:]
	}
	f.mu.Unlock()
	if r.noAnswer {
		<-ctx.Done()
		return nil, &runner.BrokenError{Runner: call.Runner.GetId(), Err: ctx.Err()}
	}
	if r.err != nil {
		return nil, r.err
	}
	if r.status == 0 {
		r.status = http.StatusOK
	}
	var load *runner.Load
	if r.load > 0 {
		load = &runner.Load{Running: r.load, Pace: r.pace}
	}
	return &runner.Answer{
		Load:   load,
		Status: r.status, Header: http.Header{"Seal": {call.Runner.GetId()}}, Length: -1, NotRun: r.notRun, OtherInstance: r.otherInstance,
		Body: &scriptedBody{ctx: ctx, source: strings.NewReader(r.text), reply: r},
	}, nil
}

type scriptedBody struct {
	ctx    context.Context
	source io.Reader
	reply  reply
}

func (b *scriptedBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	switch {
	case b.reply.fails:
		return n, io.ErrUnexpectedEOF
	case b.reply.hangs:
		<-b.ctx.Done()
		return n, b.ctx.Err()
	default:
		return n, err
	}
}

func (b *scriptedBody) Close() error { return nil }

func (f *fixture) get(path string, timeout int) (status int, text string, header http.Header, err error) {
	return f.getAs("", path, timeout)
}

// getAs sends a request with a key, or without one if it is empty.
func (f *fixture) getAs(key, path string, timeout int) (status int, text string, header http.Header, err error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, f.url+path, nil)
	require.NoError(f.t, err)
	request.Header.Set("Key", key)
	if timeout > 0 {
		request.Header.Set("Patience", fmt.Sprint(timeout))
	}
	response, err := f.client.Do(request)
	if err != nil {
		return 0, "", nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), response.Header, err
}

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: x%d\n\n", i, i)
	}
	return b.String()
}

var (
	unsent  = reply{err: &runner.NotSentError{Runner: "x", Err: errConnReset}}
	broken  = reply{err: &runner.BrokenError{Runner: "x", Err: errConnReset}}
	full    = reply{status: http.StatusServiceUnavailable, notRun: true}
	other   = reply{status: http.StatusMisdirectedRequest, notRun: true, otherInstance: true}
	failing = reply{status: http.StatusInternalServerError, text: "no"}
)

// TestRunnerFaults checks, for each kind of route and each fault of a runner, the answer to the caller and
// the number of runners that were called. A request that isn't idempotent must not be sent to a second
// runner once it may have run, and an incomplete answer must not look complete.
func TestRunnerFaults(t *testing.T) {
	ok := reply{text: "answer"}
	for _, c := range []struct {
		name    string
		path    string
		replies []reply
		status  int
		text    string
		calls   int
		// cut is set if the answer must break off, so that it doesn't look complete.
		cut bool
	}{
		{"no fault", "/once/", []reply{ok}, 200, "answer", 1, false},
		{"no route", "/none/", nil, 404, "", 0, false},
		{"unreachable, once", "/once/", []reply{unsent, ok}, 200, "answer", 2, false},
		{"full, once", "/once/", []reply{full, ok}, 200, "answer", 2, false},
		{"another instance, once", "/once/", []reply{other, ok}, 200, "answer", 2, false},
		{"broken off, once", "/once/", []reply{broken, ok}, 502, "", 1, false},
		{"failing, once", "/once/", []reply{failing, ok}, 500, "no", 1, false},
		{"cut in the body, once", "/once/", []reply{{text: "ans", fails: true}, ok}, 502, "", 1, false},
		{"all unreachable", "/once/", nil, 503, "", 3, false},
		{"all full", "/once/", []reply{full, full, full, full, full, full}, 503, "", 3, false},
		{"broken off, idempotent", "/idempotent/", []reply{broken, ok}, 200, "answer", 2, false},
		{"failing, idempotent", "/idempotent/", []reply{failing, ok}, 200, "answer", 2, false},
		{"failing twice, idempotent", "/idempotent/", []reply{failing, failing, ok}, 500, "no", 2, false},
		{"broken off twice, idempotent", "/idempotent/", []reply{broken, broken, ok}, 502, "", 2, false},
		{"cut in the body, idempotent", "/idempotent/", []reply{{text: "ans", fails: true}, ok}, 200, "answer", 2, false},
		{"a stream", "/stream/", []reply{{text: events(1, 3)}}, 200, events(1, 3), 1, false},
		{"a stream, empty", "/stream/", []reply{{}}, 200, "", 1, false},
		{"a stream broken off before its first event", "/stream/", []reply{{fails: true}, ok}, 502, "", 1, false},
		{"a stream cut", "/stream/", []reply{{text: events(1, 2) + "id: 3\nda", fails: true}, ok}, 200, events(1, 2), 1, true},
		{"a stream that ends within an event", "/stream/", []reply{{text: events(1, 2) + "id: 3\nda"}, ok}, 200, events(1, 2), 1, true},
		{"a stream with a gap", "/stream/", []reply{{text: events(1, 2) + events(4, 5)}}, 200, events(1, 2), 1, true},
		{"a stream with an event twice", "/stream/", []reply{{text: events(1, 2) + events(2, 3)}}, 200, events(1, 2), 1, true},
		{"a resumable stream cut", "/resumable/", []reply{{text: events(1, 2) + "id: 3\nda", fails: true}, {text: events(3, 4)}}, 200, events(1, 4), 2, false},
		{"a resumable stream cut, then full runners", "/resumable/", []reply{{text: events(1, 2), fails: true}, full, {text: events(3, 4)}}, 200, events(1, 4), 3, false},
		{"a resumable stream cut, then restarted", "/resumable/", []reply{{text: events(1, 2), fails: true}, {text: events(1, 4)}}, 200, events(1, 2), 2, true},
		{"a resumable stream cut twice", "/resumable/", []reply{{text: events(1, 2), fails: true}, {text: events(3, 3), fails: true}, ok}, 200, events(1, 3), 2, true},
		{"a resumable stream cut, then an error", "/resumable/", []reply{{text: events(1, 2), fails: true}, failing, ok}, 200, events(1, 2), 2, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := start(t, c.replies...)
			status, text, header, err := f.get(c.path, 0)
			require.Equal(t, c.status, status)
			require.Equal(t, c.cut, err != nil, "%v", err)
			if c.text != "" {
				require.Equal(t, c.text, text)
				require.NotEmpty(t, header.Get("Seal"))
			}
			if status == http.StatusServiceUnavailable {
				require.NotEmpty(t, header.Get("Retry-After"), "the answer must say when to retry")
			}
			require.Len(t, f.sent(), c.calls)
		})
	}
}

func TestTimeLimit(t *testing.T) {
	f := start(t, reply{noAnswer: true})
	startedAt := time.Now()
	status, _, _, err := f.get("/once/", 300)
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, status, "the answer must say that the request may have run")
	require.InDelta(t, 300, float64(time.Since(startedAt).Milliseconds()), 150)
	require.LessOrEqual(t, f.sent()[0].Remaining, clock.Millis(300))
	require.Greater(t, f.sent()[0].Remaining, clock.Millis(200))
}

// A caller disconnects during a stream. The call to the runner must end, so that the runner doesn't
// continue to generate events in vain.
func TestCallerDisconnectEndsRunnerCall(t *testing.T) {
	f := start(t, reply{text: events(1, 1), hangs: true})
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, f.url+"/stream/", nil)
	require.NoError(t, err)
	response, err := f.client.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	_, err = bufio.NewReader(response.Body).ReadString('\n')
	require.NoError(t, err)
	cancel()
	require.Eventually(t, func() bool {
		own := 0
		f.server.config.Exchange.View(func(table *occupancy.Table) {
			own = table.Own("a").Online + table.Own("b").Online + table.Own("c").Online
		})
		return own == 0
	}, time.Second, 5*time.Millisecond)
}

// All slots are in use. A new request is refused at once, with the time after which to retry. The retry
// isn't refused, but waits for a free slot.
func TestRetryWaitsForSlot(t *testing.T) {
	f := start(t, reply{text: "answer"})
	for _, id := range []string{"a", "b", "c"} {
		f.server.config.Exchange.Add(id, occupancy.Load{Online: 2})
	}
	startedAt := time.Now()
	status, _, header, _ := f.get("/once/", 1_000)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Less(t, time.Since(startedAt), 100*time.Millisecond)
	require.NotEmpty(t, header.Get("Retry-After"))
	require.Empty(t, f.sent())

	time.AfterFunc(120*time.Millisecond, func() {
		f.server.config.Exchange.Add("b", occupancy.Load{Online: -1})
		f.server.LoadChanged()
	})
	f.server.updatePlacement(func(m *placement.Machine) {
		for range 200 {
			m.RecordHold("llm", 60)
		}
	})
	status, text, _, err := f.get("/once/", 700)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "answer", text)
}

func TestNotReadyWithoutTableAndRunners(t *testing.T) {
	s := New(Config{Clock: clock.System(), Logger: log.NewNopLogger(), Registerer: prometheus.NewRegistry()})
	_, refusal := s.Authorize("q", "team", "/once/", "")
	require.Equal(t, http.StatusServiceUnavailable, refusal.Status, "404 would mean that the route doesn't exist")
	require.False(t, s.Ready())
	table, err := routing.New(&toucanhingev1.RoutingTable{Version: 5})
	require.NoError(t, err)
	s.SetTable(table)
	require.False(t, s.Ready(), "without runners it would refuse requests that other gateways can serve")
	s.SetRunners(nil, 1)
	require.True(t, s.Ready())
}

// A gateway receives an older routing table from a core VM that lags. If it applied the table, a route
// that was removed would be served again.
func TestSetTableIgnoresOlderVersion(t *testing.T) {
	s := New(Config{Clock: clock.System(), Logger: log.NewNopLogger(), Registerer: prometheus.NewRegistry()})
	for _, c := range []struct{ version, want uint64 }{{5, 5}, {3, 5}, {5, 5}, {9, 9}} {
		table, err := routing.New(&toucanhingev1.RoutingTable{Version: c.version})
		require.NoError(t, err)
		s.SetTable(table)
		require.Equal(t, c.want, s.Version())
	}
}

func TestDrainClosesConnections(t *testing.T) {
	f := start(t, reply{text: "answer"}, reply{text: "answer"})
	f.server.Drain()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, f.url+"/once/", nil)
	require.NoError(t, err)
	response, err := f.client.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	require.True(t, response.Close)
}

// A runner that fails requests at once has free slots again. Without a lower preference it attracts the next
// requests, which aren't sent anywhere else because they may run only once.
func TestFailingRunnerIsAvoided(t *testing.T) {
	f := start(t, reply{status: http.StatusInternalServerError}, reply{status: http.StatusOK}, reply{status: http.StatusOK}, reply{status: http.StatusOK})
	for range 4 {
		_, _, _, err := f.get("/once/x", 0)
		require.NoError(t, err)
	}
	calls := f.sent()
	for _, call := range calls[1:] {
		require.NotEqual(t, calls[0].Runner.GetId(), call.Runner.GetId())
	}
}
