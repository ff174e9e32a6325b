package batchrun

import "time"

const (
	// decisionShare is the share of time that full decisions may take. A full decision examines all
	// runners and waiting items, so its cost grows with the fleet. Between full decisions only
	// preemption by online requests is decided, since it can't wait.
	decisionShare = 0.05
	// maxDecisionInterval is the longest time between two full decisions.
	maxDecisionInterval = 50 * time.Millisecond
	// decisionWeight is the weight of the newest decision in the moving average of decision times.
	decisionWeight = 0.1
)

// decisionPacer schedules full decisions by how long the recent ones took. It doesn't read the clock.
type decisionPacer struct {
	mean time.Duration
	last time.Time
}

// untilNext returns the time until the next full decision. It is 0 or less if that decision may run now.
func (p *decisionPacer) untilNext(now time.Time) time.Duration {
	if p.last.IsZero() {
		return 0
	}
	interval := time.Duration(float64(p.mean) / decisionShare)
	return p.last.Add(min(max(interval, minStepGap), maxDecisionInterval)).Sub(now)
}

// record records the start and end of a full decision.
func (p *decisionPacer) record(startedAt, endedAt time.Time) {
	p.last = startedAt
	p.mean += time.Duration(decisionWeight * float64(endedAt.Sub(startedAt)-p.mean))
}
