package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
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
	"toucanhinge.example/common/pkg/prompt"
	"toucanhinge.example/common/pkg/routing"
	"toucanhinge.example/common/pkg/runner"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// restartTime is how long a crashed runner is down, shorter than in production; crashDelay is the
	// time from the start of a call until it crashes its runner.
	restartTime   = 800 * time.Millisecond
	crashDelay    = 40 * time.Millisecond
	eventInterval = 20 * time.Millisecond
)

// errCrashed is the error of a call whose runner crashed.
var errCrashed = errors.New("unexpected EOF")

// fakeRunner answers with streams, and crashes on some requests.
type fakeRunner struct {
	mu      sync.Mutex
	crashed chan struct{}
	backAt  time.Time
}

// incarnation returns a channel that is closed when the runner crashes; up is false while it is down.
func (r *fakeRunner) incarnation() (crashed chan struct{}, up bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashed, time.Now().After(r.backAt)
}

// crash ends an incarnation of the runner, and reports whether it was still running.
func (r *fakeRunner) crash(crashed chan struct{}) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.crashed != crashed {
		return false
	}
	close(crashed)
	r.crashed, r.backAt = make(chan struct{}), time.Now().Add(restartTime)
	return true
}

// crashFleet is a group of gateways with the same runners.
type crashFleet struct {
	t        *testing.T
	runners  map[string]*fakeRunner
	servers  []*Server
	gateways []*httptest.Server

	// delays are the times from the starts of crashing calls until they crash their runners, in turn; these calls send
	// events before. If there are none, they crash after crashDelay without an event.
	delays []time.Duration

	// probeTime is how long a probe of a runner takes.
	probeTime time.Duration

	mu sync.Mutex
	// runs counts the calls that reached a runner, by body.
	runs map[string]int
	// crashingAt and crashedAt are the times at which crashing calls reached runners and at which runners crashed.
	crashingAt []time.Time
	crashedAt  []time.Time
}

// startCrashFleet starts gateways with twelve runners.
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
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
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
		wg.Go(func() { x.Run(ctx) })
	}
	for _, x := range exchanges {
		x.SetPeers(peers)
		f.startGateway(x, known)
	}
	return f
}

func (f *crashFleet) startGateway(x *digest.Exchange, known []*toucanhingev1.Runner) {
	server := New(Config{
		Client: runner.Client{Open: f.open, Probe: f.probe}, Exchange: x, DataCentre: "here", Clock: clock.System(),
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
		auth, refusal := server.Authorize("q", "team", r.RequestURI, "")
		require.Nil(f.t, refusal)
		server.Serve(r.Context(), w, auth, Request{
			ID: r.Header.Get("Id"), Method: r.Method, Target: r.RequestURI, Host: "team", Body: body, Timeout: 5_000,
			Arrived: server.config.Clock.Now(), SharedParts: sharedParts(r.Header),
		})
	}))
	f.t.Cleanup(web.Close)
	f.servers = append(f.servers, server)
	f.gateways = append(f.gateways, web)
}

// sharedParts returns the parts that a test's request names.
func sharedParts(header http.Header) []prompt.PartID {
	var parts []prompt.PartID
	for _, id := range header.Values("Part") {
		parts = append(parts, prompt.PartID(id))
	}
	return parts
}

// crashing reports whether a request crashes its runner.
func crashing(call runner.Call) bool { return strings.HasPrefix(string(call.Body), "crash") }

func (f *crashFleet) crash(r *fakeRunner, crashed chan struct{}) {
	if !r.crash(crashed) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashedAt = append(f.crashedAt, time.Now())
}

func (f *crashFleet) open(ctx context.Context, call runner.Call) (*runner.Answer, error) {
	r := f.runners[call.Runner.GetId()]
	crashed, up := r.incarnation()
	if !up {
		return nil, &runner.NotSentError{Runner: call.Runner.GetId(), Err: errConnReset}
	}
	f.mu.Lock()
	f.runs[string(call.Body)]++
	delay := crashDelay
	if crashing(call) {
		if len(f.delays) > 0 {
			delay = f.delays[len(f.crashingAt)%len(f.delays)]
		}
		f.crashingAt = append(f.crashingAt, time.Now())
	}
	f.mu.Unlock()
	last, noEvents := uint64(12), false
	switch {
	case crashing(call):
		last, noEvents = math.MaxUint64, len(f.delays) == 0
		time.AfterFunc(delay, func() { f.crash(r, crashed) })
	case strings.HasPrefix(string(call.Body), "reset"):
		return nil, &runner.BrokenError{Runner: call.Runner.GetId(), Err: errConnReset}
	}
	return &runner.Answer{
		Status: http.StatusOK, Header: http.Header{"Seal": {call.Runner.GetId()}}, Length: -1,
		Body: &crashBody{ctx: ctx, crashed: crashed, noEvents: noEvents, next: call.After + 1, last: last},
	}, nil
}

func (f *crashFleet) probe(ctx context.Context, r *toucanhingev1.Runner) runner.Presence {
	select {
	case <-ctx.Done():
		return runner.Unknown
	case <-time.After(f.probeTime):
	}
	if _, up := f.runners[r.GetId()].incarnation(); up {
		return runner.Present
	}
	return runner.Gone
}

// crashBody is a stream that breaks when its runner crashes.
type crashBody struct {
	ctx      context.Context
	crashed  chan struct{}
	noEvents bool
	next     uint64
	last     uint64
}

func (b *crashBody) Read(p []byte) (int, error) {
	if b.next > b.last {
		return 0, io.EOF
	}
	event := time.After(eventInterval)
	if b.noEvents {
		event = nil
	}
	select {
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	case <-b.crashed:
		return 0, errCrashed
	case <-event:
	}
	n := copy(p, fmt.Sprintf("id: %d\ndata: x\n\n", b.next))
	b.next++
	return n, nil
}

func (b *crashBody) Close() error { return nil }

// answer is the answer that a caller received.
type answer struct {
	status int
	after  string
	body   string
	err    error
}

func (f *crashFleet) send(gateway int, path, id, body string, parts ...string) answer {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, f.gateways[gateway%len(f.gateways)].URL+path, strings.NewReader(body))
	require.NoError(f.t, err)
	request.Header.Set("Id", id)
	for _, part := range parts {
		request.Header.Add("Part", part)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, after: response.Header.Get("Retry-After"), body: string(text), err: err}
}

// ran returns how many calls with a body reached a runner.
func (f *crashFleet) ran(body string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[body]
}

// A request crashes each runner that runs it. Its caller retries it 70 ms after each answer, at another
// gateway and with another ID each time. Gateways that don't recognize the request try two more runners
// each: all twelve runners were down within three seconds, with 34 and 36 crashes in total, and the
// streams of other requests broke with them, 0.1 to 0.2 s apart.
//
// Three crashes suffice for a quarantine. The test allows three more runs until all gateways know of it.
func TestCrashingRequestIsQuarantinedAtAllGateways(t *testing.T) {
	f := startCrashFleet(t, 3)
	stop := make(chan struct{})
	var others sync.WaitGroup
	for n := range 10 {
		others.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				got := f.send(n, "/stream/others", fmt.Sprintf("o%d-%d", n, i), fmt.Sprintf("sound %d %d", n, i))
				if strings.Contains(got.body, "crashes-runners") {
					t.Errorf("a harmless request was quarantined: %+v", got)
				}
			}
		})
	}
	var answers []answer
	for i := range 25 {
		answers = append(answers, f.send(i, "/stream/bad", fmt.Sprintf("q%d", i), "crash"))
		time.Sleep(70 * time.Millisecond)
	}
	close(stop)
	others.Wait()
	require.LessOrEqual(t, f.ran("crash"), 6)
	last := answers[len(answers)-1]
	require.Equal(t, http.StatusServiceUnavailable, last.status, "the answer must say that the request wasn't run")
	require.NotEmpty(t, last.after, "the answer must say when to retry")
	require.Contains(t, last.body, "crashes-runners")
}

// Guards against crashes that aren't seen because a busy VM learns too late whether a runner still runs.
func TestCrashingRequestIsQuarantinedIfProbesAreSlow(t *testing.T) {
	f := startCrashFleet(t, 3)
	f.probeTime = 2 * probeTimeout
	refused := 0
	for i := range 20 {
		if got := f.send(i, "/stream/bad", fmt.Sprintf("q%d", i), "crash"); strings.Contains(got.body, ReasonCrashes) {
			refused++
		}
		time.Sleep(callerDelay)
	}
	require.LessOrEqual(t, f.ran("crash"), 8)
	require.Positive(t, refused)
}

// crashTimes are the times after which requests crash their runners, in turn.
var crashTimes = []struct {
	name   string
	delays []time.Duration
}{
	{"at once", []time.Duration{30 * time.Millisecond}},
	{"soon", []time.Duration{180 * time.Millisecond}},
	{"late", []time.Duration{560 * time.Millisecond}},
	{"very late", []time.Duration{1_300 * time.Millisecond}},
	{"at any time", []time.Duration{
		20 * time.Millisecond, 1_500 * time.Millisecond, 260 * time.Millisecond, 700 * time.Millisecond, 90 * time.Millisecond,
	}},
}

// Guards against a request that crashes runners later than any time limit of the product says, or at another time each
// time, so that no crash counts against it.
func TestCrashingRequestIsQuarantinedWheneverItCrashes(t *testing.T) {
	const span = 11 * time.Second
	for _, c := range crashTimes {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := startCrashFleet(t, 3)
			f.delays = c.delays
			l := startLoad(f, 10)
			for i, from := 0, time.Now(); time.Since(from) < span; i++ {
				f.send(i, "/stream/bad", fmt.Sprintf("q%d", i), "crash")
				time.Sleep(callerDelay)
			}
			l.stop()
			require.Greater(t, len(f.crashedAt), 2)
			late := f.sentLaterThan(f.crashedAt[2].Add(noticeLimit))
			t.Logf("%d crashes, %d calls later than %v after the third, %d sound attempts refused", len(f.crashedAt), late, noticeLimit, l.refused(ReasonCrashes))
			require.LessOrEqual(t, late, maxLateRuns)
			require.Zero(t, l.refused(ReasonCrashes), "no sound request may be quarantined")
		})
	}
}

// sentLaterThan counts the crashing calls that reached runners later than a time.
func (f *crashFleet) sentLaterThan(limit time.Time) (count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, at := range f.crashingAt {
		if at.After(limit) {
			count++
		}
	}
	return count
}

// freeAddress returns a loopback address with a free UDP port.
func freeAddress(t *testing.T) string {
	t.Helper()
	socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = socket.Close() }()
	return socket.LocalAddr().String()
}

// A request that isn't idempotent is never retried by a gateway, only by its caller. Each of its crashes
// counts as evidence nevertheless, and once it is quarantined it must not run.
func TestCrashingNonIdempotentRequestIsQuarantined(t *testing.T) {
	f := startCrashFleet(t, 3)
	refused := 0
	for i := range 10 {
		before := f.ran("crash")
		got := f.send(i, "/once/bad", fmt.Sprintf("q%d", i), "crash")
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

// The connections of a request break repeatedly, but the runners stay up and accept new connections.
// The request isn't a suspect, and each retry is served.
func TestBrokenConnectionsAreNotCrashes(t *testing.T) {
	f := startCrashFleet(t, 3)
	for i := range 10 {
		got := f.send(i, "/stream/reset", fmt.Sprintf("q%d", i), "reset")
		require.Equal(t, http.StatusBadGateway, got.status)
		require.Contains(t, got.body, ReasonBroken)
	}
	require.Equal(t, 20, f.ran("reset"), "each request must run at two runners")
	require.Zero(t, f.servers[0].config.Exchange.QuarantineCount())
}

// A request is quarantined by its third crash, during an attempt. The attempt that caused the crash
// ends with an error for a request that may have run; the next one is refused at once. Both answers
// contain the time after which to retry.
func TestQuarantineDuringAttempt(t *testing.T) {
	f := startCrashFleet(t, 1)
	x := f.servers[0].config.Exchange
	fingerprint := crashes.FingerprintOf(http.MethodPost, "team", "/stream/bad", []byte("crash"))
	for n := range 2 {
		x.ReportCrash(crashes.Report{
			Crash: crashes.Crash{Runner: fmt.Sprint("earlier", n)}, Fingerprint: fingerprint, Phase: crashes.BeforeFirstEvent, At: clock.System().Now(),
		})
	}
	startedAt := time.Now()
	delayed := f.send(0, "/stream/bad", "q1", "crash")
	require.Equal(t, http.StatusBadGateway, delayed.status, "the request must be delayed, then run and crash its runner")
	require.Greater(t, time.Since(startedAt), 300*time.Millisecond)
	require.Contains(t, delayed.body, ReasonCrashes)
	require.NotEmpty(t, delayed.after)
	startedAt = time.Now()
	refused := f.send(0, "/stream/bad", "q2", "crash")
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	require.Less(t, time.Since(startedAt), 100*time.Millisecond)
	after, err := strconv.ParseFloat(refused.after, 64)
	require.NoError(t, err)
	require.Greater(t, after, 60.0)
	require.Equal(t, 1, f.ran("crash"))
}
