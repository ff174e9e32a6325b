package endpoint

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/gateway/pkg/attempt"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Reasons of a stream that ended without its end frame.
const (
	ReasonUnreachable = "unreachable"
	ReasonUnresponsive      = "silent"
	ReasonStalled     = "stalled"
	ReasonStreamCut         = "stream-cut"
	ReasonSidecarError       = "sidecar-error"
)

// silence before a break that marks the endpoint as dead rather than its
// answer as cut: connection pings found nobody there.
const silence clock.Millis = 2_000

// Failure says how a stream ended before its end frame.
type Failure struct {
	Reason string
	// Reached is false when the sidecar certainly got nothing.
	Reached bool
	// Unreachable is true when the endpoint does not answer at all.
	Unreachable bool
	Err  error
}

// Stream is one attempt's frames. It belongs to one goroutine.
type Stream struct {
	clock  clock.Clock
	frames *connect.ServerStreamForClient[toucanhingev1.Frame]
	cancel context.CancelFunc
	// stall ends a stream whose next frame is late; heard is when the last one came.
	stall   *time.Timer
	stalled context.Context
	heard   atomic.Int64
	// silent is set when the endpoint turned out to answer nobody.
	silent atomic.Bool
	// leave takes the stream out of the directory's list.
	leave func()
}

// Open sends the request; limit is the longest wait for the first frame, a
// span, 0 for none. The address must come from the router.
func (d *Directory) Open(
	ctx context.Context, address string, request *toucanhingev1.RunRequest, limit clock.Millis,
) (*Stream, *Failure) {
	ctx, cancel := context.WithCancel(ctx)
	s := &Stream{clock: d.config.Clock, cancel: cancel, leave: func() {}}
	s.hear()
	// A call that may not be repeated waits on: its endpoint may yet answer.
	if request.GetIdempotent() {
		s.leave = d.enlist(address, s)
	}
	// The call below may wait as long as the sidecar sends nothing.
	if limit > 0 {
		s.SetTimeout(limit)
	}
	frames, err := d.Client(address).Run(ctx, connect.NewRequest(request))
	if err != nil {
		failure := s.judge(err)
		s.stop()
		return nil, failure
	}
	s.frames = frames
	return s, nil
}

// SetTimeout sets the longest wait for the next frame, a span; it starts anew with each call.
func (s *Stream) SetTimeout(wait clock.Millis) {
	if s.stall == nil {
		ctx, mark := context.WithCancel(context.Background())
		s.stalled = ctx
		s.stall = time.AfterFunc(wait.Duration(), func() {
			mark()
			s.cancel()
		})
		return
	}
	s.stall.Reset(wait.Duration())
}

// Next waits for a frame; the break is nil when there is one.
func (s *Stream) Next() (*toucanhingev1.Frame, *Failure) {
	if s.frames.Receive() {
		s.hear()
		return s.frames.Msg(), nil
	}
	err := s.frames.Err()
	if err == nil {
		err = errors.New("the stream ended without an end frame")
	}
	return nil, s.judge(err)
}

// Close drops the stream; the sidecar learns by it that nobody reads any more.
func (s *Stream) Close() {
	s.stop()
	_ = s.frames.Close()
}

func (s *Stream) hear() {
	s.heard.Store(int64(s.clock.Now()))
}

// quiet is how long nothing came, a span.
func (s *Stream) quiet() clock.Millis {
	return s.clock.Now() - clock.Millis(s.heard.Load())
}

func (s *Stream) stop() {
	s.leave()
	if s.stall != nil {
		s.stall.Stop()
	}
	s.cancel()
}

func (s *Stream) judge(err error) *Failure {
	var dial *net.OpError
	switch {
	case s.stalled != nil && s.stalled.Err() != nil:
		return &Failure{Reason: ReasonStalled, Reached: true, Unreachable: true, Err: err}
	case s.silent.Load():
		return &Failure{Reason: ReasonUnresponsive, Reached: true, Unreachable: true, Err: err}
	case errors.As(err, &dial) && dial.Op == "dial":
		return &Failure{Reason: ReasonUnreachable, Unreachable: true, Err: err}
	case connect.IsWireError(err):
		return &Failure{Reason: ReasonSidecarError, Reached: true, Err: err}
	case s.quiet() >= silence:
		return &Failure{Reason: ReasonUnresponsive, Reached: true, Unreachable: true, Err: err}
	default:
		return &Failure{Reason: ReasonStreamCut, Reached: true, Err: err}
	}
}

// NewFrame turns a frame into what decisions are made on.
func NewFrame(f *toucanhingev1.Frame) attempt.Frame {
	frame := attempt.Frame{Request: f.GetRequestId(), Attempt: f.GetAttempt(), Sequence: f.GetSequence()}
	switch part := f.GetPart().(type) {
	case *toucanhingev1.Frame_Head:
		frame.Part = attempt.PartHead
		frame.Status = int(part.Head.GetStatus())
	case *toucanhingev1.Frame_Data:
		frame.Part = attempt.PartData
		frame.Data = part.Data
	case *toucanhingev1.Frame_End:
		frame.Part = attempt.PartEnd
		frame.FrameCount = part.End.GetFrames()
		frame.Reason = part.End.GetError()
		frame.Ran = ranOf(part.End.GetRan())
	case *toucanhingev1.Frame_Refusal:
		frame.Part = attempt.PartRefusal
		frame.Reason = part.Refusal.GetReason()
		frame.Ran = ranOf(part.Refusal.GetRan())
		frame.RetryAfter = clock.Millis(part.Refusal.GetRetryMs())
	}
	return frame
}

func ranOf(ran toucanhingev1.Ran) attempt.Ran {
	switch ran {
	case toucanhingev1.Ran_RAN_NO:
		return attempt.RanNo
	case toucanhingev1.Ran_RAN_YES:
		return attempt.RanYes
	default:
		return attempt.RanUnknown
	}
}
