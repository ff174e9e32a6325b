package carry

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

// fixture is a server before a scripted runner.
type fixture struct {
	server  *Server
	calls   toucanhingev1connect.CarryServiceClient
	overdue atomic.Bool
	// ended is closed when the runner sees its call broken off.
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
		Unresponsive: func(string, clock.Millis) bool { return f.overdue.Load() },
		Clock:   clock.System(), Logger: log.NewNopLogger(), Registerer: prometheus.NewRegistry(),
	})
	mux := http.NewServeMux()
	mux.Handle(toucanhingev1connect.NewCarryServiceHandler(f.server))
	listener, err := web.Listen("127.0.0.1:0", mux)
	require.NoError(t, err)
	go func() { _ = listener.Serve() }()
	ctx, cancel := context.WithCancel(context.Background())
	go f.server.Run(ctx)
	f.calls = toucanhingev1connect.NewCarryServiceClient(web.NewClient(), "http://"+listener.Address())
	t.Cleanup(func() {
		cancel()
		over, done := context.WithCancel(context.Background())
		done()
		_ = listener.Shutdown(over)
	})
	return f
}

// carried is what came of a call.
type carried struct {
	head *toucanhingev1.CarryHead
	text string
	end  *toucanhingev1.CarryEnd
	err  error
}

func (f *fixture) carry(request *toucanhingev1.CarryRequest) carried {
	c, _ := f.begin("leader", request)
	return c()
}

// begin starts one call over a session of its own. Wait returns what came of it, release asks for
// the end of some calls over another session.
func (f *fixture) begin(source string, request *toucanhingev1.CarryRequest) (wait func() carried, release func(calls ...uint64)) {
	ctx, cancel := context.WithCancel(context.Background())
	session := f.calls.Carry(ctx)
	sent := session.Send(&toucanhingev1.CarryCommands{Source: source, Starts: []*toucanhingev1.CarryRequest{request}})
	wait = func() (c carried) {
		defer cancel()
		if sent != nil {
			return carried{err: sent}
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

// under lists the calls that are under way.
func (f *fixture) under() []*call {
	f.server.mu.Lock()
	defer f.server.mu.Unlock()
	var calls []*call
	for l := range f.server.sessions {
		l.mu.Lock()
		for _, c := range l.calls {
			calls = append(calls, c)
		}
		l.mu.Unlock()
	}
	return calls
}

func answerOf(body io.Reader) *runner.Answer {
	return &runner.Answer{Status: http.StatusOK, Load: &runner.Load{Running: 3, Waiting: 1}, Body: io.NopCloser(body)}
}

func TestACallIsPassedOnAsItIs(t *testing.T) {
	var got runner.Call
	f := start(t, func(_ context.Context, call runner.Call) (*runner.Answer, error) {
		got = call
		return answerOf(strings.NewReader("id: 8\ndata: x\n\n")), nil
	})
	after := uint64(7)
	c := f.carry(&toucanhingev1.CarryRequest{
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

// Whatever a runner does, the one that asked learns whether its request may have run,
// and takes no cut answer for a whole one.
func TestFaultsOfRunners(t *testing.T) {
	for _, c := range []struct {
		name    string
		answer  *runner.Answer
		err     error
		notSent bool
	}{
		{"unreachable", nil, &runner.NotSentError{Runner: "r", Err: errWire}, true},
		{"broken before the head", nil, &runner.BrokenError{Runner: "r", Err: errWire}, false},
		{"broken in the body", answerOf(io.MultiReader(strings.NewReader("id"), failing{})), nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := start(t, func(context.Context, runner.Call) (*runner.Answer, error) { return c.answer, c.err })
			got := f.carry(&toucanhingev1.CarryRequest{Call: 1})
			require.NoError(t, got.err)
			require.NotEmpty(t, got.end.GetFailure())
			require.Equal(t, c.notSent, got.end.GetNotSent())
		})
	}
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, errWire }

// hanging is a runner that goes on for ever, and notices when its connection closes.
func hanging(ctx context.Context, _ runner.Call) (*runner.Answer, error) {
	source, sink := io.Pipe()
	context.AfterFunc(ctx, func() { _ = sink.CloseWithError(ctx.Err()) })
	return answerOf(source), nil
}

// The leader's VM loses power while a gateway carries its item. The connection stays
// open and nothing comes on it, as on a quiet day; only the digests are missing. The
// gateway closes the call's connection, so that the runner's place is free.
func TestTheCallOfASilentDaemonIsEnded(t *testing.T) {
	f := start(t, hanging)
	go f.carry(&toucanhingev1.CarryRequest{Call: 1})
	select {
	case <-f.ended:
		t.Fatal("ended while the leader is there")
	case <-time.After(5 * lookEvery):
	}
	f.overdue.Store(true)
	select {
	case <-f.ended:
	case <-time.After(time.Second):
		t.Fatal("the runner goes on")
	}
	require.InDelta(t, 1, testutil.ToFloat64(f.server.ended.WithLabelValues(reasonSilent)), 0)
}

// The gateway is stopped. The leader learns at once that its item must go on
// elsewhere, and no new call is taken.
func TestALeavingGatewayHandsItsCallsBack(t *testing.T) {
	f := start(t, hanging)
	ended := make(chan carried, 1)
	go func() { ended <- f.carry(&toucanhingev1.CarryRequest{Call: 1}) }()
	require.Eventually(t, func() bool { return len(f.under()) == 1 }, time.Second, time.Millisecond)
	f.server.Drain()
	select {
	case c := <-ended:
		require.NotEmpty(t, c.end.GetFailure())
	case <-time.After(time.Second):
		t.Fatal("the call goes on")
	}
	c := f.carry(&toucanhingev1.CarryRequest{Call: 1})
	require.True(t, c.end.GetNotTaken())
	require.True(t, c.end.GetNotSent())
}

// An item gives way while its gateway holds back half a second of its events. The runner's
// place is free at once, and the events still reach the one that asked: made again, they
// would cost a tenth of the fleet's time in bursts.
func TestAReleasedCallPassesOnWhatItHolds(t *testing.T) {
	f := start(t, func(ctx context.Context, _ runner.Call) (*runner.Answer, error) {
		source, sink := io.Pipe()
		context.AfterFunc(ctx, func() { _ = sink.CloseWithError(ctx.Err()) })
		// After the head has gone out.
		time.AfterFunc(20*time.Millisecond, func() { _, _ = sink.Write([]byte("id: 1\ndata: x\n\n")) })
		return answerOf(source), nil
	})
	wait, release := f.begin("leader", &toucanhingev1.CarryRequest{Call: 7})
	ended := make(chan carried, 1)
	go func() { ended <- wait() }()
	require.Eventually(t, func() bool {
		for _, c := range f.under() {
			c.mu.Lock()
			held := len(c.text) > 0
			c.mu.Unlock()
			return held
		}
		return false
	}, time.Second, time.Millisecond)
	release(8)
	select {
	case <-f.ended:
		t.Fatal("ended for another call's sake")
	case <-time.After(50 * time.Millisecond):
	}
	began := time.Now()
	release(7)
	<-f.ended
	c := <-ended
	require.Less(t, time.Since(began), firstGather)
	require.Equal(t, "id: 1\ndata: x\n\n", c.text)
	require.NotEmpty(t, c.end.GetFailure())
}

// The leader's process is killed: its session is reset. The runners of all calls over it must
// stop.
func TestTheEndOfASessionEndsItsCalls(t *testing.T) {
	f := start(t, hanging)
	ctx, cancel := context.WithCancel(context.Background())
	session := f.calls.Carry(ctx)
	require.NoError(t, session.Send(&toucanhingev1.CarryCommands{Source: "leader", Starts: []*toucanhingev1.CarryRequest{{Call: 1}}}))
	require.Eventually(t, func() bool { return len(f.under()) == 1 }, time.Second, time.Millisecond)
	cancel()
	select {
	case <-f.ended:
	case <-time.After(time.Second):
		t.Fatal("the runner goes on")
	}
}

// A runner goes dark under an item. The one that asked hears of it after a second, and all
// daemons sooner, so that nobody sends more work there.
func TestASilentRunnerIsTold(t *testing.T) {
	f := start(t, hanging)
	began := time.Now()
	ended := make(chan carried, 1)
	go func() {
		ended <- f.carry(&toucanhingev1.CarryRequest{Runner: &toucanhingev1.Runner{Id: "r", Slots: 8}})
	}()
	require.Eventually(t, func() bool {
		silent := false
		f.server.config.Exchange.View(func(table *occupancy.Table) { silent = table.Unresponsive(clock.System().Now(), "r") })
		return silent
	}, silence/2, time.Millisecond)
	c := <-ended
	require.Contains(t, c.end.GetFailure(), errSilent.Error())
	require.InDelta(t, silence.Seconds(), time.Since(began).Seconds(), 0.4)
}

// The leader isn't busy, and asks for events soon: what a gateway holds back when it ends, or
// when the leader does, is made again.
func TestEventsAreHeldBackAsLongAsTheLeaderSays(t *testing.T) {
	source, out := io.Pipe()
	f := start(t, func(context.Context, runner.Call) (*runner.Answer, error) { return answerOf(source), nil })
	stream := f.calls.Carry(t.Context())
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
		began := time.Now()
		_, err := io.WriteString(out, "event\n\n")
		require.NoError(t, err)
		require.Equal(t, "event\n\n", receive())
		if n > 0 {
			require.Less(t, time.Since(began), firstGather/2)
		}
	}
	require.NoError(t, out.Close())
}
