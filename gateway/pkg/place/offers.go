package place

import (
	"container/heap"
	"slices"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// offer is one place at a runner, or one turn in its queue.
type offer struct {
	runner *toucanhingev1.Runner
	turn   int
	wait   float64
	cost   float64
	// order is the offer's number among all; of equal ones the first is taken.
	order int
}

func (o offer) before(other offer) bool {
	if o.cost != other.cost {
		return o.cost < other.cost
	}
	return o.order < other.order
}

// best keeps the best offers, with the last of them on top of a heap: a request looks at all
// runners, and with hundreds of them to put all their places in order took longer than a small
// VM has between two requests of a burst.
type best struct {
	list []offer
	most int
}

// Len implements heap.Interface.
func (b *best) Len() int { return len(b.list) }

// Less implements heap.Interface.
func (b *best) Less(i, j int) bool { return b.list[j].before(b.list[i]) }

// Swap implements heap.Interface.
func (b *best) Swap(i, j int) { b.list[i], b.list[j] = b.list[j], b.list[i] }

// Push implements heap.Interface.
func (b *best) Push(x any) {
	if o, ok := x.(offer); ok {
		b.list = append(b.list, o)
	}
}

// Pop implements heap.Interface.
func (b *best) Pop() any {
	last := len(b.list) - 1
	o := b.list[last]
	b.list = b.list[:last]
	return o
}

// take takes an offer in if it is among the best, and says whether it is.
func (b *best) take(o offer) bool {
	if len(b.list) < b.most {
		b.list = append(b.list, o)
		if len(b.list) == b.most {
			heap.Init(b)
		}
		return true
	}
	if !o.before(b.list[0]) {
		return false
	}
	b.list[0] = o
	heap.Fix(b, 0)
	return true
}

// offers lists the best places, as many as requests are being placed at this moment.
func (m *Machine) offers(now clock.Millis, able []*toucanhingev1.Runner, ask Request, hold float64, load func(runner string) Load) []offer {
	loads := make([]Load, len(able))
	others := 0
	for i, r := range able {
		loads[i] = load(r.GetId())
		others += loads[i].Online - loads[i].Own
	}
	// As many requests arrive in a span as are under way, each for a hold.
	wanted := 1 + int(spread*float64(others)*float64(ask.Age)/hold+0.5)
	offset := int(ask.TieBreak * float64(len(able)))
	each := min(wanted, mostOffers)
	top := best{most: wanted, list: make([]offer, 0, min(wanted, len(able)*each))}
	for i := range able {
		at := (i + offset) % len(able)
		r, l := able[at], loads[at]
		fixed := m.fixed(now, r, l)
		for n := range each {
			turn := turnAt(r, l)
			wait := float64(turn) * hold / float64(r.GetSlots())
			if !top.take(offer{runner: r, turn: turn, wait: wait, cost: wait + fixed + crowd(r, l), order: i*each + n}) {
				// The further places of a runner are no better.
				break
			}
			l.Online++
		}
	}
	slices.SortFunc(top.list, func(a, b offer) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	return top.list
}
