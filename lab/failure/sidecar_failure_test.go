package failure

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/lab/pkg/fleet"
)

// A sidecar is killed while its engine runs leased items, so their results are lost. Their
// leases expire and other sidecars run the items. The caller must read each result once,
// since a result only counts under a valid lease.
func TestItemsOfKilledSidecarCompleteOnce(t *testing.T) {
	t.Parallel()
	ctx := testContext(t)
	f := startFleet(t, fleet.Config{Controls: 3, Gateways: 1, Sidecars: 3})
	const items = 400
	job := upload(ctx, t, callerAt(f, 0), "killed", items)
	waitDecided(ctx, t, callerAt(f, 0), job.ID, items/5)
	require.NoError(t, f.Sidecars[0].Kill())
	waitDecided(ctx, t, callerAt(f, 0), job.ID, items/2)
	require.NoError(t, f.Sidecars[0].Start())
	waitDecided(ctx, t, callerAt(f, 0), job.ID, items)
	requireExactlyOnce(ctx, t, callerAt(f, 0), job.ID, "killed", items)
}

// A sidecar with leased items freezes until its leases expire and other sidecars finish the
// job. After resuming it reports results under expired leases. These must be refused, and
// results that were read before must not change.
func TestLateResultsOfFrozenSidecarAreRefused(t *testing.T) {
	t.Parallel()
	ctx := testContext(t)
	f := startFleet(t, fleet.Config{Controls: 3, Gateways: 1, Sidecars: 3})
	const items = 400
	job := upload(ctx, t, callerAt(f, 0), "frozen", items)
	waitDecided(ctx, t, callerAt(f, 0), job.ID, items/5)
	require.NoError(t, f.Sidecars[0].Process().Freeze())
	waitDecided(ctx, t, callerAt(f, 0), job.ID, items)
	requireExactlyOnce(ctx, t, callerAt(f, 0), job.ID, "frozen", items)
	require.NoError(t, f.Sidecars[0].Process().Thaw())
	// The thawed sidecar becomes ready again once it has reported its late results.
	require.NoError(t, f.Sidecars[0].WaitReady(ctx))
	second := upload(ctx, t, callerAt(f, 0), "after", items)
	waitDecided(ctx, t, callerAt(f, 0), second.ID, items)
	requireExactlyOnce(ctx, t, callerAt(f, 0), second.ID, "after", items)
	requireExactlyOnce(ctx, t, callerAt(f, 0), job.ID, "frozen", items)
}
