package consensus

import "toucanhinge.example/common/pkg/clock"

const (
	// leaderGapFactor is the number of longest gaps between messages of the leader that
	// must pass before the leader counts as failed.
	leaderGapFactor = 3
	// maxLeaderTimeoutFactor limits the leader timeout, in election timeouts.
	maxLeaderTimeoutFactor = 4
	// leaderGapDecay is the factor by which each further message shortens the longest
	// gap: to a quarter after five seconds with heartbeats every 75 ms.
	leaderGapDecay = 0.98
)

// leaderTimeout adapts the time without contact after which a leader counts as failed. A
// leader that is short of CPU time sends late heartbeats. If it is deposed for that, all
// of its work moves to another VM, which is then as short of CPU time and is deposed for
// the same reason: on a fleet of 278 VMs the leader changed every few seconds during a burst. A
// leader whose heartbeats arrive in time gets just the election timeout.
type leaderTimeout struct {
	electionTimeout clock.Millis
	longestGap      clock.Millis
}

// observe records the gap before a message of the leader or, on the leader, before its
// own tick.
func (t *leaderTimeout) observe(gap clock.Millis) {
	t.longestGap = min(
		max(gap, clock.Millis(float64(t.longestGap)*leaderGapDecay)),
		maxLeaderTimeoutFactor*t.electionTimeout/leaderGapFactor,
	)
}

// value returns the time without contact after which a leader counts as failed.
func (t *leaderTimeout) value() clock.Millis {
	return max(t.electionTimeout, leaderGapFactor*t.longestGap)
}
