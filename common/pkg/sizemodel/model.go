// Package sizemodel estimates how long work takes from its size. It is designed for batch items and online
// requests whose sizes are declared by callers: they may be exact, only an upper bound, far off, or
// missing. The package uses no goroutine, socket or clock.
package sizemodel

import (
	"math"

	"toucanhinge.example/common/pkg/clock"
)

const (
	// newestRunWeight is the weight of the newest recorded run, so that about the last twenty runs
	// count.
	newestRunWeight = 0.05
	// MinRuns is the number of recorded runs from which on the slope is learned.
	MinRuns = 10
	// minSizeVariance is the minimum variance of the logarithms of sizes from which the slope can be
	// learned: sizes within a tenth of one another count as equal.
	minSizeVariance = 0.01
)

// Model estimates the durations of runs from those of earlier runs. It learns how strongly the duration
// depends on the size, as the slope between their logarithms: with a slope of 1, work of twice the size
// takes twice as long; with 0, the size has no influence.
type Model struct {
	// runs is the number of recorded runs, and sized that of runs with a size.
	runs, sized int
	// Weighted means of the logarithms of sizes and durations, and of their products.
	meanLogSize, meanLogRun, meanLogSizeSquared, meanLogSizeLogRun float64
	// meanRun is the weighted mean of all durations, in milliseconds. It is the estimate for work
	// without a size.
	meanRun float64
}

// Record adds the duration of a run. The size is 0 if it is unknown.
func (m *Model) Record(size int64, took clock.Millis) {
	if took <= 0 {
		return
	}
	m.runs++
	m.meanRun += newestWeight(m.runs) * (float64(took) - m.meanRun)
	if size <= 0 {
		return
	}
	m.sized++
	weight := newestWeight(m.sized)
	logSize, run := math.Log(float64(size)), math.Log(float64(took))
	m.meanLogSize += weight * (logSize - m.meanLogSize)
	m.meanLogRun += weight * (run - m.meanLogRun)
	m.meanLogSizeSquared += weight * (logSize*logSize - m.meanLogSizeSquared)
	m.meanLogSizeLogRun += weight * (logSize*run - m.meanLogSizeLogRun)
}

// newestWeight returns the weight of the newest of a number of runs. The first runs have equal weights.
func newestWeight(runs int) float64 { return max(newestRunWeight, 1/float64(runs)) }

// Runs returns the number of recorded runs.
func (m *Model) Runs() int { return m.runs }

// Slope returns how strongly the duration depends on the size, from 0 to 1. It is 1 until enough runs
// with a size were recorded.
func (m *Model) Slope() float64 {
	variance := m.meanLogSizeSquared - m.meanLogSize*m.meanLogSize
	if m.sized < MinRuns || variance < minSizeVariance {
		return 1
	}
	return min(max((m.meanLogSizeLogRun-m.meanLogSize*m.meanLogRun)/variance, 0), 1)
}

// Estimate returns the expected duration of work of a size, 0 if the size is unknown. Before any run was
// recorded it is the given initial one.
func (m *Model) Estimate(size int64, initial clock.Millis) clock.Millis {
	switch {
	case m.runs == 0:
		return initial
	case size <= 0 || m.sized == 0:
		return clock.Millis(m.meanRun)
	default:
		return clock.Millis(math.Round(math.Exp(m.meanLogRun + m.Slope()*(math.Log(float64(size))-m.meanLogSize))))
	}
}
