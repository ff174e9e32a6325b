package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
)

// A leader is short of CPU time, and its heartbeats come later and later. If it were
// deposed, its work would move to a replica that soon is as short of CPU time. Once
// heartbeats are in time again, a failed leader is replaced after the plain election
// timeout.
func TestLeaderTimeoutAdaptsToLateHeartbeats(t *testing.T) {
	const timeout = clock.Millis(300)
	lt := leaderTimeout{electionTimeout: timeout}
	for range 100 {
		lt.observe(75)
	}
	require.Equal(t, timeout, lt.value(), "heartbeats in time")
	for _, gap := range []clock.Millis{120, 200, 290} {
		lt.observe(gap)
	}
	require.EqualValues(t, 3*290, lt.value(), "late heartbeats")
	lt.observe(10_000)
	require.EqualValues(t, maxLeaderTimeoutFactor*timeout, lt.value(), "upper limit")
	for range 150 {
		lt.observe(75)
	}
	require.Equal(t, timeout, lt.value(), "heartbeats in time again")
}
