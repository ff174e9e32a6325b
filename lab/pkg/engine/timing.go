package engine

import "time"

// Constants of the timing model. They resemble a mid-sized model on one accelerator,
// so that the ratio of prefill to decode and the growth of a step with its batch are
// realistic. The absolute values matter little, since the bench compares arms within
// one run.
const (
	// stepBase is the duration of a step with an empty batch. Reading all weights
	// once dominates decoding, so the duration hardly depends on the batch.
	stepBase = 8 * time.Millisecond
	// stepSequence is added for each running sequence, for attention over its KV cache.
	stepSequence = 60 * time.Microsecond
	// stepPrefill is added for each prompt token computed in the step. Prefill is
	// compute-bound and reaches about 20,000 tokens per second here.
	stepPrefill = 50 * time.Microsecond
	// prefillChunk limits the prompt tokens computed in one step, like chunked
	// prefill in real engines. A full chunk makes a step about three times longer.
	prefillChunk = 512
	// bytesPerToken converts prompt bytes to tokens. Four is typical for European text.
	bytesPerToken = 4
	// blockTokens is the number of tokens in one prefix cache block.
	blockTokens = 16
	// defaultTokens is the number of tokens generated if a request has no max_tokens.
	defaultTokens = 64
	// maxTokensLimit is the highest max_tokens, so that a mistake can't occupy a slot
	// for hours.
	maxTokensLimit = 100_000
)

// Timing configures the timing model. A field of zero means the default.
type Timing struct {
	// Base is the duration of a step with an empty batch.
	Base time.Duration
	// Speed divides all durations. Tests use 10 or more.
	Speed float64
}

// StepDuration returns the duration of one step.
func (t Timing) StepDuration(running, prefill int, slow float64) time.Duration {
	base := t.Base
	if base == 0 {
		base = stepBase
	}
	total := base + time.Duration(running)*stepSequence + time.Duration(prefill)*stepPrefill
	scale := slow
	if scale <= 0 {
		scale = 1
	}
	if t.Speed > 0 {
		scale /= t.Speed
	}
	return time.Duration(float64(total) * scale)
}
