package batchrun

import "time"

const (
	// decisionShare is the part of the time that whole decisions may take: one goes through all
	// runners and waiting items, and its cost grows with the fleet. Only what must be at once,
	// that items give way to online requests, is decided in between.
	decisionShare = 0.05
	// longestPace is the longest time between two whole decisions.
	longestPace = 50 * time.Millisecond
	// paceWeight is the weight of the newest decision in the mean.
	paceWeight = 0.1
)

// pace says when a whole decision is due, by what the last ones took. It holds no clock.
type pace struct {
	mean time.Duration
	last time.Time
}

// left is the span until the next whole decision, 0 or less if it is due.
func (p *pace) left(now time.Time) time.Duration {
	if p.last.IsZero() {
		return 0
	}
	span := time.Duration(float64(p.mean) / decisionShare)
	return p.last.Add(min(max(span, stepGap), longestPace)).Sub(now)
}

// took notes a whole decision that began and ended.
func (p *pace) took(began, ended time.Time) {
	p.last = began
	p.mean += time.Duration(paceWeight * float64(ended.Sub(began)-p.mean))
}
