package replay

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/occupancy"
	"toucanhinge.example/control/pkg/dispatch"
	"toucanhinge.example/gateway/pkg/admission"
	"toucanhinge.example/gateway/pkg/placement"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// jobItems is the number of items in a job on the users' sheets.
	jobItems = 10
	// lengthSpread is the spread of the items' lengths there, of a log-normal distribution.
	lengthSpread = 0.4
)

// meet lets a new request reach a gateway, if any is there.
func (w *world) meet(r *request) {
	outage := w.config.Outage
	if r.arrived < outage.From || r.arrived >= outage.Until {
		w.arrive(r)
		return
	}
	r.arrived += outage.RetryDelay
	r.again, r.lost, r.attempts = true, true, 1
	if r.arrived < outage.Until {
		w.result.Refused++
		return
	}
	w.returning = append(w.returning, r)
	slices.SortFunc(w.returning, func(a, b *request) int { return cmp.Compare(a.arrived, b.arrived) })
}

// arrive takes a request at some gateway, as the platform's balancer does.
func (w *world) arrive(r *request) {
	r.gateway = w.random.IntN(len(w.gateways))
	choice, ask := w.look(r)
	if !w.config.Admit {
		w.send(r, choice.Runner)
		return
	}
	switch admission.Decide(w.now, ask) {
	case admission.Admit:
		w.send(r, choice.Runner)
	case admission.Wait:
		g := w.gateways[r.gateway]
		g.room = append(g.room, r)
	default:
		w.refuse(r, ask)
	}
}

// returns is how often a caller comes back.
func (w *world) returns() int {
	if w.config.MaxRetries == 0 {
		return 1
	}
	return max(w.config.MaxRetries, 0)
}

// refuse turns a caller away, who may come back.
func (w *world) refuse(r *request, ask admission.Request) {
	spells := &w.gateways[r.gateway].spells
	spells.RecordRefusal(w.now)
	if r.attempts >= w.returns() {
		w.result.Refused++
		return
	}
	at := w.now + admission.RetryAfter(w.now, ask, spells, w.random.Float64())
	w.returning = append(w.returning, &request{first: r.first, arrived: at, ends: r.ends, again: true, attempts: r.attempts + 1})
	slices.SortFunc(w.returning, func(a, b *request) int { return cmp.Compare(a.arrived, b.arrived) })
}

func (w *world) comeBack() {
	for len(w.returning) > 0 && w.returning[0].arrived <= w.now {
		r := w.returning[0]
		w.returning = w.returning[1:]
		w.arrive(r)
	}
}

func (w *world) look(r *request) (placement.Choice, admission.Request) {
	g := w.gateways[r.gateway]
	choice, _ := g.place.Select(w.now, placement.Request{
		Service: service, TieBreak: w.random.Float64(), Draw: w.random.Float64(), Age: w.config.DigestDelay + tellEvery,
	}, w.picture(g))
	return choice, admission.Request{
		Arrived: r.arrived, Deadline: r.ends, Objective: w.config.Objective, Retry: r.again,
		ExpectedWait: choice.Wait, QueuePosition: choice.QueuePosition, Slots: w.config.Slots, Hold: w.config.Hold, QueueFull: len(g.room) >= w.config.Runners*w.config.Slots/2/len(w.gateways),
	}
}

// picture is the load as the policy sees it.
func (w *world) picture(g *gateway) func(string) placement.Load {
	switch w.config.Placement {
	case OwnCounts:
		return func(id string) placement.Load {
			l := g.table.Own(id)
			return placement.Load{Online: l.Online, Own: l.Online}
		}
	case Random:
		drawn := map[string]placement.Load{}
		for _, r := range w.runners {
			drawn[r.GetId()] = placement.Load{Online: w.random.IntN(1000)}
		}
		return func(id string) placement.Load { return drawn[id] }
	default:
		return func(id string) placement.Load {
			l := g.table.Load(id)
			return placement.Load{Online: l.Online, Own: g.table.Own(id).Online, Batch: l.Batch, Foreign: g.table.Foreign(w.now, id)}
		}
	}
}

func (w *world) send(r *request, to *toucanhingev1.Runner) {
	w.gateways[r.gateway].count(to.GetId(), occupancy.Load{Online: 1})
	state := w.states[to.GetId()]
	state.queue = append(state.queue, &task{request: r})
}

// rooms lets waiting requests go on, the one whose time ends first in front.
func (w *world) rooms() {
	for _, g := range w.gateways {
		slices.SortStableFunc(g.room, func(a, b *request) int { return cmp.Compare(a.ends, b.ends) })
		g.room = slices.DeleteFunc(g.room, func(r *request) bool {
			choice, ask := w.look(r)
			ask.QueueFull = false
			switch admission.Decide(w.now, ask) {
			case admission.Admit:
				w.send(r, choice.Runner)
				return true
			case admission.Wait:
				return false
			default:
				w.refuse(r, ask)
				return true
			}
		})
	}
}

func (w *world) addItem(index uint32, i Item) {
	key := dispatch.Key{Job: "j", Index: index}
	w.left[key], w.due[key] = cmp.Or(i.Run, w.config.Run), i.Deadline
	if !w.coreGone {
		w.queueItem(key, i)
	}
}

func (w *world) queueItem(key dispatch.Key, i Item) {
	due := i.Deadline
	if w.config.FIFO {
		due = i.At + 1_000_000
	}
	if w.config.HideTeams {
		i.Team = ""
	}
	w.dispatch.Add(dispatch.Item{Key: key, Deadline: due, Expires: i.At + 10_000_000, Tokens: int64(i.Run), Team: i.Team, Priority: i.Priority})
}

// items starts and pauses batch items.
func (w *world) items() {
	actions := w.dispatch.Step(w.now, dispatch.Environment{
		Runners: w.runners,
		Load: func(id string) dispatch.Load {
			total := w.core.table.Load(id)
			if !w.config.Yield {
				// What online work is there is seen when items begin, not after.
				return dispatch.Load{Online: min(total.Online, w.config.Slots-w.core.table.Own(id).Batch)}
			}
			return dispatch.Load{Online: total.Online, Foreign: w.core.table.Foreign(w.now, id)}
		},
		Services: func(string) []string { return []string{service} },
		Near:     func(*toucanhingev1.Runner) bool { return true },
	})
	for _, key := range actions.Pause {
		w.pause(key)
	}
	for _, s := range actions.Start {
		w.core.count(s.Runner.GetId(), occupancy.Load{Batch: 1})
		state := w.states[s.Runner.GetId()]
		state.queue = append(state.queue, &task{key: s.Key})
	}
}

func (w *world) pause(key dispatch.Key) {
	w.result.Pauses++
	for _, r := range w.runners {
		state := w.states[r.GetId()]
		drop := func(t *task) bool {
			if t.request != nil || t.orphan || t.key != key {
				return false
			}
			if t.ends > 0 {
				w.left[key] = max(t.ends-w.now, 0) + w.config.Resume
			}
			w.core.count(r.GetId(), occupancy.Load{Batch: -1})
			return true
		}
		state.running = slices.DeleteFunc(state.running, drop)
		state.queue = slices.DeleteFunc(state.queue, drop)
	}
}

// MixedItems draws items like Steady, in jobs of ten, whose running times differ: between a
// third of the mean and twice as long, like the lengths on the users' sheets.
func MixedItems(seed uint64, until clock.Millis, rate float64, run, span clock.Millis) []Item {
	random := rand.New(rand.NewPCG(seed, 3))
	var items []Item
	for _, at := range Arrivals(seed, until, Step{0, rate / jobItems}) {
		for range jobItems {
			whole := clock.Millis(float64(run) * min(max(math.Exp(lengthSpread*random.NormFloat64()), 0.33), 2))
			items = append(items, Item{At: at, Deadline: at + span, Run: whole})
		}
	}
	return items
}

// SteadyItems draws items of a job rate that doesn't change, due after a span.
func SteadyItems(seed uint64, until clock.Millis, rate float64, span clock.Millis) []Item {
	var items []Item
	for _, at := range Arrivals(seed, until, Step{0, rate}) {
		items = append(items, Item{At: at, Deadline: at + span})
	}
	return items
}
