package contention

import (
	"math"
	"slices"

	"toucanhinge.example/common/pkg/clock"
)

const (
	// demandExpiry is how long the demands of a source count after its last report. A report is sent
	// every ReportInterval, so four lost datagrams are tolerated.
	demandExpiry clock.Millis = 500
	// waitingExpiry is the same for its waiting requests. It is shorter, since the waiting request
	// of a frozen gateway would hold up others.
	waitingExpiry clock.Millis = 200
	// positionRetention is how long the position of a sender is stored after its last report. No
	// datagram is delayed for longer.
	positionRetention clock.Millis = 10_000
)

// Intervals at which sources report. They grow with the delay factor.
const (
	// ReportInterval is the shortest interval between whole reports.
	ReportInterval clock.Millis = 100
	// WaitingInterval is the shortest interval between reports of changed waiting requests.
	WaitingInterval clock.Millis = 20
)

// Table merges the reports of other gateways and the summaries of other data centres. It is not
// safe for concurrent use.
type Table struct {
	weight      WeightFunc
	delayFactor clock.Millis
	parts       map[origin]*part
	tallies     map[string]*tally
	positions   map[sender]*seen
	// checkAt is the earliest time at which a part may expire.
	checkAt  clock.Millis
	prunedAt clock.Millis
}

// New returns a table without reports.
func New() *Table {
	return &Table{
		weight: equalWeight, delayFactor: 1, parts: map[origin]*part{}, tallies: map[string]*tally{}, positions: map[sender]*seen{},
		checkAt: math.MaxInt64,
	}
}

// SetWeight sets the weights of teams, by which the teams that are listed are selected. Without
// weights all teams are equal. It is called before the first report.
func (t *Table) SetWeight(weight WeightFunc) { t.weight = weight }

// SetDelayFactor sets the factor by which the times of expiry grow.
func (t *Table) SetDelayFactor(factor int) {
	t.delayFactor = clock.Millis(max(factor, 1))
	t.checkAt = 0
}

// Bounded returns a report of this gateway within the bounds; nil stays nil.
func (t *Table) Bounded(r *Report) *Report {
	if r == nil {
		return nil
	}
	bounded := r.Bounded(t.weight)
	return &bounded
}

// Empty reports whether no report is known.
func (t *Table) Empty() bool { return len(t.parts) == 0 }

// Clear removes all reports.
func (t *Table) Clear() {
	t.checkAt = math.MaxInt64
	clear(t.parts)
	clear(t.tallies)
}

// Apply applies a report. Datagrams may be late, duplicated or reordered: a report that is not newer
// than the last one of its sender is ignored.
func (t *Table) Apply(now clock.Millis, u Update) {
	t.Expire(now)
	if !t.advance(now, u.sender(), position{u.Epoch, u.Sequence}) {
		return
	}
	r, o := u.Report.Bounded(t.weight), u.origin()
	p := t.parts[o]
	if p == nil {
		p = &part{}
		t.parts[o] = p
	}
	if !u.WaitingOnly {
		p.gateways, p.madeAt, p.demandsAt = max(r.Gateways, 1), min(r.At, now), now
		t.replaceDemands(now, o, p, r.Services)
	}
	p.waitingAt = now
	t.replaceWaiting(o, p, r.Services)
	t.removeEmpty(o, p)
}

// EndEpoch removes the report of a gateway that was made before the given epoch, because the gateway
// has restarted since.
func (t *Table) EndEpoch(now clock.Millis, source string, epoch uint64) {
	s := t.positions[sender{source: source}]
	if s == nil || epoch <= s.epoch {
		return
	}
	s.position, s.at = position{epoch: epoch}, now
	t.remove(now, origin{name: source})
}

// advance records the position of an update, and reports whether the update is new.
func (t *Table) advance(now clock.Millis, from sender, p position) bool {
	t.prunePositions(now)
	s := t.positions[from]
	if s == nil {
		t.positions[from] = &seen{p, now}
		return true
	}
	if !s.before(p) {
		return false
	}
	s.position, s.at = p, now
	return true
}

func (t *Table) prunePositions(now clock.Millis) {
	if now-t.prunedAt < positionRetention {
		return
	}
	t.prunedAt = now
	for from, s := range t.positions {
		if now-s.at > positionRetention {
			delete(t.positions, from)
		}
	}
}

// replaceDemands replaces what an origin reports except its waiting requests.
func (t *Table) replaceDemands(now clock.Millis, o origin, p *part, services []Service) {
	for _, name := range p.demands {
		if !lists(services, name) {
			t.tallies[name].setDemands(o, nil)
			t.tallies[name].mergeDemands(now)
		}
	}
	p.demands = names(services)
	for _, s := range services {
		y := t.tally(s.Name)
		y.setDemands(o, &demands{Service: s, gateways: p.gateways, madeAt: p.madeAt, receivedAt: now})
		y.mergeDemands(now)
	}
	t.checkAt = min(t.checkAt, p.demandsUntil(t.delayFactor))
}

// replaceWaiting replaces the waiting requests of an origin.
func (t *Table) replaceWaiting(o origin, p *part, services []Service) {
	old := p.waiting
	p.waiting = nil
	for i, s := range services {
		if s.WaitingCount > 0 {
			p.waiting = append(p.waiting, s.Name)
			t.tally(s.Name).waiting[o] = &services[i]
		}
	}
	for _, name := range old {
		if !slices.Contains(p.waiting, name) {
			delete(t.tallies[name].waiting, o)
			t.tallies[name].mergeWaiting()
		}
	}
	for _, name := range p.waiting {
		t.tallies[name].mergeWaiting()
	}
	t.checkAt = min(t.checkAt, p.waitingUntil(t.delayFactor))
}

func (t *Table) tally(service string) *tally {
	y := t.tallies[service]
	if y == nil {
		y = newTally(service, t.weight)
		t.tallies[service] = y
	}
	return y
}

// removeEmpty removes a part without services, and the services without parts.
func (t *Table) removeEmpty(o origin, p *part) {
	if len(p.demands) == 0 && len(p.waiting) == 0 {
		delete(t.parts, o)
	}
	for name, y := range t.tallies {
		if y.empty() {
			delete(t.tallies, name)
		}
	}
}

func (t *Table) remove(now clock.Millis, o origin) {
	if p := t.parts[o]; p != nil {
		t.replaceDemands(now, o, p, nil)
		t.replaceWaiting(o, p, nil)
		t.removeEmpty(o, p)
	}
}

// Expire removes the reports that are too old. It is cheap while none of them is.
func (t *Table) Expire(now clock.Millis) {
	if now < t.checkAt {
		return
	}
	next := clock.Millis(math.MaxInt64)
	for o, p := range t.parts {
		demandsUntil, waitingUntil := p.demandsUntil(t.delayFactor), p.waitingUntil(t.delayFactor)
		if len(p.demands) > 0 && now >= demandsUntil {
			t.replaceDemands(now, o, p, nil)
		}
		if len(p.waiting) > 0 && now >= waitingUntil {
			t.replaceWaiting(o, p, nil)
		}
		if len(p.demands) > 0 {
			next = min(next, demandsUntil)
		}
		if len(p.waiting) > 0 {
			next = min(next, waitingUntil)
		}
		t.removeEmpty(o, p)
	}
	t.checkAt = next
}

// View returns the sum of all reports about a service. Its slices must not be changed.
func (t *Table) View(now clock.Millis, service string) View {
	t.Expire(now)
	y := t.tallies[service]
	if y == nil {
		return View{Service: Service{Name: service}}
	}
	v := View{Service: y.service(now), Gateways: y.gateways}
	if len(y.demands) > 0 {
		v.Age = max(now-y.madeAt, 0)
	}
	return v
}

// ContendedService returns a service that any source finds contended, empty for none.
func (t *Table) ContendedService(now clock.Millis) string {
	t.Expire(now)
	for name, y := range t.tallies {
		if y.merged.Contended {
			return name
		}
	}
	return ""
}

func lists(services []Service, name string) bool {
	return slices.ContainsFunc(services, func(s Service) bool { return s.Name == name })
}

func names(services []Service) []string {
	var list []string
	for _, s := range services {
		list = append(list, s.Name)
	}
	return list
}
