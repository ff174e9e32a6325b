package online

import (
	"bytes"
	"time"

	"toucanhinge.example/gateway/pkg/attempt"
	"toucanhinge.example/gateway/pkg/route"
)

// doneEvent is the last event of an OpenAI-style stream. The gateway writes its own after the end
// frame, because only then is it known that the answer is complete.
var doneEvent = []byte("[DONE]")

// writeData passes one chunk to the caller, or buffers it if the answer isn't streamed.
func (e *exchange) writeData(chunk []byte) attempt.Event {
	if !e.request.Stream && !e.partSent {
		return e.bufferData(chunk)
	}
	if e.request.Stream && e.request.Model && bytes.Equal(chunk, doneEvent) {
		return attempt.Event{}
	}
	if e.request.Text != nil {
		wasLost := e.request.Text.Lost()
		chunk = e.request.Text.Process(chunk)
		if e.request.Text.Lost() && !wasLost {
			e.notify(attempt.EventTextLost)
		}
		if chunk == nil {
			return attempt.Event{}
		}
	}
	e.observeChunk()
	e.writeHead(unknownLength)
	if !e.begun {
		e.begun, e.software = true, e.choice.Software
	}
	if err := e.sink.Data(chunk); err != nil {
		return attempt.Event{Kind: attempt.EventCallerGone}
	}
	return attempt.Event{}
}

// bufferData buffers one chunk. It starts to write to the caller when the answer outgrows the buffer.
func (e *exchange) bufferData(chunk []byte) attempt.Event {
	if len(e.buffer) == 0 {
		e.observeChunk()
	}
	e.buffer = append(e.buffer, chunk...)
	if len(e.buffer) <= e.executor.config.MaxBuffered {
		return attempt.Event{}
	}
	e.partSent = true
	e.notify(attempt.EventPartSent)
	e.writeHead(unknownLength)
	if err := e.sink.Data(e.buffer); err != nil {
		return attempt.Event{Kind: attempt.EventCallerGone}
	}
	e.buffer = nil
	return attempt.Event{}
}

// observeChunk records the time to the first chunk or since the previous chunk.
func (e *exchange) observeChunk() {
	now := time.Now()
	if e.lastChunkAt.IsZero() {
		waited := e.executor.config.Clock.Now() - e.arrivedAt
		e.executor.config.Metrics.FirstChunk.WithLabelValues(e.request.Service).Observe(waited.Duration().Seconds())
	} else {
		if e.chunkInterval == nil {
			e.chunkInterval = e.executor.config.Metrics.ChunkInterval.WithLabelValues(e.request.Service)
		}
		e.chunkInterval.Observe(now.Sub(e.lastChunkAt).Seconds())
	}
	e.lastChunkAt = now
}

// unknownLength is the length passed to the sink while the answer's length is unknown.
const unknownLength = -1

// writeHead writes the status and headers to the caller once.
func (e *exchange) writeHead(length int) {
	if e.headSent {
		return
	}
	e.headSent = true
	e.sink.Head(e.status, e.headers, length)
}

func (e *exchange) finish() attempt.Event {
	length := unknownLength
	if !e.request.Stream && !e.partSent {
		length = len(e.buffer)
	}
	e.writeHead(length)
	e.abandoned = abandonedRun{}
	e.result.Complete = true
	e.result.Ran = attempt.RanYes
	if len(e.buffer) > 0 {
		if err := e.sink.Data(e.buffer); err != nil {
			e.result.CallerGone = true
		}
	}
	e.record("whole", e.choice.Endpoint)
	e.closeStream(route.OutcomeComplete)
	return attempt.Event{}
}

func (e *exchange) fail(action attempt.Action) {
	e.result.Reason = action.Reason
	e.result.Ran = action.Ran
	e.result.RetryAfter = action.RetryAfter
	e.result.Delivered = action.Delivered
	e.closeStream(e.outcome)
	e.record("failed", action.Reason)
}
