package carrier

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

// frameTime is the longest pause between a gateway's messages while it makes calls: twice the
// time that events gather there, with some for a slow VM. It has lost power, or is cut off, if
// it takes longer.
const frameTime = 1_200 * time.Millisecond

var errSilent = errors.New("nothing comes from the gateway")

// line is the line to one gateway, over which it takes all calls and passes all answers on.
// A stream for each call cost the leader of a large fleet three times the processor time,
// most of it when a burst begins and hundreds of items give way at once.
type line struct {
	source string
	http   *http.Client
	cancel context.CancelFunc
	// wake has room for one: there are commands to send.
	wake chan struct{}
	// alive runs out when the gateway says nothing for too long.
	alive *time.Timer

	mu       sync.Mutex
	calls    map[uint64]*body
	starts   []*toucanhingev1.CarryRequest
	releases []uint64
	err      error
}

func newLine(source, address string, client *http.Client, broken func(*line)) *line {
	ctx, cancel := context.WithCancel(context.Background())
	l := &line{source: source, http: client, cancel: cancel, wake: make(chan struct{}, 1), calls: map[uint64]*body{}}
	l.alive = time.AfterFunc(frameTime, func() { l.checkAlive(broken) })
	stream := toucanhingev1connect.NewCarryServiceClient(
		client, "http://"+address, connect.WithAcceptCompression("gzip", nil, nil)).Carry(ctx)
	go func() {
		if err := l.send(ctx, stream); err != nil {
			l.fail(err)
			broken(l)
		}
	}()
	go func() {
		l.fail(l.receive(stream))
		broken(l)
	}()
	return l
}

type commandStream = connect.BidiStreamForClient[toucanhingev1.CarryCommands, toucanhingev1.CarryEvents]

// send sends commands, all that wait with one message.
func (l *line) send(ctx context.Context, out *commandStream) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.wake:
		}
		l.mu.Lock()
		commands := &toucanhingev1.CarryCommands{Source: l.source, Starts: l.starts, Releases: l.releases}
		l.starts, l.releases = nil, nil
		l.mu.Unlock()
		if err := out.Send(commands); err != nil {
			return errors.WithMessage(errCut, err.Error())
		}
	}
}

// receive hands out what the gateway tells, until the line breaks.
func (l *line) receive(in *commandStream) error {
	for {
		m, err := in.Receive()
		if err != nil {
			return errors.WithMessage(errCut, err.Error())
		}
		l.alive.Reset(frameTime)
		l.mu.Lock()
		bodies := make([]*body, len(m.GetEvents()))
		for i, event := range m.GetEvents() {
			bodies[i] = l.calls[event.GetCall()]
		}
		l.mu.Unlock()
		for i, event := range m.GetEvents() {
			if bodies[i] != nil {
				bodies[i].push(event)
			}
		}
	}
}

// checkAlive runs when nothing has come for too long. Without calls nothing has to.
func (l *line) checkAlive(broken func(*line)) {
	l.mu.Lock()
	calls := len(l.calls)
	l.mu.Unlock()
	if calls == 0 {
		return
	}
	l.fail(errSilent)
	broken(l)
}

// start hands a call to the gateway.
func (l *line) start(b *body, m *toucanhingev1.CarryRequest) {
	l.mu.Lock()
	if err := l.err; err != nil {
		l.mu.Unlock()
		b.fail(err)
		return
	}
	if len(l.calls) == 0 {
		l.alive.Reset(frameTime)
	}
	l.calls[b.number] = b
	l.starts = append(l.starts, m)
	l.mu.Unlock()
	l.stir()
}

func (l *line) release(number uint64) {
	l.mu.Lock()
	l.releases = append(l.releases, number)
	l.mu.Unlock()
	l.stir()
}

func (l *line) stir() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// drop forgets a call.
func (l *line) drop(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.calls, number)
}

func (l *line) busy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.calls) > 0
}

// fail ends the line and all its calls.
func (l *line) fail(err error) {
	l.mu.Lock()
	if l.err == nil {
		l.err = err
	}
	calls := l.calls
	l.calls = map[uint64]*body{}
	l.mu.Unlock()
	l.alive.Stop()
	l.cancel()
	for _, b := range calls {
		b.fail(err)
	}
	l.http.CloseIdleConnections()
}
