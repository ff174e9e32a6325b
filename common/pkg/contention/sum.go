package contention

import (
	"cmp"
	"slices"

	"toucanhinge.example/common/pkg/clock"
)

// sum adds up the reports of single gateways, over all services.
type sum struct {
	weight WeightFunc
	// waitingOnly is set if only waiting requests are added up.
	waitingOnly bool
	tallies     map[string]*tally
	gateways    int
	// madeAt is when the oldest report was made.
	madeAt clock.Millis
}

// Sum returns the sum of the reports of single gateways and of this one, which may be nil. It is
// nil if there are none.
func (t *Table) Sum(now clock.Millis, own *Report) *Report { return t.sum(now, own, false) }

// SumWaiting is like Sum, but the report holds only the waiting requests.
func (t *Table) SumWaiting(now clock.Millis, own *Report) *Report { return t.sum(now, own, true) }

func (t *Table) sum(now clock.Millis, own *Report, waitingOnly bool) *Report {
	t.Expire(now)
	s := &sum{weight: t.weight, waitingOnly: waitingOnly, tallies: map[string]*tally{}, madeAt: now}
	for o, p := range t.parts {
		if !o.dataCentre {
			s.addPart(o, p, t.tallies)
		}
	}
	if own != nil && len(own.Services) > 0 {
		s.addOwn(own.Bounded(t.weight))
	}
	return s.report(now)
}

// addPart adds what the tallies hold of an origin.
func (s *sum) addPart(o origin, p *part, tallies map[string]*tally) {
	for _, name := range p.demands {
		y := s.tally(name)
		if !s.waitingOnly {
			y.setDemands(o, tallies[name].demands[o])
		}
	}
	for _, name := range p.waiting {
		s.tally(name).waiting[o] = tallies[name].waiting[o]
	}
	if len(p.demands) > 0 {
		s.gateways += p.gateways
		s.madeAt = min(s.madeAt, p.madeAt)
	}
}

func (s *sum) addOwn(r Report) {
	for i, service := range r.Services {
		y := s.tally(service.Name)
		if !s.waitingOnly {
			y.setDemands(origin{}, &demands{Service: service, receivedAt: r.At})
		}
		y.waiting[origin{}] = &r.Services[i]
	}
	s.gateways += max(r.Gateways, 1)
	s.madeAt = min(s.madeAt, r.At)
}

func (s *sum) tally(service string) *tally {
	if s.tallies[service] == nil {
		s.tallies[service] = newTally(service, s.weight)
	}
	return s.tallies[service]
}

func (s *sum) report(now clock.Millis) *Report {
	if len(s.tallies) == 0 {
		return nil
	}
	r := &Report{Gateways: s.gateways, At: s.madeAt}
	for _, y := range s.tallies {
		y.mergeDemands(now)
		y.mergeWaiting()
		r.Services = append(r.Services, y.service(now))
	}
	r.Services = mostContended(r.Services)
	slices.SortFunc(r.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	return r
}
