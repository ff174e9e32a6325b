package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/crashes"
	"toucanhinge.example/common/pkg/digest"
	"toucanhinge.example/common/pkg/routing"
	"toucanhinge.example/common/pkg/runner"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// downTime is how long a crashed runner is gone, and crashDelay how long a run lasts
	// that crashes it: as seen, with the first shortened.
	downTime   = 800 * time.Millisecond
	crashDelay = 40 * time.Millisecond
	eventEvery = 20 * time.Millisecond
)

// errCrashed is what a gateway sees of a runner that ends.
var errCrashed = errors.New("unexpected EOF")

// fakeRunner runs streams, and crashes under some.
type fakeRunner struct {
	mu      sync.Mutex
	crashed chan struct{}
	backAt  time.Time
}

// incarnation is closed when the runner crashes; up is false while it is gone.
func (r *fakeRunner) incarnation() (gone chan struct{}, up bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashed, time.Now().After(r.backAt)
}

func (r *fakeRunner) crash(gone chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.crashed != gone {
		return
	}
	close(gone)
	r.crashed, r.backAt = make(chan struct{}), time.Now().Add(downTime)
}

// crashFleet is some gateways before the same runners.
type crashFleet struct {
	t        *testing.T
	runners  map[string]*fakeRunner
	servers  []*Server
	gateways []*httptest.Server

	mu sync.Mutex
	// runs counts the calls that reached a runner, by body.
	runs map[string]int
}

// startCrashFleet starts gateways before twelve runners.
func startCrashFleet(t *testing.T, gateways int) *crashFleet {
	t.Helper()
	f := &crashFleet{t: t, runners: map[string]*fakeRunner{}, runs: map[string]int{}}
	var known []*toucanhingev1.Runner
	for n := range 12 {
		id := fmt.Sprintf("r%d", n)
		f.runners[id] = &fakeRunner{crashed: make(chan struct{})}
		known = append(known, &toucanhingev1.Runner{Id: id, Service: "llm", DataCentre: "here", Slots: 8, BornMs: 1})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var duties sync.WaitGroup
	t.Cleanup(func() { cancel(); duties.Wait() })
	var peers []digest.Peer
	var exchanges []*digest.Exchange
	for n := range gateways {
		address := freeAddress(t)
		x, err := digest.Listen(digest.Config{
			Address: address, Source: fmt.Sprintf("g%d", n), DataCentre: "here", Clock: clock.System(),
			Logger: log.NewNopLogger(), Version: func() uint64 { return 0 },
		})
		require.NoError(t, err)
		peers = append(peers, digest.Peer{Address: address, DataCentre: "here"})
		exchanges = append(exchanges, x)
		duties.Go(func() { x.Run(ctx) })
	}
	for _, x := range exchanges {
		x.SetPeers(peers)
		f.serve(x, known)
	}
	return f
}

func (f *crashFleet) serve(x *digest.Exchange, known []*toucanhingev1.Runner) {
	server := New(Config{
		Client: runner.Client{Open: f.open, Refuses: f.refuses}, Exchange: x, DataCentre: "here", Clock: clock.System(),
		Logger: log.NewNopLogger(), Registerer: prometheus.NewRegistry(),
	})
	table, err := routing.New(&toucanhingev1.RoutingTable{
		Version: 1, Services: []*toucanhingev1.RoutedService{{Name: "llm"}},
		Routes: []*toucanhingev1.Route{
			{
				Name: "stream", Host: "team", Prefix: "/stream/", Kind: toucanhingev1.RouteKind_ROUTE_KIND_STREAM, Resumable: true,
				MaxAttempts: 2, TimeLimitMs: 5_000, ObjectiveMs: 300, GapObjectiveMs: 200,
				Shares: []*toucanhingev1.RouteShare{{Service: "llm", Weight: 1}},
			},
			{
				Name: "once", Host: "team", Prefix: "/once/", Kind: toucanhingev1.RouteKind_ROUTE_KIND_NON_IDEMPOTENT,
				MaxAttempts: 2, TimeLimitMs: 5_000, ObjectiveMs: 300,
				Shares: []*toucanhingev1.RouteShare{{Service: "llm", Weight: 1}},
			},
		},
	})
	require.NoError(f.t, err)
	server.SetTable(table)
	server.SetRunners(known, len(f.gateways)+1)
	x.SetRunnerCount(len(known))
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		require.NoError(f.t, err)
		entry, refusal := server.Authorize("q", "team", r.RequestURI, "")
		require.Nil(f.t, refusal)
		server.Serve(r.Context(), w, entry, Request{
			ID: r.Header.Get("Id"), Method: r.Method, Target: r.RequestURI, Host: "team", Body: body, Timeout: 5_000,
			Arrived: server.config.Clock.Now(),
		})
	}))
	f.t.Cleanup(web.Close)
	f.servers = append(f.servers, server)
	f.gateways = append(f.gateways, web)
}

func (f *crashFleet) open(ctx context.Context, call runner.Call) (*runner.Answer, error) {
	r := f.runners[call.Runner.GetId()]
	gone, up := r.incarnation()
	if !up {
		return nil, &runner.NotSentError{Runner: call.Runner.GetId(), Err: errWire}
	}
	f.mu.Lock()
	f.runs[string(call.Body)]++
	f.mu.Unlock()
	switch {
	case string(call.Body) == "crash":
		time.AfterFunc(crashDelay, func() { r.crash(gone) })
	case strings.HasPrefix(string(call.Body), "reset"):
		return nil, &runner.BrokenError{Runner: call.Runner.GetId(), Err: errWire}
	}
	return &runner.Answer{
		Status: http.StatusOK, Header: http.Header{"Seal": {call.Runner.GetId()}}, Length: -1,
		Body: &crashBody{ctx: ctx, gone: gone, silent: string(call.Body) == "crash", next: call.After + 1, last: 12},
	}, nil
}

func (f *crashFleet) refuses(_ context.Context, r *toucanhingev1.Runner) bool {
	_, up := f.runners[r.GetId()].incarnation()
	return !up
}

// crashBody is a stream that ends with its runner.
type crashBody struct {
	ctx    context.Context
	gone   chan struct{}
	silent bool
	next   uint64
	last   uint64
}

func (b *crashBody) Read(p []byte) (int, error) {
	if b.next > b.last {
		return 0, io.EOF
	}
	event := time.After(eventEvery)
	if b.silent {
		event = nil
	}
	select {
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	case <-b.gone:
		return 0, errCrashed
	case <-event:
	}
	n := copy(p, fmt.Sprintf("id: %d\ndata: x\n\n", b.next))
	b.next++
	return n, nil
}

func (b *crashBody) Close() error { return nil }

// answer is what a caller got.
type answer struct {
	status int
	after  string
	body   string
	err    error
}

func (f *crashFleet) ask(gateway int, path, id, body string) answer {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, f.gateways[gateway%len(f.gateways)].URL+path, strings.NewReader(body))
	require.NoError(f.t, err)
	request.Header.Set("Id", id)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, after: response.Header.Get("Retry-After"), body: string(text), err: err}
}

func (f *crashFleet) ran(body string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[body]
}

// A request crashes each runner that begins to run it. Its caller sends it again, some
// 70 ms after each answer and at another gateway each time, and each gateway tried two
// more runners, since neither knew the request again. Of twelve runners none was left
// within three seconds, and each took along the streams of others: "request-ended" with
// "runner-broke-off" at ends 0.11, 0.17, 0.10 and 0.20 s apart, under ids that had
// nothing in common, 34 and 36 crashes in all.
//
// Three crashes prove it. Three runs more are borne, so that the news can travel.
func TestARequestThatCrashesRunnersIsRefusedEverywhere(t *testing.T) {
	f := startCrashFleet(t, 3)
	stop := make(chan struct{})
	var others sync.WaitGroup
	for n := range 10 {
		others.Go(func() {
			for turn := 0; ; turn++ {
				select {
				case <-stop:
					return
				default:
				}
				got := f.ask(n, "/stream/others", fmt.Sprintf("o%d-%d", n, turn), fmt.Sprintf("sound %d %d", n, turn))
				if strings.Contains(got.body, "crashes-runners") {
					t.Errorf("a sound request was taken for the cause: %+v", got)
				}
			}
		})
	}
	var answers []answer
	for turn := range 25 {
		answers = append(answers, f.ask(turn, "/stream/bad", fmt.Sprintf("q%d", turn), "crash"))
		time.Sleep(70 * time.Millisecond)
	}
	close(stop)
	others.Wait()
	require.LessOrEqual(t, f.ran("crash"), 6)
	last := answers[len(answers)-1]
	require.Equal(t, http.StatusServiceUnavailable, last.status, "not run, and said so")
	require.NotEmpty(t, last.after, "and when it would be tried again")
	require.Contains(t, last.body, "crashes-runners")
}

// freeAddress is a loopback address with a free UDP port.
func freeAddress(t *testing.T) string {
	t.Helper()
	socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = socket.Close() }()
	return socket.LocalAddr().String()
}

// The same request may run once for each of its attempts, so a gateway never sends it on
// to another runner; its caller does, by asking again. Each crash counts all the same, and
// what is refused at last hasn't run.
func TestACrashingRequestThatMayRunOnce(t *testing.T) {
	f := startCrashFleet(t, 3)
	refused := 0
	for turn := range 10 {
		before := f.ran("crash")
		got := f.ask(turn, "/once/bad", fmt.Sprintf("q%d", turn), "crash")
		require.NoError(t, got.err)
		switch got.status {
		case http.StatusBadGateway:
			require.Equal(t, before+1, f.ran("crash"))
		case http.StatusServiceUnavailable:
			require.Equal(t, before, f.ran("crash"))
			refused++
		default:
			t.Fatalf("status %d", got.status)
		}
	}
	require.LessOrEqual(t, f.ran("crash"), 6)
	require.Positive(t, refused)
}

// Connections break off under a request again and again, but the runners live on and take
// new ones. It isn't the cause of anything, and is tried as often as its caller asks.
func TestBrokenConnectionsAreNoCrashes(t *testing.T) {
	f := startCrashFleet(t, 3)
	for turn := range 10 {
		got := f.ask(turn, "/stream/reset", fmt.Sprintf("q%d", turn), "reset")
		require.Equal(t, http.StatusBadGateway, got.status)
		require.Contains(t, got.body, ReasonBroken)
	}
	require.Equal(t, 20, f.ran("reset"), "two runners each time")
	require.Zero(t, f.servers[0].config.Exchange.QuarantineCount())
}

// Two attempts of a request are under way at two gateways while its third crash becomes
// known. The one that has run is told that it may have; the one that waits is refused at once.
// Both are told when it is tried again.
func TestAnAttemptUnderWayWhenItsRequestIsQuarantined(t *testing.T) {
	f := startCrashFleet(t, 1)
	x := f.servers[0].config.Exchange
	bad := crashes.FingerprintOf(http.MethodPost, "team", "/stream/bad", []byte("crash"))
	for n := range 2 {
		x.ReportCrash(&toucanhingev1.Runner{Id: fmt.Sprint("earlier", n)}, bad, crashes.BeforeFirstEvent)
	}
	began := time.Now()
	waits := f.ask(0, "/stream/bad", "q1", "crash")
	require.Equal(t, http.StatusBadGateway, waits.status, "it rested, ran, and crashed its runner")
	require.Greater(t, time.Since(began), 300*time.Millisecond)
	require.Contains(t, waits.body, ReasonCrashes)
	require.NotEmpty(t, waits.after)
	began = time.Now()
	refused := f.ask(0, "/stream/bad", "q2", "crash")
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	require.Less(t, time.Since(began), 100*time.Millisecond)
	after, err := strconv.ParseFloat(refused.after, 64)
	require.NoError(t, err)
	require.Greater(t, after, 60.0)
	require.Equal(t, 1, f.ran("crash"))
}
