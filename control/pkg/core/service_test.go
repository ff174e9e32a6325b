package core

import (
	"context"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/control"
	"toucanhinge.example/common/pkg/routing"
	"toucanhinge.example/control/pkg/systemstate"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

type systemState = systemstate.State

func attend(ctx context.Context, c *control.Client, haveVersion, haveFleet uint64) (*toucanhingev1.AttendResponse, error) {
	answer, err := control.Call(ctx, c, Group, "attend",
		func(ctx context.Context, leader *control.Replica) (*connect.Response[toucanhingev1.AttendResponse], error) {
			return leader.Core.Attend(ctx, connect.NewRequest(&toucanhingev1.AttendRequest{
				Name: "g", DigestAddress: "127.0.0.1:9", HaveVersion: haveVersion, HaveFleet: haveFleet, WaitMs: 500,
			}))
		})
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}

func TestFollowerRefusesCallsAndNamesLeader(t *testing.T) {
	cl := newCluster(t, 3)
	cl.startAll()
	cl.replaceTable(1)
	leader, follower := cl.leader(), cl.follower()
	require.Eventually(t, func() bool {
		_, err := follower.core.ReadTable(context.Background())
		return IsNotLeader(err) && follower.core.Leader() == leader.address
	}, waitTimeout, 10*time.Millisecond)
	_, err := follower.core.ReplaceTable(context.Background(), testTable(2))
	require.True(t, IsNotLeader(err))
	require.Eventually(t, func() bool {
		_, err = follower.core.Attend(context.Background(), connect.NewRequest(&toucanhingev1.AttendRequest{}))
		address, refused := control.LeaderOf(err)
		require.True(t, refused)
		return address == leader.address
	}, waitTimeout, 10*time.Millisecond)
}

// A deployment has more VMs than the group needs. A VM that isn't a member must name the leader
// to callers; otherwise callers try VM after VM.
func TestNonMemberNamesLeader(t *testing.T) {
	cl := newCluster(t, 5)
	cl.startAll()
	cl.replaceTable(1)
	cl.waitForRegistered(5)
	cl.eventually(func(leader *vm) bool {
		members := map[string]bool{}
		for _, r := range leader.core.group.Status().GetReplicas() {
			members[r.GetName()] = true
		}
		for _, v := range cl.vms {
			if members[v.address] {
				continue
			}
			_, err := v.core.ReadTable(context.Background())
			return IsNotLeader(err) && v.core.Leader() == leader.address
		}
		return false
	}, "no VM outside the group names the leader")
}

// A gateway that is up to date waits for updates and has to receive a new table at once.
func TestNewTableReachesWaitingGatewayAtOnce(t *testing.T) {
	cl := newCluster(t, 3)
	cl.startAll()
	cl.replaceTable(1)
	c := client(cl.vms[0].known)
	var first *toucanhingev1.AttendResponse
	require.Eventually(t, func() bool {
		answer, err := attend(context.Background(), c, 0, 0)
		first = answer
		return err == nil && answer.GetFleet() != nil && answer.GetTable() != nil
	}, waitTimeout, 10*time.Millisecond)
	require.Equal(t, uint64(1), first.GetTable().GetVersion())
	require.True(t, first.GetFleet().GetRunners()[0].GetLeaving())

	received := make(chan time.Time, 1)
	go func() {
		for {
			answer, err := attend(context.Background(), c, 1, first.GetFleet().GetRevision())
			if err == nil && answer.GetTable().GetVersion() == 2 {
				received <- time.Now()
				return
			}
		}
	}()
	time.Sleep(100 * time.Millisecond)
	cl.replaceTable(2)
	acknowledged := time.Now()
	require.WithinDuration(t, acknowledged, <-received, 200*time.Millisecond)
}

func TestInvalidTableIsRefused(t *testing.T) {
	cl := newCluster(t, 3)
	cl.startAll()
	cl.replaceTable(1)
	broken := testTable(9)
	broken.Routes[0].TimeLimitMs = 0
	_, err := cl.leader().core.ReplaceTable(context.Background(), broken)
	require.ErrorIs(t, err, routing.ErrInvalid)
	cl.requireTable(1)
}

// Two operators concurrently send tables with their own versions, out of order and some of them
// twice. In the end the highest acknowledged version must be active.
func TestConcurrentTableReplacements(t *testing.T) {
	cl := newCluster(t, 3)
	cl.startAll()
	cl.replaceTable(1)
	leader := cl.leader()
	var operators sync.WaitGroup
	for operator := range 2 {
		operators.Add(1)
		go func() {
			defer operators.Done()
			for _, version := range []int{4, 2, 8, 6, 8} {
				_, err := leader.core.ReplaceTable(context.Background(), testTable(uint64(version+operator)))
				require.NoError(t, err)
			}
		}()
	}
	operators.Wait()
	cl.requireTable(9)
}

// A caller submits a job twice, as after a lost response, waits for results that don't exist yet,
// reads a body, and ends the job twice. Each call must have the outcome of a single one.
func TestJobCalls(t *testing.T) {
	cl := newCluster(t, 3)
	cl.startAll()
	cl.replaceTable(1)
	ctx := context.Background()
	c := client(cl.vms[0].known)
	for range 2 {
		outcome, err := submit(ctx, c, "job")
		require.NoError(t, err)
		require.Equal(t, toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_ACCEPTED, outcome)
	}
	leader := cl.leader().core
	start := time.Now()
	listed, err := leader.ReadListed(ctx, connect.NewRequest(&toucanhingev1.ReadListedRequest{Job: "job", WaitMs: 200}))
	require.NoError(t, err)
	require.True(t, listed.Msg.GetFound())
	require.Equal(t, uint32(1), listed.Msg.GetTotal())
	require.Empty(t, listed.Msg.GetResults())
	require.GreaterOrEqual(t, time.Since(start), 190*time.Millisecond)

	body, err := leader.ReadBody(ctx, connect.NewRequest(&toucanhingev1.ReadBodyRequest{Job: "job", Item: "job-0"}))
	require.NoError(t, err)
	require.Equal(t, "body", string(body.Msg.GetBody()))
	for _, unknown := range []*toucanhingev1.ReadBodyRequest{{Job: "job", Item: "other"}, {Job: "other", Item: "job-0"}} {
		body, err = leader.ReadBody(ctx, connect.NewRequest(unknown))
		require.NoError(t, err)
		require.False(t, body.Msg.GetFound())
	}
	for range 2 {
		ended, err := leader.EndJob(ctx, connect.NewRequest(&toucanhingev1.EndJobRequest{Job: "job"}))
		require.NoError(t, err)
		require.True(t, ended.Msg.GetFound())
	}
	ended, err := leader.EndJob(ctx, connect.NewRequest(&toucanhingev1.EndJobRequest{Job: "other"}))
	require.NoError(t, err)
	require.False(t, ended.Msg.GetFound())
}
