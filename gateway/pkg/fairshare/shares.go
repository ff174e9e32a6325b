// Package fairshare divides the slots of a service that has too few among the teams that ask for them. It is designed
// for bursts of many teams through many gateways in which one team sends several times its usual load: without shares
// that team gets slots in proportion to what it sends, and the requests of all others are refused or late.
//
// The capacity is divided by weighted max-min fairness. A team that asks for less than its share gets what it asks for,
// and what it leaves is divided among the others. Every gateway decides by itself, on its own counts and on the sum of
// the other gateways' reports. The package uses no goroutine, socket or clock.
package fairshare

import (
	"math"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/maxmin"
	"toucanhinge.example/common/pkg/quota"
)

// updateInterval is the minimum time between two computations of the shares. It is short relative to the age of the
// reports, and bounds the cost on a VM with a tenth of a core.
const updateInterval clock.Millis = 5

// minShare is the least number of running requests at which a team can be over its share. A team without a running
// request is never over it.
const minShare = 1

// tolerance is the part by which the running requests of a team that doesn't flood may exceed its share, in addition to
// the square root of the share. Numbers of running requests vary by chance, and they include requests in the queues of
// runners, which take no slot. Without it, teams that ask for their usual parts were refused while queues were short.
const tolerance = 0.25

// queueMargin is the part of the tolerance by which a team over its share may exceed it further and still use the first
// positions in the queues of runners.
const queueMargin = 0.8

// Shares decides for one service which teams use more than their share. The zero value is ready for use.
type Shares struct {
	known     knownReports
	weights   *Weights
	updatedAt clock.Millis
	// hold is the mean time for which a request holds its slot, 0 if it is unknown.
	hold  clock.Millis
	level maxmin.Level
	// floodLevel is the level for teams that flood. It leaves room for requests of the others.
	floodLevel maxmin.Level
	teams      map[quota.ID]teamTotal
	claims     []maxmin.Claim
	over       int
	// result holds what is the same in the status of all teams.
	result Status
}

// teamTotal is the demand of a team at all gateways whose reports are used.
type teamTotal struct {
	// others is the part of the running requests at other gateways, own that at this gateway.
	others, own int
	// demand is the demand at all gateways, ownDemand that at this one.
	demand, ownDemand int
	weight            float64
	// floods is set if the team asks for much more per weight than the others.
	floods bool
}

// Due reports whether Update has to be called before the next call of Status.
func (s *Shares) Due(now clock.Millis, weights *Weights) bool {
	return s.weights != weights || now < s.updatedAt || now-s.updatedAt >= updateInterval
}

// Update computes the shares.
func (s *Shares) Update(now clock.Millis, in Input) {
	view, basis := s.known.resolve(now, in.View)
	s.weights, s.hold, s.updatedAt = in.Weights, in.Hold, now
	s.result = Status{Capacity: float64(in.Capacity), Basis: basis, Gateways: view.Gateways, Age: view.Age}
	if basis == EqualPart {
		s.result.Capacity /= float64(max(in.Gateways, 1))
	}
	if s.teams == nil {
		s.teams = map[quota.ID]teamTotal{}
	}
	clear(s.teams)
	for _, d := range in.Own {
		s.teams[d.Team] = teamTotal{own: d.Running, demand: d.Demand, ownDemand: d.Demand}
	}
	for _, d := range view.Teams {
		total := s.teams[d.Team]
		total.others += d.Running
		total.demand += d.Demand
		s.teams[d.Team] = total
	}
	s.claims = s.claims[:0]
	for team, total := range s.teams {
		total.weight = in.Weights.Of(team)
		s.teams[team] = total
		s.claims = append(s.claims, maxmin.Claim{Weight: total.weight, Demand: float64(total.demand)})
	}
	if rest := view.Rest; rest.Demand > 0 {
		s.claims = append(s.claims, maxmin.Claim{Weight: maxmin.FiniteWeight(rest.Weight), Demand: float64(rest.Demand)})
	}
	s.divide(in, view)
	s.countOver()
}

func (s *Shares) countOver() {
	s.over = 0
	for _, total := range s.teams {
		if s.status(total, total.own).Over {
			s.over++
		}
	}
}

// OverCount returns the number of teams over their share at the last Update.
func (s *Shares) OverCount() int { return s.over }

// Basis returns what the last Update was based on.
func (s *Shares) Basis() Basis { return s.result.Basis }

// Status returns the position of a team by the last Update. own is the present number of its running requests at this
// gateway.
func (s *Shares) Status(team quota.ID, own int) Status {
	total, known := s.teams[team]
	if !known && s.weights != nil {
		total.weight = s.weights.Of(team)
	}
	return s.status(total, own)
}

func (s *Shares) status(total teamTotal, own int) Status {
	r := s.result
	r.Running, r.Demand = total.others+own, total.demand
	if s.weights == nil || !s.level.Limited() {
		return r
	}
	if total.floods {
		return s.floodStatus(r, total, own)
	}
	r.Share = s.level.Share(total.weight)
	r.InForce = !math.IsInf(r.Share, 1)
	margin := tolerance*r.Share + math.Sqrt(r.Share)
	r.Over = r.InForce && float64(r.Running) >= max(r.Share+margin, minShare)
	r.NoQueue = r.Over && float64(r.Running) >= max(r.Share+(1+queueMargin)*margin, minShare)
	return r
}

// floodStatus returns the position of a team that floods. It has no tolerance.
func (s *Shares) floodStatus(r Status, total teamTotal, own int) Status {
	r.Share = s.floodLevel.Share(total.weight)
	r.InForce = !math.IsInf(r.Share, 1)
	r.Over = r.InForce && math.Max(float64(r.Running), s.probablyRunning(r, total, own)) >= max(r.Share, minShare)
	r.NoQueue = r.Over
	return r
}

// probablyRunning returns how many requests of a team that floods run if the other gateways have started all that came since
// their reports, up to their part of the share. Without this, all of them use the rest of the share that they report, several
// times over, and the requests end together a hold later.
func (s *Shares) probablyRunning(r Status, total teamTotal, own int) float64 {
	if s.hold <= 0 {
		return float64(r.Running)
	}
	others := float64(total.demand - total.ownDemand)
	started := others / float64(s.hold) * float64(r.Age)
	// The request that is decided on isn't part of the demand yet.
	part := r.Share * others / float64(total.demand+1)
	return float64(own) + min(float64(total.others)+started, part)
}
