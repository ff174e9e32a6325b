package batchrun

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The time of a full decision grows with the fleet. Made for each change of the load, decisions would occupy
// the leader's CPU. They may take at most a twentieth of the time, up to the point where the longest interval
// between decisions applies.
func TestDecisionPacerLimitsShareOfTime(t *testing.T) {
	for _, c := range []struct {
		name     string
		took     time.Duration
		maxShare float64
		gap      time.Duration
	}{
		{"small fleet: shortest gap", 50 * time.Microsecond, 0.011, minStepGap},
		{"hundreds of runners", 500 * time.Microsecond, 0.051, 10 * time.Millisecond},
		{"a thousand runners", time.Millisecond, 0.051, 20 * time.Millisecond},
		{"very slow decisions: longest interval", 20 * time.Millisecond, 0.41, maxDecisionInterval},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := decisionPacer{}
			now := time.Unix(1_000, 0)
			busy := time.Duration(0)
			const duration = 20 * time.Second
			startedAt := now
			require.LessOrEqual(t, p.untilNext(now), time.Duration(0), "the first decision is due at once")
			for now.Sub(startedAt) < duration {
				if remaining := p.untilNext(now); remaining > 0 {
					now = now.Add(remaining)
					continue
				}
				p.record(now, now.Add(c.took))
				now = now.Add(c.took)
				busy += c.took
			}
			require.LessOrEqual(t, busy.Seconds()/duration.Seconds(), c.maxShare)
			p.record(now, now.Add(c.took))
			require.InDelta(t, float64(c.gap), float64(p.untilNext(now)), float64(time.Millisecond))
		})
	}
}

// A single decision that was delayed by a busy VM must not make the following decisions rare.
func TestDecisionPacerSmoothsOneSlowDecision(t *testing.T) {
	p := decisionPacer{}
	now := time.Unix(1_000, 0)
	for range 50 {
		p.record(now, now.Add(100*time.Microsecond))
		now = now.Add(minStepGap)
	}
	p.record(now, now.Add(30*time.Millisecond))
	for range 40 {
		now = now.Add(maxDecisionInterval)
		p.record(now, now.Add(100*time.Microsecond))
	}
	require.LessOrEqual(t, p.untilNext(now), minStepGap)
}
