package online

import (
	"bytes"
	"time"

	"toucanhinge.example/gateway/pkg/attempt"
	"toucanhinge.example/gateway/pkg/route"
)

// done is the last event of an OpenAI-style stream. The gateway writes its own,
// after the end frame: only then is it known that nothing is missing.
var done = []byte("[DONE]")

// data hands one piece on, or holds it back when the answer is to be whole.
func (f *flight) data(piece []byte) attempt.Event {
	if !f.request.Stream && !f.passed {
		return f.hold(piece)
	}
	if f.request.Stream && f.request.Model && bytes.Equal(piece, done) {
		return attempt.Event{}
	}
	if f.request.Text != nil {
		wasLost := f.request.Text.Lost()
		piece = f.request.Text.Process(piece)
		if f.request.Text.Lost() && !wasLost {
			f.tell(attempt.EventTextLost)
		}
		if piece == nil {
			return attempt.Event{}
		}
	}
	f.measure()
	f.head(unknownLength)
	if err := f.sink.Data(piece); err != nil {
		return attempt.Event{Kind: attempt.EventCallerGone}
	}
	return attempt.Event{}
}

func (f *flight) hold(piece []byte) attempt.Event {
	if len(f.held) == 0 {
		f.measure()
	}
	f.held = append(f.held, piece...)
	if len(f.held) <= f.runner.config.MaxBuffered {
		return attempt.Event{}
	}
	f.passed = true
	f.tell(attempt.EventPartSent)
	f.head(unknownLength)
	if err := f.sink.Data(f.held); err != nil {
		return attempt.Event{Kind: attempt.EventCallerGone}
	}
	f.held = nil
	return attempt.Event{}
}

func (f *flight) measure() {
	now := time.Now()
	if f.lastAt.IsZero() {
		waited := f.runner.config.Clock.Now() - f.arrived
		f.runner.config.Metrics.FirstChunk.WithLabelValues(f.request.Service).Observe(waited.Duration().Seconds())
	} else {
		if f.between == nil {
			f.between = f.runner.config.Metrics.ChunkInterval.WithLabelValues(f.request.Service)
		}
		f.between.Observe(now.Sub(f.lastAt).Seconds())
	}
	f.lastAt = now
}

// unknownLength tells the sink that the answer's length is not known yet.
const unknownLength = -1

func (f *flight) head(length int) {
	if f.headOut {
		return
	}
	f.headOut = true
	f.sink.Head(f.status, f.headers, length)
}

func (f *flight) finish() attempt.Event {
	length := unknownLength
	if !f.request.Stream && !f.passed {
		length = len(f.held)
	}
	f.head(length)
	f.left = abandoned{}
	f.ending.Complete = true
	f.ending.Ran = attempt.RanYes
	if len(f.held) > 0 {
		if err := f.sink.Data(f.held); err != nil {
			f.ending.CallerGone = true
		}
	}
	f.note("whole", f.choice.Endpoint)
	f.closeStream(route.OutcomeComplete)
	return attempt.Event{}
}

func (f *flight) fail(action attempt.Action) {
	f.ending.Reason = action.Reason
	f.ending.Ran = action.Ran
	f.ending.RetryAfter = action.RetryAfter
	f.ending.Delivered = action.Delivered
	f.closeStream(f.outcome)
	f.note("failed", action.Reason)
}
