package core

import (
	"math"

	"toucanhinge.example/common/pkg/contention"
	"toucanhinge.example/common/pkg/maxmin"
	"toucanhinge.example/common/pkg/occupancy"
	"toucanhinge.example/common/pkg/quota"
	"toucanhinge.example/common/pkg/routing"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// contendedService is the competition for the slots of one service, as the gateways report it at present.
type contendedService struct {
	view  contention.View
	level maxmin.Level
}

// contendedServices returns the services of the table that gateways report as contended. The shares that follow from the
// reports are for operators; each gateway decides by its own.
func (c *Core) contendedServices(table *routing.Table) []contendedService {
	if table == nil {
		return nil
	}
	var services []contendedService
	var weights map[quota.ID]float64
	for _, s := range table.Wire().GetServices() {
		view := c.config.Exchange.Contention(s.GetName())
		if view.Gateways == 0 {
			continue
		}
		if weights == nil {
			weights = map[quota.ID]float64{contention.TeamID(""): table.Weight("")}
			for _, t := range table.Teams() {
				weights[contention.TeamID(t.GetName())] += table.Weight(t.GetName())
			}
		}
		services = append(services, contendedService{view, fairLevel(c.onlineCapacity(s.GetName()), view, weights)})
	}
	return services
}

// onlineCapacity returns the number of slots that online requests of a service can use: those of the runners that
// answer and stay, without those taken by foreign work.
func (c *Core) onlineCapacity(service string) int {
	runners, now, capacity := c.fleet.currentRunners(), c.config.Clock.Now(), 0
	c.config.Exchange.View(func(t *occupancy.Table) {
		for _, r := range runners {
			if r.GetService() == service && !r.GetLeaving() && !t.Unresponsive(now, r.GetId()) {
				capacity += max(int(r.GetSlots())-t.Foreign(now, r.GetId()), 0)
			}
		}
	})
	return capacity
}

// fairLevel divides a capacity among the reported teams. Without a known runner no share is in force.
func fairLevel(capacity int, view contention.View, weights map[quota.ID]float64) maxmin.Level {
	if capacity == 0 {
		return maxmin.Unlimited()
	}
	var claims []maxmin.Claim
	for _, d := range view.Teams {
		weight, known := weights[d.Team]
		if !known {
			weight = weights[contention.TeamID("")]
		}
		claims = append(claims, maxmin.Claim{Weight: weight, Demand: float64(d.Demand)})
	}
	if rest := view.Rest; rest.Demand > 0 {
		claims = append(claims, maxmin.Claim{Weight: maxmin.FiniteWeight(rest.Weight), Demand: float64(rest.Demand)})
	}
	return maxmin.Divide(float64(capacity), claims)
}

// teamPart returns the part of a team, nil if the reports don't list it.
func (s contendedService) teamPart(name string, weight float64) *toucanhingev1.TeamContention {
	for _, d := range s.view.Teams {
		if d.Team != contention.TeamID(name) {
			continue
		}
		part := &toucanhingev1.TeamContention{
			Service: s.view.Name, Running: uint32(d.Running), Demand: uint32(d.Demand), AgeMs: uint32(s.view.Age),
		}
		if share := s.level.Share(weight); s.level.Limited() && !math.IsInf(share, 1) {
			part.Share = &share
		}
		return part
	}
	return nil
}
