package failure

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/job"
	"toucanhinge.example/lab/pkg/fleet"
)

// The leader of the job's group is killed right after the job was accepted. The response
// may be lost as well, so the caller uploads the job again through another gateway. It must
// get the same job and each item exactly once, since a job is only acknowledged once a
// majority has stored it.
func TestAcceptedJobSurvivesLeaderKill(t *testing.T) {
	t.Parallel()
	ctx := testContext(t)
	f := startFleet(t, fleet.Config{Controls: 3, Gateways: 2, Sidecars: 2})
	const items = 150
	accepted := upload(ctx, t, callerAt(f, 0), "lot", items)
	group, err := job.GroupOf(accepted.ID)
	require.NoError(t, err)
	leader, err := f.Leader(ctx, group)
	require.NoError(t, err)
	require.NoError(t, leader.Kill())

	retried := upload(ctx, t, callerAt(f, 1), "lot", items)
	require.Equal(t, accepted.ID, retried.ID)
	waitDecided(ctx, t, callerAt(f, 1), accepted.ID, items)
	requireExactlyOnce(ctx, t, callerAt(f, 1), accepted.ID, "lot", items)
}
