package failure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/lab/pkg/caller"
	"toucanhinge.example/lab/pkg/fleet"
)

// A caller cancels a running job. After the response no further item may be decided, the
// running items are stopped in the engines, and the engines soon receive no more work,
// even if the leader that accepted the cancellation is killed.
func TestCancelledJobStops(t *testing.T) {
	t.Parallel()
	ctx := testContext(t)
	f := startFleet(t, fleet.Config{Controls: 3, Gateways: 1, Sidecars: 2})
	const items = 3000
	c := callerAt(f, 0)
	job := upload(ctx, t, c, "cancelled", items)
	waitDecided(ctx, t, c, job.ID, 50)
	require.NoError(t, c.Cancel(ctx, job.ID))
	decided, err := c.Status(ctx, job.ID)
	require.NoError(t, err)
	require.Less(t, decided.Done, uint64(items))
	leader, err := f.Leader(ctx, 0)
	require.NoError(t, err)
	require.NoError(t, leader.Kill())

	require.Eventually(t, func() bool {
		before := totalPosts(ctx, f)
		time.Sleep(300 * time.Millisecond)
		return before >= 0 && before == totalPosts(ctx, f)
	}, waitTimeout, pollInterval)
	now, err := c.Status(ctx, job.ID)
	require.NoError(t, err)
	require.Equal(t, decided.Done, now.Done)
	read := uint64(0)
	require.NoError(t, c.Results(ctx, job.ID, 0, func(caller.Result) error { read++; return nil }))
	require.Equal(t, now.Done+now.Failed, read)
}
