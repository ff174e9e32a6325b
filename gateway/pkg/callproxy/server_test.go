package callproxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/digest"
	"toucanhinge.example/common/pkg/occupancy"
	"toucanhinge.example/common/pkg/runner"
	"toucanhinge.example/common/pkg/web"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

var errWire = errors.New("connection reset")

// fixture is a server with a scripted runner.
type fixture struct {
	server       *Server
	client       toucanhingev1connect.CarryServiceClient
	unresponsive atomic.Bool
	// ended is closed when the call to the runner is cancelled.
	ended chan struct{}
}

func start(t *testing.T, open func(ctx context.Context, call runner.Call) (*runner.Answer, error)) *fixture {
	t.Helper()
	f := &fixture{ended: make(chan struct{})}
	exchange, err := digest.Listen(digest.Config{
		Address: "127.0.0.1:0", Source: "g", Clock: clock.System(), Logger: log.NewNopLogger(), Version: func() uint64 { return 0 },
	})
	require.NoError(t, err)
	f.server = New(Config{
		Exchange: exchange,
		Client: runner.Client{Open: func(ctx context.Context, call runner.Call) (*runner.Answer, error) {
			context.AfterFunc(ctx, func() { close(f.ended) })
			return open(ctx, call)
		}},
		Unresponsive: func(string, clock.Millis) bool { return f.unresponsive.Load() },
		Clock:        clock.System(), Logger: log.NewNopLogger(), Registerer: prometheus.NewRegistry(),
	})
	mux := http.NewServeMux()
	mux.Handle(toucanhingev1connect.NewCarryServiceHandler(f.server))
	listener, err := web.Listen("127.0.0.1:0", mux)
	require.NoError(t, err)
	go func() { _ = listener.Serve() }()
	ctx, cancel := context.WithCancel(context.Background())
	go f.server.Run(ctx)
	f.client = toucanhingev1connect.NewCarryServiceClient(web.NewClient(), "http://"+listener.Address())
	t.Cleanup(func() {
		cancel()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = listener.Shutdown(ctx)
	})
	return f
}

// callResult is the result of a proxied call.
type callResult struct {
	head *toucanhingev1.CarryHead
	text string
	end  *toucanhingev1.CarryEnd
	err  error
}

func (f *fixture) call(request *toucanhingev1.CarryRequest) callResult {
	c, _ := f.startCall("leader", request)
	return c()
}

// startCall starts one call over a session of its own. wait returns its result, and release releases calls over the same
// session.
func (f *fixture) startCall(source string, request *toucanhingev1.CarryRequest) (wait func() callResult, release func(calls ...uint64)) {
	ctx, cancel := context.WithCancel(context.Background())
	session := f.client.Carry(ctx)
	sendErr := session.Send(&toucanhingev1.CarryCommands{Source: source, Starts: []*toucanhingev1.CarryRequest{request}})
	wait = func() (c callResult) {
		defer cancel()
		if sendErr != nil {
			return callResult{err: sendErr}
		}
		for {
			m, err := session.Receive()
			if err != nil {
				c.err = err
				return c
			}
			for _, event := range m.GetEvents() {
				if event.GetHead() != nil {
					c.head = event.GetHead()
				}
				c.text += string(event.GetData())
				if c.end = event.GetEnd(); c.end != nil {
					return c
				}
			}
		}
	}
	return wait, func(calls ...uint64) { _ = session.Send(&toucanhingev1.CarryCommands{Source: source, Releases: calls}) }
}

// activeCalls returns the calls of all sessions.
func (f *fixture) activeCalls() []*call {
	f.server.mu.Lock()
	defer f.server.mu.Unlock()
	var calls []*call
	for session := range f.server.sessions {
		session.mu.Lock()
		for _, c := range session.calls {
			calls = append(calls, c)
		}
		session.mu.Unlock()
	}
	return calls
}

func newAnswer(body io.Reader) *runner.Answer {
	return &runner.Answer{Status: http.StatusOK, Load: &runner.Load{Running: 3, Waiting: 1}, Body: io.NopCloser(body)}
}

func TestCallIsProxiedUnchanged(t *testing.T) {
	var got runner.Call
	f := start(t, func(_ context.Context, call runner.Call) (*runner.Answer, error) {
		got = call
		return newAnswer(strings.NewReader("id: 8\ndata: x\n\n")), nil
	})
	after := uint64(7)
	c := f.call(&toucanhingev1.CarryRequest{
		Runner: &toucanhingev1.Runner{Id: "r"}, Request: "q", Method: http.MethodPost, Target: "/a?b", Host: "h",
		Headers: []*toucanhingev1.HeaderField{{Name: "X-Model", Value: "m"}}, Body: []byte("body"), After: &after, Team: "a",
	})
	require.NoError(t, c.err)
	require.Equal(t, "r", got.Runner.GetId())
	got.Runner = nil
	require.Equal(t, runner.Call{
		Request: "q", Method: http.MethodPost, Target: "/a?b", Host: "h", Header: http.Header{"X-Model": {"m"}},
		Body: []byte("body"), Resume: true, After: 7, Team: "a",
	}, got)
	require.Equal(t, "id: 8\ndata: x\n\n", c.text)
	require.EqualValues(t, http.StatusOK, c.head.GetStatus())
	require.EqualValues(t, 3, c.head.GetRunning())
	require.Empty(t, c.end.GetFailure())
}

// After each kind of runner fault, the calling daemon must learn whether its request may have run, and an incomplete
// answer must not look complete.
func TestRunnerFaultsAreReported(t *testing.T) {
	for _, c := range []struct {
		name    string
		answer  *runner.Answer
		err     error
		notSent bool
	}{
		{"unreachable", nil, &runner.NotSentError{Runner: "r", Err: errWire}, true},
		{"broken before the head", nil, &runner.BrokenError{Runner: "r", Err: errWire}, false},
		{"broken in the body", newAnswer(io.MultiReader(strings.NewReader("id"), failingReader{})), nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := start(t, func(context.Context, runner.Call) (*runner.Answer, error) { return c.answer, c.err })
			got := f.call(&toucanhingev1.CarryRequest{Call: 1})
			require.NoError(t, got.err)
			require.NotEmpty(t, got.end.GetFailure())
			require.Equal(t, c.notSent, got.end.GetNotSent())
		})
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errWire }

// hangingRunner answers with a body that blocks until its context ends.
func hangingRunner(ctx context.Context, _ runner.Call) (*runner.Answer, error) {
	source, sink := io.Pipe()
	context.AfterFunc(ctx, func() { _ = sink.CloseWithError(ctx.Err()) })
	return newAnswer(source), nil
}

// The leader's VM loses power while a gateway proxies a call for it. The session's connection stays open and idle, and
// only the load digests are missing. The gateway must close the connection of the call, so that the runner's slot
// becomes free.
func TestCallOfUnresponsiveDaemonIsEnded(t *testing.T) {
	f := start(t, hangingRunner)
	go f.call(&toucanhingev1.CarryRequest{Call: 1})
	select {
	case <-f.ended:
		t.Fatal("the call ended although the leader is alive")
	case <-time.After(5 * orphanCheckInterval):
	}
	f.unresponsive.Store(true)
	select {
	case <-f.ended:
	case <-time.After(time.Second):
		t.Fatal("the call to the runner didn't end")
	}
	require.InDelta(t, 1, testutil.ToFloat64(f.server.ended.WithLabelValues(reasonUnresponsive)), 0)
}

// The gateway shuts down. The leader must learn at once that the call has ended, so that its item resumes
// elsewhere, and new calls must be rejected.
func TestDrainEndsAndRejectsCalls(t *testing.T) {
	f := start(t, hangingRunner)
	ended := make(chan callResult, 1)
	go func() { ended <- f.call(&toucanhingev1.CarryRequest{Call: 1}) }()
	require.Eventually(t, func() bool { return len(f.activeCalls()) == 1 }, time.Second, time.Millisecond)
	f.server.Drain()
	select {
	case c := <-ended:
		require.NotEmpty(t, c.end.GetFailure())
	case <-time.After(time.Second):
		t.Fatal("the call didn't end")
	}
	c := f.call(&toucanhingev1.CarryRequest{Call: 1})
	require.True(t, c.end.GetNotTaken())
	require.True(t, c.end.GetNotSent())
}

// An item is preempted while its gateway buffers half a second of its events. The runner's slot must become free at
// once, and the events must still reach the calling daemon: making them again would take a tenth of the fleet's
// time in bursts.
func TestReleasedCallSendsBufferedEvents(t *testing.T) {
	f := start(t, func(ctx context.Context, _ runner.Call) (*runner.Answer, error) {
		source, sink := io.Pipe()
		context.AfterFunc(ctx, func() { _ = sink.CloseWithError(ctx.Err()) })
		// The delay lets the head be sent first.
		time.AfterFunc(20*time.Millisecond, func() { _, _ = sink.Write([]byte("id: 1\ndata: x\n\n")) })
		return newAnswer(source), nil
	})
	wait, release := f.startCall("leader", &toucanhingev1.CarryRequest{Call: 7})
	ended := make(chan callResult, 1)
	go func() { ended <- wait() }()
	require.Eventually(t, func() bool {
		for _, c := range f.activeCalls() {
			c.mu.Lock()
			buffered := len(c.text) > 0
			c.mu.Unlock()
			return buffered
		}
		return false
	}, time.Second, time.Millisecond)
	release(8)
	select {
	case <-f.ended:
		t.Fatal("the release of another call ended this one")
	case <-time.After(50 * time.Millisecond):
	}
	startedAt := time.Now()
	release(7)
	<-f.ended
	c := <-ended
	require.Less(t, time.Since(startedAt), defaultFlushInterval)
	require.Equal(t, "id: 1\ndata: x\n\n", c.text)
	require.NotEmpty(t, c.end.GetFailure())
}

// The leader's process is killed, which resets its session. All calls of the session must end.
func TestClosedSessionEndsItsCalls(t *testing.T) {
	f := start(t, hangingRunner)
	ctx, cancel := context.WithCancel(context.Background())
	session := f.client.Carry(ctx)
	require.NoError(t, session.Send(&toucanhingev1.CarryCommands{Source: "leader", Starts: []*toucanhingev1.CarryRequest{{Call: 1}}}))
	require.Eventually(t, func() bool { return len(f.activeCalls()) == 1 }, time.Second, time.Millisecond)
	cancel()
	select {
	case <-f.ended:
	case <-time.After(time.Second):
		t.Fatal("the call to the runner didn't end")
	}
}

// A runner loses power during a call. The calling daemon must get an error after a second, and the digest exchange
// must mark the runner as unresponsive sooner, so that no daemon sends more requests to it.
func TestUnresponsiveRunnerIsReported(t *testing.T) {
	f := start(t, hangingRunner)
	startedAt := time.Now()
	ended := make(chan callResult, 1)
	go func() {
		ended <- f.call(&toucanhingev1.CarryRequest{Runner: &toucanhingev1.Runner{Id: "r", Slots: 8}})
	}()
	require.Eventually(t, func() bool {
		unresponsive := false
		f.server.config.Exchange.View(func(table *occupancy.Table) { unresponsive = table.Unresponsive(clock.System().Now(), "r") })
		return unresponsive
	}, eventTimeout/2, time.Millisecond)
	c := <-ended
	require.Contains(t, c.end.GetFailure(), errRunnerUnresponsive.Error())
	require.InDelta(t, eventTimeout.Seconds(), time.Since(startedAt).Seconds(), 0.4)
}

// An idle leader requests a short flush interval, since buffered events are lost if the gateway or the leader fails.
// The gateway must send events within that interval.
func TestEventsAreFlushedAtRequestedInterval(t *testing.T) {
	source, out := io.Pipe()
	f := start(t, func(context.Context, runner.Call) (*runner.Answer, error) { return newAnswer(source), nil })
	stream := f.client.Carry(t.Context())
	require.NoError(t, stream.Send(&toucanhingev1.CarryCommands{
		Source: "leader", GatherMs: 20, Starts: []*toucanhingev1.CarryRequest{{Call: 1, Runner: &toucanhingev1.Runner{Id: "r"}}},
	}))
	receive := func() string {
		for {
			m, err := stream.Receive()
			require.NoError(t, err)
			for _, event := range m.GetEvents() {
				if len(event.GetData()) > 0 {
					return string(event.GetData())
				}
			}
		}
	}
	for n := range 5 {
		startedAt := time.Now()
		_, err := io.WriteString(out, "event\n\n")
		require.NoError(t, err)
		require.Equal(t, "event\n\n", receive())
		if n > 0 {
			require.Less(t, time.Since(startedAt), defaultFlushInterval/2)
		}
	}
	require.NoError(t, out.Close())
}
