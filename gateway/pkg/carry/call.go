package carry

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

// call is one call on its way. A goroutine of its own reads the runner's answer; the session
// takes what has gathered.
type call struct {
	source string
	number uint64
	began  clock.Millis
	cancel context.CancelCauseFunc
	// wake asks the session to pass something on soon.
	wake func()
	// ended says that the call was broken off here; it belongs to the session's lock.
	ended bool

	mu     sync.Mutex
	taken  bool
	head   *toucanhingev1.CarryHead
	text   []byte
	urgent bool
	end    *toucanhingev1.CarryEnd
}

// read calls the runner and reads its answer to the end.
func (c *call) read(ctx context.Context, client runner.Client, exchange *digest.Exchange, m *toucanhingev1.CarryRequest) {
	watch := exchange.Watch(m.GetRunner(), 0)
	defer watch.Stop()
	watchdog := time.AfterFunc(silence, func() { c.cancel(errSilent) })
	defer watchdog.Stop()
	err := c.readAnswer(ctx, client, m, exchange, func() {
		watchdog.Reset(silence)
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
	ctx context.Context, client runner.Client, m *toucanhingev1.CarryRequest, exchange *digest.Exchange, heard func(),
) error {
	answer, err := client.Open(ctx, callOf(m))
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.Load != nil && !answer.OtherInstance {
		exchange.Observe(m.GetRunner().GetId(), answer.Load.Total())
	}
	c.mu.Lock()
	c.head = headOf(answer)
	c.mu.Unlock()
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
	c.urgent = c.urgent || full
	c.mu.Unlock()
	if full {
		c.wake()
	}
}

// take returns what has become of the call, nil if there is nothing to pass on. What has
// gathered waits for the others unless it is urgent, or all is to be passed on. A call is
// told of at once when it was taken.
func (c *call) take(all bool) *toucanhingev1.CarryEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.taken && !c.urgent && (!all || c.head == nil && len(c.text) == 0) {
		return nil
	}
	event := &toucanhingev1.CarryEvent{Call: c.number, Head: c.head, Data: c.text, End: c.end}
	c.taken, c.urgent, c.head, c.text = true, false, nil, nil
	return event
}
