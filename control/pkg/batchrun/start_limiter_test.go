package batchrun

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
)

// A burst ebbs, and 600 places are free. On a VM that keeps up all items begin within a
// quarter of a second. On one whose decisions come late fewer begin at a time, so that it
// still leads; when it keeps up again, so does the pace.
func TestItemsBeginNoFasterThanTheLeaderCanBear(t *testing.T) {
	p := newStartLimiter()
	p.allowed(1)
	begun := 0
	for now := clock.Millis(6); now <= 251; now += 5 {
		p.note(1)
		n := min(p.allowed(now), 600-begun)
		p.spent(n)
		begun += n
	}
	require.Equal(t, 600, begun)

	for range 20 {
		p.note(slowLag + 1)
	}
	require.InDelta(t, leastStarts, p.rate, 0)
	now := clock.Millis(1_000)
	p.allowed(now)
	p.spent(int(p.tokens))
	begun = 0
	for range 200 {
		now += 5
		n := p.allowed(now)
		p.spent(n)
		begun += n
	}
	require.InDelta(t, leastStarts, begun, 5, "items still begin")
	for range 100 {
		p.note(0)
	}
	require.InDelta(t, mostStarts, p.rate, 0)
}
