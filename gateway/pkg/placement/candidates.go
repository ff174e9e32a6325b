package placement

import (
	"container/heap"
	"slices"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// candidate is a free slot of a runner, or a position in its queue.
type candidate struct {
	runner   *toucanhingev1.Runner
	position int
	wait     float64
	cost     float64
	// order is the position at which the candidate was generated. It breaks ties between equal costs.
	order int
}

func (c candidate) before(other candidate) bool {
	if c.cost != other.cost {
		return c.cost < other.cost
	}
	return c.order < other.order
}

// topCandidates is a heap of the best candidates with the worst of them on top. Each request considers all
// runners: with hundreds of them, sorting all their slots took a small VM longer than the time between two requests
// of a burst.
type topCandidates struct {
	list  []candidate
	limit int
}

// Len implements heap.Interface.
func (t *topCandidates) Len() int { return len(t.list) }

// Less implements heap.Interface.
func (t *topCandidates) Less(i, j int) bool { return t.list[j].before(t.list[i]) }

// Swap implements heap.Interface.
func (t *topCandidates) Swap(i, j int) { t.list[i], t.list[j] = t.list[j], t.list[i] }

// Push implements heap.Interface.
func (t *topCandidates) Push(x any) {
	if c, ok := x.(candidate); ok {
		t.list = append(t.list, c)
	}
}

// Pop implements heap.Interface.
func (t *topCandidates) Pop() any {
	last := len(t.list) - 1
	c := t.list[last]
	t.list = t.list[:last]
	return c
}

// add adds a candidate if it is among the best, and reports whether it is.
func (t *topCandidates) add(c candidate) bool {
	if len(t.list) < t.limit {
		t.list = append(t.list, c)
		if len(t.list) == t.limit {
			heap.Init(t)
		}
		return true
	}
	if !c.before(t.list[0]) {
		return false
	}
	t.list[0] = c
	heap.Fix(t, 0)
	return true
}

// candidates returns the best candidates in order. Their number grows with the number of requests that other gateways
// have probably placed and that no received digest contains yet. The list is valid until the next call. The price tells how
// paces influenced the order.
func (m *Machine) candidates(now clock.Millis, runners []*toucanhingev1.Runner, req Request, hold float64, load func(runner string) Load) ([]candidate, price) {
	loads := m.scratch.loads[:0]
	others, all := 0, 0
	for _, r := range runners {
		l := load(r.GetId())
		loads = append(loads, l)
		others += l.Online - l.Own
		all += l.Online
	}
	if req.Gateways > 0 {
		// A gateway with many requests knows more of the load at once. If it drew from fewer candidates, its callers
		// would be refused less often than those of other gateways.
		others = all * (req.Gateways - 1) / req.Gateways
	}
	m.scratch.loads = loads
	// By Little's law, others/hold requests arrive per unit of time.
	unseen := float64(others) * float64(req.Age) / hold
	limit := 1 + int(spreadFactor*unseen+0.5)
	offset := int(req.TieBreak * float64(len(runners)))
	perRunner := min(limit, maxCandidatesPerRunner)
	if req.Ranked {
		limit, offset = limit+req.Rank, 0
		perRunner = min(limit, max(maxCandidatesPerRunner, req.Rank+1))
	}
	price := m.price(req, loads, unseen)
	top := topCandidates{limit: limit, list: m.scratch.top[:0]}
	for i := range runners {
		at := (i + offset) % len(runners)
		r, l := runners[at], loads[at]
		fixed := m.fixedCost(now, r, l)
		if req.Ranked && r.GetDataCentre() != m.config.DataCentre {
			// Otherwise gateways of several data centres would order the slots differently and select the same ones.
			fixed -= remoteCost
		}
		if price.uneven && fixed >= deprioritizedCost {
			fixed += queueCost
		}
		pace := l.pace()
		for n := range perRunner {
			position := queuePosition(r, l)
			wait := float64(position) * hold / float64(r.GetSlots())
			cost := price.wait(wait, pace) + fixed + loadCost(r, l) + price.cost(r, l, position)
			if !top.add(candidate{runner: r, position: position, wait: wait * pace, cost: cost, order: i*perRunner + n}) {
				// Further candidates of the same runner cost at least as much.
				break
			}
			l.Online++
		}
	}
	m.scratch.top = top.list
	slices.SortFunc(top.list, func(a, b candidate) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	return top.list, price
}
