// Package placement selects the runner for an online request. It is designed for bursts that need nearly every slot of
// the fleet for some seconds and arrive through many gateways at once, while batch items hold the slots that were
// free. It therefore counts the calls of all daemons instead of relying on reports of runners, prefers a free slot to
// one that an item must yield, and estimates the wait for a slot if none is free. It uses no goroutine, socket or
// clock.
package placement

import (
	"slices"
	"strings"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Costs are estimates of the milliseconds until the first event. Other constants tune the estimates.
const (
	// yieldCost is the time until an item yields its slot: the load digest takes 1 to 6 ms, and closing the
	// item's call takes another millisecond.
	yieldCost = 6.0
	// remoteCost is a round trip between data centres and the cost of the traffic.
	remoteCost = 3.0
	// fullRunnerCost is how much slower a full runner is than an empty one.
	fullRunnerCost = 1.0
	// minHold is the lower bound of the mean time for which a request holds its slot.
	minHold = 50.0
	// holdWeight is the weight of the newest request in the moving average.
	holdWeight = 0.05
	// initialHold is the mean before any request was measured.
	initialHold = 700.0
	// spreadFactor is the number of candidates for each request that other gateways have probably placed and that no
	// received digest contains yet. The digests also lack the requests that ended since, and gateways draw
	// independently, so with a factor of one two requests often get the same slot.
	spreadFactor = 3
	// maxCandidatesPerRunner limits the candidates of one runner.
	maxCandidatesPerRunner = 4
	// deprioritizedCost is added for a runner that has recently failed a call.
	deprioritizedCost = 100.0
)

// Load is the load that all daemons have on a runner.
type Load struct {
	Online int
	// Own is the part of Online that this gateway sent.
	Own   int
	Batch int
	// Foreign is the number of calls that no daemon of this system made, so none of them can be preempted.
	Foreign int
	// Unresponsive reports whether a daemon with calls on the runner has received nothing from it for too long.
	Unresponsive bool
	// Pace is how long work usually takes on the runner relative to the mean of its service, and Present the
	// same for this moment; 0 means 1.
	Pace    float64
	Present float64
}

func (l Load) pace() float64 {
	if l.Pace == 0 {
		return 1
	}
	return l.Pace
}

func (l Load) present() float64 {
	if l.Present == 0 {
		return 1
	}
	return l.Present
}

// Request describes a request that needs a runner.
type Request struct {
	Service string
	// Version is the only software version whose runners may be selected; empty for any.
	Version string
	// Route and Size tell how long the request will probably hold its slot; both may be empty.
	Route string
	Size  Size
	// Tried lists runners that are selected only if there is no other.
	Tried []string
	// TieBreak is a random number in [0, 1) that spreads requests over equal runners.
	TieBreak float64
	// Draw is a random number in [0, 1) that selects among the best candidates, so that gateways which place
	// requests at the same time select different slots.
	Draw float64
	// Age is the age of the known load of other gateways.
	Age clock.Millis
	// Ranked leaves out as many of the best candidates as Rank says. The order is then the same at all gateways with the
	// same knowledge, so that each of several waiters selects another slot; TieBreak isn't used.
	Ranked bool
	Rank   int
	// Gateways is the number of gateways if all use the same number of candidates, or 0 if a gateway uses the fewer the
	// more of the load is its own.
	Gateways int
	// Objective and Gap are the longest times until the first event and between two events that meet the
	// objectives; 0 if there are none.
	Objective clock.Millis
	Gap       clock.Millis
}

// Choice is the selected runner with the expected wait for a slot.
type Choice struct {
	Runner *toucanhingev1.Runner
	// Wait is the expected time until the request gets a slot.
	Wait clock.Millis
	// QueuePosition is the number of requests on the runner that must end before this one starts, or 0 if a slot
	// is free.
	QueuePosition int
	// Free is the number of free slots of all eligible runners, including those that items must yield. Slots of
	// unresponsive runners don't count, unless all runners are unresponsive.
	Free int
	// Hold is the time for which requests are expected to hold a slot of the runner, at least that at the mean
	// pace unless the counts are stale: queues at a fast runner end sooner, but more gateways send requests there
	// at the same time.
	Hold clock.Millis
	// RequestHold is the time for which this request is expected to hold its slot there.
	RequestHold clock.Millis
	// Pace and Present are the usual and the present pace of the runner, 1 for the mean of its service.
	Pace, Present float64
}

// Config holds the settings of a Machine.
type Config struct {
	// DataCentre is the data centre of the gateway.
	DataCentre string
	// LeavingGrace is how long after a runner began to leave a stream may still continue there if no other runner has
	// its software version; 0 for never.
	LeavingGrace clock.Millis
}

// Machine holds the known runners and what this gateway has observed of them.
type Machine struct {
	config        Config
	runners       []*toucanhingev1.Runner
	blocked       map[string]clock.Millis
	deprioritized map[string]clock.Millis
	// leavingSince is when runners that were known before began to leave.
	leavingSince map[string]clock.Millis
	// avoided holds the runners that other gateways can't reach.
	avoided map[string]bool
	hold    map[string]float64
	// routeHolds holds the models of the requests of each route.
	routeHolds map[string]*holdModel
	events     map[string]eventTimes
	// scratch holds the memory of the last decision for the next one.
	scratch scratch
}

// scratch is memory that decisions use again, since one on a large fleet needs tens of kilobytes.
type scratch struct {
	eligible []*toucanhingev1.Runner
	loads    []Load
	top      []candidate
}

// New returns a machine without runners.
func New(config Config) *Machine {
	return &Machine{
		config: config, blocked: map[string]clock.Millis{}, deprioritized: map[string]clock.Millis{}, hold: map[string]float64{},
		routeHolds: map[string]*holdModel{}, events: map[string]eventTimes{}, leavingSince: map[string]clock.Millis{},
	}
}

// SetRunners replaces the known runners. Blocks and lowered preferences of a runner end when it is removed or
// restarted under the same id.
func (m *Machine) SetRunners(runners []*toucanhingev1.Runner) {
	startedAt := make(map[string]int64, len(runners))
	for _, r := range runners {
		startedAt[r.GetId()] = r.GetBornMs()
	}
	for _, r := range m.runners {
		if now, known := startedAt[r.GetId()]; !known || now != r.GetBornMs() {
			delete(m.blocked, r.GetId())
			delete(m.deprioritized, r.GetId())
		}
	}
	// Ranked requests need the same order at all gateways.
	m.runners = slices.SortedFunc(slices.Values(runners), byID)
}

// RecordLeaving records which runners have begun to leave in the list that SetRunners gets next. A runner that this
// gateway hasn't known before may have been leaving for long.
func (m *Machine) RecordLeaving(now clock.Millis, next []*toucanhingev1.Runner) {
	serving := make(map[string]bool, len(m.runners))
	for _, r := range m.runners {
		serving[r.GetId()] = !r.GetLeaving()
	}
	leaving := map[string]clock.Millis{}
	for _, r := range next {
		since, known := m.leavingSince[r.GetId()]
		if serving[r.GetId()] {
			since, known = now, true
		}
		if r.GetLeaving() && known {
			leaving[r.GetId()] = since
		}
	}
	m.leavingSince = leaving
}

// mayContinueAt reports whether a stream may continue at a runner that leaves.
func (m *Machine) mayContinueAt(now clock.Millis, req Request, r *toucanhingev1.Runner) bool {
	since, known := m.leavingSince[r.GetId()]
	return req.Version != "" && known && now-since < m.config.LeavingGrace
}

func byID(a, b *toucanhingev1.Runner) int { return strings.Compare(a.GetId(), b.GetId()) }

// Block excludes a runner until the given time because it refused a request or is unreachable.
func (m *Machine) Block(id string, until clock.Millis) {
	m.blocked[id] = max(m.blocked[id], until)
}

// SetAvoided replaces the runners that are avoided because other gateways can't reach them; nil for none. They are
// called if there is no other, or if they are more than half of the runners of a service: then a gateway's network is
// probably at fault.
func (m *Machine) SetAvoided(avoided map[string]bool) { m.avoided = avoided }

// Deprioritize lowers the preference of a runner until the given time because a call to it broke off.
func (m *Machine) Deprioritize(id string, until clock.Millis) {
	m.deprioritized[id] = max(m.deprioritized[id], until)
}

// RecordHold records how long a request held its slot, converted to the mean pace of its service.
func (m *Machine) RecordHold(service string, duration clock.Millis) {
	if m.hold[service] == 0 {
		m.hold[service] = initialHold
	}
	m.hold[service] += holdWeight * (float64(duration) - m.hold[service])
}

// MeanHold returns the mean time in milliseconds for which a request of a service holds its slot at the mean pace.
func (m *Machine) MeanHold(service string) float64 {
	if m.hold[service] == 0 {
		return initialHold
	}
	return max(m.hold[service], minHold)
}

// Select selects a runner. ok is false if the service has no eligible runner. The known load is some milliseconds old,
// and other gateways with the same knowledge place requests at the same time. If each selected the candidate with the
// least cost, all would select the same slot, and requests would queue there while other slots are free. So Select
// draws from the best candidates. Their number grows with the number of requests that are probably not visible yet.
func (m *Machine) Select(now clock.Millis, req Request, load func(runner string) Load) (choice Choice, ok bool) {
	eligible := m.eligible(now, req)
	if len(eligible) == 0 {
		return Choice{}, false
	}
	hold := m.MeanHold(req.Service)
	candidates, price := m.candidates(now, eligible, req, hold, load)
	selected := candidates[int(req.Draw*float64(len(candidates)))]
	if req.Ranked {
		others := candidates[min(req.Rank, len(candidates)-1):]
		selected = others[int(req.Draw*float64(len(others)))]
	}
	l := load(selected.runner.GetId())
	return Choice{
		Runner: selected.runner, Wait: clock.Millis(selected.wait), QueuePosition: selected.position, Free: freeSlots(eligible, load),
		Hold: clock.Millis(hold * price.hold(l.pace())), RequestHold: clock.Millis(m.requestHold(req) * l.pace()), Pace: l.pace(), Present: l.present(),
	}, true
}

// eligible returns the runners of the service that accept requests. Runners that have just begun to leave are returned
// only if a stream can continue nowhere else, and runners that were tried before only if there is no other. The list is
// valid until the next call.
func (m *Machine) eligible(now clock.Millis, req Request) []*toucanhingev1.Runner {
	eligible := m.scratch.eligible[:0]
	var tried, avoided, leaving []*toucanhingev1.Runner
	for _, r := range m.runners {
		switch {
		case r.GetService() != req.Service || req.Version != "" && r.GetVersion() != req.Version || len(m.blocked) > 0 && m.blocked[r.GetId()] > now:
		case r.GetLeaving() && !m.mayContinueAt(now, req, r):
		case slices.Contains(req.Tried, r.GetId()):
			tried = append(tried, r)
		case r.GetLeaving():
			leaving = append(leaving, r)
		case len(m.avoided) > 0 && m.avoided[r.GetId()]:
			avoided = append(avoided, r)
		default:
			eligible = append(eligible, r)
		}
	}
	if len(avoided) > 0 && (len(avoided) > len(eligible)+len(tried) || len(eligible) == 0) {
		eligible = append(eligible, avoided...)
		slices.SortFunc(eligible, byID)
	}
	m.scratch.eligible = eligible
	switch {
	case len(eligible) > 0:
		return eligible
	case len(leaving) > 0:
		return leaving
	default:
		return tried
	}
}

// queuePosition returns the number of requests that must end before another one starts. Batch items don't count, since
// they yield at once. Requests start at independent times, so if they hold all slots, on average one of them ends per
// mean hold divided by the number of slots.
func queuePosition(r *toucanhingev1.Runner, load Load) int {
	return max(load.Online+load.Foreign-int(r.GetSlots())+1, 0)
}

// freeSlots returns the number of slots that online requests could use at once.
func freeSlots(runners []*toucanhingev1.Runner, load func(runner string) Load) int {
	free, unresponsive := 0, 0
	responsive := false
	for _, r := range runners {
		l := load(r.GetId())
		slots := max(int(r.GetSlots())-l.Online-l.Foreign, 0)
		if l.Unresponsive {
			unresponsive += slots
			continue
		}
		responsive = true
		free += slots
	}
	if !responsive {
		return unresponsive
	}
	return free
}

// fixedCost returns the part of a runner's cost that doesn't depend on the number of its calls.
func (m *Machine) fixedCost(now clock.Millis, r *toucanhingev1.Runner, load Load) float64 {
	cost := 0.0
	if r.GetDataCentre() != m.config.DataCentre {
		cost += remoteCost
	}
	if load.Unresponsive || len(m.deprioritized) > 0 && m.deprioritized[r.GetId()] > now {
		cost += deprioritizedCost
	}
	return cost
}

// loadCost returns the part of a runner's cost that depends on the number of its calls.
func loadCost(r *toucanhingev1.Runner, load Load) float64 {
	calls := load.Online + load.Batch + load.Foreign
	cost := fullRunnerCost * float64(calls) / float64(r.GetSlots())
	if calls >= int(r.GetSlots()) {
		cost += yieldCost
	}
	return cost
}

// Slots returns the number of slots on the eligible runners of a service.
func (m *Machine) Slots(now clock.Millis, service string) int {
	slots := 0
	for _, r := range m.eligible(now, Request{Service: service}) {
		slots += int(r.GetSlots())
	}
	return slots
}
