package replay

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/occupancy"
	"toucanhinge.example/control/pkg/dispatch"
	"toucanhinge.example/gateway/pkg/admission"
	"toucanhinge.example/gateway/pkg/placement"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const service = "llm"

// roomEvery is the interval between two looks of the requests that wait: a gateway looks
// when it hears of a change, which is as often in a burst.
const roomEvery clock.Millis = 5

// tellEvery is how long daemons gather changes before they tell them.
const tellEvery clock.Millis = 4

// request is one caller's request, over both of its attempts.
type request struct {
	first   clock.Millis
	arrived clock.Millis
	ends    clock.Millis
	again   bool
	// attempts is how often it came back.
	attempts int
	// lost says that its first attempt met an outage: it is late whatever happens.
	lost    bool
	gateway int
}

// task is a request or an item at a runner.
type task struct {
	request *request
	key     dispatch.Key
	ends    clock.Millis
	// orphan says that the daemon that sent the item is gone.
	orphan bool
}

// runnerState is an engine: it runs what it gets in the order of arrival.
type runnerState struct {
	running []*task
	queue   []*task
}

// gateway is one gateway with its own picture of the load.
type gateway struct {
	table *occupancy.Table
	place *placement.Machine
	room  []*request
	// spells are the overloads that it saw.
	spells admission.OverloadTracker
	// changed says that its own counts differ from what it told last.
	changed bool
}

// count notes own work that begins, or ends with negative numbers.
func (g *gateway) count(runner string, change occupancy.Load) {
	g.table.Add(runner, change)
	g.changed = true
}

// digest is a change on its way to the others.
type digest struct {
	at      clock.Millis
	from    int
	message *toucanhingev1.LoadDigest
}

type world struct {
	config   Config
	random   *rand.Rand
	now      clock.Millis
	runners  []*toucanhingev1.Runner
	states   map[string]*runnerState
	gateways []*gateway
	// core is the daemon that runs the items; its number comes after the gateways'.
	core     *gateway
	coreName string
	coreGone bool
	dispatch *dispatch.Machine
	left     map[dispatch.Key]clock.Millis
	due      map[dispatch.Key]clock.Millis
	digests  []digest
	sequence uint64
	// returning are the callers who will come back, by when.
	returning []*request
	result    Result
}

// Run plays a load to its end.
func Run(config Config) Result {
	w := newWorld(config)
	w.result.TeamItems = map[string]int{}
	last := clock.Millis(0)
	if n := len(config.Arrivals); n > 0 {
		last = config.Arrivals[n-1]
	}
	arrivals, items := config.Arrivals, config.Items
	for w.now = 0; w.now < last+30_000 && (len(arrivals) > 0 || len(items) > 0 || w.busy()); w.now++ {
		w.deliver()
		w.lose()
		w.finish()
		for len(arrivals) > 0 && arrivals[0] <= w.now {
			w.meet(&request{first: w.now, arrived: w.now, ends: w.now + config.Timeout})
			arrivals = arrivals[1:]
		}
		for len(items) > 0 && items[0].At <= w.now {
			w.addItem(uint32(len(config.Items)-len(items)), items[0])
			items = items[1:]
		}
		w.comeBack()
		if w.now%roomEvery == 0 {
			w.rooms()
		}
		if !w.coreGone {
			w.items()
		}
		w.admitQueued()
		if w.now%tellEvery == 0 {
			w.tell()
		}
	}
	slices.Sort(w.result.Waits)
	return w.result
}

// busy says whether anything is still under way.
func (w *world) busy() bool {
	waiting, running := w.dispatch.Counts()
	if len(w.returning) > 0 || waiting+running > 0 {
		return true
	}
	for _, g := range w.gateways {
		if len(g.room) > 0 {
			return true
		}
	}
	for _, state := range w.states {
		if len(state.running)+len(state.queue) > 0 {
			return true
		}
	}
	return false
}

func newWorld(config Config) *world {
	w := &world{
		config: config, random: rand.New(rand.NewPCG(config.Seed, 2)), states: map[string]*runnerState{},
		dispatch: dispatch.New(), left: map[dispatch.Key]clock.Millis{}, due: map[dispatch.Key]clock.Millis{},
	}
	for i := range config.Runners {
		id := fmt.Sprintf("r%d", i)
		w.runners = append(w.runners, &toucanhingev1.Runner{Id: id, Service: service, Slots: uint32(config.Slots)})
		w.states[id] = &runnerState{}
	}
	for range config.Gateways {
		g := &gateway{table: occupancy.New(), place: placement.New(placement.Config{})}
		g.place.SetRunners(w.runners)
		for range 100 {
			g.place.RecordHold(service, config.Hold)
		}
		w.gateways = append(w.gateways, g)
	}
	w.core, w.coreName = &gateway{table: occupancy.New()}, "core"
	return w
}

func (w *world) daemons() []*gateway { return append(slices.Clone(w.gateways), w.core) }

// tell sends the own counts of daemons where they changed to the others.
func (w *world) tell() {
	for i, g := range w.daemons() {
		if !g.changed && w.now%(occupancy.DigestInterval/tellEvery*tellEvery) != 0 || g == w.core && w.coreGone {
			continue
		}
		g.changed = false
		w.sequence++
		w.digests = append(w.digests, digest{w.now + w.config.DigestDelay, i, &toucanhingev1.LoadDigest{
			Source: w.source(i), Epoch: 1, Sequence: w.sequence, Loads: g.table.Loads(w.now),
		}})
	}
}

func (w *world) deliver() {
	for _, g := range w.daemons() {
		g.table.Expire(w.now)
	}
	for len(w.digests) > 0 && w.digests[0].at <= w.now {
		d := w.digests[0]
		w.digests = w.digests[1:]
		for i, g := range w.daemons() {
			if i != d.from {
				g.table.ApplyDigest(w.now, d.message)
			}
		}
	}
}

// finish ends what has held its place long enough.
func (w *world) finish() {
	for _, r := range w.runners {
		state := w.states[r.GetId()]
		state.running = slices.DeleteFunc(state.running, func(t *task) bool {
			if t.ends > w.now {
				return false
			}
			w.end(r.GetId(), t)
			return true
		})
	}
}

func (w *world) end(runner string, t *task) {
	if t.request != nil {
		w.gateways[t.request.gateway].count(runner, occupancy.Load{Online: -1})
		return
	}
	if t.orphan {
		return
	}
	w.core.count(runner, occupancy.Load{Batch: -1})
	delete(w.left, t.key)
	w.dispatch.Finished(w.now, t.key)
	if w.now <= w.due[t.key] {
		w.result.ItemsInTime++
		w.result.TeamItems[w.config.Items[t.key.Index].Team]++
	} else {
		w.result.ItemsLate++
	}
}

// admitQueued lets engines begin what waits there.
func (w *world) admitQueued() {
	for _, r := range w.runners {
		state := w.states[r.GetId()]
		for len(state.queue) > 0 && len(state.running) < w.config.Slots {
			t := state.queue[0]
			state.queue = state.queue[1:]
			w.begin(r.GetId(), t)
		}
	}
}

func (w *world) begin(runner string, t *task) {
	state := w.states[runner]
	if t.request == nil {
		t.ends = w.now + w.left[t.key]
		state.running = append(state.running, t)
		return
	}
	t.ends = w.now + w.config.Hold
	state.running = append(state.running, t)
	w.tellHeld(runner, w.gateways[t.request.gateway])
	wait := w.now - t.request.arrived
	w.result.Waits = append(w.result.Waits, w.now-t.request.first)
	if wait > w.config.Objective {
		w.result.Late++
		w.result.Worth += lateWorth
		return
	}
	w.result.InTime++
	switch {
	case t.request.lost:
		w.result.Worth += lateWorth
	case t.request.again:
		w.result.InTimeOnRetry++
		w.result.Worth += (1 + lateWorth) / 2
	default:
		w.result.Worth++
	}
}
