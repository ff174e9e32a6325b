package callproxy

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

// messageTimeout is the longest gap between a gateway's messages while it makes calls: twice the longest time that
// a gateway buffers events, and some slack for a slow VM. A gateway that sends nothing for longer has lost
// power or is disconnected.
const messageTimeout = 1_200 * time.Millisecond

var errGatewayUnresponsive = errors.New("the gateway is unresponsive")

// session is the stream to one gateway that carries the commands and answers of all calls. With a stream for each call
// and another request to end it, preempting hundreds of items at the start of a burst takes as many
// requests with headers. On a shared stream, commands and events that arrive together share a message.
type session struct {
	source string
	// flushInterval is how long the gateway may buffer events, in milliseconds.
	flushInterval *atomic.Int64
	http          *http.Client
	cancel        context.CancelFunc
	// commandsReady signals that there are commands to send. It has capacity one.
	commandsReady chan struct{}
	// watchdog fires when the gateway has sent nothing for messageTimeout.
	watchdog *time.Timer

	mu       sync.Mutex
	calls    map[uint64]*proxiedCall
	starts   []*toucanhingev1.CarryRequest
	releases []uint64
	err      error
}

func newSession(source, address string, client *http.Client, flushInterval *atomic.Int64, onBroken func(*session)) *session {
	ctx, cancel := context.WithCancel(context.Background())
	s := &session{source: source, flushInterval: flushInterval, http: client, cancel: cancel, commandsReady: make(chan struct{}, 1), calls: map[uint64]*proxiedCall{}}
	s.watchdog = time.AfterFunc(messageTimeout, func() { s.handleTimeout(onBroken) })
	stream := toucanhingev1connect.NewCarryServiceClient(
		client, "http://"+address, connect.WithAcceptCompression("gzip", nil, nil)).Carry(ctx)
	go func() {
		if err := s.send(ctx, stream); err != nil {
			s.fail(err)
			onBroken(s)
		}
	}()
	go func() {
		s.fail(s.receive(stream))
		onBroken(s)
	}()
	return s
}

type commandStream = connect.BidiStreamForClient[toucanhingev1.CarryCommands, toucanhingev1.CarryEvents]

// send sends pending commands, all in one message, until the context ends.
func (s *session) send(ctx context.Context, out *commandStream) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.commandsReady:
		}
		s.mu.Lock()
		commands := &toucanhingev1.CarryCommands{Source: s.source, Starts: s.starts, Releases: s.releases, GatherMs: uint32(s.flushInterval.Load())}
		s.starts, s.releases = nil, nil
		s.mu.Unlock()
		if err := out.Send(commands); err != nil {
			return errors.WithMessage(errSessionBroken, err.Error())
		}
	}
}

// receive dispatches the gateway's events to their calls until the session breaks.
func (s *session) receive(in *commandStream) error {
	for {
		m, err := in.Receive()
		if err != nil {
			return errors.WithMessage(errSessionBroken, err.Error())
		}
		s.watchdog.Reset(messageTimeout)
		s.mu.Lock()
		calls := make([]*proxiedCall, len(m.GetEvents()))
		for i, event := range m.GetEvents() {
			calls[i] = s.calls[event.GetCall()]
		}
		s.mu.Unlock()
		for i, event := range m.GetEvents() {
			if calls[i] != nil {
				calls[i].handleEvent(event)
			}
		}
	}
}

// handleTimeout ends the session if the gateway sent nothing for messageTimeout. A gateway without calls sends
// no messages.
func (s *session) handleTimeout(onBroken func(*session)) {
	s.mu.Lock()
	calls := len(s.calls)
	s.mu.Unlock()
	if calls == 0 {
		return
	}
	s.fail(errGatewayUnresponsive)
	onBroken(s)
}

// startCall sends a call to the gateway.
func (s *session) startCall(c *proxiedCall, m *toucanhingev1.CarryRequest) {
	s.mu.Lock()
	if err := s.err; err != nil {
		s.mu.Unlock()
		c.fail(err)
		return
	}
	if len(s.calls) == 0 {
		s.watchdog.Reset(messageTimeout)
	}
	s.calls[c.number] = c
	s.starts = append(s.starts, m)
	s.mu.Unlock()
	s.notifySender()
}

func (s *session) releaseCall(number uint64) {
	s.mu.Lock()
	s.releases = append(s.releases, number)
	s.mu.Unlock()
	s.notifySender()
}

func (s *session) notifySender() {
	select {
	case s.commandsReady <- struct{}{}:
	default:
	}
}

// remove removes a call from the session.
func (s *session) remove(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, number)
}

func (s *session) hasCalls() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls) > 0
}

// fail ends the session and all its calls.
func (s *session) fail(err error) {
	s.mu.Lock()
	if s.err == nil {
		s.err = err
	}
	calls := s.calls
	s.calls = map[uint64]*proxiedCall{}
	s.mu.Unlock()
	s.watchdog.Stop()
	s.cancel()
	for _, c := range calls {
		c.fail(err)
	}
	s.http.CloseIdleConnections()
}
