package carrier

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/runner"
	"toucanhinge.example/common/pkg/web"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

var errDirect = errors.New("called directly")

type stream = connect.BidiStream[toucanhingev1.CarryCommands, toucanhingev1.CarryEvents]

// teller sends what becomes of one call.
type teller func(events ...*toucanhingev1.CarryEvent) error

// gateway is a scripted one.
type gateway struct {
	address string
	mu      sync.Mutex
	asked   []*toucanhingev1.CarryRequest
	source  string
	// commands counts the messages that came, released has the numbers of the calls to end.
	commands int
	released []uint64
	answer   func(ctx context.Context, tell teller) error
}

// Carry answers each call in a goroutine of its own, as the script says; an error of the script
// breaks the session.
func (g *gateway) Carry(ctx context.Context, s *stream) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var sending sync.Mutex
	over := false
	defer func() {
		sending.Lock()
		over = true
		sending.Unlock()
	}()
	broken := make(chan error, 16)
	go func() {
		for {
			m, err := s.Receive()
			if err != nil {
				broken <- err
				return
			}
			g.take(m)
			for _, start := range m.GetStarts() {
				go func() {
					tell := func(events ...*toucanhingev1.CarryEvent) error {
						sending.Lock()
						defer sending.Unlock()
						if over {
							return errScript
						}
						for _, e := range events {
							e = &toucanhingev1.CarryEvent{Call: start.GetCall(), Head: e.GetHead(), Data: e.GetData(), End: e.GetEnd()}
							if err := s.Send(&toucanhingev1.CarryEvents{Events: []*toucanhingev1.CarryEvent{e}}); err != nil {
								return err
							}
						}
						return nil
					}
					if err := g.answer(ctx, tell); err != nil {
						broken <- err
					}
				}()
			}
		}
	}()
	return <-broken
}

func (g *gateway) take(m *toucanhingev1.CarryCommands) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.commands++
	g.source = m.GetSource()
	g.asked = append(g.asked, m.GetStarts()...)
	g.released = append(g.released, m.GetReleases()...)
}

func (g *gateway) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.asked)
}

func (g *gateway) releases() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.released)
}

func startGateway(t *testing.T, answer func(ctx context.Context, tell teller) error) *gateway {
	t.Helper()
	g := &gateway{answer: answer}
	mux := http.NewServeMux()
	mux.Handle(toucanhingev1connect.NewCarryServiceHandler(g))
	listener, err := web.Listen("127.0.0.1:0", mux)
	require.NoError(t, err)
	go func() { _ = listener.Serve() }()
	t.Cleanup(func() {
		over, done := context.WithCancel(context.Background())
		done()
		_ = listener.Shutdown(over)
	})
	g.address = listener.Address()
	return g
}

// play tells events one after the other.
func play(list ...*toucanhingev1.CarryEvent) func(context.Context, teller) error {
	return func(_ context.Context, tell teller) error { return tell(list...) }
}

var errScript = connect.NewError(connect.CodeInternal, errors.New("the script ends"))

// cut tells events, and then breaks the session.
func cut(list ...*toucanhingev1.CarryEvent) func(context.Context, teller) error {
	return func(_ context.Context, tell teller) error {
		if err := tell(list...); err != nil {
			return err
		}
		return errScript
	}
}

func head() *toucanhingev1.CarryEvent {
	running := uint32(4)
	return &toucanhingev1.CarryEvent{Head: &toucanhingev1.CarryHead{Status: http.StatusOK, Running: &running, Waiting: 2}}
}

func data(text string) *toucanhingev1.CarryEvent {
	return &toucanhingev1.CarryEvent{Data: []byte(text)}
}

func end(failure string, notSent bool) *toucanhingev1.CarryEvent {
	return &toucanhingev1.CarryEvent{End: &toucanhingev1.CarryEnd{Failure: failure, NotSent: notSent}}
}

func notTaken() *toucanhingev1.CarryEvent {
	return &toucanhingev1.CarryEvent{End: &toucanhingev1.CarryEnd{Failure: "leaving", NotSent: true, NotTaken: true}}
}

var taken = &toucanhingev1.CarryEvent{}

func carrierOf(gateways ...Gateway) *Client {
	return New(Config{
		Source: "leader", Gateways: func() []Gateway { return gateways }, HTTP: web.NewClient, Clock: clock.System(), Logger: log.NewNopLogger(), Registerer: prometheus.NewRegistry(),
		Direct: runner.Client{Open: func(context.Context, runner.Call) (*runner.Answer, error) { return nil, errDirect }},
	})
}

func callOf(dataCentre string) runner.Call {
	return runner.Call{
		Runner: &toucanhingev1.Runner{Id: "r", DataCentre: dataCentre}, Request: "q", Method: http.MethodPost, Target: "/a", Host: "h",
		Header: http.Header{"X-Model": {"m"}}, Body: []byte("body"), Team: "a", Resume: true, After: 7,
	}
}

// TestAnswers says what the driver of items gets for what a gateway sends. A text is
// whole only if the gateway said so.
func TestAnswers(t *testing.T) {
	for _, c := range []struct {
		name    string
		answer  func(context.Context, teller) error
		text    string
		whole   bool
		notSent bool
		broken  bool
	}{
		{"whole", play(taken, head(), data("ab"), data("c"), end("", false)), "abc", true, false, false},
		{"cut by the runner", play(taken, head(), data("ab"), end("reset", false)), "ab", false, false, false},
		{"cut by the gateway", cut(taken, head(), data("ab")), "ab", false, false, false},
		{"not sent", play(taken, end("refused", true)), "", false, true, false},
		{"broken before the head", play(taken, end("reset", false)), "", false, false, true},
		{"nothing after it was taken", cut(taken), "", false, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := startGateway(t, c.answer)
			answer, err := carrierOf(Gateway{Address: g.address}).RunnerClient().Open(context.Background(), callOf(""))
			var unsent *runner.NotSentError
			var broken *runner.BrokenError
			require.Equal(t, c.notSent, errors.As(err, &unsent), "%v", err)
			require.Equal(t, c.broken, errors.As(err, &broken), "%v", err)
			if err != nil {
				return
			}
			require.Equal(t, &runner.Load{Running: 4, Waiting: 2}, answer.Load)
			text, err := io.ReadAll(answer.Body)
			require.Equal(t, c.whole, err == nil, "%v", err)
			require.Equal(t, c.text, string(text))
			require.NoError(t, answer.Body.Close())
		})
	}
}

func TestTheCallIsPassedOnWhole(t *testing.T) {
	g := startGateway(t, play(taken, head(), end("", false)))
	answer, err := carrierOf(Gateway{Address: g.address}).RunnerClient().Open(context.Background(), callOf(""))
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	m := g.asked[0]
	require.Equal(t, "leader", g.source)
	require.Equal(t, "r", m.GetRunner().GetId())
	require.Equal(t, "body", string(m.GetBody()))
	require.Equal(t, "a", m.GetTeam())
	require.Equal(t, "X-Model", m.GetHeaders()[0].GetName())
	require.EqualValues(t, 7, m.GetAfter())
	require.NotNil(t, m.After)
}

// A gateway has lost power: it takes the connection's bytes and says nothing. Another
// one takes the call after a moment, and the silent one isn't asked again for a while.
func TestASilentGatewayIsPassedOver(t *testing.T) {
	silent := startGateway(t, func(ctx context.Context, _ teller) error {
		<-ctx.Done()
		return ctx.Err()
	})
	sound := startGateway(t, play(taken, head(), end("", false)))
	c := carrierOf(Gateway{silent.address, "here"}, Gateway{sound.address, "there"})
	for range 3 {
		began := time.Now()
		answer, err := c.RunnerClient().Open(context.Background(), callOf("here"))
		require.NoError(t, err)
		require.NoError(t, answer.Body.Close())
		require.Less(t, time.Since(began), 2*takeTime+time.Second)
	}
	require.InDelta(t, 1, testutil.ToFloat64(c.calls.WithLabelValues("not-taken")), 0)
	require.Equal(t, 1, silent.count())
	require.Equal(t, 3, sound.count())
}

// A new leader knows no gateway yet, and would begin hundreds of items by itself; so their
// calls wait. Where there is none for seconds, or the few that are there refuse, the runner is
// called directly.
func TestWithoutAGatewayTheRunnerIsCalledDirectly(t *testing.T) {
	refusing := startGateway(t, func(_ context.Context, tell teller) error { return tell(notTaken()) })
	_, err := carrierOf(Gateway{Address: refusing.address}).RunnerClient().Open(context.Background(), callOf(""))
	require.ErrorIs(t, err, errDirect)

	now := clock.Millis(1_000)
	c := carrierOf()
	c.config.Clock = clock.FromFunc(func() clock.Millis { return now })
	for range 3 {
		_, err = c.RunnerClient().Open(context.Background(), callOf(""))
		require.ErrorIs(t, err, ErrNoGateway)
		now += desertedAfter / 4
	}
	now += desertedAfter / 2
	_, err = c.RunnerClient().Open(context.Background(), callOf(""))
	require.ErrorIs(t, err, errDirect)
}

// Four gateways are there and none takes a call: it is this VM that is slow. Were it to call
// the runner itself, it would be slower still.
func TestASlowLeaderMakesNoCallsItself(t *testing.T) {
	refuse := func(_ context.Context, tell teller) error { return tell(notTaken()) }
	var gateways []Gateway
	for range mostSelf {
		gateways = append(gateways, Gateway{Address: startGateway(t, refuse).address})
	}
	_, err := carrierOf(gateways...).RunnerClient().Open(context.Background(), callOf(""))
	require.ErrorIs(t, err, ErrNoGateway)
}

// An item gives its place to online work: its call must end at the gateway too, or
// the runner would go on.
func TestClosingEndsTheGatewaysCall(t *testing.T) {
	ended := make(chan struct{})
	var g *gateway
	g = startGateway(t, func(ctx context.Context, tell teller) error {
		if err := play(taken, head(), data("x"))(ctx, tell); err != nil {
			return err
		}
		for ctx.Err() == nil && g.releases() == 0 {
			time.Sleep(time.Millisecond)
		}
		close(ended)
		return ctx.Err()
	})
	answer, err := carrierOf(Gateway{Address: g.address}).RunnerClient().Open(context.Background(), callOf(""))
	require.NoError(t, err)
	_, err = answer.Body.Read(make([]byte, 1))
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Fatal("the gateway's call goes on")
	}
}

// Gateways are replaced by others at new addresses, a hundred a day at the size that
// we design for. What is kept of those that are gone must not grow.
func TestGatewaysThatAreGoneAreForgotten(t *testing.T) {
	first, second := startGateway(t, play(taken, head(), end("", false))), startGateway(t, play(taken, head(), end("", false)))
	present := Gateway{Address: first.address}
	c := carrierOf()
	c.config.Gateways = func() []Gateway { return []Gateway{present} }
	for _, g := range []*gateway{first, second} {
		present.Address = g.address
		answer, err := c.RunnerClient().Open(context.Background(), callOf(""))
		require.NoError(t, err)
		require.NoError(t, answer.Body.Close())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	require.Len(t, c.sessions, 1)
	require.Contains(t, c.sessions, second.address)
}

// Items give way. The gateway is asked to end just their calls, all with one message, and
// what it still passes on is read.
func TestReleasedCallsStillBringWhatTheyHold(t *testing.T) {
	var g *gateway
	g = startGateway(t, func(ctx context.Context, tell teller) error {
		if err := play(taken, head())(ctx, tell); err != nil {
			return err
		}
		for ctx.Err() == nil {
			if g.releases() > 0 {
				return play(data("held back"), end("released", false))(ctx, tell)
			}
			time.Sleep(time.Millisecond)
		}
		return ctx.Err()
	})
	c := carrierOf(Gateway{Address: g.address})
	var answers []*runner.Answer
	for range 2 {
		answer, err := c.RunnerClient().Open(context.Background(), callOf(""))
		require.NoError(t, err)
		answers = append(answers, answer)
	}
	for _, answer := range answers {
		answer.Release()
	}
	for _, answer := range answers {
		text, err := io.ReadAll(answer.Body)
		require.ErrorIs(t, err, errCalled, "a released answer is not whole")
		require.Equal(t, "held back", string(text))
		require.NoError(t, answer.Body.Close())
	}
	require.Equal(t, []uint64{g.asked[0].GetCall(), g.asked[1].GetCall()}, g.released)
	require.NotEqual(t, g.released[0], g.released[1])
}

// A gateway takes a call and then loses power: the connection stays open, and no frame
// comes any more. The item has to go on elsewhere, not to wait for it.
func TestAGatewayThatFallsSilentIsLeft(t *testing.T) {
	g := startGateway(t, func(ctx context.Context, tell teller) error {
		if err := play(taken, head(), data("x"))(ctx, tell); err != nil {
			return err
		}
		<-ctx.Done()
		return ctx.Err()
	})
	answer, err := carrierOf(Gateway{Address: g.address}).RunnerClient().Open(context.Background(), callOf(""))
	require.NoError(t, err)
	began := time.Now()
	text, err := io.ReadAll(answer.Body)
	require.Error(t, err)
	require.Equal(t, "x", string(text))
	require.InDelta(t, frameTime.Seconds(), time.Since(began).Seconds(), 0.5)
	require.NoError(t, answer.Body.Close())
}

// A burst begins, and all items give way at once. Whatever their number, the gateway gets a
// few messages, not one for each.
func TestCommandsThatComeTogetherGoTogether(t *testing.T) {
	g := startGateway(t, play(taken, head()))
	c := carrierOf(Gateway{Address: g.address})
	const calls = 200
	var answers []*runner.Answer
	for len(answers) < calls {
		answer, err := c.RunnerClient().Open(context.Background(), callOf(""))
		if errors.Is(err, errDirect) {
			// This process stood still for longer than a gateway may need to take a call.
			continue
		}
		require.NoError(t, err)
		answers = append(answers, answer)
	}
	g.mu.Lock()
	before, released := g.commands, len(g.released)
	g.mu.Unlock()
	for _, answer := range answers {
		answer.Release()
	}
	require.Eventually(t, func() bool { return g.releases()-released >= calls }, 10*time.Second, time.Millisecond)
	g.mu.Lock()
	defer g.mu.Unlock()
	require.Less(t, g.commands-before, calls/2)
}

// The session to a gateway breaks under several calls. All of them end, none looks whole, and the
// next call gets a new session.
func TestABrokenSessionEndsItsCalls(t *testing.T) {
	proceed := make(chan struct{})
	g := startGateway(t, func(_ context.Context, tell teller) error {
		if err := tell(taken, head(), data("x")); err != nil {
			return err
		}
		<-proceed
		return errScript
	})
	c := carrierOf(Gateway{Address: g.address})
	var answers []*runner.Answer
	for range 3 {
		answer, err := c.RunnerClient().Open(context.Background(), callOf(""))
		require.NoError(t, err)
		answers = append(answers, answer)
	}
	close(proceed)
	for _, answer := range answers {
		text, err := io.ReadAll(answer.Body)
		require.Error(t, err)
		require.Equal(t, "x", string(text))
	}
	require.Eventually(t, func() bool {
		answer, err := c.RunnerClient().Open(context.Background(), callOf(""))
		return err == nil && answer.Status == http.StatusOK
	}, 5*time.Second, 10*time.Millisecond)
}
