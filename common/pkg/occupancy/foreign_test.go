package occupancy

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// A leader's VM loses power while five of its items run at a runner. Its digest expires after a
// second while the runner continues the items, so requests placed on the seemingly free slots
// would wait behind them. The next response of the runner must reveal the foreign work, and the
// digest must spread it.
func TestForeignWorkIsFoundAndPublished(t *testing.T) {
	sender, receiver := New(), New()
	sender.ApplyDigest(0, &toucanhingev1.LoadDigest{
		Source: "leader", Epoch: 1, Sequence: 1, Loads: []*toucanhingev1.RunnerLoad{{Runner: "r", Batch: 5}},
	})
	sender.Add("r", Load{Online: 1})
	found, changed := sender.Observe(10, "r", 6)
	require.Zero(t, found)
	require.False(t, changed)
	sender.Expire(Expiry + 1)
	found, changed = sender.Observe(Expiry+1, "r", 6)
	require.Equal(t, 5, found)
	require.True(t, changed)
	require.Equal(t, 5, sender.Foreign(Expiry+1, "r"))

	// The clock of the other daemon differs.
	const otherNow = 7_000_000
	receiver.ApplyDigest(otherNow, &toucanhingev1.LoadDigest{Source: "here", Epoch: 1, Sequence: 1, Loads: sender.Loads(Expiry + 101)})
	require.Equal(t, 5, receiver.Foreign(otherNow, "r"))
	require.Zero(t, receiver.Foreign(otherNow+ForeignExpiry-99, "r"), "the finding was 100 ms old when it arrived")
}

func TestObserve(t *testing.T) {
	for _, c := range []struct {
		name   string
		counts Load
		held   int
		found  int
	}{
		{"as counted", Load{Online: 3, Batch: 2}, 5, 0},
		{"less than counted: requests in transit to the runner", Load{Online: 3}, 1, 0},
		{"one more: its digest is in transit", Load{Online: 3}, 4, 0},
		{"two more", Load{Online: 3}, 5, 2},
		{"legacy system", Load{}, 8, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := New()
			table.Add("r", c.counts)
			found, changed := table.Observe(1, "r", c.held)
			require.Equal(t, c.found, found)
			require.Equal(t, c.found > 0, changed)
			require.Equal(t, c.found, table.Foreign(1, "r"))
			require.Zero(t, table.Foreign(1+ForeignExpiry+1, "r"))
		})
	}
}

// The newest finding must apply, whichever daemon made it. Otherwise work that has ended would
// occupy its slot until the finding expires.
func TestNewestFindingApplies(t *testing.T) {
	digestOf := func(source string, foreign, age uint32) *toucanhingev1.LoadDigest {
		return &toucanhingev1.LoadDigest{
			Source: source, Epoch: 1, Sequence: 1, Loads: []*toucanhingev1.RunnerLoad{{Runner: "r", Foreign: &foreign, ForeignAgeMs: age}},
		}
	}
	table := New()
	now := clock.Millis(5_000)
	table.ApplyDigest(now, digestOf("a", 6, 100))
	table.ApplyDigest(now, digestOf("b", 2, 300))
	require.Equal(t, 6, table.Foreign(now, "r"), "the finding of b is older")
	table.ApplyDigest(now, digestOf("c", 0, 50))
	require.Zero(t, table.Foreign(now, "r"), "the foreign work has ended")
	_, changed := table.Observe(now+1, "r", 4)
	require.True(t, changed)
	require.Len(t, table.Loads(now+1), 1, "the finding must be in the next digest")
	_, changed = table.Observe(now+2, "r", 0)
	require.True(t, changed)
	require.EqualValues(t, 0, table.Loads(now + 2)[0].GetForeign(), "the end of the foreign work must be in the digest too")
	require.Empty(t, table.Loads(now+2+ForeignExpiry+1))
}

// Runners are replaced all the time, each with a new id, so expired findings must not accumulate.
func TestExpiredFindingsAreRemoved(t *testing.T) {
	table := New()
	table.Observe(1, "gone", 8)
	table.Expire(2 + ForeignExpiry)
	table.Expire(2 + 2*ForeignExpiry)
	require.Empty(t, table.foreign)
	require.Empty(t, table.ownForeign)
}
