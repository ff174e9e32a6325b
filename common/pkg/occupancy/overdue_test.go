package occupancy

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// A gateway makes proxied calls for the leader. It must end them soon after the leader has failed
// and never while the leader is alive, although digests of a large fleet have longer intervals
// and the first digest of a new leader may be lost.
func TestOverdue(t *testing.T) {
	for _, c := range []struct {
		name     string
		sent     bool
		lastSeen clock.Millis
		interval uint32
		since    clock.Millis
		now      clock.Millis
		want     bool
	}{
		{"digest in time", true, 1_000, 50, 0, 1_300, false},
		{"six intervals without a digest", true, 1_000, 50, 0, 1_301, true},
		{"intervals of a large fleet", true, 1_000, 300, 0, 2_800, false},
		{"six of those without a digest", true, 1_000, 300, 0, 2_801, true},
		{"intervals of a large fleet, the call is newer", true, 1_000, 300, 1_200, 3_000, false},
		{"old digest, but the call is new", true, 1_000, 0, 5_000, 5_300, false},
		{"old digest, and none during the call", true, 1_000, 0, 5_000, 5_301, true},
		{"no digest ever, the call is new", false, 0, 0, 5_000, 6_000, false},
		{"no digest ever, the call is old", false, 0, 0, 5_000, 6_001, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := New()
			if c.sent {
				table.ApplyDigest(c.lastSeen, &toucanhingev1.LoadDigest{Source: "leader", Epoch: 1, Sequence: 1, NextMs: c.interval})
			}
			require.Equal(t, c.want, table.Overdue(c.now, "leader", c.since))
		})
	}
}

// Only a daemon with items must announce the shorter digest interval.
func TestRunsItems(t *testing.T) {
	table := New()
	table.Add("r", Load{Online: 1})
	require.False(t, table.RunsItems())
	table.Add("r", Load{Batch: 1})
	require.True(t, table.RunsItems())
}
