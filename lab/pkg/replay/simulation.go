package replay

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/occupancy"
	"toucanhinge.example/control/pkg/dispatch"
	"toucanhinge.example/gateway/pkg/admission"
	"toucanhinge.example/gateway/pkg/fairshare"
	"toucanhinge.example/gateway/pkg/placement"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const service = "llm"

// queueCheckInterval is the interval between two checks of the wait queues. A real gateway checks
// its queue when it receives a load change, which is about as often in a burst.
const queueCheckInterval clock.Millis = 5

// publishInterval is how long daemons batch load changes before they publish them.
const publishInterval clock.Millis = 4

// drainTime is the time after the last arrival in which all work has to be done. With 1.3 times the items
// that the fleet can run in a minute and counts that are 500 ms old, the last items end after 45 s.
const drainTime clock.Millis = 60_000

// request is one caller's request across its attempts.
type request struct {
	// firstArrived is the arrival time of the first attempt, arrived that of the current one.
	firstArrived clock.Millis
	arrived      clock.Millis
	deadline     clock.Millis
	retried      bool
	// retryCount is the number of retries so far.
	retryCount int
	// hitOutage reports that the first attempt came during an outage, so the answer counts as late.
	hitOutage bool
	gateway   int
	team      string
	// overShare is set if the team used more than its share when the request last found no free slot.
	overShare bool
	// noQueue is set if it may not use the queue of a runner.
	noQueue bool
	// nextCheck is the earliest time of the next check for a slot while the request waits.
	nextCheck clock.Millis
	// waiter is the request's id in the wait queue.
	waiter uint64
	// pace is the pace of the selected runner, as its gateway knew it.
	pace float64
}

// task is a request or a batch item at a runner; request is nil for an item.
type task struct {
	request *request
	key     dispatch.Key
	started clock.Millis
	ends    clock.Millis
	// orphaned reports that the daemon that sent the item has failed.
	orphaned bool
}

// runnerState is a simulated engine, which runs tasks in the order of arrival.
type runnerState struct {
	running []*task
	queue   []*task
}

// gateway is a simulated gateway with its own view of the load.
type gateway struct {
	table     *occupancy.Table
	placer    *placement.Machine
	waitQueue []*request
	// overloads tracks the overload periods seen by this gateway.
	overloads admission.OverloadTracker
	fleetQueue
	// changed reports that the gateway's own counts differ from its last digest.
	changed bool
	teams   teamShares
}

// addLoad adds a change to the gateway's own load; it is negative when work ends.
func (g *gateway) addLoad(runner string, change occupancy.Load) {
	g.table.Add(runner, change)
	g.changed = true
}

// digest is a load digest that is delivered to the other daemons at a given time.
type digest struct {
	at      clock.Millis
	from    int
	message *toucanhingev1.LoadDigest
}

type simulation struct {
	config  Config
	random  *rand.Rand
	now     clock.Millis
	runners []*toucanhingev1.Runner
	// indexes holds the indexes of the runners by id.
	indexes  map[string]int
	states   map[string]*runnerState
	gateways []*gateway
	// core is the daemon that dispatches the items; its index follows those of the gateways.
	core      *gateway
	coreName  string
	coreLost  bool
	dispatch  *dispatch.Machine
	remaining map[dispatch.Key]clock.Millis
	deadlines map[dispatch.Key]clock.Millis
	digests   []digest
	sequence  uint64
	// demands holds the reports of the gateways that weren't received yet.
	demands []demandReport
	// weights are nil without shares.
	weights *fairshare.Weights
	reports []sentReport
	// retries holds the requests that callers will retry, sorted by time.
	retries []*request
	result  Result
	speeds  speedState
}

// Run simulates a load until all work is done, at most drainTime after the last arrival.
func Run(config Config) Result {
	s := newSimulation(config)
	s.result.TeamItems, s.result.TeamAttempts, s.result.Moves = map[string]int{}, map[string]Attempts{}, map[dispatch.Key]int{}
	s.result.Gateways = make([]GatewayResult, config.Gateways)
	last := clock.Millis(0)
	if n := len(config.Arrivals); n > 0 {
		last = config.Arrivals[n-1]
	}
	arrivals, items := config.Arrivals, config.Items
	for s.now = 0; s.now < last+drainTime && (len(arrivals) > 0 || len(items) > 0 || s.busy()); s.now++ {
		s.deliverDigests()
		if s.weights != nil {
			s.deliverDemands()
		}
		s.applyLoss()
		s.changeSlowRunners()
		s.finishTasks()
		for len(arrivals) > 0 && arrivals[0] <= s.now {
			team := config.team(len(config.Arrivals) - len(arrivals))
			s.routeNewRequest(&request{firstArrived: s.now, arrived: s.now, deadline: s.now + config.Timeout, team: team})
			arrivals = arrivals[1:]
		}
		for len(items) > 0 && items[0].At <= s.now {
			s.addItem(uint32(len(config.Items)-len(items)), items[0])
			items = items[1:]
		}
		s.routeRetries()
		if s.now%queueCheckInterval == 0 {
			s.processWaitQueues()
		}
		if !s.coreLost {
			s.stepDispatch()
		}
		s.startQueued()
		if s.now%publishInterval == 0 {
			s.publishDigests()
		}
		if s.weights != nil && s.now%demandInterval == 0 {
			s.publishDemands()
		}
		if s.config.FleetQueue {
			s.exchangeReports()
		}
	}
	slices.Sort(s.result.Waits)
	return s.result
}

// busy reports whether any request or item is waiting or running.
func (s *simulation) busy() bool {
	waiting, running := s.dispatch.Counts()
	if len(s.retries) > 0 || waiting+running > 0 {
		return true
	}
	for _, g := range s.gateways {
		if len(g.waitQueue) > 0 {
			return true
		}
	}
	for _, state := range s.states {
		if len(state.running)+len(state.queue) > 0 {
			return true
		}
	}
	return false
}

func newSimulation(config Config) *simulation {
	s := &simulation{
		config: config, random: rand.New(rand.NewPCG(config.Seed, 2)), states: map[string]*runnerState{}, indexes: map[string]int{},
		dispatch: dispatch.New(), remaining: map[dispatch.Key]clock.Millis{}, deadlines: map[dispatch.Key]clock.Millis{},
	}
	if config.Weights != nil {
		s.weights = newWeights(config.Weights)
	}
	for i := range config.Runners {
		id := fmt.Sprintf("r%d", i)
		s.runners = append(s.runners, &toucanhingev1.Runner{Id: id, Service: service, Slots: uint32(config.Slots)})
		s.states[id], s.indexes[id] = &runnerState{}, i
	}
	for range config.Gateways {
		g := &gateway{table: occupancy.New(), placer: placement.New(placement.Config{})}
		g.teams = teamShares{tracker: fairshare.NewTracker(), reports: map[int]demandReport{}}
		g.placer.SetRunners(s.runners)
		for range 100 {
			g.placer.RecordHold(service, config.Hold)
		}
		s.gateways = append(s.gateways, g)
	}
	s.core, s.coreName = &gateway{table: occupancy.New()}, "core"
	s.initSpeeds()
	return s
}

func (s *simulation) daemons() []*gateway { return append(slices.Clone(s.gateways), s.core) }

// publishDigests sends the counts of each daemon to the others if they changed or the digest
// interval has passed.
func (s *simulation) publishDigests() {
	for i, g := range s.daemons() {
		if !g.changed && s.now%(occupancy.DigestInterval/publishInterval*publishInterval) != 0 || g == s.core && s.coreLost {
			continue
		}
		g.changed = false
		s.sequence++
		s.digests = append(s.digests, digest{s.now + s.config.DigestDelay, i, &toucanhingev1.LoadDigest{
			Source: s.source(i), Epoch: 1, Sequence: s.sequence, Loads: g.table.Loads(s.now),
		}})
	}
}

func (s *simulation) deliverDigests() {
	for _, g := range s.daemons() {
		g.table.Expire(s.now)
	}
	for len(s.digests) > 0 && s.digests[0].at <= s.now {
		d := s.digests[0]
		s.digests = s.digests[1:]
		for i, g := range s.daemons() {
			if i != d.from {
				g.table.ApplyDigest(s.now, d.message)
			}
		}
	}
}

// finishTasks ends the tasks whose running time is over.
func (s *simulation) finishTasks() {
	for _, r := range s.runners {
		state := s.states[r.GetId()]
		state.running = slices.DeleteFunc(state.running, func(t *task) bool {
			if t.ends > s.now {
				return false
			}
			s.finishTask(r.GetId(), t)
			return true
		})
	}
}

func (s *simulation) finishTask(runner string, t *task) {
	if t.request != nil {
		s.gateways[t.request.gateway].addLoad(runner, occupancy.Load{Online: -1})
		s.addRunning(t.request, -1)
		s.recordTimes(runner, t)
		return
	}
	if t.orphaned {
		return
	}
	s.core.addLoad(runner, occupancy.Load{Batch: -1})
	delete(s.remaining, t.key)
	s.dispatch.Finished(s.now, t.key)
	if s.now <= s.deadlines[t.key] {
		s.result.ItemsInTime++
		s.result.TeamItems[s.config.Items[t.key.Index].Team]++
	} else {
		s.result.ItemsLate++
	}
}

// startQueued starts queued tasks on runners with free slots.
func (s *simulation) startQueued() {
	for _, r := range s.runners {
		state := s.states[r.GetId()]
		for len(state.queue) > 0 && len(state.running) < s.config.Slots {
			t := state.queue[0]
			state.queue = state.queue[1:]
			s.startTask(r.GetId(), t)
		}
	}
}

func (s *simulation) startTask(runner string, t *task) {
	state := s.states[runner]
	t.started = s.now
	if t.request == nil {
		t.ends = s.now + s.timeAt(runner, s.remaining[t.key])
		s.observePace(runner, s.gateways[s.anyGateway()])
		state.running = append(state.running, t)
		return
	}
	t.ends = s.now + s.timeAt(runner, s.config.Hold)
	state.running = append(state.running, t)
	s.observeRunnerLoad(runner, s.gateways[t.request.gateway])
	s.observePace(runner, s.gateways[t.request.gateway])
	wait := s.now - t.request.arrived + s.firstEvent(runner)
	s.result.Waits = append(s.result.Waits, s.now-t.request.firstArrived)
	if wait > s.config.Objective {
		s.result.Late++
		s.count(t.request, Attempts{Late: 1})
		s.result.Worth += lateAnswerWorth
		return
	}
	s.result.InTime++
	switch {
	case t.request.hitOutage:
		s.result.Worth += lateAnswerWorth
	case t.request.retried:
		s.result.InTimeOnRetry++
		s.result.Worth += (1 + lateAnswerWorth) / 2
	default:
		s.result.Worth++
	}
}
