package batchrun

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A fleet grows, and with it what a decision among all runners takes; made for each change of the
// load, decisions would fill the leader's processor. They take a twentieth of it at most.
func TestDecisionsTakeABoundedPartOfTheTime(t *testing.T) {
	for _, c := range []struct {
		name string
		took time.Duration
		most float64
		gap  time.Duration
	}{
		{"a small fleet decides as often as before", 50 * time.Microsecond, 0.011, stepGap},
		{"hundreds of runners", 500 * time.Microsecond, 0.051, 10 * time.Millisecond},
		{"a thousand runners", time.Millisecond, 0.051, 20 * time.Millisecond},
		{"however long it takes, items begin soon", 20 * time.Millisecond, 0.41, longestPace},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := pace{}
			now := time.Unix(1_000, 0)
			busy := time.Duration(0)
			const span = 20 * time.Second
			began := now
			require.LessOrEqual(t, p.left(now), time.Duration(0), "the first is due at once")
			for now.Sub(began) < span {
				if left := p.left(now); left > 0 {
					now = now.Add(left)
					continue
				}
				p.took(now, now.Add(c.took))
				now = now.Add(c.took)
				busy += c.took
			}
			require.LessOrEqual(t, busy.Seconds()/span.Seconds(), c.most)
			p.took(now, now.Add(c.took))
			require.InDelta(t, float64(c.gap), float64(p.left(now)), float64(time.Millisecond))
		})
	}
}

// One decision that the machine held up for long must not make those after it rare.
func TestOneSlowDecisionChangesLittle(t *testing.T) {
	p := pace{}
	now := time.Unix(1_000, 0)
	for range 50 {
		p.took(now, now.Add(100*time.Microsecond))
		now = now.Add(stepGap)
	}
	p.took(now, now.Add(30*time.Millisecond))
	for range 40 {
		now = now.Add(longestPace)
		p.took(now, now.Add(100*time.Microsecond))
	}
	require.LessOrEqual(t, p.left(now), stepGap)
}
