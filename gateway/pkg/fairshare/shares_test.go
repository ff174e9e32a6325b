package fairshare

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/contention"
	"toucanhinge.example/common/pkg/quota"
)

var equalWeights = &Weights{other: 1}

// demands returns the demands of teams 1, 2 and so on, each given by its running requests and its demand.
func demands(pairs ...[2]int) []contention.TeamDemand {
	var list []contention.TeamDemand
	for i, p := range pairs {
		if p[1] > 0 {
			list = append(list, contention.TeamDemand{Team: quota.ID(i + 1), Running: p[0], Demand: p[1]})
		}
	}
	return list
}

func view(gateways int, age clock.Millis, teams ...contention.TeamDemand) contention.View {
	return contention.View{Service: contention.Service{Teams: teams, Contended: true}, Gateways: gateways, Age: age}
}

func TestSharesOfTeams(t *testing.T) {
	for _, c := range []struct {
		name string
		in   Input
		own  int
		want Status
	}{
		{
			"enough slots",
			Input{Own: demands([2]int{4, 4}), View: view(2, 50, demands([2]int{10, 10})...), Capacity: 20},
			4,
			Status{Running: 14, Demand: 14, Capacity: 20, Basis: Reports, Gateways: 2, Age: 50},
		},
		{
			"over the share by what other gateways run",
			Input{Own: demands([2]int{4, 8}), View: view(2, 50, demands([2]int{12, 16}, [2]int{3, 12})...), Capacity: 20},
			4,
			Status{Running: 16, Demand: 24, Capacity: 20, Basis: Reports, Gateways: 2, Age: 50, InForce: true, Share: 10, Over: true},
		},
		{
			"within the tolerance",
			Input{Own: demands([2]int{4, 8}), View: view(2, 50, demands([2]int{11, 16}, [2]int{3, 12})...), Capacity: 20},
			4,
			Status{Running: 15, Demand: 24, Capacity: 20, Basis: Reports, Gateways: 2, Age: 50, InForce: true, Share: 10},
		},
		{
			"own requests ended since the update",
			Input{Own: demands([2]int{4, 8}), View: view(2, 50, demands([2]int{7, 14}, [2]int{3, 12})...), Capacity: 20},
			2,
			Status{Running: 9, Demand: 22, Capacity: 20, Basis: Reports, Gateways: 2, Age: 50, InForce: true, Share: 10},
		},
		{
			"the first request of a team with a tiny share",
			Input{Own: demands([2]int{0, 1}), View: view(2, 50, demands([2]int{0, 0}, [2]int{2, 50})...), Capacity: 1},
			0,
			Status{Demand: 1, Capacity: 1, Basis: Reports, Gateways: 2, Age: 50, InForce: true, Share: 0.5},
		},
		{
			"the third request of a team with a tiny share",
			Input{Own: demands([2]int{2, 3}), View: view(2, 50, demands([2]int{0, 0}, [2]int{2, 50})...), Capacity: 1},
			2,
			Status{Running: 2, Demand: 3, Capacity: 1, Basis: Reports, Gateways: 2, Age: 50, InForce: true, Share: 0.5, Over: true, NoQueue: true},
		},
		{
			"the rest of the teams counts",
			Input{Own: demands([2]int{7, 20}), View: contention.View{
				Service: contention.Service{Rest: contention.TeamDemand{Demand: 12, Running: 12, Teams: 3, Weight: 3}}, Gateways: 1,
			}, Capacity: 16},
			7,
			Status{Running: 7, Demand: 20, Capacity: 16, Basis: Reports, Gateways: 1, InForce: true, Share: 4, Over: true},
		},
		{
			"nothing known of others: an equal part",
			Input{Own: demands([2]int{6, 20}, [2]int{2, 20}), Capacity: 24, Gateways: 4},
			6,
			Status{Running: 6, Demand: 20, Capacity: 6, Basis: EqualPart, InForce: true, Share: 3, Over: true},
		},
		{
			"no eligible runner known",
			Input{Own: demands([2]int{3, 20}), Gateways: 4},
			3,
			Status{Running: 3, Demand: 20, Basis: EqualPart},
		},
		{
			"a malformed weight of the rest",
			Input{Own: demands([2]int{5, 20}), View: contention.View{
				Service: contention.Service{Rest: contention.TeamDemand{Demand: 12, Weight: math.NaN()}}, Gateways: 1,
			}, Capacity: 16},
			5,
			Status{Running: 5, Demand: 20, Capacity: 16, Basis: Reports, Gateways: 1, InForce: true, Share: 16},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.in.Weights = equalWeights
			var s Shares
			s.Update(1_000, c.in)
			got := s.Status(1, c.own)
			require.InDelta(t, c.want.Share, got.Share, 1e-9)
			c.want.Share = got.Share
			if !got.InForce {
				got.Share, c.want.Share = 0, 0
			}
			require.Equal(t, c.want, got)
		})
	}
}

// Failures of the exchange: the last known sum counts until 1 s after the last report, then the equal part. A restarted
// gateway starts with the equal part. When all reports end, they expire one after the other; the sum of the last few
// isn't taken for the demand of all.
func TestSharesWithoutReports(t *testing.T) {
	full := view(20, 100, demands([2]int{40, 60}, [2]int{30, 60})...)
	one := view(1, 480, demands([2]int{1, 2})...)
	type step struct {
		now  clock.Millis
		view contention.View
		want Basis
		over bool
	}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"restart", []step{{1_000, contention.View{}, EqualPart, true}, {1_100, full, Reports, true}}},
		{"reports missing for long", []step{
			{1_000, full, Reports, true},
			{1_450, contention.View{}, LastReports, true},
			{1_900, contention.View{}, LastReports, true},
			{1_905, contention.View{}, EqualPart, true},
			{5_000, contention.View{}, EqualPart, true},
			{5_100, full, Reports, true},
		}},
		{"reports expire one after the other", []step{
			{1_000, full, Reports, true}, {1_300, full, Reports, true}, {1_390, one, Reports, false}, {1_400, contention.View{}, LastReports, true},
		}},
		{"sums of an earlier contention aren't used", []step{
			{1_000, full, Reports, true}, {9_000, one, Reports, false}, {9_100, contention.View{}, LastReports, false},
		}},
		{"clock set back", []step{{100_000, full, Reports, true}, {10, contention.View{}, EqualPart, true}, {20, full, Reports, true}}},
		{"clock set forward", []step{{1_000, full, Reports, true}, {900_000, contention.View{}, EqualPart, true}, {900_010, full, Reports, true}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s Shares
			for _, x := range c.steps {
				require.True(t, s.Due(x.now, equalWeights))
				s.Update(x.now, Input{Own: demands([2]int{6, 9}), View: x.view, Capacity: 60, Gateways: 20, Weights: equalWeights})
				got := s.Status(1, 6)
				require.Equal(t, x.want, got.Basis, "at %d", x.now)
				require.Equal(t, x.over, got.Over, "at %d", x.now)
			}
		})
	}
}

// The weights change under load, also to 0 and far below what is in use. The next decision applies them; running
// requests continue and their counts stay.
func TestSharesWhenWeightsChange(t *testing.T) {
	var s Shares
	weights := func(first float64) *Weights {
		return &Weights{byTeam: map[quota.ID]float64{1: first, 2: 10}, other: 10}
	}
	own := demands([2]int{60, 80}, [2]int{16, 60})
	for _, c := range []struct {
		name         string
		weight       float64
		first, other bool
	}{
		{"above the tolerance", 40, true, true},
		{"far down", 0.001, true, false},
		{"to zero", 0, true, false},
		{"up again", 1_000, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := weights(c.weight)
			require.True(t, s.Due(1_000, w), "a changed table applies at once")
			s.Update(1_000, Input{Own: own, Capacity: 50, Gateways: 1, Weights: w})
			require.False(t, s.Due(1_000, w))
			require.Equal(t, 60, s.Status(1, 60).Running)
			require.Equal(t, c.first, s.Status(1, 60).Over)
			require.Equal(t, c.other, s.Status(2, 16).Over)
			require.False(t, s.Status(1, 0).Over, "a team without a running request is never over its share")
		})
	}
}

func TestDueBoundsUpdates(t *testing.T) {
	var s Shares
	require.True(t, s.Due(1_000, equalWeights))
	s.Update(1_000, Input{Weights: equalWeights})
	require.False(t, s.Due(1_004, equalWeights))
	require.True(t, s.Due(1_005, equalWeights))
	require.True(t, s.Due(10, equalWeights), "a clock that is set back must not stop the updates")
}

// While slots are short, the teams below their share must be able to use the whole capacity: if all teams were over
// their share, slots would stay free while every request is refused. And a team that uses more than its share must be
// found over it.
func TestRapidTeamsOverAndBelowShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "teams")
		w := &Weights{byTeam: map[quota.ID]float64{}, other: 1}
		var own, others []contention.TeamDemand
		running, demand := 0, 0
		for i := range n {
			team := quota.ID(i + 1)
			w.byTeam[team] = rapid.SampledFrom([]float64{0, 0.1, 1, 3, 50}).Draw(t, "weight")
			for _, list := range []*[]contention.TeamDemand{&own, &others} {
				r, more := rapid.IntRange(0, 9).Draw(t, "running"), rapid.IntRange(0, 30).Draw(t, "more")
				if r+more > 0 {
					*list = append(*list, contention.TeamDemand{Team: team, Running: r, Demand: r + more})
					running, demand = running+r, demand+r+more
				}
			}
		}
		capacity := rapid.IntRange(1, 600).Draw(t, "capacity")
		var s Shares
		s.Update(1_000, Input{Own: own, View: view(3, 10, others...), Capacity: capacity, Gateways: 4, Weights: w})
		ownRunning := map[quota.ID]int{}
		for _, d := range own {
			ownRunning[d.Team] = d.Running
		}
		below, over, possible := 0, 0, 0.0
		for i := range n {
			got := s.Status(quota.ID(i+1), ownRunning[quota.ID(i+1)])
			if got.Over {
				over++
				require.GreaterOrEqual(t, float64(got.Running), got.Share)
				require.Positive(t, got.Running)
				possible += float64(got.Running)
				continue
			}
			if got.Running < got.Demand {
				below++
			}
			possible += float64(got.Demand)
		}
		require.Equal(t, over, s.OverCount())
		if demand <= capacity {
			require.Zero(t, over, "with enough slots no team is over its share")
		}
		if running < capacity && demand > capacity {
			require.Positive(t, below, "free slots that no team may use")
		}
		require.GreaterOrEqual(t, possible, float64(min(demand, capacity))-1e-6, "teams below their share can use the whole capacity")
	})
}

// A team that sends many times its usual load must leave slots to the others, as many as their requests probably take
// before they are visible. Teams that exceed the capacity together, each in proportion to its weight, reserve nothing.
func TestSlotsAreReservedBesideFlood(t *testing.T) {
	in := Input{Capacity: 100, Gateways: 3, Weights: equalWeights, Hold: 1_000, LoadAge: 10}
	for _, c := range []struct {
		name     string
		first    contention.TeamDemand
		age      clock.Millis
		reserved int
		over     bool
	}{
		{"no flood", contention.TeamDemand{Team: 1, Running: 42, Demand: 90}, 90, 0, false},
		{"a flood", contention.TeamDemand{Team: 1, Running: 29, Demand: 300}, 90, 11, false},
		{"a flood at its share", contention.TeamDemand{Team: 1, Running: 40, Demand: 300}, 90, 11, true},
		{"a peak of a small team", contention.TeamDemand{Team: 1, Running: 2, Demand: 5}, 490, 6, true},
		{"old reports", contention.TeamDemand{Team: 1, Running: 40, Demand: 300}, 490, 20, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			others := 30
			if c.first.Demand < 100 {
				others = 80
			}
			in.Weights = &Weights{other: 1}
			if c.first.Demand < 10 {
				in.Weights.byTeam = map[quota.ID]float64{1: 0.01}
			}
			in.View = view(2, c.age, c.first, contention.TeamDemand{Team: 2, Running: 30, Demand: others}, contention.TeamDemand{Team: 3, Running: 30, Demand: others})
			var s Shares
			s.Update(1_000, in)
			got := s.Status(1, 0)
			require.Equal(t, c.reserved, got.Reserved)
			require.Equal(t, c.over, got.Over)
		})
	}
}

// Guards against gateways that all use the rest of a flooding team's share that old reports show: several times the share
// ran, and the requests of the others found no slot.
func TestUnseenStartsCountTowardsFloodingTeam(t *testing.T) {
	for _, c := range []struct {
		name string
		// own and others are the running requests of the flooding team.
		own, others int
		age         clock.Millis
		over        bool
	}{
		{"fresh reports", 9, 20, 0, false},
		{"the others have probably started the rest of their part", 9, 20, 90, true},
		{"this gateway runs less than its part", 8, 20, 90, false},
		{"the others run more than their part", 0, 40, 90, true},
		{"no own request", 0, 20, 900, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s Shares
			// With reports of 90 ms, the share is 33.3, of which the others' part is three quarters.
			s.Update(1_000, Input{
				Own:      []contention.TeamDemand{{Team: 1, Running: c.own, Demand: 100}},
				View:     view(2, c.age, contention.TeamDemand{Team: 1, Running: c.others, Demand: 300}, contention.TeamDemand{Team: 2, Running: 30, Demand: 30}, contention.TeamDemand{Team: 3, Running: 30, Demand: 30}),
				Capacity: 100, Gateways: 3, Weights: equalWeights, Hold: 1_000, LoadAge: 1,
			})
			got := s.Status(1, c.own)
			require.Equal(t, c.over, got.Over, "%+v", got)
			require.Equal(t, c.over, got.NoQueue, "a flooding team has no tolerance")
		})
	}
}

// The slots that a flooding team leaves free are taken from its share alone. On few slots, the reserve can be as large as
// the capacity, and the other teams must keep their shares.
func TestReserveDoesNotReduceOtherShares(t *testing.T) {
	w := &Weights{byTeam: map[quota.ID]float64{1: 10, 2: 1}, other: 1}
	var s Shares
	s.Update(1_000, Input{Own: demands([2]int{4, 13}, [2]int{2, 40}), View: view(2, 50), Capacity: 6, Gateways: 3, Weights: w, Hold: 60, LoadAge: 10})
	require.Positive(t, s.Status(2, 2).Reserved)
	require.True(t, s.Status(2, 2).Over)
	require.InDelta(t, 60./11, s.Status(1, 4).Share, 1e-9)
	require.False(t, s.Status(1, 4).Over)
}

// With enough slots for all, nothing is reserved and no team is over its share, whatever one of them asks for.
func TestNothingReservedWithEnoughSlots(t *testing.T) {
	var s Shares
	s.Update(1_000, Input{Own: demands([2]int{80, 80}, [2]int{5, 5}), Capacity: 100, Gateways: 1, Weights: equalWeights, Hold: 1_000, LoadAge: 500})
	got := s.Status(1, 80)
	require.Zero(t, got.Reserved)
	require.False(t, got.Over)
}
