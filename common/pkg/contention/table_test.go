package contention

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/quota"
)

const (
	start   clock.Millis = 1_000_000
	service              = "chat"
)

// reportOf returns a report about one service.
func reportOf(now clock.Millis, s Service) Report {
	s.Name = service
	return Report{At: now, Gateways: 1, Services: []Service{s}}
}

func demandOf(team quota.ID, demand int) Service {
	return Service{Teams: []TeamDemand{{Team: team, Running: 1, Demand: demand}}}
}

// A gateway is frozen while it has the most urgent waiting request. Other gateways would leave slots
// to that request for as long as it counts.
func TestWaitingRequestOfFrozenGatewayExpires(t *testing.T) {
	for _, factor := range []clock.Millis{1, 3} {
		table := New()
		table.SetDelayFactor(int(factor))
		urgent, other := Waiter{StartBy: start + 10, Tie: 1}, Waiter{StartBy: start + 900, Tie: 2}
		report := func(source string, sequence uint64, now clock.Millis, w Waiter) {
			s := demandOf(7, 4)
			s.Waiting = []Waiter{w}
			table.Apply(now, Update{Source: source, Epoch: 1, Sequence: sequence, Report: reportOf(now, s)})
		}
		report("frozen", 1, start, urgent)
		now := start
		for sequence := uint64(1); now < start+waitingExpiry*factor; sequence++ {
			report("other", sequence, now, other)
			require.Equal(t, []Waiter{urgent, other}, table.View(now, service).Waiting)
			now += 50
		}
		now = start + waitingExpiry*factor
		require.Equal(t, []Waiter{other}, table.View(now, service).Waiting)
		require.Equal(t, 8, table.View(now, service).Teams[0].Demand, "the demand counts longer")
		report("other", 100, start+demandExpiry*factor-1, other)
		v := table.View(start+demandExpiry*factor, service)
		require.Equal(t, 4, v.Teams[0].Demand)
		require.Equal(t, 1, v.Gateways)
		require.Equal(t, clock.Millis(1), v.Age)
	}
}

// Guards against a gateway that panics after it was frozen: it reads the sum with a time from before the freeze, while reports
// have arrived since.
func TestViewIsReadWithTimeBeforeNewestReport(t *testing.T) {
	for _, returning := range [][]int{nil, {3, 2}} {
		for _, frozen := range []clock.Millis{1, ReturnInterval / 2, ReturnInterval, MaxReturning * ReturnInterval, 60_000} {
			table := New()
			s := demandOf(7, 4)
			s.Returning = returning
			table.Apply(start, Update{Source: "other", Epoch: 1, Sequence: 1, Report: reportOf(start, s)})
			v := table.View(start-frozen, service)
			require.Equal(t, returning, v.Returning)
			require.Equal(t, 4, v.Teams[0].Demand)
			require.Zero(t, v.Age)
		}
	}
}

// A gateway restarts. Its old demand would count in addition to the new one if it weren't replaced,
// and a late datagram of the old process would bring it back.
func TestRestartedGatewayReplacesItsReport(t *testing.T) {
	table := New()
	table.Apply(start, Update{Source: "a", Epoch: 1, Sequence: 900, Report: reportOf(start, demandOf(7, 4))})
	table.Apply(start+10, Update{Source: "a", Epoch: 2, Sequence: 1, Report: reportOf(start+10, demandOf(8, 3))})
	table.Apply(start+20, Update{Source: "a", Epoch: 1, Sequence: 901, Report: reportOf(start, demandOf(7, 4))})
	v := table.View(start+20, service)
	require.Equal(t, []TeamDemand{{Team: 8, Running: 1, Demand: 3}}, v.Teams)
	require.Equal(t, 1, v.Gateways)
}

// A restarted gateway has nothing to report. The demand of its old process must not count until it
// expires.
func TestDigestOfNewEpochEndsOldReport(t *testing.T) {
	table := New()
	table.Apply(start, Update{Source: "a", Epoch: 5, Sequence: 900, Report: reportOf(start, demandOf(7, 4))})
	table.EndEpoch(start+10, "a", 5)
	require.NotEmpty(t, table.View(start+10, service).Teams, "a digest of the same process doesn't end its report")
	table.EndEpoch(start+20, "a", 6)
	require.Empty(t, table.View(start+20, service).Teams)
	table.Apply(start+30, Update{Source: "a", Epoch: 5, Sequence: 901, Report: reportOf(start, demandOf(7, 4))})
	require.Empty(t, table.View(start+30, service).Teams, "late datagram of the old process")
	require.True(t, table.Empty())
}

// Datagrams are lost, duplicated and reordered. Whatever arrives, the newest report that arrived
// must count, and only once.
func TestNewestReportCountsOnce(t *testing.T) {
	for _, c := range []struct {
		name    string
		arrives []uint64
		demand  int
	}{
		{"in order", []uint64{1, 2, 3}, 30},
		{"one lost", []uint64{1, 3}, 30},
		{"last lost", []uint64{1, 2}, 20},
		{"duplicated", []uint64{1, 1, 2, 2, 3, 3}, 30},
		{"reordered", []uint64{3, 1, 2}, 30},
		{"reordered and duplicated", []uint64{2, 3, 2, 1, 3}, 30},
		{"only the first", []uint64{1}, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := New()
			for i, sequence := range c.arrives {
				now := start + clock.Millis(i)
				table.Apply(now, Update{Source: "a", Epoch: 1, Sequence: sequence, Report: reportOf(now, demandOf(7, 10*int(sequence)))})
			}
			v := table.View(start+10, service)
			require.Equal(t, []TeamDemand{{Team: 7, Running: 1, Demand: c.demand}}, v.Teams)
			require.Equal(t, 1, v.Gateways)
		})
	}
}

// Another daemon becomes the relay of a data centre. Its sum must replace that of the previous relay,
// and a late datagram of the previous relay must not bring the old sum back.
func TestSumOfNewRelayReplacesOldOne(t *testing.T) {
	table := New()
	update := func(relay string, sequence uint64, demand int) Update {
		return Update{Source: relay, DataCentre: "east", Epoch: 1, Sequence: sequence, Report: reportOf(start, demandOf(7, demand))}
	}
	table.Apply(start, update("first", 9, 10))
	table.Apply(start+10, update("second", 1, 20))
	require.Equal(t, 20, table.View(start+10, service).Teams[0].Demand)
	table.Apply(start+20, update("first", 9, 10))
	table.Apply(start+20, update("first", 8, 5))
	require.Equal(t, 20, table.View(start+20, service).Teams[0].Demand)
	own := update("first", 1, 3)
	own.DataCentre = ""
	table.Apply(start+30, own)
	require.Equal(t, 23, table.View(start+30, service).Teams[0].Demand, "the relay's own report has a sequence of its own")
}

// An update of the waiting requests must leave the demands as they are, and must not extend the time
// for which they count.
func TestWaitingUpdateKeepsDemands(t *testing.T) {
	table := New()
	s := demandOf(7, 4)
	s.Waiting, s.WaitingCount = []Waiter{{StartBy: start + 50, Tie: 1}}, 1
	table.Apply(start, Update{Source: "a", Epoch: 1, Sequence: 1, Report: reportOf(start, s)})
	waiting := Service{Waiting: []Waiter{{StartBy: start + 60, Tie: 2}, {StartBy: start + 70, Tie: 3}}, WaitingCount: 5}
	later := start + demandExpiry - 10
	table.Apply(later, Update{Source: "a", Epoch: 1, Sequence: 2, Report: reportOf(later, waiting), WaitingOnly: true})
	v := table.View(later, service)
	require.Equal(t, 4, v.Teams[0].Demand)
	require.Equal(t, waiting.Waiting, v.Waiting)
	require.Equal(t, 5, v.WaitingCount)
	v = table.View(start+demandExpiry, service)
	require.Empty(t, v.Teams)
	require.Zero(t, v.Gateways)
	require.Equal(t, waiting.Waiting, v.Waiting)
	table.Apply(later+20, Update{Source: "a", Epoch: 1, Sequence: 3, WaitingOnly: true})
	require.Empty(t, table.View(later+20, service).Waiting)
}

// An empty report ends the contention at its source at once.
func TestEmptyReportRemovesSource(t *testing.T) {
	table := New()
	table.Apply(start, Update{Source: "a", Epoch: 1, Sequence: 1, Report: reportOf(start, demandOf(7, 4))})
	table.Apply(start+1, Update{Source: "a", Epoch: 1, Sequence: 2})
	require.Equal(t, View{Service: Service{Name: service}}, table.View(start+1, service))
	require.True(t, table.Empty())
}

// A view is read without the lock of the exchange, so later reports must not change it.
func TestViewIsNotChangedByLaterReports(t *testing.T) {
	table := New()
	apply := func(sequence uint64) {
		now := start + clock.Millis(sequence)
		s := Service{Returning: []int{int(sequence)}}
		for i := range 20 {
			s.Teams = append(s.Teams, TeamDemand{Team: quota.ID(i), Demand: int(sequence) * (i + 1)})
			s.Waiting = append(s.Waiting, Waiter{StartBy: start + clock.Millis(100*i) - clock.Millis(sequence), Tie: uint32(sequence)})
		}
		table.Apply(now, Update{Source: "a", Epoch: 1, Sequence: sequence, Report: reportOf(now, s)})
	}
	apply(1)
	v := table.View(start+1, service)
	teams, waiting, returning := slices.Clone(v.Teams), slices.Clone(v.Waiting), slices.Clone(v.Returning)
	apply(2)
	require.NotEqual(t, teams, table.View(start+2, service).Teams)
	require.Equal(t, teams, v.Teams)
	require.Equal(t, waiting, v.Waiting)
	require.Equal(t, returning, v.Returning)
}

// Callers return at a fixed time. As the report ages, the same callers must move to earlier
// intervals, or the forecast of their return would be late by the age.
func TestReturningCallersMoveToEarlierIntervals(t *testing.T) {
	table := New()
	table.SetDelayFactor(4)
	table.Apply(start, Update{Source: "a", Epoch: 1, Sequence: 1, Report: reportOf(start, Service{Returning: []int{1, 2, 3, 0, 5}})})
	for _, c := range []struct {
		after clock.Millis
		want  []int
	}{{0, []int{1, 2, 3, 0, 5}}, {100, []int{1, 2, 3, 0, 5}}, {250, []int{2, 3, 0, 5}}, {500, []int{3, 0, 5}}, {1_000, []int{5}}, {1_250, nil}} {
		require.Equal(t, c.want, table.View(start+c.after, service).Returning, "after %d ms", c.after)
	}
}

// A report with 1,900 teams must keep its bounds and the sum of the demands, and list the teams with
// the most demand relative to their weight.
func TestReportIsBounded(t *testing.T) {
	const teams = 1_900
	weight := func(team quota.ID) float64 { return float64(1 + team%7) }
	s := Service{Name: service, Returning: make([]int, 20), Rest: TeamDemand{Demand: 5, Teams: 2, Weight: 3}}
	demand, weights := 5, 3.0
	var needs []float64
	for i := range teams {
		d := TeamDemand{Team: quota.ID(i + 1), Running: i % 3, Demand: i % 101}
		s.Teams = append(s.Teams, d)
		demand += d.Demand
		weights += weight(d.Team)
		needs = append(needs, needOf(d.Demand, weight(d.Team)))
		s.Waiting = append(s.Waiting, Waiter{StartBy: start + clock.Millis(i*7%1_000), Tie: uint32(i)})
	}
	bounded := Report{Services: []Service{s}}.Bounded(weight).Services[0]
	require.Len(t, bounded.Teams, MaxTeams)
	require.Equal(t, demand, bounded.demand())
	require.Equal(t, teams-MaxTeams+2, bounded.Rest.Teams)
	slices.Sort(needs)
	for i, d := range bounded.Teams {
		weights -= weight(d.Team)
		require.Equal(t, needs[teams-1-i], needOf(d.Demand, weight(d.Team)))
	}
	require.InDelta(t, weights, bounded.Rest.Weight, 1e-6)
	require.Len(t, bounded.Waiting, MaxWaiting)
	require.True(t, slices.IsSortedFunc(bounded.Waiting, Waiter.compare))
	require.LessOrEqual(t, bounded.Waiting[MaxWaiting-1].StartBy, start+10)
	require.Equal(t, teams, bounded.WaitingCount)
	require.Len(t, bounded.Returning, MaxReturning)
	require.Len(t, s.Teams, teams, "the given report isn't changed")
	require.NotEqual(t, bounded.Waiting, s.Waiting[:MaxWaiting])
}

// Many services are short of slots at once. A digest with all of them would not fit into a datagram.
func TestServicesAreBounded(t *testing.T) {
	var r Report
	for i := range 40 {
		s := demandOf(1, i)
		s.Name, s.Contended = string(rune('a'+i)), i == 3
		r.Services = append(r.Services, s)
	}
	services := r.Bounded(equalWeight).Services
	require.Len(t, services, MaxServices)
	require.True(t, services[0].Contended)
	require.Equal(t, 39, services[1].demand())
	require.Len(t, r.Services, 40)
}

// The relay's sum must include its own report and those of single gateways, but not the summaries of
// other data centres, which would otherwise return to them.
func TestSumExcludesOtherDataCentres(t *testing.T) {
	table := New()
	require.Nil(t, table.Sum(start, nil))
	table.Apply(start, Update{Source: "a", Epoch: 1, Sequence: 1, Report: reportOf(start-30, demandOf(7, 4))})
	table.Apply(start, Update{Source: "r", DataCentre: "east", Epoch: 1, Sequence: 1, Report: reportOf(start-90, demandOf(7, 100))})
	s := demandOf(7, 2)
	s.Contended = true
	own := reportOf(start-5, s)
	sum := table.Sum(start, &own)
	require.Equal(t, 2, sum.Gateways)
	require.Equal(t, start-30, sum.At)
	require.Len(t, sum.Services, 1)
	require.Equal(t, []TeamDemand{{Team: 7, Running: 2, Demand: 6}}, sum.Services[0].Teams)
	require.True(t, sum.Services[0].Contended)
	v := table.View(start, service)
	require.Equal(t, 104, v.Teams[0].Demand, "the view excludes the own report")
	require.False(t, v.Contended)
	require.Equal(t, clock.Millis(90), v.Age)
	require.Nil(t, table.Sum(start+demandExpiry, nil))
}

// A team of weight 0 must not make the order of teams depend on the order of reports, and must not
// spoil the sum of weights.
func TestTeamsWithoutWeight(t *testing.T) {
	require.Zero(t, needOf(0, 0))
	sums, top := newTeamSums(func(quota.ID) float64 { return 0 }), newTopTeams(TeamDemand{})
	for i := range 2 * MaxTeams {
		sums.add([]TeamDemand{{Team: quota.ID(i), Demand: i}})
	}
	for i := range sums.list {
		top.add(&sums.list[i])
	}
	require.Len(t, top.demands(), MaxTeams)
	require.Equal(t, quota.ID(2*MaxTeams-1), top.demands()[0].Team)
	require.Zero(t, top.rest.Weight)
	require.Equal(t, MaxTeams, top.rest.Teams)
}
