package fairshare

import (
	"math"
	"slices"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/contention"
	"toucanhinge.example/common/pkg/quota"
)

// refusedWindow is the time within which Refused counts refusals.
const refusedWindow clock.Millis = 1_000

// Tracker counts the demand of the teams for the slots of one service at one gateway.
type Tracker struct {
	teams   map[quota.ID]*teamDemand
	refused recentCount
}

// teamDemand is the demand of one team at this gateway.
type teamDemand struct {
	running, waiting int
	// refused counts the attempts that were refused for lack of a slot within the last mean hold.
	refused recentCount
}

// NewTracker returns a tracker without demand.
func NewTracker() *Tracker { return &Tracker{teams: map[quota.ID]*teamDemand{}} }

func (t *Tracker) demand(team quota.ID) *teamDemand {
	d := t.teams[team]
	if d == nil {
		d = &teamDemand{}
		t.teams[team] = d
	}
	return d
}

// AddRunning changes the number of a team's requests that were sent to a runner and haven't ended.
func (t *Tracker) AddRunning(team quota.ID, change int) { t.demand(team).running += change }

// AddWaiting changes the number of a team's requests that wait at this gateway for a free slot.
func (t *Tracker) AddWaiting(team quota.ID, change int) { t.demand(team).waiting += change }

// RecordRefusal records that an attempt of a team was refused for lack of a slot. hold is the mean time for which a
// request holds its slot.
func (t *Tracker) RecordRefusal(now clock.Millis, team quota.ID, hold clock.Millis) {
	t.demand(team).refused.add(now, hold)
	t.refused.add(now, refusedWindow)
}

// Running returns the number of a team's running requests.
func (t *Tracker) Running(team quota.ID) int {
	if d := t.teams[team]; d != nil {
		return d.running
	}
	return 0
}

// Refused returns the number of attempts that were refused for lack of a slot within the last second.
func (t *Tracker) Refused(now clock.Millis) int { return t.refused.sum(now, refusedWindow) }

// AppendDemands appends the demands of all teams that have any, in no particular order. It forgets the other teams.
func (t *Tracker) AppendDemands(list []contention.TeamDemand, now, hold clock.Millis) []contention.TeamDemand {
	for team, d := range t.teams {
		demand := d.running + d.waiting + d.refused.sum(now, hold)
		if demand == 0 {
			delete(t.teams, team)
			continue
		}
		list = append(list, contention.TeamDemand{Team: team, Running: d.running, Demand: demand})
	}
	return list
}

// Top returns the teams with the most demand per weight in this order, at most limit of them, and the sum of the
// others.
func Top(list []contention.TeamDemand, weights *Weights, limit int) (teams []contention.TeamDemand, rest contention.TeamDemand) {
	ranked := make([]rankedDemand, 0, len(list))
	for _, d := range list {
		ranked = append(ranked, rankDemand(d, weights.Of(d.Team)))
	}
	slices.SortFunc(ranked, rankedDemand.compare)
	for i, r := range ranked {
		if i < limit {
			teams = append(teams, r.demand)
			continue
		}
		rest.Running += r.demand.Running
		rest.Demand += r.demand.Demand
		rest.Teams++
		rest.Weight = min(rest.Weight+r.weight, math.MaxFloat64)
	}
	return teams, rest
}
