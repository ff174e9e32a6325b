package carry

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/digest"
	"toucanhinge.example/common/pkg/runner"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// gather is how long events wait for others. Nobody waits for single events of an
	// item, and each message costs both ends some 50 us of processor time: passed on
	// every 40 ms, the events of 500 items took all of the processor of the VM that
	// leads, which then missed its heartbeats, and the leader changed once a second. What
	// is gathered is lost with the gateway's VM, a quarter of a second of work on the mean.
	gather = 500 * time.Millisecond
	// silence is the longest pause between events before a call is ended. Runners make an
	// event every 20 ms, 80 when slow; one that says nothing for a second is dark, or cut
	// off without a reset.
	silence = time.Second
	// readBytes holds some events of about 100 bytes.
	readBytes = 4 << 10
	// mostGathered bounds what is held back: some seconds of a fast runner's events.
	mostGathered = 64 << 10
)

var errSilent = errors.New("nothing comes from the runner")

// call is one call on its way. One goroutine reads the runner's answer, another one
// passes on what has gathered.
type call struct {
	source string
	number uint64
	began  clock.Millis
	cancel context.CancelCauseFunc
	// news has room for one: there is something to pass on at once.
	news chan struct{}

	mu   sync.Mutex
	head *toucanhingev1.CarryHead
	text []byte
	end  *toucanhingev1.CarryEnd
}

func newCall(m *toucanhingev1.CarryRequest, now clock.Millis, cancel context.CancelCauseFunc) *call {
	return &call{source: m.GetSource(), number: m.GetCall(), began: now, cancel: cancel, news: make(chan struct{}, 1)}
}

// read calls the runner and reads its answer to the end.
func (c *call) read(ctx context.Context, client runner.Client, exchange *digest.Exchange, m *toucanhingev1.CarryRequest) {
	watch := exchange.Watch(m.GetRunner(), 0)
	defer watch.Stop()
	watchdog := time.AfterFunc(silence, func() { c.cancel(errSilent) })
	defer watchdog.Stop()
	err := c.readAnswer(ctx, client, m, func() {
		watchdog.Reset(silence)
		watch.Heard()
	})
	var unsent *runner.NotSentError
	end := &toucanhingev1.CarryEnd{NotSent: errors.As(err, &unsent)}
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cause
	}
	if err != nil {
		end.Failure = err.Error()
	}
	c.mu.Lock()
	c.end = end
	c.mu.Unlock()
	c.wake()
}

func (c *call) readAnswer(ctx context.Context, client runner.Client, m *toucanhingev1.CarryRequest, heard func()) error {
	answer, err := client.Open(ctx, callOf(m))
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	c.mu.Lock()
	c.head = headOf(answer)
	c.mu.Unlock()
	c.wake()
	buffer := make([]byte, readBytes)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			heard()
			c.add(buffer[:n])
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read an answer: %w", err)
		}
	}
}

// add gathers bytes of the answer.
func (c *call) add(data []byte) {
	c.mu.Lock()
	c.text = append(c.text, data...)
	full := len(c.text) >= mostGathered
	c.mu.Unlock()
	if full {
		c.wake()
	}
}

func (c *call) wake() {
	select {
	case c.news <- struct{}{}:
	default:
	}
}

// take returns what has gathered since it was called last.
func (c *call) take() (head *toucanhingev1.CarryHead, text []byte, end *toucanhingev1.CarryEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	head, text, end = c.head, c.text, c.end
	c.head, c.text = nil, nil
	return head, text, end
}

// pass passes on what the call gathers, until it ends. A frame goes out each time that
// events have gathered for long enough, an empty one if there are none: it says that this
// gateway is there.
func (c *call) pass(ctx context.Context, stream *connect.ServerStream[toucanhingev1.CarryFrame]) error {
	ticker := time.NewTicker(gather)
	defer ticker.Stop()
	for {
		select {
		case <-c.news:
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("pass an answer on: %w", ctx.Err())
		}
		head, text, end := c.take()
		for _, frame := range framesOf(head, text, end) {
			if err := stream.Send(frame); err != nil {
				return fmt.Errorf("pass an answer on: %w", err)
			}
		}
		if end != nil {
			return nil
		}
	}
}

// framesOf lists the frames for what has gathered, at least one.
func framesOf(head *toucanhingev1.CarryHead, text []byte, end *toucanhingev1.CarryEnd) []*toucanhingev1.CarryFrame {
	var frames []*toucanhingev1.CarryFrame
	if head != nil {
		frames = append(frames, &toucanhingev1.CarryFrame{Frame: &toucanhingev1.CarryFrame_Head{Head: head}})
	}
	if len(text) > 0 || head == nil && end == nil {
		frames = append(frames, &toucanhingev1.CarryFrame{Frame: &toucanhingev1.CarryFrame_Data{Data: text}})
	}
	if end != nil {
		frames = append(frames, &toucanhingev1.CarryFrame{Frame: &toucanhingev1.CarryFrame_End{End: end}})
	}
	return frames
}
