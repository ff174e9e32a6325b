package callproxy

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"toucanhinge.example/common/pkg/runner"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// maxUnreadBytes limits the received output of a call that isn't read yet. It fits an item's whole output.
const maxUnreadBytes = 2 << 20

var (
	errUnread        = errors.New("the gateway sends faster than its output is read")
	errSessionBroken = errors.New("the session with the gateway broke")
	errCallFailed    = errors.New("the gateway's call to the runner failed")
)

// proxiedCall is a call that a gateway makes, and also the body of its answer. Closing it early makes the gateway
// cancel its call to the runner.
type proxiedCall struct {
	session *session
	number  uint64
	runner  string
	ctx     context.Context
	// releaseGateway removes the call from its gateway's count in the gateway selector.
	releaseGateway func()
	// updated signals that the fields below have changed. It has capacity one.
	updated chan struct{}

	mu         sync.Mutex
	accepted   bool
	answerHead *toucanhingev1.CarryHead
	unread     []byte
	end        *toucanhingev1.CarryEnd
	err        error

	closeOnce sync.Once
}

// handleEvent records an event that the gateway sent for the call. A call whose output isn't read in time fails, and the
// gateway ends it.
func (c *proxiedCall) handleEvent(event *toucanhingev1.CarryEvent) {
	c.mu.Lock()
	failed := c.err != nil
	overflow := !failed && len(c.unread)+len(event.GetData()) > maxUnreadBytes
	switch {
	case failed:
	case overflow:
		c.err = errUnread
	default:
		c.recordEvent(event)
	}
	c.mu.Unlock()
	if overflow {
		c.session.releaseCall(c.number)
	}
	c.notify()
}

// recordEvent records an event of a call that hasn't failed. The caller holds the lock.
func (c *proxiedCall) recordEvent(event *toucanhingev1.CarryEvent) {
	c.accepted = true
	if event.GetHead() != nil {
		c.answerHead = event.GetHead()
	}
	c.unread = append(c.unread, event.GetData()...)
	if event.GetEnd() != nil {
		c.end = event.GetEnd()
	}
}

// fail ends the call because its session broke.
func (c *proxiedCall) fail(err error) {
	c.mu.Lock()
	if c.err == nil && c.end == nil {
		c.err = err
	}
	c.mu.Unlock()
	c.notify()
}

func (c *proxiedCall) notify() {
	select {
	case c.updated <- struct{}{}:
	default:
	}
}

// waitUpdate waits until the call changes, the context ends or the timeout fires.
func (c *proxiedCall) waitUpdate(timeout <-chan time.Time) error {
	select {
	case <-c.updated:
		return nil
	case <-timeout:
		return errNotAccepted
	case <-c.ctx.Done():
		return c.ctx.Err()
	}
}

// awaitAccepted waits until the gateway has accepted the call.
func (c *proxiedCall) awaitAccepted() error {
	timer := time.NewTimer(acceptTimeout)
	defer timer.Stop()
	for {
		c.mu.Lock()
		accepted, end, err := c.accepted, c.end, c.err
		c.mu.Unlock()
		switch {
		case end.GetNotTaken():
			return errors.WithMessage(errNotAccepted, end.GetFailure())
		case accepted:
			return nil
		case err != nil:
			return errors.WithMessage(errNotAccepted, err.Error())
		}
		if err := c.waitUpdate(timer.C); err != nil {
			return errors.WithMessage(errNotAccepted, err.Error())
		}
	}
}

// awaitHead waits for the head of the runner's answer.
func (c *proxiedCall) awaitHead() (*toucanhingev1.CarryHead, error) {
	for {
		c.mu.Lock()
		head, end, err := c.answerHead, c.end, c.err
		c.mu.Unlock()
		switch {
		case head != nil:
			return head, nil
		case end != nil:
			failure := errors.WithMessage(errCallFailed, end.GetFailure())
			if end.GetNotSent() {
				return nil, &runner.NotSentError{Runner: c.runner, Err: failure}
			}
			return nil, &runner.BrokenError{Runner: c.runner, Err: failure}
		case err != nil:
			return nil, &runner.BrokenError{Runner: c.runner, Err: err}
		}
		if err := c.waitUpdate(nil); err != nil {
			return nil, &runner.BrokenError{Runner: c.runner, Err: err}
		}
	}
}

// Read implements io.Reader. It returns io.EOF only if the runner's answer is complete.
func (c *proxiedCall) Read(p []byte) (int, error) {
	for {
		c.mu.Lock()
		n := copy(p, c.unread)
		c.unread = c.unread[n:]
		end, err := c.end, c.err
		c.mu.Unlock()
		switch {
		case n > 0:
			return n, nil
		case end != nil && end.GetFailure() == "":
			return 0, io.EOF
		case end != nil:
			return 0, errors.WithMessage(errCallFailed, end.GetFailure())
		case err != nil:
			return 0, err
		}
		if err := c.waitUpdate(nil); err != nil {
			return 0, err
		}
	}
}

// release ends the call early. Output that the gateway buffers still arrives.
func (c *proxiedCall) release() { c.session.releaseCall(c.number) }

// Close implements io.Closer.
func (c *proxiedCall) Close() error {
	c.closeOnce.Do(func() {
		c.mu.Lock()
		ended := c.end != nil || c.err != nil
		c.mu.Unlock()
		if !ended {
			c.session.releaseCall(c.number)
		}
		c.session.remove(c.number)
		c.releaseGateway()
	})
	return nil
}
