package placement

import (
	"math"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Costs by which slots of runners with different paces are compared, in milliseconds like the other costs.
// They apply only if the paces of a service's runners differ.
const (
	// paceCost is the cost of a runner that takes twice the mean time, about the time by which its first
	// event is later.
	paceCost = 35.0
	// queueDoubt and slotDoubt lower the influence of paces on the order of queues and of slots with the
	// number of unseen requests per runner: with old counts, slots of the preferred runners are probably
	// taken by now, and all gateways prefer the same ones.
	queueDoubt = 2.0
	slotDoubt  = 9.0
	// staleUnseen is the number of unseen requests per runner from which on the counts tell nothing of the
	// last slots of a single runner.
	staleUnseen = 1.0
	// maxPricedPace limits the paces that are compared.
	maxPricedPace = 5.0
	// lastSlotCost is the cost of the last free slot of a runner. Gateways that place requests at the same
	// time prefer the same runners, and those that come second to the last slot have to wait there. Each
	// further free slot makes that less probable. Old counts don't show which slot is the last one.
	lastSlotCost = 100.0
	// itemSlotCost is added for a slot that an item must yield, since the item loses some work.
	itemSlotCost = 10.0
	// tooSlowCost puts runners that may not keep the objectives behind those that do.
	tooSlowCost = 50.0
	// queueCost puts queues behind all slots, whatever the pace: it exceeds the sum of all costs of a slot.
	queueCost = lastSlotCost + itemSlotCost + tooSlowCost + paceCost*(maxPricedPace-1) + 20
	// objectiveShare is the part of an objective that the expected time at a runner may use if a faster
	// runner is left to items. The rest allows for the way to the caller and for a slowdown that starts
	// meanwhile.
	objectiveShare = 0.5
)

// Times of the events of a request at the mean pace, in milliseconds, before any was measured.
const (
	initialFirstEvent = 40.0
	initialGap        = 30.0
	// eventWeight is the weight of the newest request in the moving averages.
	eventWeight = 0.05
)

// eventTimes are the mean times of the events of a service's requests at the mean pace.
type eventTimes struct {
	first float64
	gap   float64
}

// RecordEvents records the time until the first event of a request that found a free slot and the mean gap
// between its events, in milliseconds at the mean pace; 0 if unknown.
func (m *Machine) RecordEvents(service string, first, gap float64) {
	times := m.eventTimesOf(service)
	if first > 0 {
		times.first += eventWeight * (first - times.first)
	}
	if gap > 0 {
		times.gap += eventWeight * (gap - times.gap)
	}
	m.events[service] = times
}

func (m *Machine) eventTimesOf(service string) eventTimes {
	if times, known := m.events[service]; known {
		return times
	}
	return eventTimes{first: initialFirstEvent, gap: initialGap}
}

// price decides how much a slot of a runner costs because of its pace. An online request needs only that its
// first event and its gaps keep the objectives, while an item needs throughput: it has a time until which it
// must be complete. So while items hold slots, an online request takes the slowest slot at which it keeps its
// objectives, and leaves the fast ones to the items. Otherwise it takes the fastest slot.
type price struct {
	// uneven is set if the paces differ. Otherwise they don't influence the decision.
	uneven bool
	// items is set while items hold slots of the service.
	items bool
	// maxPace is the highest present pace at which the request keeps its objectives.
	maxPace float64
	// perPace and lastSlot are paceCost and lastSlotCost for the age of the known load, and queueWeight the
	// influence of paces on the order of queues, from 0 to 1.
	perPace, lastSlot, queueWeight float64
	// stale is set if the counts tell nothing of the last slots of a single runner.
	stale bool
}

// price returns the rule for a request among runners with the given loads. unseen is the number of requests
// that other gateways have probably placed and that no received digest contains yet.
func (m *Machine) price(req Request, loads []Load, unseen float64) price {
	perRunner := unseen / float64(len(loads))
	p := price{perPace: paceCost * math.Exp(-slotDoubt*perRunner), queueWeight: math.Exp(-queueDoubt * perRunner)}
	if perRunner < staleUnseen {
		p.lastSlot = lastSlotCost * min(spreadFactor*unseen, 1)
	} else {
		p.stale = true
	}
	for i := range loads {
		p.uneven = p.uneven || loads[i].pace() != 1 || loads[i].present() != 1
		p.items = p.items || loads[i].Batch > 0
	}
	if p.uneven && p.items {
		times := m.eventTimesOf(req.Service)
		p.maxPace = min(maxPaceFor(float64(req.Objective), times.first), maxPaceFor(float64(req.Gap), times.gap))
	}
	return p
}

// maxPaceFor returns the highest pace at which an expected time uses no more than a part of its objective.
func maxPaceFor(objective, expected float64) float64 {
	if objective <= 0 || expected <= 0 {
		return math.Inf(1)
	}
	return objectiveShare * objective / expected
}

// wait returns the cost of a wait at a runner of the given pace, from the wait at the mean pace.
func (p price) wait(wait, pace float64) float64 { return wait * (1 + (pace-1)*p.queueWeight) }

// hold returns the factor of the mean hold at a runner of the given pace. A fast runner counts as faster only with stale
// counts, by which no gateway prefers it.
func (p price) hold(pace float64) float64 {
	if p.stale {
		return pace
	}
	return max(pace, 1)
}

// cost returns the cost of a position at a runner because of the runners' paces. It grows with the position.
func (p price) cost(r *toucanhingev1.Runner, l Load, position int) float64 {
	if !p.uneven {
		return 0
	}
	if position > 0 {
		return queueCost
	}
	free := float64(int(r.GetSlots()) - l.Online - l.Foreign)
	collision := p.lastSlot / (free * free)
	if p.items && l.Online+l.Batch+l.Foreign >= int(r.GetSlots()) {
		collision += itemSlotCost
	}
	cost := p.perPace * (min(l.present(), maxPricedPace) - 1)
	switch {
	case !p.items:
		return collision + cost
	case l.present() <= p.maxPace:
		return collision - cost
	default:
		return collision + tooSlowCost + cost
	}
}
