package failure

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/lab/pkg/fleet"
	"toucanhinge.example/lab/pkg/operator"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// The leading control freezes (a paused VM), another one is elected and accepts
// a change. Then the old leader goes on as if nothing had been, still believing
// that it leads. A read asked of it must not show the old value, and the change
// must not revert anywhere: it has to confirm its leadership with a quorum first.
func TestFrozenLeaderComesBackWithoutReverting(t *testing.T) {
	t.Parallel()
	ctx := bounded(t)
	f := start(t, fleet.Config{Controls: 3, Gateways: 1, Sidecars: 1})
	_, err := f.ApplyLinkChange(ctx, 1)
	require.NoError(t, err)
	old, err := f.Leader(ctx, 0)
	require.NoError(t, err)
	require.NoError(t, old.Process().Freeze())

	changed, err := f.ApplyLinkChange(ctx, 2)
	require.NoError(t, err)
	require.NoError(t, old.Process().Thaw())

	asOld := operator.New(operator.Config{Controls: []string{old.Address}})
	for range 20 {
		entries, err := asOld.Entries(ctx, toucanhingev1.Kind_KIND_LINK, f.LinkChange(2).GetName())
		require.NoError(t, err)
		require.Len(t, entries, 1)
		require.Equal(t, f.LinkChange(2).GetLink().GetLatencyUs(), entries[0].GetLink().GetLatencyUs())
		require.Equal(t, changed.GetVersion(), entries[0].GetVersion())
	}
	require.NoError(t, f.WaitForVersion(ctx, changed.GetVersion()))
}
