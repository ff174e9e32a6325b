package forward

import (
	"sync"

	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/contention"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/quota"
	"toucanhinge.example/common/pkg/routing"
	"toucanhinge.example/gateway/pkg/fairshare"
)

// contentionState holds the demands of the teams at this gateway and their shares, by service. Its lock is the last of
// three: Server.mu is locked before that of the digest exchange, and the exchange calls teamWeight with its own locked. So
// neither of them may be locked while this one is held.
type contentionState struct {
	// others returns what the other gateways report about a service.
	others func(service string) contention.View

	mu       sync.Mutex
	services map[string]*serviceContention
	// weights are those of the routing table table.
	table   *routing.Table
	weights *fairshare.Weights
	limit   eventLimit
}

// service returns the state of a service. The caller holds the lock.
func (c *contentionState) service(name string) *serviceContention {
	s := c.services[name]
	if s == nil {
		s = &serviceContention{tracker: fairshare.NewTracker()}
		c.services[name] = s
	}
	return s
}

// weightsOf returns the weights of a routing table. The caller holds the lock.
func (c *contentionState) weightsOf(table *routing.Table) *fairshare.Weights {
	if c.weights == nil || c.table != table {
		c.table, c.weights = table, fairshare.NewWeights(table)
	}
	return c.weights
}

// teamWeight returns the weight of a team by its ID, 1 without a routing table. The exchange selects the teams with the
// most demand per weight when it merges reports.
func (s *Server) teamWeight(team quota.ID) float64 {
	table := s.table.Load()
	if table == nil {
		return 1
	}
	s.contention.mu.Lock()
	defer s.contention.mu.Unlock()
	return s.contention.weightsOf(table).Of(team)
}

// countRunning counts a running request until the returned function is called.
func (c *contentionState) countRunning(service string, team quota.ID) (end func()) {
	return c.count(service, func(t *fairshare.Tracker, change int) { t.AddRunning(team, change) })
}

// countWaiting counts a waiting request until the returned function is called.
func (c *contentionState) countWaiting(service string, team quota.ID) (end func()) {
	return c.count(service, func(t *fairshare.Tracker, change int) { t.AddWaiting(team, change) })
}

func (c *contentionState) count(service string, add func(t *fairshare.Tracker, change int)) (end func()) {
	apply := func(change int) {
		c.mu.Lock()
		defer c.mu.Unlock()
		add(c.service(service).tracker, change)
	}
	apply(1)
	return func() { apply(-1) }
}

// recordRefusal records an attempt that was refused for lack of a slot.
func (c *contentionState) recordRefusal(now clock.Millis, service string, team quota.ID, hold clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.service(service).tracker.RecordRefusal(now, team, hold)
}

// overCount returns the number of teams over their share, summed over the services that are contended.
func (c *contentionState) overCount(now clock.Millis) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, s := range c.services {
		if s.contended(now) {
			count += s.shares.OverCount()
		}
	}
	return count
}

// recordNoSlot records that a request of a service found no free slot.
func (s *Server) recordNoSlot(now clock.Millis, service string) {
	s.contention.mu.Lock()
	defer s.contention.mu.Unlock()
	c := s.contention.service(service)
	if !c.contended(now) && s.contention.limit.allow(now) {
		level.Info(s.config.Logger).Log(logs.KeyEvent, "service-contended", "service", service)
	}
	if !c.contended(now) && s.config.Exchange != nil {
		// An idle gateway would report its demand up to a digest interval later.
		s.config.Exchange.WakeContention()
	}
	c.noSlotAt, c.noSlot = now, true
}

// isContended reports whether this gateway or another one finds a service contended.
func (s *Server) isContended(now clock.Millis, service string) bool {
	s.contention.mu.Lock()
	contended := s.contention.service(service).contended(now)
	s.contention.mu.Unlock()
	return contended || s.contention.others(service).Contended
}

// shareStatus returns the position of a team relative to its share of a service's slots.
func (s *Server) shareStatus(now clock.Millis, service string, team quota.ID, table *routing.Table) fairshare.Status {
	s.contention.mu.Lock()
	c, weights := s.contention.service(service), s.contention.weightsOf(table)
	if !c.shares.Due(now, weights) {
		defer s.contention.mu.Unlock()
		return c.shares.Status(team, c.tracker.Running(team))
	}
	s.contention.mu.Unlock()
	in := s.shareInput(now, service, weights)
	s.contention.mu.Lock()
	defer s.contention.mu.Unlock()
	c.own = c.tracker.AppendDemands(c.own[:0], now, in.Hold)
	in.Own = c.own
	before := c.shares.Basis()
	c.shares.Update(now, in)
	status := c.shares.Status(team, c.tracker.Running(team))
	if status.Basis != before && s.contention.limit.allow(now) {
		level.Info(s.config.Logger).Log(logs.KeyEvent, "share-basis", "service", service, "basis", status.Basis.String(), "was", before.String(),
			"gateways", status.Gateways, "age-ms", status.Age, "capacity", status.Capacity)
	}
	return status
}

// shareInput returns what this gateway knows about a service, except for its own demands.
func (s *Server) shareInput(now clock.Millis, service string, weights *fairshare.Weights) fairshare.Input {
	in := fairshare.Input{View: s.contention.others(service), Weights: weights}
	if s.config.Exchange != nil {
		in.LoadAge = s.config.Exchange.Age()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	in.Capacity, in.Gateways, in.Hold = s.placement.Capacity(now, service, s.loads.Get), s.gateways, s.meanHold(service)
	return in
}

// reportContention returns this gateway's part of the contention: of the services that it or another gateway finds
// contended, so that all demands are known once one gateway is short of slots.
func (s *Server) reportContention(now clock.Millis) *contention.Report {
	table := s.table.Load()
	if table == nil {
		return nil
	}
	report := &contention.Report{Gateways: 1, At: now}
	for _, service := range table.Wire().GetServices() {
		name := service.GetName()
		elsewhere := s.contention.others(name).Contended
		if part, contended := s.serviceReport(now, name, elsewhere, table); contended {
			report.Services = append(report.Services, part)
		}
	}
	if len(report.Services) == 0 {
		return nil
	}
	return report
}

// serviceReport returns the part of the report that concerns one service, if this gateway or another one finds it
// contended.
func (s *Server) serviceReport(now clock.Millis, name string, elsewhere bool, table *routing.Table) (part contention.Service, contended bool) {
	s.mu.Lock()
	hold := s.meanHold(name)
	s.mu.Unlock()
	s.contention.mu.Lock()
	c := s.contention.service(name)
	contended = elsewhere || c.contended(now)
	if contended {
		part = c.report(now, hold, name, s.contention.weightsOf(table))
	}
	s.contention.mu.Unlock()
	if contended {
		part.Waiting, part.WaitingCount = s.MostUrgentWaiters(now, name, maxReportedWaiters)
		part.Returning = s.ReturningCallers(now, name)
	}
	return part, contended
}
