package callproxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
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

// eventSender sends events of one call.
type eventSender func(events ...*toucanhingev1.CarryEvent) error

// gateway is a scripted gateway.
type gateway struct {
	address string
	mu      sync.Mutex
	starts  []*toucanhingev1.CarryRequest
	source  string
	// commands is the number of received messages, and released the numbers of released calls.
	commands int
	released []uint64
	answer   func(ctx context.Context, send eventSender) error
}

// Carry answers each call by the script, in a goroutine of its own. An error of the script breaks the session.
func (g *gateway) Carry(ctx context.Context, s *stream) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var sending sync.Mutex
	ended := false
	defer func() {
		sending.Lock()
		ended = true
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
			g.record(m)
			for _, start := range m.GetStarts() {
				go func() {
					send := func(events ...*toucanhingev1.CarryEvent) error {
						sending.Lock()
						defer sending.Unlock()
						if ended {
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
					if err := g.answer(ctx, send); err != nil {
						broken <- err
					}
				}()
			}
		}
	}()
	return <-broken
}

func (g *gateway) record(m *toucanhingev1.CarryCommands) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.commands++
	g.source = m.GetSource()
	g.starts = append(g.starts, m.GetStarts()...)
	g.released = append(g.released, m.GetReleases()...)
}

func (g *gateway) startCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.starts)
}

func (g *gateway) releaseCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.released)
}

func startGateway(t *testing.T, answer func(ctx context.Context, send eventSender) error) *gateway {
	t.Helper()
	g := &gateway{answer: answer}
	mux := http.NewServeMux()
	mux.Handle(toucanhingev1connect.NewCarryServiceHandler(g))
	listener, err := web.Listen("127.0.0.1:0", mux)
	require.NoError(t, err)
	go func() { _ = listener.Serve() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = listener.Shutdown(ctx)
	})
	g.address = listener.Address()
	return g
}

// play returns a script that sends events in order.
func play(list ...*toucanhingev1.CarryEvent) func(context.Context, eventSender) error {
	return func(_ context.Context, send eventSender) error { return send(list...) }
}

var errScript = connect.NewError(connect.CodeInternal, errors.New("the script ends"))

// playAndBreak returns a script that sends events and then breaks the session.
func playAndBreak(list ...*toucanhingev1.CarryEvent) func(context.Context, eventSender) error {
	return func(_ context.Context, send eventSender) error {
		if err := send(list...); err != nil {
			return err
		}
		return errScript
	}
}

func headEvent() *toucanhingev1.CarryEvent {
	running := uint32(4)
	return &toucanhingev1.CarryEvent{Head: &toucanhingev1.CarryHead{Status: http.StatusOK, Running: &running, Waiting: 2}}
}

func dataEvent(text string) *toucanhingev1.CarryEvent {
	return &toucanhingev1.CarryEvent{Data: []byte(text)}
}

func endEvent(failure string, notSent bool) *toucanhingev1.CarryEvent {
	return &toucanhingev1.CarryEvent{End: &toucanhingev1.CarryEnd{Failure: failure, NotSent: notSent}}
}

func notAcceptedEvent() *toucanhingev1.CarryEvent {
	return &toucanhingev1.CarryEvent{End: &toucanhingev1.CarryEnd{Failure: "leaving", NotSent: true, NotTaken: true}}
}

var accepted = &toucanhingev1.CarryEvent{}

func newClient(gateways ...Gateway) *Client {
	return New(Config{
		Source: "leader", Gateways: func() []Gateway { return gateways }, HTTP: web.NewClient, Clock: clock.System(), Logger: log.NewNopLogger(), Registerer: prometheus.NewRegistry(),
		Direct: runner.Client{Open: func(context.Context, runner.Call) (*runner.Answer, error) { return nil, errDirect }},
	})
}

func newCall(dataCentre string) runner.Call {
	return runner.Call{
		Runner: &toucanhingev1.Runner{Id: "r", DataCentre: dataCentre}, Request: "q", Method: http.MethodPost, Target: "/a", Host: "h",
		Header: http.Header{"X-Model": {"m"}}, Body: []byte("body"), Team: "a", Resume: true, After: 7,
	}
}

// For each sequence of gateway events the client must return the right answer or error. A text is complete only if
// the gateway reported its end without a failure.
func TestOpenReturnsGatewayAnswer(t *testing.T) {
	for _, c := range []struct {
		name     string
		answer   func(context.Context, eventSender) error
		text     string
		complete bool
		notSent  bool
		broken   bool
	}{
		{"complete", play(accepted, headEvent(), dataEvent("ab"), dataEvent("c"), endEvent("", false)), "abc", true, false, false},
		{"cut by the runner", play(accepted, headEvent(), dataEvent("ab"), endEvent("reset", false)), "ab", false, false, false},
		{"cut by the gateway", playAndBreak(accepted, headEvent(), dataEvent("ab")), "ab", false, false, false},
		{"not sent", play(accepted, endEvent("refused", true)), "", false, true, false},
		{"broken before the head", play(accepted, endEvent("reset", false)), "", false, false, true},
		{"session broken after the call was accepted", playAndBreak(accepted), "", false, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := startGateway(t, c.answer)
			answer, err := newClient(Gateway{Address: g.address}).RunnerClient().Open(context.Background(), newCall(""))
			var unsent *runner.NotSentError
			var broken *runner.BrokenError
			require.Equal(t, c.notSent, errors.As(err, &unsent), "%v", err)
			require.Equal(t, c.broken, errors.As(err, &broken), "%v", err)
			if err != nil {
				return
			}
			require.Equal(t, &runner.Load{Running: 4, Waiting: 2}, answer.Load)
			text, err := io.ReadAll(answer.Body)
			require.Equal(t, c.complete, err == nil, "%v", err)
			require.Equal(t, c.text, string(text))
			require.NoError(t, answer.Body.Close())
		})
	}
}

func TestGatewayReceivesWholeCall(t *testing.T) {
	g := startGateway(t, play(accepted, headEvent(), endEvent("", false)))
	answer, err := newClient(Gateway{Address: g.address}).RunnerClient().Open(context.Background(), newCall(""))
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	require.Eventually(t, func() bool { return g.startCount() == 1 }, time.Second, time.Millisecond)
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.starts[0]
	require.Equal(t, "leader", g.source)
	require.Equal(t, "r", m.GetRunner().GetId())
	require.Equal(t, "body", string(m.GetBody()))
	require.Equal(t, "a", m.GetTeam())
	require.Equal(t, "X-Model", m.GetHeaders()[0].GetName())
	require.EqualValues(t, 7, m.GetAfter())
	require.NotNil(t, m.After)
}

// A gateway has lost power: its connection stays open and it sends nothing. Another gateway must get the call after
// the accept timeout, and the unresponsive gateway must be blocked.
func TestUnresponsiveGatewayIsBlocked(t *testing.T) {
	unresponsive := startGateway(t, func(ctx context.Context, _ eventSender) error {
		<-ctx.Done()
		return ctx.Err()
	})
	healthy := startGateway(t, play(accepted, headEvent(), endEvent("", false)))
	c := newClient(Gateway{unresponsive.address, "here"}, Gateway{healthy.address, "there"})
	for range 3 {
		startedAt := time.Now()
		answer, err := c.RunnerClient().Open(context.Background(), newCall("here"))
		require.NoError(t, err)
		require.NoError(t, answer.Body.Close())
		require.Less(t, time.Since(startedAt), 2*acceptTimeout+time.Second)
	}
	require.InDelta(t, 1, testutil.ToFloat64(c.calls.WithLabelValues("not-taken")), 0)
	require.Equal(t, 1, unresponsive.startCount())
	require.Equal(t, 3, healthy.startCount())
}

// A new leader has not discovered any gateway and would start hundreds of items by direct calls, so they must fail. If
// there is no gateway for seconds, or a few gateways refuse, the runner must be called directly.
func TestRunnerIsCalledDirectlyWithoutGateways(t *testing.T) {
	refusing := startGateway(t, func(_ context.Context, send eventSender) error { return send(notAcceptedEvent()) })
	_, err := newClient(Gateway{Address: refusing.address}).RunnerClient().Open(context.Background(), newCall(""))
	require.ErrorIs(t, err, errDirect)

	now := clock.Millis(1_000)
	c := newClient()
	c.config.Clock = clock.FromFunc(func() clock.Millis { return now })
	for range 3 {
		_, err = c.RunnerClient().Open(context.Background(), newCall(""))
		require.ErrorIs(t, err, ErrNoGateway)
		now += directCallDelay / 4
	}
	now += directCallDelay / 2
	_, err = c.RunnerClient().Open(context.Background(), newCall(""))
	require.ErrorIs(t, err, errDirect)
}

// There are four gateways and none accepts a call, which means that this VM is overloaded. It must not call the
// runner directly, since that would add to its load.
func TestOverloadedLeaderMakesNoDirectCalls(t *testing.T) {
	refuse := func(_ context.Context, send eventSender) error { return send(notAcceptedEvent()) }
	var gateways []Gateway
	for range directCallCutoff {
		gateways = append(gateways, Gateway{Address: startGateway(t, refuse).address})
	}
	_, err := newClient(gateways...).RunnerClient().Open(context.Background(), newCall(""))
	require.ErrorIs(t, err, ErrNoGateway)
}

// An item is preempted by an online request. The gateway must end its call too, or the runner would continue.
func TestClosingAnswerEndsGatewayCall(t *testing.T) {
	ended := make(chan struct{})
	var g *gateway
	g = startGateway(t, func(ctx context.Context, send eventSender) error {
		if err := play(accepted, headEvent(), dataEvent("x"))(ctx, send); err != nil {
			return err
		}
		for ctx.Err() == nil && g.releaseCount() == 0 {
			time.Sleep(time.Millisecond)
		}
		close(ended)
		return ctx.Err()
	})
	answer, err := newClient(Gateway{Address: g.address}).RunnerClient().Open(context.Background(), newCall(""))
	require.NoError(t, err)
	_, err = answer.Body.Read(make([]byte, 1))
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Fatal("the gateway didn't end the call")
	}
}

// Gateways are replaced by others with new addresses, a hundred a day at the size that the system is designed for.
// Sessions with removed gateways must not accumulate.
func TestSessionsOfRemovedGatewaysAreClosed(t *testing.T) {
	first, second := startGateway(t, play(accepted, headEvent(), endEvent("", false))), startGateway(t, play(accepted, headEvent(), endEvent("", false)))
	present := Gateway{Address: first.address}
	c := newClient()
	c.config.Gateways = func() []Gateway { return []Gateway{present} }
	for _, g := range []*gateway{first, second} {
		present.Address = g.address
		answer, err := c.RunnerClient().Open(context.Background(), newCall(""))
		require.NoError(t, err)
		require.NoError(t, answer.Body.Close())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	require.Len(t, c.sessions, 1)
	require.Contains(t, c.sessions, second.address)
}

// Two items are preempted. Exactly their calls must be released, and the output that the gateway still
// sends must be read.
func TestReleasedCallsReturnBufferedOutput(t *testing.T) {
	var g *gateway
	g = startGateway(t, func(ctx context.Context, send eventSender) error {
		if err := play(accepted, headEvent())(ctx, send); err != nil {
			return err
		}
		for ctx.Err() == nil {
			if g.releaseCount() > 0 {
				return play(dataEvent("buffered"), endEvent("released", false))(ctx, send)
			}
			time.Sleep(time.Millisecond)
		}
		return ctx.Err()
	})
	c := newClient(Gateway{Address: g.address})
	var answers []*runner.Answer
	for range 2 {
		answer, err := c.RunnerClient().Open(context.Background(), newCall(""))
		require.NoError(t, err)
		answers = append(answers, answer)
	}
	for _, answer := range answers {
		answer.Release()
	}
	for _, answer := range answers {
		text, err := io.ReadAll(answer.Body)
		require.ErrorIs(t, err, errCallFailed, "a released answer must not look complete")
		require.Equal(t, "buffered", string(text))
		require.NoError(t, answer.Body.Close())
	}
	require.Equal(t, []uint64{g.starts[0].GetCall(), g.starts[1].GetCall()}, g.released)
	require.NotEqual(t, g.released[0], g.released[1])
}

// A gateway accepts a call and then loses power: the connection stays open, and no message arrives any more. The call
// must fail after the message timeout, so that the item resumes elsewhere.
func TestCallFailsWhenGatewayStopsSending(t *testing.T) {
	g := startGateway(t, func(ctx context.Context, send eventSender) error {
		if err := play(accepted, headEvent(), dataEvent("x"))(ctx, send); err != nil {
			return err
		}
		<-ctx.Done()
		return ctx.Err()
	})
	answer, err := newClient(Gateway{Address: g.address}).RunnerClient().Open(context.Background(), newCall(""))
	require.NoError(t, err)
	startedAt := time.Now()
	text, err := io.ReadAll(answer.Body)
	require.Error(t, err)
	require.Equal(t, "x", string(text))
	require.InDelta(t, messageTimeout.Seconds(), time.Since(startedAt).Seconds(), 0.5)
	require.NoError(t, answer.Body.Close())
}

// A burst of online requests preempts all items at once. The gateway must receive fewer messages than there are items.
func TestConcurrentReleasesShareMessages(t *testing.T) {
	g := startGateway(t, play(accepted, headEvent()))
	c := newClient(Gateway{Address: g.address})
	const calls = 200
	var answers []*runner.Answer
	for len(answers) < calls {
		answer, err := c.RunnerClient().Open(context.Background(), newCall(""))
		if errors.Is(err, errDirect) {
			// This process was stalled for longer than acceptTimeout.
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
	require.Eventually(t, func() bool { return g.releaseCount()-released >= calls }, 10*time.Second, time.Millisecond)
	g.mu.Lock()
	defer g.mu.Unlock()
	require.Less(t, g.commands-before, calls/2)
}

// The session with a gateway breaks during several calls. All of them must end, none may look complete, and the next
// call must open a new session.
func TestBrokenSessionEndsCalls(t *testing.T) {
	proceed := make(chan struct{})
	g := startGateway(t, func(_ context.Context, send eventSender) error {
		if err := send(accepted, headEvent(), dataEvent("x")); err != nil {
			return err
		}
		<-proceed
		return errScript
	})
	c := newClient(Gateway{Address: g.address})
	var answers []*runner.Answer
	for range 3 {
		answer, err := c.RunnerClient().Open(context.Background(), newCall(""))
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
		answer, err := c.RunnerClient().Open(context.Background(), newCall(""))
		return err == nil && answer.Status == http.StatusOK
	}, 5*time.Second, 10*time.Millisecond)
}

// Guards against a leader that runs out of memory: a gateway passes on more than the leader reads. The call must not look
// complete, and the gateway must end it.
func TestCallWithUnreadOutputFails(t *testing.T) {
	const blocks = 64
	list := []*toucanhingev1.CarryEvent{accepted, headEvent()}
	for range blocks {
		list = append(list, dataEvent(strings.Repeat("x", maxUnreadBytes/16)))
	}
	g := startGateway(t, play(append(list, endEvent("", false))...))
	answer, err := newClient(Gateway{Address: g.address}).RunnerClient().Open(context.Background(), newCall(""))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return g.releaseCount() == 1 }, 5*time.Second, time.Millisecond)
	read, err := io.Copy(io.Discard, answer.Body)
	require.ErrorIs(t, err, errUnread)
	require.LessOrEqual(t, read, int64(maxUnreadBytes))
	require.NoError(t, answer.Body.Close())
}
