package consensus

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
)

// Guards against elections that nobody wins while the disks of all replicas are slow: a candidate gave up its
// candidacy, or was overtaken by another one, before the votes were synced.
func TestLeaderIsElectedWithSlowDisks(t *testing.T) {
	const seeds = 30
	for _, size := range []int{3, 5} {
		for _, syncTime := range []clock.Millis{10, 100, 300, 600, 1_000, 2_000, 5_000} {
			t.Run(fmt.Sprintf("%d replicas, syncs of %d ms", size, syncTime), func(t *testing.T) {
				t.Parallel()
				// Each of a term, a vote and an entry is synced at one replica after the other and may wait for a
				// running sync. One more election may be necessary if two replicas campaign at the same time.
				limit := 2_000 + 16*syncTime
				var longest clock.Millis
				for seed := range seeds {
					s := newSim(size, 0, func(n int) int { return seed % n })
					s.runWithoutFaults(3_000)
					require.NotNil(t, s.leader())
					committed := s.highestCommitted
					s.crash(s.leader())
					elapsed := clock.Millis(0)
					for ; elapsed < limit && s.highestCommitted == committed; elapsed += 50 {
						s.runWithSlowDisks(50, syncTime)
					}
					longest = max(longest, elapsed)
					if elapsed < limit {
						term := s.leader().machine.state.Term
						s.runWithSlowDisks(3_000+4*syncTime, syncTime)
						require.Equal(t, term, s.leader().machine.state.Term, "the leader changed again")
					}
					require.Empty(t, s.violation)
				}
				t.Logf("the next leader committed its first entry after %d ms at most", longest)
				require.Less(t, longest, limit)
			})
		}
	}
}

// Guards against an election that waits for the slow disks of a minority: the others can elect a leader among
// themselves as quickly as usual.
func TestSlowDisksOfMinorityDoNotDelayElection(t *testing.T) {
	const seeds, limit = 30, 3_000
	var longest clock.Millis
	for seed := range seeds {
		s := newSim(5, 0, func(n int) int { return seed % n })
		s.runWithoutFaults(3_000)
		s.crash(s.leader())
		for _, n := range s.nodes {
			if n.machine != nil {
				n.slowDisk = true
				break
			}
		}
		committed, elapsed := s.highestCommitted, clock.Millis(0)
		for ; elapsed < limit && s.highestCommitted == committed; elapsed += 50 {
			s.runWithSlowDisks(50, 10)
		}
		require.Empty(t, s.violation)
		longest = max(longest, elapsed)
	}
	t.Logf("the next leader committed its first entry after %d ms at most", longest)
	require.Less(t, longest, clock.Millis(limit))
}
