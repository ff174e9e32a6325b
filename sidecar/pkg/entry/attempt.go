package entry

import (
	"context"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/sidecar/pkg/admit"
)

// attempt is one run of a request on this endpoint.
type attempt struct {
	request *toucanhingev1.RunRequest
	// engineID identifies the stream at the engine.
	engineID string
	id       admit.ID
	deadline clock.Millis
	answer   *answer
	// decisions carries the admission machine's actions for this attempt.
	decisions chan admit.Action
	// prefilled is set once the first token has arrived. Only the attempt's goroutine uses
	// it.
	prefilled bool
	ctx       context.Context
	cancel    context.CancelFunc
	// endedAt is when the last piece was appended; 0 while the attempt runs.
	endedAt clock.Millis
	// retainedBytes is the size of the answer after the attempt ended.
	retainedBytes int
	// detachedAt is when the last reader disconnected; 0 while a reader is attached.
	detachedAt clock.Millis
}

// deliver receives the admission machine's actions. It runs on the dispatcher's goroutine.
func (t *attempt) deliver(a admit.Action) {
	if a.Verb == admit.Stop {
		t.cancel()
		return
	}
	t.decisions <- a
}

// resumesEngineStream reports whether this attempt continues a stream that only the engine
// retains, such as one that started before a restart of the sidecar.
func (t *attempt) resumesEngineStream() bool {
	return t.request.GetResumeAfter() > 0
}

func (t *attempt) appendRefusal(reason admit.Reason, ran toucanhingev1.Ran, retry clock.Millis) {
	_ = t.answer.append(t.ctx, piece{refusal: &toucanhingev1.Refusal{
		Reason: string(reason), Ran: ran, RetryMs: int64(retry),
	}})
}

func (t *attempt) appendEnd(reason string, ran toucanhingev1.Ran) {
	end := &toucanhingev1.End{Frames: t.answer.dataCount(), Error: reason, Ran: ran}
	_ = t.answer.append(t.ctx, piece{end: end})
}
