package replay

import (
	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/contention"
	"toucanhinge.example/common/pkg/quota"
	"toucanhinge.example/common/pkg/routing"
	"toucanhinge.example/gateway/pkg/admission"
	"toucanhinge.example/gateway/pkg/fairshare"
	"toucanhinge.example/gateway/pkg/placement"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// demandInterval is the interval at which gateways report the demands of teams, demandLifetime how long a report
	// counts, and demandTeams the number of teams that it names.
	demandInterval clock.Millis = 100
	demandLifetime clock.Millis = 500
	demandTeams                 = 32
	// contendedPeriod is how long a gateway reports demands after a request found no free slot.
	contendedPeriod clock.Millis = 2_000
)

// Attempts counts the attempts of the callers of one team.
type Attempts struct {
	Total, Refused, Late int
}

// Add returns the sum of two counts.
func (a Attempts) Add(b Attempts) Attempts {
	return Attempts{a.Total + b.Total, a.Refused + b.Refused, a.Late + b.Late}
}

// FailedShare returns the fraction of the attempts that were refused or late.
func (a Attempts) FailedShare() float64 { return float64(a.Refused+a.Late) / float64(max(a.Total, 1)) }

// teamShares is what a simulated gateway knows of the demands of teams.
type teamShares struct {
	tracker *fairshare.Tracker
	shares  fairshare.Shares
	// contendedUntil is the time until which the gateway finds the service contended.
	contendedUntil clock.Millis
	// reports holds the last report of each other gateway, and view the sum of those that count.
	reports map[int]demandReport
	view    contention.View
}

// demandReport is the report of a gateway, which is received at a time.
type demandReport struct {
	madeAt, at clock.Millis
	from       int
	service    contention.Service
}

// newWeights returns the weights of the teams as the gateways compute them from the routing table.
func newWeights(weights map[string]float64) *fairshare.Weights {
	wire := &toucanhingev1.RoutingTable{Keyed: true}
	for name, weight := range weights {
		wire.Teams = append(wire.Teams, &toucanhingev1.Team{Name: name, Weight: &weight})
	}
	table, err := routing.New(wire)
	if err != nil {
		panic(err)
	}
	return fairshare.NewWeights(table)
}

// team returns the team of an arrival, empty without teams.
func (c Config) team(arrival int) string {
	if len(c.Teams) == 0 {
		return ""
	}
	return c.Teams[arrival]
}

// count changes the counts of a request's team.
func (s *simulation) count(r *request, change Attempts) {
	s.result.TeamAttempts[r.team] = s.result.TeamAttempts[r.team].Add(change)
}

// checkShare determines while slots are short whether a request belongs to a team over its share, and takes a reserved
// slot away from it, like the gateways do.
func (s *simulation) checkShare(r *request, choice *placement.Choice) {
	g := s.gateways[r.gateway]
	if choice.QueuePosition > 0 {
		g.teams.contendedUntil = s.now + contendedPeriod
	} else if s.now >= g.teams.contendedUntil && !g.teams.view.Contended {
		r.overShare, r.noQueue = false, false
		return
	}
	if g.teams.shares.Due(s.now, s.weights) {
		view := g.teams.view
		if view.Gateways > 0 {
			view.Age = s.now - view.Age
		}
		g.teams.shares.Update(s.now, fairshare.Input{
			Own: g.teams.tracker.AppendDemands(nil, s.now, s.config.Hold), View: view,
			Capacity: s.config.Runners * s.config.Slots, Gateways: len(s.gateways), Weights: s.weights, Hold: s.config.Hold, LoadAge: s.config.DigestDelay + publishInterval,
		})
	}
	id := fairshare.TeamID(r.team)
	status := g.teams.shares.Status(id, g.teams.tracker.Running(id))
	r.overShare, r.noQueue = status.Over, status.NoQueue
	if status.Over && choice.QueuePosition == 0 && choice.Free <= status.Reserved {
		choice.QueuePosition, r.noQueue = 1, true
	}
}

// slotsScarce reports whether a free slot that a waiting request of a team over its share was given is probably taken, like
// the gateways do.
func (s *simulation) slotsScarce(r *request) bool {
	for range admission.ConfirmingDraws {
		if _, req := s.selectRunner(r); req.QueuePosition > 0 {
			return true
		}
	}
	return false
}

// queueFull reports whether a gateway's wait queue is full for a request.
func (s *simulation) queueFull(r *request) bool {
	g := s.gateways[r.gateway]
	if s.config.FleetQueue {
		return g.fleet.Full(s.now, &g.waiters, s.fleetSlots(), len(s.gateways), r.team, r.overShare)
	}
	limit := s.fleetSlots() / 2 / len(s.gateways)
	if s.weights == nil {
		return len(g.waitQueue) >= limit
	}
	queue := admission.WaitQueue{}
	for _, w := range g.waitQueue {
		queue.Enqueue(admission.Waiter{Deadline: w.deadline, Team: w.team, OverShare: w.overShare})
	}
	return queue.Full(s.fleetSlots(), len(s.gateways), r.team, r.overShare)
}

// addRunning changes the number of running requests of a request's team.
func (s *simulation) addRunning(r *request, change int) {
	s.gateways[r.gateway].teams.tracker.AddRunning(fairshare.TeamID(r.team), change)
}

// publishDemands sends the demands of each gateway that finds the service contended, or knows another one that does.
func (s *simulation) publishDemands() {
	for i, g := range s.gateways {
		contended := s.now < g.teams.contendedUntil
		if !contended && !g.teams.view.Contended {
			continue
		}
		service := contention.Service{Name: service, Contended: contended}
		service.Teams, service.Rest = fairshare.Top(g.teams.tracker.AppendDemands(nil, s.now, s.config.Hold), s.weights, demandTeams)
		s.demands = append(s.demands, demandReport{madeAt: s.now, at: s.now + s.config.DigestDelay, from: i, service: service})
	}
}

// deliverDemands delivers the reports that are due and updates the views of the gateways.
func (s *simulation) deliverDemands() {
	changed := s.now%demandInterval == 0
	for len(s.demands) > 0 && s.demands[0].at <= s.now {
		d := s.demands[0]
		s.demands = s.demands[1:]
		for i, g := range s.gateways {
			if i != d.from {
				g.teams.reports[d.from] = d
			}
		}
		changed = true
	}
	if !changed {
		return
	}
	for _, g := range s.gateways {
		g.teams.view = s.sumDemands(g.teams.reports)
	}
}

// sumDemands returns the sum of the reports that count. Its Age is the time of the oldest report.
func (s *simulation) sumDemands(reports map[int]demandReport) contention.View {
	sum := contention.View{Age: s.now}
	teams := map[quota.ID]contention.TeamDemand{}
	for from, r := range reports {
		if s.now-r.at >= demandLifetime {
			delete(reports, from)
			continue
		}
		sum.Gateways++
		sum.Age = min(sum.Age, r.madeAt)
		sum.Contended = sum.Contended || r.service.Contended
		for _, d := range r.service.Teams {
			t := teams[d.Team]
			teams[d.Team] = contention.TeamDemand{Team: d.Team, Running: t.Running + d.Running, Demand: t.Demand + d.Demand}
		}
		sum.Rest = addRest(sum.Rest, r.service.Rest)
	}
	list := make([]contention.TeamDemand, 0, len(teams))
	for _, d := range teams {
		list = append(list, d)
	}
	var rest contention.TeamDemand
	sum.Teams, rest = fairshare.Top(list, s.weights, demandTeams)
	sum.Rest = addRest(sum.Rest, rest)
	return sum
}

func addRest(a, b contention.TeamDemand) contention.TeamDemand {
	return contention.TeamDemand{Running: a.Running + b.Running, Demand: a.Demand + b.Demand, Teams: a.Teams + b.Teams, Weight: a.Weight + b.Weight}
}
