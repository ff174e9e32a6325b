package occupancy

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// A leader's VM loses power while five of its items run at each runner. Its digest
// expires after a second, and the runners go on: callers who are sent to the places
// that look free wait behind the items. An answer of the runner tells what it really
// has under way, and everybody learns of it.
func TestForeignWorkIsFoundAndTold(t *testing.T) {
	here, there := New(), New()
	here.ApplyDigest(0, &toucanhingev1.LoadDigest{
		Source: "leader", Epoch: 1, Sequence: 1, Loads: []*toucanhingev1.RunnerLoad{{Runner: "r", Batch: 5}},
	})
	here.Add("r", Load{Online: 1})
	found, news := here.Observe(10, "r", 6)
	require.Zero(t, found)
	require.False(t, news)
	here.Expire(Expiry + 1)
	found, news = here.Observe(Expiry+1, "r", 6)
	require.Equal(t, 5, found)
	require.True(t, news)
	require.Equal(t, 5, here.Foreign(Expiry+1, "r"))

	// The other daemon's clock shows another time.
	const other = 7_000_000
	there.ApplyDigest(other, &toucanhingev1.LoadDigest{Source: "here", Epoch: 1, Sequence: 1, Loads: here.Loads(Expiry + 101)})
	require.Equal(t, 5, there.Foreign(other, "r"))
	require.Zero(t, there.Foreign(other+ForeignExpiry-99, "r"), "it was 100 ms old when it came")
}

func TestObserve(t *testing.T) {
	for _, c := range []struct {
		name   string
		counts Load
		held   int
		found  int
	}{
		{"as counted", Load{Online: 3, Batch: 2}, 5, 0},
		{"less than counted: some are on their way", Load{Online: 3}, 1, 0},
		{"one more: on its way to us", Load{Online: 3}, 4, 0},
		{"two more", Load{Online: 3}, 5, 2},
		{"an older system's", Load{}, 8, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := New()
			table.Add("r", c.counts)
			found, news := table.Observe(1, "r", c.held)
			require.Equal(t, c.found, found)
			require.Equal(t, c.found > 0, news)
			require.Equal(t, c.found, table.Foreign(1, "r"))
			require.Zero(t, table.Foreign(1+ForeignExpiry+1, "r"))
		})
	}
}

// The newest finding counts, whoever made it: work that ended would else keep its
// place until the finding runs out.
func TestTheNewestFindingCounts(t *testing.T) {
	tell := func(source string, foreign, age uint32) *toucanhingev1.LoadDigest {
		return &toucanhingev1.LoadDigest{
			Source: source, Epoch: 1, Sequence: 1, Loads: []*toucanhingev1.RunnerLoad{{Runner: "r", Foreign: &foreign, ForeignAgeMs: age}},
		}
	}
	table := New()
	now := clock.Millis(5_000)
	table.ApplyDigest(now, tell("a", 6, 100))
	table.ApplyDigest(now, tell("b", 2, 300))
	require.Equal(t, 6, table.Foreign(now, "r"), "b's is older")
	table.ApplyDigest(now, tell("c", 0, 50))
	require.Zero(t, table.Foreign(now, "r"), "it has ended")
	_, news := table.Observe(now+1, "r", 4)
	require.True(t, news)
	require.Len(t, table.Loads(now+1), 1, "told to the others")
	_, news = table.Observe(now+2, "r", 0)
	require.True(t, news)
	require.EqualValues(t, 0, table.Loads(now + 2)[0].GetForeign(), "its end is told too")
	require.Empty(t, table.Loads(now+2+ForeignExpiry+1))
}

// Runners are replaced all the time, each with a new id.
func TestFindingsOfRunnersThatAreGoneAreDropped(t *testing.T) {
	table := New()
	table.Observe(1, "gone", 8)
	table.Expire(2 + ForeignExpiry)
	table.Expire(2 + 2*ForeignExpiry)
	require.Empty(t, table.foreign)
	require.Empty(t, table.ownForeign)
}
