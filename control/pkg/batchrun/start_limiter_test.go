package batchrun

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
)

// A burst ends and 600 slots become free. If decisions are in time, 600 items must start within 250 ms. If
// decisions are late, the rate must fall to the minimum, so that the VM doesn't lose its leadership. It must
// recover once decisions are in time again.
func TestStartLimiterFollowsLag(t *testing.T) {
	l := newStartLimiter()
	l.allowed(1)
	started := 0
	for now := clock.Millis(6); now <= 251; now += 5 {
		l.recordLag(1)
		n := min(l.allowed(now), 600-started)
		l.spend(n)
		started += n
	}
	require.Equal(t, 600, started)

	for range 20 {
		l.recordLag(lagThreshold + 1)
	}
	require.InDelta(t, minStartRate, l.rate, 0)
	now := clock.Millis(1_000)
	l.allowed(now)
	l.spend(int(l.tokens))
	started = 0
	for range 200 {
		now += 5
		n := l.allowed(now)
		l.spend(n)
		started += n
	}
	require.InDelta(t, minStartRate, started, 5, "items start at the minimum rate")
	for range 100 {
		l.recordLag(0)
	}
	require.InDelta(t, maxStartRate, l.rate, 0)
}
