package failure

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/lab/pkg/fleet"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// A control VM restarts with an empty disk and its old settings. It must not vote under its
// former identity: while a second VM is frozen, the intact replica and the empty one are no
// majority, so no change may be accepted. A new VM then replaces the empty one, and right
// afterwards the leader is lost with its disk. All accepted state must survive, and new
// jobs must complete.
func TestAcceptedStateSurvivesLostDiskAndLostLeader(t *testing.T) {
	t.Parallel()
	ctx := testContext(t)
	f := startFleet(t, fleet.Config{Controls: 3, Gateways: 1, Sidecars: 2})
	const items = 100
	job := upload(ctx, t, callerAt(f, 0), "kept", items)
	waitDecided(ctx, t, callerAt(f, 0), job.ID, items)
	leader, err := f.Leader(ctx, 0)
	require.NoError(t, err)
	empty, other := followers(f, leader)

	require.NoError(t, empty.Kill())
	require.NoError(t, os.RemoveAll(empty.DataFolder))
	require.NoError(t, empty.Start())
	require.NoError(t, other.Process().Freeze())
	short, stop := context.WithTimeout(ctx, 3*time.Second)
	_, err = f.ApplyLinkChange(short, 1)
	stop()
	require.Error(t, err)
	require.NoError(t, other.Process().Thaw())
	_, err = f.ApplyLinkChange(ctx, 2)
	require.NoError(t, err)

	require.NoError(t, empty.Kill())
	replaceReplica(ctx, t, f, empty)
	require.NoError(t, leader.Kill())
	require.NoError(t, os.RemoveAll(leader.DataFolder))
	_, err = f.ApplyLinkChange(ctx, 3)
	require.NoError(t, err)
	requireExactlyOnce(ctx, t, callerAt(f, 0), job.ID, "kept", items)
	after := upload(ctx, t, callerAt(f, 0), "after", items)
	waitDecided(ctx, t, callerAt(f, 0), after.ID, items)
	requireExactlyOnce(ctx, t, callerAt(f, 0), after.ID, "after", items)
}

func followers(f *fleet.Fleet, leader *fleet.Node) (first, second *fleet.Node) {
	var all []*fleet.Node
	for _, n := range f.Controls {
		if n != leader {
			all = append(all, n)
		}
	}
	return all[0], all[1]
}

// replaceReplica follows the documented operator procedure: it starts a joining VM, removes the
// lost replica, adds the new VM as a learner and promotes it as soon as control allows.
func replaceReplica(ctx context.Context, t *testing.T, f *fleet.Fleet, lost *fleet.Node) {
	t.Helper()
	replacement, err := f.StartJoiningControl()
	require.NoError(t, err)
	identity := ""
	require.Eventually(t, func() bool {
		status, err := f.Operator.GroupStatus(ctx, replacement.Address)
		identity = status.GetIdentity()
		return err == nil && identity != ""
	}, waitTimeout, pollInterval)
	for _, request := range []*toucanhingev1.ChangeReplicaRequest{
		{Change: toucanhingev1.ReplicaChange_REPLICA_CHANGE_REMOVE, Name: lost.Name},
		{
			Change: toucanhingev1.ReplicaChange_REPLICA_CHANGE_ADD_LEARNER,
			Name:   replacement.Name, Address: replacement.Address, Identity: identity,
		},
		{Change: toucanhingev1.ReplicaChange_REPLICA_CHANGE_PROMOTE, Name: replacement.Name},
	} {
		changeReplica(ctx, t, f, request)
	}
}

// changeReplica retries a membership change until it succeeds and logs each new error.
func changeReplica(ctx context.Context, t *testing.T, f *fleet.Fleet, request *toucanhingev1.ChangeReplicaRequest) {
	t.Helper()
	lastError := ""
	require.Eventually(t, func() bool {
		err := f.Operator.ChangeReplica(ctx, request)
		if err != nil && err.Error() != lastError {
			lastError = err.Error()
			t.Log(lastError)
		}
		return err == nil
	}, waitTimeout, 10*pollInterval)
}
