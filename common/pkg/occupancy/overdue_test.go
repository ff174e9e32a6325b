package occupancy

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// A gateway carries calls for the leader. It must end them soon after the leader has
// vanished, and never while the leader is there: in a large fleet digests come at
// longer intervals, and a new leader's first one may be lost.
func TestOverdue(t *testing.T) {
	for _, c := range []struct {
		name  string
		told  bool
		heard clock.Millis
		next  uint32
		since clock.Millis
		now   clock.Millis
		want  bool
	}{
		{"told in time", true, 1_000, 50, 0, 1_300, false},
		{"silent for six intervals", true, 1_000, 50, 0, 1_301, true},
		{"a large fleet's intervals", true, 1_000, 300, 0, 2_800, false},
		{"silent for six of them", true, 1_000, 300, 0, 2_801, true},
		{"a large fleet's, the call is newer", true, 1_000, 300, 1_200, 3_000, false},
		{"told long ago, but the call is new", true, 1_000, 0, 5_000, 5_300, false},
		{"and nothing since", true, 1_000, 0, 5_000, 5_301, true},
		{"never told, the call is new", false, 0, 0, 5_000, 6_000, false},
		{"never told for long", false, 0, 0, 5_000, 6_001, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := New()
			if c.told {
				table.ApplyDigest(c.heard, &toucanhingev1.LoadDigest{Source: "leader", Epoch: 1, Sequence: 1, NextMs: c.next})
			}
			require.Equal(t, c.want, table.Overdue(c.now, "leader", c.since))
		})
	}
}

func TestOnlyADaemonWithItemsPromisesShortIntervals(t *testing.T) {
	table := New()
	table.Add("r", Load{Online: 1})
	require.False(t, table.RunsItems())
	table.Add("r", Load{Batch: 1})
	require.True(t, table.RunsItems())
}
