package carrier

import (
	"context"
	"io"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"toucanhinge.example/common/pkg/runner"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// frameTime is the longest pause between a gateway's frames: twice the time that events
// gather there, with some for a slow VM. It has lost power, or is cut off, if it takes
// longer.
const frameTime = 1_200 * time.Millisecond

var (
	errCut    = errors.New("the gateway ended the call early")
	errCalled = errors.New("the gateway's call failed")
)

// body is the body of an answer that a gateway passes on. Closing it before its end
// makes the gateway break its call off.
type body struct {
	stream *connect.ServerStreamForClient[toucanhingev1.CarryFrame]
	cancel context.CancelFunc
	leave  func()
	runner string
	// alive ends the call if the gateway sends no frame for too long.
	alive *time.Timer

	rest   []byte
	err    error
	closed bool
}

// head reads up to the head of the runner's answer.
func (b *body) head() (*toucanhingev1.CarryHead, error) {
	for b.receive() {
		frame := b.stream.Msg()
		if head := frame.GetHead(); head != nil {
			return head, nil
		}
		if end := frame.GetEnd(); end != nil {
			err := errors.WithMessage(errCalled, end.GetFailure())
			if end.GetNotSent() {
				return nil, &runner.NotSentError{Runner: b.runner, Err: err}
			}
			return nil, &runner.BrokenError{Runner: b.runner, Err: err}
		}
	}
	return nil, &runner.BrokenError{Runner: b.runner, Err: b.cut()}
}

// receive waits for the next frame.
func (b *body) receive() bool {
	received := b.stream.Receive()
	b.alive.Reset(frameTime)
	return received
}

// cut is the error of a stream that ended without an end.
func (b *body) cut() error {
	if err := b.stream.Err(); err != nil {
		return err
	}
	return errCut
}

// Read implements io.Reader; it returns io.EOF only if the runner's answer is whole.
func (b *body) Read(p []byte) (int, error) {
	for len(b.rest) == 0 && b.err == nil {
		b.next()
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	if n > 0 {
		return n, nil
	}
	return 0, b.err
}

func (b *body) next() {
	if !b.receive() {
		b.err = b.cut()
		return
	}
	frame := b.stream.Msg()
	if end := frame.GetEnd(); end != nil {
		b.err = io.EOF
		if end.GetFailure() != "" {
			b.err = errors.WithMessage(errCalled, end.GetFailure())
		}
		return
	}
	b.rest = frame.GetData()
}

// Close implements io.Closer.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	b.alive.Stop()
	b.cancel()
	b.leave()
	if b.stream == nil {
		return nil
	}
	return b.stream.Close()
}
