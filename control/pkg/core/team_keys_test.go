package core

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/apikey"
	"toucanhinge.example/common/pkg/quota"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// A leader has lost contact with its two followers and has not detected that yet. It must not confirm API keys to
// gateways, because a newer leader may have acknowledged the removal of a key.
// Calls that don't request a confirmation may still return updates.
func TestLeaderWithoutQuorumConfirmsNoKeys(t *testing.T) {
	cl := newCluster(t, 3)
	cl.startAll()
	cl.replaceTable(1)
	leader := cl.leader()
	attendOnce := func(confirm bool) (*toucanhingev1.AttendResponse, error) {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		answer, err := leader.core.Attend(ctx, connect.NewRequest(&toucanhingev1.AttendRequest{Name: "g", DigestAddress: "127.0.0.1:9", Confirm: confirm}))
		if err != nil {
			return nil, err
		}
		return answer.Msg, nil
	}
	answer, err := attendOnce(true)
	require.NoError(t, err)
	require.True(t, answer.GetConfirmed())
	require.Empty(t, answer.GetTable().GetDocument(), "the operator's document contains keys and must not leave the core")
	require.Equal(t, uint64(1), answer.GetTable().GetVersion())

	for _, v := range cl.vms {
		if v != leader {
			v.kill()
		}
	}
	if answer, err = attendOnce(false); err == nil {
		require.False(t, answer.GetConfirmed())
	}
	_, err = attendOnce(true)
	require.Error(t, err)
}

// A caller uses a key that has just been removed, and its gateway doesn't know that yet. The
// leader knows the newest table and has to deny the call.
func TestLeaderChecksKeysInJobCalls(t *testing.T) {
	cl := newCluster(t, 3)
	cl.startAll()
	table := func(version uint64, keys ...string) *toucanhingev1.RoutingTable {
		wire := testTable(version)
		wire.Keyed = true
		wire.Teams = []*toucanhingev1.Team{{Name: "a"}, {Name: "b", Keys: [][]byte{apikey.Bytes("b1")}}}
		for _, key := range keys {
			wire.Teams[0].Keys = append(wire.Teams[0].Keys, apikey.Bytes(key))
		}
		return wire
	}
	cl.replaceTableWith(table(1, "a1", "a2"))
	core, ctx := cl.leader().core, context.Background()
	submitted, err := core.SubmitJob(ctx, connect.NewRequest(&toucanhingev1.SubmitJobRequest{
		Job: "j", Host: "h", Target: "/j/x", Key: apikey.Bytes("a1"), Items: []*toucanhingev1.JobItem{{Id: "i", Target: "/x", Body: []byte("body")}},
	}))
	require.NoError(t, err)
	require.Equal(t, toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_ACCEPTED, submitted.Msg.GetOutcome())
	cl.replaceTableWith(table(2, "a2"))
	for _, c := range []struct {
		key           string
		found, denied bool
	}{{"a1", false, true}, {"b1", false, false}, {"a2", true, false}, {"", false, true}} {
		key := apikey.Bytes(c.key)
		read, err := core.ReadListed(ctx, connect.NewRequest(&toucanhingev1.ReadListedRequest{Job: "j", Key: key}))
		require.NoError(t, err)
		require.Equal(t, []bool{c.found, c.denied}, []bool{read.Msg.GetFound(), read.Msg.GetDenied()}, "read with %q", c.key)
		body, err := core.ReadBody(ctx, connect.NewRequest(&toucanhingev1.ReadBodyRequest{Job: "j", Item: "i", Key: key}))
		require.NoError(t, err)
		require.Equal(t, []bool{c.found, c.denied}, []bool{body.Msg.GetFound(), body.Msg.GetDenied()}, "body with %q", c.key)
		end, err := core.EndJob(ctx, connect.NewRequest(&toucanhingev1.EndJobRequest{Job: "j", Key: key}))
		require.NoError(t, err)
		require.Equal(t, []bool{c.found, c.denied}, []bool{end.Msg.GetFound(), end.Msg.GetDenied()}, "end with %q", c.key)
	}
}

// Running gateways receive the teams' usage in load digests. A gateway that starts receives it
// once from the leader. A new leader reports how much of the window its usage covers.
func TestStartingGatewayReceivesTeamUsage(t *testing.T) {
	cl := newCluster(t, 3)
	cl.startAll()
	cl.replaceTable(1)
	leader := cl.leader()
	attendOnce := func(have uint64) *toucanhingev1.AttendResponse {
		answer, err := leader.core.Attend(context.Background(), connect.NewRequest(&toucanhingev1.AttendRequest{
			Name: "g", DigestAddress: "127.0.0.1:9", HaveFleet: have, WaitMs: 50,
		}))
		require.NoError(t, err)
		return answer.Msg
	}
	require.Eventually(t, func() bool { return attendOnce(0).GetFleet() != nil }, waitTimeout, 20*time.Millisecond)
	require.Less(t, attendOnce(0).GetUsesKnownMs(), uint32(5_000), "a new leader knows the usage only since its term began")
	now := leader.core.config.Boot.Now()
	leader.core.config.Quota.Reset(now - 60_000)
	leader.core.config.Quota.Receive(now, &toucanhingev1.LoadDigest{
		Source: "g2", Epoch: 1, Sequence: 1, CountingMs: 10, Uses: []*toucanhingev1.TeamUse{{Team: 7, Count: 3}},
	}, false)
	answer := attendOnce(0)
	require.Equal(t, uint32(5_000), answer.GetUsesKnownMs())
	require.Len(t, answer.GetUses(), 1)
	require.Equal(t, int64(3), answer.GetUses()[0].GetCount())
	require.Empty(t, attendOnce(answer.GetFleet().GetRevision()).GetUses(), "a running gateway counts the usage itself")
}

func TestListTeamsReportsLimitsAndUsage(t *testing.T) {
	cl := newCluster(t, 3)
	cl.startAll()
	wire := testTable(1)
	wire.Keyed = true
	wire.Teams = []*toucanhingev1.Team{{Name: "a", Keys: [][]byte{apikey.Bytes("a1"), apikey.Bytes("a2")}, Rate: 2, Burst: 1}, {Name: "b"}}
	cl.replaceTableWith(wire)
	core, ctx := cl.leader().core, context.Background()
	_, err := core.SubmitJob(ctx, connect.NewRequest(&toucanhingev1.SubmitJobRequest{
		Job: "j", Host: "h", Target: "/j/x", Key: apikey.Bytes("a1"), Items: []*toucanhingev1.JobItem{{Id: "i", Target: "/x", Tokens: 30}},
	}))
	require.NoError(t, err)
	// The usage counter is reset when the leader's tasks start, shortly after the VM becomes the leader.
	require.Eventually(t, func() bool {
		answer, err := core.Attend(ctx, connect.NewRequest(&toucanhingev1.AttendRequest{Name: "g", DigestAddress: "127.0.0.1:9"}))
		return err == nil && answer.Msg.GetFleet() != nil
	}, waitTimeout, 20*time.Millisecond)
	core.config.Quota.Reset(core.config.Boot.Now() - 60_000)
	core.config.Quota.Receive(core.config.Boot.Now(), &toucanhingev1.LoadDigest{
		Source: "g", Epoch: 1, Sequence: 1, CountingMs: 10, Uses: []*toucanhingev1.TeamUse{{Team: uint32(quota.IDOf("a")), Count: 3, Refused: 5}},
	}, false)
	answer, err := core.ListTeams(ctx, connect.NewRequest(&toucanhingev1.ListTeamsRequest{Team: "a"}))
	require.NoError(t, err)
	require.Equal(t, uint64(1), answer.Msg.GetVersion())
	require.Len(t, answer.Msg.GetTeams(), 1)
	a := answer.Msg.GetTeams()[0]
	require.InDelta(t, 3, a.GetUsed(), 0.01)
	require.Equal(t, []int64{2, 5, 1, 30}, []int64{int64(a.GetKeys()), a.GetRefused(), int64(a.GetOpenJobs()), a.GetWaitingTokens()})
	answer, err = core.ListTeams(ctx, connect.NewRequest(&toucanhingev1.ListTeamsRequest{}))
	require.NoError(t, err)
	require.Len(t, answer.Msg.GetTeams(), 2)
}
