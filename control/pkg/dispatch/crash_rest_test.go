package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
)

// Guards against an item that is never placed again after a burst of crashes, and against one that meets each crash of
// the burst.
func TestItemRestsBrieflyAfterCrashes(t *testing.T) {
	m, key, now := New(), Key{Job: "j"}, clock.Millis(1_000)
	m.Add(testItem("j", 0, 1_000_000))
	env := testEnvironment(nil, testRunner("a", 1))
	starts := func(now clock.Millis) int { return len(m.Step(now, env).Start) }
	for n, rest := range []clock.Millis{100, 500, 1_000, 2_000, 3_000, 3_000, 3_000, 3_000, 3_000, 3_000} {
		require.Equal(t, 1, starts(now), "crash %d", n)
		m.Crashed(now, key, 100)
		require.Zero(t, starts(now+rest-1), "crash %d", n)
		now += rest
	}
	require.Equal(t, 1, starts(now))
	m.Progressed(key)
	m.Crashed(now, key, 100)
	require.Equal(t, 1, starts(now+100), "a long run ends the row of crashes")
}
