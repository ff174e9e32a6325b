package core

import (
	"context"
	"math"
	"testing"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/contention"
	"toucanhinge.example/common/pkg/digest"
	"toucanhinge.example/common/pkg/quota"
	"toucanhinge.example/common/pkg/routing"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Guards against a list that shows operators other shares than gateways apply, shares of unknown teams, and shares where
// none is in force.
func TestTeamPart(t *testing.T) {
	view := contention.View{
		Service: contention.Service{
			Name:  "llm",
			Teams: []contention.TeamDemand{{Team: contention.TeamID("flood"), Running: 9, Demand: 40}, {Team: contention.TeamID("quiet"), Running: 2, Demand: 3}},
			Rest:  contention.TeamDemand{Running: 1, Demand: 1, Teams: 1, Weight: math.NaN()},
		},
		Gateways: 2, Age: 30,
	}
	weights := map[quota.ID]float64{contention.TeamID("flood"): 1, contention.TeamID("quiet"): 2, contention.TeamID(""): 1}
	part := func(running, demand uint32, share *float64) *toucanhingev1.TeamContention {
		return &toucanhingev1.TeamContention{Service: "llm", Running: running, Demand: demand, Share: share, AgeMs: 30}
	}
	for _, c := range []struct {
		name     string
		capacity int
		team     string
		want     *toucanhingev1.TeamContention
	}{
		{"over its share", 12, "flood", part(9, 40, proto.Float64(9))},
		{"below its share", 12, "quiet", part(2, 3, proto.Float64(18))},
		{"enough slots", 50, "flood", part(9, 40, nil)},
		{"no runner known", 0, "flood", part(9, 40, nil)},
		{"not listed", 12, "other", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := contendedService{view, fairLevel(c.capacity, view, weights)}
			got := s.teamPart(c.team, weights[contention.TeamID(c.team)])
			require.True(t, proto.Equal(c.want, got), "%v", got)
		})
	}
}

// A gateway reports contention in its digests. The list of teams must show it, also when no runner is known that takes
// requests.
func TestListTeamsShowsContention(t *testing.T) {
	cl := newCluster(t, 3)
	cl.startAll()
	wire := testTable(1)
	wire.Keyed = true
	wire.Teams = []*toucanhingev1.Team{{Name: "a", Rate: 2}, {Name: "b", Weight: proto.Float64(0.5)}}
	cl.replaceTableWith(wire)
	name := wire.GetServices()[0].GetName()
	exchange, err := digest.Listen(digest.Config{
		Address: "127.0.0.1:0", Source: "g", Clock: clock.System(), Logger: log.NewNopLogger(), Version: func() uint64 { return 1 },
	})
	require.NoError(t, err)
	exchange.SetContentionSource(func(now clock.Millis) *contention.Report {
		return &contention.Report{At: now, Gateways: 1, Services: []contention.Service{{
			Name: name, Contended: true, Teams: []contention.TeamDemand{{Team: contention.TeamID("a"), Running: 3, Demand: 11}},
		}}}
	})
	var peers []digest.Peer
	for _, v := range cl.vms {
		peers = append(peers, digest.Peer{Address: v.address, Core: true})
	}
	exchange.SetPeers(peers)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go exchange.Run(ctx)
	var teams []*toucanhingev1.TeamStatus
	// The leader may change meanwhile; the next one knows the contention from the next digest.
	contended := func(leader *vm) bool {
		answer, err := leader.core.ListTeams(ctx, connect.NewRequest(&toucanhingev1.ListTeamsRequest{}))
		if err != nil {
			return false
		}
		teams = answer.Msg.GetTeams()
		return len(teams) == 2 && len(teams[0].GetContention()) == 1
	}
	cl.eventually(contended, "contention isn't listed")
	require.Equal(t, []float64{2, 0.5}, []float64{teams[0].GetWeight(), teams[1].GetWeight()})
	part := teams[0].GetContention()[0]
	require.Equal(t, []uint32{3, 11}, []uint32{part.GetRunning(), part.GetDemand()})
	require.Nil(t, part.Share, "the only runner is draining")
	require.Empty(t, teams[1].GetContention())
	// The directory is read again meanwhile.
	cl.eventually(func(leader *vm) bool {
		leader.core.fleet.setRunners([]*toucanhingev1.Runner{{Id: "r", Service: name, Slots: 4}, {Id: "other", Service: "other", Slots: 9}})
		return contended(leader) && teams[0].GetContention()[0].GetShare() == 4
	}, "the slots of the service's runners aren't divided")
}

// A table with an invalid weight must be refused with the team's name, and must not replace the one in force.
func TestInvalidWeightLeavesTableInForce(t *testing.T) {
	cl := newCluster(t, 3)
	cl.startAll()
	cl.replaceTable(1)
	core := cl.leader().core
	for _, weight := range []float64{-1, math.NaN(), math.Inf(1)} {
		wire := testTable(2)
		wire.Keyed = true
		wire.Teams = []*toucanhingev1.Team{{Name: "a", Weight: proto.Float64(weight)}}
		_, err := core.ReplaceTable(context.Background(), wire)
		require.ErrorIs(t, err, routing.ErrInvalid)
		require.ErrorContains(t, err, `weight of team "a"`)
		require.Equal(t, uint64(1), core.Version())
	}
}
