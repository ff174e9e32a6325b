// Package place chooses the runner for an online request. The load that it
// answers: bursts that need nearly every place of the fleet for some seconds,
// sent through many gateways at once, while batch items hold the places that
// were free. So it counts what all daemons have under way, not what runners
// reported; takes a free place before one that an item must give back; and
// knows when no place will be free in time. It holds no goroutine, socket or
// clock.
package place

import (
	"slices"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Costs of a choice in milliseconds until the first event, estimated.
const (
	// yieldCost is what it takes for an item to give its place back: the digest
	// travels 1 to 6 ms, closing the item's call another one.
	yieldCost = 6.0
	// farCost is two ways between data centres, and the price of the bytes.
	farCost = 3.0
	// fullCost is how much slower a full runner is than an empty one.
	fullCost = 1.0
	// leastHold is the least time that a request is taken to hold its place.
	leastHold = 50.0
	// holdWeight is the weight of the newest request in the mean.
	holdWeight = 0.05
	// firstHold is taken until requests have been measured.
	firstHold = 700.0
	// spread is how many places are drawn from for each request that is probably being
	// placed unseen. What ends isn't seen either, and drawing isn't dealing out: with one
	// for one two requests often meet.
	spread = 3
	// mostOffers bounds the places of one runner that are weighed.
	mostOffers = 4
	// doubtCost is added to a runner that has just failed a call.
	doubtCost = 100.0
)

// Load is what all daemons have under way at a runner.
type Load struct {
	Online int
	// Own is the part of Online that this gateway sent.
	Own   int
	Batch int
	// Foreign work is nobody's here, so nobody can make it give way.
	Foreign int
	// Unresponsive says that a daemon with calls there has heard nothing for too long.
	Unresponsive bool
}

// Request describes a request that needs a runner.
type Request struct {
	Service string
	// Tried runners are taken only if there is no other.
	Tried []string
	// TieBreak is from 0 to below 1, and spreads equal choices over the gateways.
	TieBreak float64
	// Draw is from 0 to below 1, and spreads requests that other gateways place at the
	// same time.
	Draw float64
	// Age is how old the picture of what other gateways have under way is, a span.
	Age clock.Millis
}

// Choice is a runner, and how long the request will probably wait there for a
// place.
type Choice struct {
	Runner *toucanhingev1.Runner
	// Wait is the expected span.
	Wait clock.Millis
	// QueuePosition is how many of the requests that hold a place there must end before this one
	// begins, 0 if a place is free.
	QueuePosition int
}

// Config describes a machine.
type Config struct {
	// DataCentre is the gateway's own.
	DataCentre string
}

// Machine keeps what this gateway has learnt of the runners.
type Machine struct {
	config  Config
	runners []*toucanhingev1.Runner
	blocked map[string]clock.Millis
	doubted map[string]clock.Millis
	hold    map[string]float64
}

// New makes a machine that knows no runner.
func New(config Config) *Machine {
	return &Machine{
		config: config, blocked: map[string]clock.Millis{}, doubted: map[string]clock.Millis{}, hold: map[string]float64{},
	}
}

// SetRunners replaces the known runners. What was learnt of one that is gone, or that
// started again under its id, is forgotten.
func (m *Machine) SetRunners(runners []*toucanhingev1.Runner) {
	born := make(map[string]int64, len(runners))
	for _, r := range runners {
		born[r.GetId()] = r.GetBornMs()
	}
	for _, r := range m.runners {
		if now, known := born[r.GetId()]; !known || now != r.GetBornMs() {
			delete(m.blocked, r.GetId())
			delete(m.doubted, r.GetId())
		}
	}
	m.runners = runners
}

// Block keeps requests off a runner until a time: it refused one, or can't be
// reached.
func (m *Machine) Block(id string, until clock.Millis) {
	m.blocked[id] = max(m.blocked[id], until)
}

// Deprioritize makes a runner a last choice until a time: a call to it broke off.
func (m *Machine) Deprioritize(id string, until clock.Millis) {
	m.doubted[id] = max(m.doubted[id], until)
}

// RecordHold notes how long a request held its place, a span.
func (m *Machine) RecordHold(service string, span clock.Millis) {
	if m.hold[service] == 0 {
		m.hold[service] = firstHold
	}
	m.hold[service] += holdWeight * (float64(span) - m.hold[service])
}

// MeanHold is the mean time that a request of a service holds its place.
func (m *Machine) MeanHold(service string) float64 {
	if m.hold[service] == 0 {
		return firstHold
	}
	return max(m.hold[service], leastHold)
}

// Select picks a runner; ok is false if the service has none that takes work. The
// picture of the load is some milliseconds old, and other gateways, with the same
// picture, choose meanwhile. If each took the place with the least cost, all would take
// the same one, and requests would queue there with places free elsewhere. So it draws
// among the best places, as many as requests are probably being placed unseen.
func (m *Machine) Select(now clock.Millis, ask Request, load func(runner string) Load) (choice Choice, ok bool) {
	able := m.able(now, ask)
	if len(able) == 0 {
		return Choice{}, false
	}
	hold := m.MeanHold(ask.Service)
	offers := m.offers(now, able, ask, hold, load)
	best := offers[int(ask.Draw*float64(len(offers)))]
	return Choice{Runner: best.runner, Wait: clock.Millis(best.wait), QueuePosition: best.turn}, true
}

func (m *Machine) able(now clock.Millis, ask Request) []*toucanhingev1.Runner {
	able := make([]*toucanhingev1.Runner, 0, len(m.runners))
	var tried []*toucanhingev1.Runner
	for _, r := range m.runners {
		switch {
		case r.GetService() != ask.Service || r.GetLeaving() || len(m.blocked) > 0 && m.blocked[r.GetId()] > now:
		case slices.Contains(ask.Tried, r.GetId()):
			tried = append(tried, r)
		default:
			able = append(able, r)
		}
	}
	if len(able) == 0 {
		return tried
	}
	return able
}

// turnAt counts the requests that must end before another one begins. An item gives
// its place back at once. Requests begin and end at any time, so with all places taken
// by them one ends after a hold divided by the places.
func turnAt(r *toucanhingev1.Runner, load Load) int {
	return max(load.Online+load.Foreign-int(r.GetSlots())+1, 0)
}

// fixed is what a runner costs whatever it has under way.
func (m *Machine) fixed(now clock.Millis, r *toucanhingev1.Runner, load Load) float64 {
	cost := 0.0
	if r.GetDataCentre() != m.config.DataCentre {
		cost += farCost
	}
	if load.Unresponsive || len(m.doubted) > 0 && m.doubted[r.GetId()] > now {
		cost += doubtCost
	}
	return cost
}

// crowd is what the work under way at a runner costs.
func crowd(r *toucanhingev1.Runner, load Load) float64 {
	held := load.Online + load.Batch + load.Foreign
	cost := fullCost * float64(held) / float64(r.GetSlots())
	if held >= int(r.GetSlots()) {
		cost += yieldCost
	}
	return cost
}

// Slots counts the places of a service at runners that take work.
func (m *Machine) Slots(now clock.Millis, service string) int {
	places := 0
	for _, r := range m.able(now, Request{Service: service}) {
		places += int(r.GetSlots())
	}
	return places
}
