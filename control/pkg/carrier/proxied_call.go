package carrier

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"toucanhinge.example/common/pkg/runner"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

var (
	errCut    = errors.New("the gateway ended the call early")
	errCalled = errors.New("the gateway's call failed")
)

// body is one call that a gateway makes, and the body of its answer. Closing it before its
// end makes the gateway break its call off.
type body struct {
	session *session
	number  uint64
	runner  string
	ctx     context.Context
	// leave gives the gateway's place back.
	leave func()
	// news has room for one: something has come.
	news chan struct{}

	mu    sync.Mutex
	taken bool
	first *toucanhingev1.CarryHead
	rest  []byte
	end   *toucanhingev1.CarryEnd
	err   error

	closing sync.Once
}

// push takes up what the gateway told of the call.
func (b *body) push(event *toucanhingev1.CarryEvent) {
	b.mu.Lock()
	b.taken = true
	if event.GetHead() != nil {
		b.first = event.GetHead()
	}
	b.rest = append(b.rest, event.GetData()...)
	if event.GetEnd() != nil {
		b.end = event.GetEnd()
	}
	b.mu.Unlock()
	b.wake()
}

// fail ends the call: the session is gone.
func (b *body) fail(err error) {
	b.mu.Lock()
	if b.err == nil && b.end == nil {
		b.err = err
	}
	b.mu.Unlock()
	b.wake()
}

func (b *body) wake() {
	select {
	case b.news <- struct{}{}:
	default:
	}
}

// wait waits for news of the call, or for the context or the timer.
func (b *body) wait(late <-chan time.Time) error {
	select {
	case <-b.news:
		return nil
	case <-late:
		return errNotTaken
	case <-b.ctx.Done():
		return b.ctx.Err()
	}
}

// await waits until the gateway has taken the call.
func (b *body) await() error {
	timer := time.NewTimer(takeTime)
	defer timer.Stop()
	for {
		b.mu.Lock()
		taken, end, err := b.taken, b.end, b.err
		b.mu.Unlock()
		switch {
		case end.GetNotTaken():
			return errors.WithMessage(errNotTaken, end.GetFailure())
		case taken:
			return nil
		case err != nil:
			return errors.WithMessage(errNotTaken, err.Error())
		}
		if err := b.wait(timer.C); err != nil {
			return errors.WithMessage(errNotTaken, err.Error())
		}
	}
}

// head waits for the head of the runner's answer.
func (b *body) head() (*toucanhingev1.CarryHead, error) {
	for {
		b.mu.Lock()
		first, end, err := b.first, b.end, b.err
		b.mu.Unlock()
		switch {
		case first != nil:
			return first, nil
		case end != nil:
			failure := errors.WithMessage(errCalled, end.GetFailure())
			if end.GetNotSent() {
				return nil, &runner.NotSentError{Runner: b.runner, Err: failure}
			}
			return nil, &runner.BrokenError{Runner: b.runner, Err: failure}
		case err != nil:
			return nil, &runner.BrokenError{Runner: b.runner, Err: err}
		}
		if err := b.wait(nil); err != nil {
			return nil, &runner.BrokenError{Runner: b.runner, Err: err}
		}
	}
}

// Read implements io.Reader; it returns io.EOF only if the runner's answer is whole.
func (b *body) Read(p []byte) (int, error) {
	for {
		b.mu.Lock()
		n := copy(p, b.rest)
		b.rest = b.rest[n:]
		end, err := b.end, b.err
		b.mu.Unlock()
		switch {
		case n > 0:
			return n, nil
		case end != nil && end.GetFailure() == "":
			return 0, io.EOF
		case end != nil:
			return 0, errors.WithMessage(errCalled, end.GetFailure())
		case err != nil:
			return 0, err
		}
		if err := b.wait(nil); err != nil {
			return 0, err
		}
	}
}

// release asks for the call's end; what the gateway holds still comes.
func (b *body) release() { b.session.release(b.number) }

// Close implements io.Closer.
func (b *body) Close() error {
	b.closing.Do(func() {
		b.mu.Lock()
		ended := b.end != nil || b.err != nil
		b.mu.Unlock()
		if !ended {
			b.session.release(b.number)
		}
		b.session.drop(b.number)
		b.leave()
	})
	return nil
}
