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

// Reasons why a stream ended without its end frame.
const (
	ReasonUnreachable  = "unreachable"
	ReasonUnresponsive = "silent"
	ReasonStalled      = "stalled"
	ReasonStreamCut    = "stream-cut"
	ReasonSidecarError = "sidecar-error"
)

// unresponsiveAfter is the idle time from which a failed stream means that its endpoint is unresponsive, and
// not only that the answer was cut off: after that time, the failure comes from unanswered connection pings.
const unresponsiveAfter clock.Millis = 2_000

// Failure describes how a stream ended before its end frame.
type Failure struct {
	Reason string
	// Reached is false when the sidecar certainly did not receive the request.
	Reached bool
	// Unreachable is true when the endpoint does not answer at all.
	Unreachable bool
	Err         error
}

// Stream receives the frames of one attempt. It is used by one goroutine.
type Stream struct {
	clock  clock.Clock
	frames *connect.ServerStreamForClient[toucanhingev1.Frame]
	cancel context.CancelFunc
	// timer cancels the stream when the next frame is late; timedOut is done once it has fired.
	// lastFrameAt is the time of the last frame, or of opening the stream.
	timer       *time.Timer
	timedOut    context.Context
	lastFrameAt atomic.Int64
	// unresponsive is set when the stream was cancelled because its endpoint answers no polls.
	unresponsive atomic.Bool
	// untrack removes the stream from the directory's open streams.
	untrack func()
}

// Open sends the request. timeout limits the wait for the first frame; 0 means no limit. The address
// must come from the router.
func (d *Directory) Open(
	ctx context.Context, address string, request *toucanhingev1.RunRequest, timeout clock.Millis,
) (*Stream, *Failure) {
	ctx, cancel := context.WithCancel(ctx)
	s := &Stream{clock: d.config.Clock, cancel: cancel, untrack: func() {}}
	s.recordFrame()
	// A request that must not be retried keeps waiting, because its endpoint may still answer.
	if request.GetIdempotent() {
		s.untrack = d.trackStream(address, s)
	}
	// The call below may block as long as the sidecar sends nothing.
	if timeout > 0 {
		s.SetTimeout(timeout)
	}
	frames, err := d.Client(address).Run(ctx, connect.NewRequest(request))
	if err != nil {
		failure := s.newFailure(err)
		s.stop()
		return nil, failure
	}
	s.frames = frames
	return s, nil
}

// SetTimeout sets the maximum wait for the next frame; each call restarts it.
func (s *Stream) SetTimeout(timeout clock.Millis) {
	if s.timer == nil {
		ctx, expire := context.WithCancel(context.Background())
		s.timedOut = ctx
		s.timer = time.AfterFunc(timeout.Duration(), func() {
			expire()
			s.cancel()
		})
		return
	}
	s.timer.Reset(timeout.Duration())
}

// Next waits for a frame. The failure is nil if a frame was received.
func (s *Stream) Next() (*toucanhingev1.Frame, *Failure) {
	if s.frames.Receive() {
		s.recordFrame()
		return s.frames.Msg(), nil
	}
	err := s.frames.Err()
	if err == nil {
		err = errors.New("the stream ended without an end frame")
	}
	return nil, s.newFailure(err)
}

// Close closes the stream, which shows the sidecar that the gateway no longer reads it.
func (s *Stream) Close() {
	s.stop()
	_ = s.frames.Close()
}

func (s *Stream) recordFrame() {
	s.lastFrameAt.Store(int64(s.clock.Now()))
}

// idleTime returns the time since the last frame.
func (s *Stream) idleTime() clock.Millis {
	return s.clock.Now() - clock.Millis(s.lastFrameAt.Load())
}

func (s *Stream) stop() {
	s.untrack()
	if s.timer != nil {
		s.timer.Stop()
	}
	s.cancel()
}

// newFailure classifies the error that ended the stream.
func (s *Stream) newFailure(err error) *Failure {
	var opErr *net.OpError
	switch {
	case s.timedOut != nil && s.timedOut.Err() != nil:
		return &Failure{Reason: ReasonStalled, Reached: true, Unreachable: true, Err: err}
	case s.unresponsive.Load():
		return &Failure{Reason: ReasonUnresponsive, Reached: true, Unreachable: true, Err: err}
	case errors.As(err, &opErr) && opErr.Op == "dial":
		return &Failure{Reason: ReasonUnreachable, Unreachable: true, Err: err}
	case connect.IsWireError(err):
		return &Failure{Reason: ReasonSidecarError, Reached: true, Err: err}
	case s.idleTime() >= unresponsiveAfter:
		return &Failure{Reason: ReasonUnresponsive, Reached: true, Unreachable: true, Err: err}
	default:
		return &Failure{Reason: ReasonStreamCut, Reached: true, Err: err}
	}
}

// NewFrame converts a frame from a sidecar for the attempt machine.
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
		frame.Ran = newRan(part.End.GetRan())
	case *toucanhingev1.Frame_Refusal:
		frame.Part = attempt.PartRefusal
		frame.Reason = part.Refusal.GetReason()
		frame.Ran = newRan(part.Refusal.GetRan())
		frame.RetryAfter = clock.Millis(part.Refusal.GetRetryMs())
	}
	return frame
}

// newRan converts a Ran value from a sidecar. Unspecified values become RanUnknown.
func newRan(ran toucanhingev1.Ran) attempt.Ran {
	switch ran {
	case toucanhingev1.Ran_RAN_NO:
		return attempt.RanNo
	case toucanhingev1.Ran_RAN_YES:
		return attempt.RanYes
	default:
		return attempt.RanUnknown
	}
}
