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

type stateOf = systemstate.State

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

func TestOnlyTheLeaderAnswersAndOthersNameIt(t *testing.T) {
	s := newSite(t, 3)
	s.startAll()
	s.replace(1)
	leader, follower := s.leader(), s.follower()
	require.Eventually(t, func() bool {
		_, err := follower.core.ReadTable(context.Background())
		return IsNotLeader(err) && follower.core.Leader() == leader.address
	}, patience, 10*time.Millisecond)
	_, err := follower.core.ReplaceTable(context.Background(), tableOf(2))
	require.True(t, IsNotLeader(err))
	require.Eventually(t, func() bool {
		_, err = follower.core.Attend(context.Background(), connect.NewRequest(&toucanhingev1.AttendRequest{}))
		address, refused := control.LeaderOf(err)
		require.True(t, refused)
		return address == leader.address
	}, patience, 10*time.Millisecond)
}

// A site has more VMs than the group needs. One that isn't a member is asked by
// the operator, and must name the leader: else callers try VM after VM.
func TestAVMThatIsNoMemberNamesTheLeader(t *testing.T) {
	s := newSite(t, 5)
	s.startAll()
	s.replace(1)
	s.registered(5)
	require.Eventually(t, func() bool {
		members := map[string]bool{}
		for _, r := range s.leader().core.group.Status().GetReplicas() {
			members[r.GetName()] = true
		}
		for _, v := range s.vms {
			if members[v.address] {
				continue
			}
			_, err := v.core.ReadTable(context.Background())
			return IsNotLeader(err) && v.core.Leader() == s.leader().address
		}
		return false
	}, patience, 20*time.Millisecond)
}

// A gateway that holds everything waits for news, and gets it at once when the
// operator changes the table.
func TestNewsReachAWaitingGatewayAtOnce(t *testing.T) {
	s := newSite(t, 3)
	s.startAll()
	s.replace(1)
	c := client(s.vms[0].known)
	var first *toucanhingev1.AttendResponse
	require.Eventually(t, func() bool {
		answer, err := attend(context.Background(), c, 0, 0)
		first = answer
		return err == nil && answer.GetFleet() != nil && answer.GetTable() != nil
	}, patience, 10*time.Millisecond)
	require.Equal(t, uint64(1), first.GetTable().GetVersion())
	require.True(t, first.GetFleet().GetRunners()[0].GetLeaving())

	got := make(chan time.Time, 1)
	go func() {
		for {
			answer, err := attend(context.Background(), c, 1, first.GetFleet().GetRevision())
			if err == nil && answer.GetTable().GetVersion() == 2 {
				got <- time.Now()
				return
			}
		}
	}()
	time.Sleep(100 * time.Millisecond)
	s.replace(2)
	acknowledged := time.Now()
	require.WithinDuration(t, acknowledged, <-got, 200*time.Millisecond)
}

func TestInvalidTablesAreNeverInForce(t *testing.T) {
	s := newSite(t, 3)
	s.startAll()
	s.replace(1)
	broken := tableOf(9)
	broken.Routes[0].TimeLimitMs = 0
	_, err := s.leader().core.ReplaceTable(context.Background(), broken)
	require.ErrorIs(t, err, routing.ErrInvalid)
	s.requireTable(1)
}

// Two operators race: each sends tables with its own versions, in any order and
// some of them twice. In the end the highest acknowledged version is in force.
func TestOperatorsRace(t *testing.T) {
	s := newSite(t, 3)
	s.startAll()
	s.replace(1)
	leader := s.leader()
	var racing sync.WaitGroup
	for operator := range 2 {
		racing.Add(1)
		go func() {
			defer racing.Done()
			for _, version := range []int{4, 2, 8, 6, 8} {
				_, err := leader.core.ReplaceTable(context.Background(), tableOf(uint64(version+operator)))
				require.NoError(t, err)
			}
		}()
	}
	racing.Wait()
	s.requireTable(9)
}

// A caller sends a job, gets no answer, and sends it again; it reads results from
// a position that isn't there yet, asks for a body, and ends the job twice.
func TestCallsAboutJobs(t *testing.T) {
	s := newSite(t, 3)
	s.startAll()
	s.replace(1)
	ctx := context.Background()
	c := client(s.vms[0].known)
	for range 2 {
		outcome, err := submit(ctx, c, "job")
		require.NoError(t, err)
		require.Equal(t, toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_ACCEPTED, outcome)
	}
	leader := s.leader().core
	began := time.Now()
	listed, err := leader.ReadListed(ctx, connect.NewRequest(&toucanhingev1.ReadListedRequest{Job: "job", WaitMs: 200}))
	require.NoError(t, err)
	require.True(t, listed.Msg.GetFound())
	require.Equal(t, uint32(1), listed.Msg.GetTotal())
	require.Empty(t, listed.Msg.GetResults())
	require.GreaterOrEqual(t, time.Since(began), 190*time.Millisecond)

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
