package callproxy

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/digest"
	"toucanhinge.example/common/pkg/runner"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// eventTimeout is the longest gap between events before a call is ended. Runners send an event every 20 ms,
	// or every 80 ms when slow. A runner that sends nothing for a second has lost power, or was disconnected
	// without a reset.
	eventTimeout = time.Second
	// readBufferSize fits several events of about 100 bytes.
	readBufferSize = 4 << 10
	// maxBufferedBytes limits the buffered output of a call. It fits some seconds of a fast runner's events.
	maxBufferedBytes = 64 << 10
)

var errRunnerUnresponsive = errors.New("nothing comes from the runner")

// call is a proxied call. Its own goroutine reads the runner's answer, and the session collects the buffered events.
type call struct {
	source    string
	number    uint64
	startedAt clock.Millis
	cancel    context.CancelCauseFunc
	// wake requests the session to send urgent events.
	wake func()
	// collected signals that the buffered output was taken. It has capacity one.
	collected chan struct{}
	// ended is true if this gateway has ended the call. It is guarded by the session's lock.
	ended bool

	mu       sync.Mutex
	accepted bool
	head     *toucanhingev1.CarryHead
	text     []byte
	urgent   bool
	end      *toucanhingev1.CarryEnd
}

// run calls the runner and reads its answer to the end.
func (c *call) run(ctx context.Context, client runner.Client, exchange *digest.Exchange, m *toucanhingev1.CarryRequest) {
	watch := exchange.Watch(m.GetRunner(), 0)
	defer watch.Stop()
	watchdog := time.AfterFunc(eventTimeout, func() { c.cancel(errRunnerUnresponsive) })
	defer watchdog.Stop()
	err := c.readAnswer(ctx, client, m, exchange, func() {
		watchdog.Reset(eventTimeout)
		watch.RecordEvent()
	})
	var unsent *runner.NotSentError
	end := &toucanhingev1.CarryEnd{NotSent: errors.As(err, &unsent)}
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cause
	}
	if err != nil {
		end.Failure = err.Error()
	}
	c.finish(end)
}

func (c *call) finish(end *toucanhingev1.CarryEnd) {
	c.mu.Lock()
	c.end, c.urgent = end, true
	c.mu.Unlock()
	c.wake()
}

func (c *call) readAnswer(
	ctx context.Context, client runner.Client, m *toucanhingev1.CarryRequest, exchange *digest.Exchange, onData func(),
) error {
	answer, err := client.Open(ctx, newRunnerCall(m))
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.Load != nil && !answer.OtherInstance {
		exchange.Observe(m.GetRunner().GetId(), answer.Load.Total())
		exchange.ObservePace(m.GetRunner().GetId(), answer.Load.Pace)
	}
	c.mu.Lock()
	c.head = newCarryHead(answer)
	c.mu.Unlock()
	buffer := make([]byte, readBufferSize)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			onData()
			if err := c.add(ctx, buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read an answer: %w", err)
		}
	}
}

// add buffers bytes of the answer. While the buffer is full, it waits for the session to take them, so that the runner
// can't send faster than the daemon that asked reads.
func (c *call) add(ctx context.Context, data []byte) error {
	c.mu.Lock()
	c.text = append(c.text, data...)
	full := len(c.text) >= maxBufferedBytes
	c.urgent = c.urgent || full
	c.mu.Unlock()
	for full {
		c.wake()
		select {
		case <-c.collected:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		c.mu.Lock()
		full = len(c.text) >= maxBufferedBytes
		c.mu.Unlock()
	}
	return nil
}

// collect returns the buffered part of the call as an event, or nil if there is nothing to send. Buffered output stays
// unless it is urgent or all is set. The first event, which reports that the call was accepted, is always
// returned.
func (c *call) collect(all bool) *toucanhingev1.CarryEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.accepted && !c.urgent && (!all || c.head == nil && len(c.text) == 0) {
		return nil
	}
	event := &toucanhingev1.CarryEvent{Call: c.number, Head: c.head, Data: c.text, End: c.end}
	c.accepted, c.urgent, c.head, c.text = true, false, nil, nil
	select {
	case c.collected <- struct{}{}:
	default:
	}
	return event
}
