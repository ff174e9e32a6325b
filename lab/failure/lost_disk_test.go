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

// A control VM comes back with an empty disk and its old settings. It must not
// vote as who it was: with a second VM frozen, one sound replica and the empty
// one are no majority, and nothing may be accepted. Then a newcomer replaces it,
// and right after the repair a second VM, the leader, is lost with all it
// had. Everything accepted before is still there, and work goes on.
func TestLostDiskThenLossOfASecondVM(t *testing.T) {
	t.Parallel()
	ctx := bounded(t)
	f := start(t, fleet.Config{Controls: 3, Gateways: 1, Sidecars: 2})
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
	repair(ctx, t, f, empty)
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

// repair does as the operators' page says: starts a VM that joins, removes the
// lost replica, adds the newcomer and promotes it as soon as control allows.
func repair(ctx context.Context, t *testing.T, f *fleet.Fleet, lost *fleet.Node) {
	t.Helper()
	newcomer, err := f.StartJoiningControl()
	require.NoError(t, err)
	identity := ""
	require.Eventually(t, func() bool {
		status, err := f.Operator.GroupStatus(ctx, newcomer.Address)
		identity = status.GetIdentity()
		return err == nil && identity != ""
	}, patience, poll)
	for _, request := range []*toucanhingev1.ChangeReplicaRequest{
		{Change: toucanhingev1.ReplicaChange_REPLICA_CHANGE_REMOVE, Name: lost.Name},
		{
			Change: toucanhingev1.ReplicaChange_REPLICA_CHANGE_ADD_LEARNER,
			Name:   newcomer.Name, Address: newcomer.Address, Identity: identity,
		},
		{Change: toucanhingev1.ReplicaChange_REPLICA_CHANGE_PROMOTE, Name: newcomer.Name},
	} {
		change(ctx, t, f, request)
	}
}

// change repeats a change of the members until it is made; what refuses it is logged.
func change(ctx context.Context, t *testing.T, f *fleet.Fleet, request *toucanhingev1.ChangeReplicaRequest) {
	t.Helper()
	last := ""
	require.Eventually(t, func() bool {
		err := f.Operator.ChangeReplica(ctx, request)
		if err != nil && err.Error() != last {
			last = err.Error()
			t.Log(last)
		}
		return err == nil
	}, patience, 10*poll)
}
