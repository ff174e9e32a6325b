package engine

import "time"

// The constants of the timing model. They resemble a mid-sized model on one
// accelerator, so that the ratio of prefill to decode and the growth of a step
// with its batch are of the right kind; the absolute values matter little since
// the bench compares arms within one run.
const (
	// stepBase is the time of a step with an empty batch: reading all weights
	// once dominates decoding, so it hardly depends on the batch.
	stepBase = 8 * time.Millisecond
	// stepSequence is added for each running sequence: attention over its KV.
	stepSequence = 60 * time.Microsecond
	// stepPrefill is added for each prompt token computed in the step: prefill
	// is bound by arithmetic, about 20,000 tokens a second here.
	stepPrefill = 50 * time.Microsecond
	// prefillChunk bounds the prompt tokens computed in one step, as engines do
	// with chunked prefill; a full chunk makes the step about three times longer.
	prefillChunk = 512
	// bytesPerToken turns prompt bytes into tokens: four is usual for European text.
	bytesPerToken = 4
	// blockTokens is the granule of the prefix cache.
	blockTokens = 16
	// defaultTokens is generated when a request names no max_tokens.
	defaultTokens = 64
	// mostTokens bounds max_tokens, so that a mistake can't hold a slot for hours.
	mostTokens = 100_000
)

// Timing scales the constants. The zero value of a field means its constant.
type Timing struct {
	// Base is the time of a step with an empty batch.
	Base time.Duration
	// Speed divides every time; tests run at 10 or more.
	Speed float64
}

// StepDuration is how long one step takes.
func (t Timing) StepDuration(running, prefill int, slow float64) time.Duration {
	base := t.Base
	if base == 0 {
		base = stepBase
	}
	whole := base + time.Duration(running)*stepSequence + time.Duration(prefill)*stepPrefill
	scale := slow
	if scale <= 0 {
		scale = 1
	}
	if t.Speed > 0 {
		scale /= t.Speed
	}
	return time.Duration(float64(whole) * scale)
}
