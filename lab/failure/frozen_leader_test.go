package failure

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/lab/pkg/fleet"
	"toucanhinge.example/lab/pkg/operator"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// The leader freezes, as on a paused VM, and another control VM is elected and accepts a
// change. The old leader then resumes and still considers itself the leader. It must
// confirm its leadership with a quorum before it answers a read, so a read must not return
// the old value, and the change must not be reverted on any process.
func TestThawedLeaderServesNoStaleReads(t *testing.T) {
	t.Parallel()
	ctx := testContext(t)
	f := startFleet(t, fleet.Config{Controls: 3, Gateways: 1, Sidecars: 1})
	_, err := f.ApplyLinkChange(ctx, 1)
	require.NoError(t, err)
	old, err := f.Leader(ctx, 0)
	require.NoError(t, err)
	require.NoError(t, old.Process().Freeze())

	changed, err := f.ApplyLinkChange(ctx, 2)
	require.NoError(t, err)
	require.NoError(t, old.Process().Thaw())

	operatorAtOld := operator.New(operator.Config{Controls: []string{old.Address}})
	for range 20 {
		entries, err := operatorAtOld.Entries(ctx, toucanhingev1.Kind_KIND_LINK, f.LinkChange(2).GetName())
		require.NoError(t, err)
		require.Len(t, entries, 1)
		require.Equal(t, f.LinkChange(2).GetLink().GetLatencyUs(), entries[0].GetLink().GetLatencyUs())
		require.Equal(t, changed.GetVersion(), entries[0].GetVersion())
	}
	require.NoError(t, f.WaitForVersion(ctx, changed.GetVersion()))
}
