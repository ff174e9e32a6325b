package dispatch

import (
	"math"

	"toucanhinge.example/common/pkg/clock"
)

const (
	// firstRun is the running time that is expected of an item before any has
	// been measured.
	firstRun clock.Millis = 3_000
	// runWeight is the weight of the newest measured run: the last twenty or so count.
	runWeight = 0.05
	// enoughRuns is the number of measured runs from which on sizes are believed.
	enoughRuns = 10
	// leastSpread is the least variance of the sizes' logarithms from which anything can be
	// told: sizes within a tenth of one another are one size.
	leastSpread = 0.01
)

// measured is what the runs of finished items tell of those to come. What clients say of
// an answer's length may be right, a mere bound, or far off. So it is learnt how much the
// running time follows the size, as the slope between their logarithms: with 1 an item twice
// as large runs twice as long, with 0 the size tells nothing and all are taken for the mean.
type measured struct {
	runs int
	// Weighted means of the logarithms of sizes and running times, and of their products.
	size, run, sizeSize, sizeRun float64
	// mean is that of the running times of items without a size, in milliseconds.
	mean float64
}

// note takes up the running time of an item, a span.
func (m *measured) note(i *item, whole clock.Millis) {
	if whole <= 0 {
		return
	}
	m.runs++
	// The first runs weigh alike.
	weight := max(runWeight, 1/float64(m.runs))
	m.mean += weight * (float64(whole) - m.mean)
	if i.Tokens <= 0 {
		return
	}
	size, run := math.Log(float64(i.Tokens)), math.Log(float64(whole))
	m.size += weight * (size - m.size)
	m.run += weight * (run - m.run)
	m.sizeSize += weight * (size*size - m.sizeSize)
	m.sizeRun += weight * (size*run - m.sizeRun)
}

// slope is how much the running time follows the size.
func (m *measured) slope() float64 {
	spread := m.sizeSize - m.size*m.size
	if m.runs < enoughRuns || spread < leastSpread {
		return 1
	}
	return min(max((m.sizeRun-m.size*m.run)/spread, 0), 1)
}

// whole is how long an item runs in all, a span.
func (m *measured) whole(i *item) clock.Millis {
	switch {
	case m.runs == 0:
		return firstRun
	case i.Tokens <= 0 || m.size == 0:
		return clock.Millis(m.mean)
	default:
		return clock.Millis(math.Exp(m.run + m.slope()*(math.Log(float64(i.Tokens))-m.size)))
	}
}

// left is how long an item still has to run, a span.
func (m *measured) left(now clock.Millis, i *item) clock.Millis {
	ran := i.ran
	if i.runner != "" {
		ran += now - i.began
	}
	return max(m.expected(i)-ran, 0)
}

// expected is how long an item runs in all as far as is known, worked out anew only when more
// runs have been measured: a decision asks it of thousands of items.
func (m *measured) expected(i *item) clock.Millis {
	if i.judged != m.runs+1 {
		i.judged, i.whole = m.runs+1, m.whole(i)
	}
	return i.whole
}
