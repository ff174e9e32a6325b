package forward

import (
	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/contention"
	"toucanhinge.example/gateway/pkg/fairshare"
)

const (
	// contendedPeriod is how long a service counts as contended after a request found no free slot.
	contendedPeriod clock.Millis = 2_000
	// maxReportedTeams limits the teams that a report names.
	maxReportedTeams = 32
	// maxReportedWaiters limits the waiting requests that a report lists.
	maxReportedWaiters = 16
	// teamsInterval is the minimum time between two computations of the reported teams. It is half of the interval at
	// which reports are sent.
	teamsInterval clock.Millis = 50
)

// serviceContention is the competition for the slots of one service, as this gateway sees it.
type serviceContention struct {
	tracker *fairshare.Tracker
	shares  fairshare.Shares
	// noSlotAt is when a request last found no free slot, valid if noSlot is set.
	noSlotAt clock.Millis
	noSlot   bool
	// own is reused by every computation of the shares.
	own []contention.TeamDemand
	// teams and rest are the reported teams of the time teamsAt, by teamsWeights.
	teams        []contention.TeamDemand
	rest         contention.TeamDemand
	teamsAt      clock.Millis
	teamsWeights *fairshare.Weights
}

// contended reports whether a request found no free slot recently.
func (c *serviceContention) contended(now clock.Millis) bool {
	return c.noSlot && now >= c.noSlotAt && now-c.noSlotAt < contendedPeriod
}

// report returns this gateway's part of the contention for the service.
func (c *serviceContention) report(now, hold clock.Millis, name string, weights *fairshare.Weights) contention.Service {
	if c.teamsWeights != weights || now < c.teamsAt || now-c.teamsAt >= teamsInterval {
		c.own = c.tracker.AppendDemands(c.own[:0], now, hold)
		c.teams, c.rest = fairshare.Top(c.own, weights, maxReportedTeams)
		c.teamsAt, c.teamsWeights = now, weights
	}
	return contention.Service{
		Name: name, Teams: c.teams, Rest: c.rest, Refused: c.tracker.Refused(now), Contended: c.contended(now),
	}
}
