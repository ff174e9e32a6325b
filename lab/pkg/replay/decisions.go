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
	"toucanhinge.example/gateway/pkg/fairshare"
	"toucanhinge.example/gateway/pkg/placement"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// jobItems is the number of items in a job of the users' deployments.
	jobItems = 10
	// lengthSpread is the sigma of the log-normal distribution of item lengths in these deployments.
	lengthSpread = 0.4
)

// routeNewRequest routes a new request to a gateway, or schedules its retry during an outage.
func (s *simulation) routeNewRequest(r *request) {
	outage := s.config.Outage
	if r.arrived < outage.From || r.arrived >= outage.Until {
		s.routeRequest(r)
		return
	}
	r.arrived += outage.RetryDelay
	r.retried, r.hitOutage, r.retryCount = true, true, 1
	if r.arrived < outage.Until {
		s.result.Refused++
		return
	}
	s.retries = append(s.retries, r)
	slices.SortFunc(s.retries, func(a, b *request) int { return cmp.Compare(a.arrived, b.arrived) })
}

// routeRequest sends a request to a random gateway, as the platform's load balancer does.
func (s *simulation) routeRequest(r *request) {
	r.gateway = s.drawGateway()
	s.attempts(r).Received++
	s.count(r, Attempts{Total: 1})
	choice, req := s.selectRunner(r)
	if !s.config.Admit {
		s.send(r, choice.Runner)
		return
	}
	switch admission.Decide(s.now, req) {
	case admission.Admit:
		s.send(r, choice.Runner)
	case admission.Wait:
		s.enqueue(r)
	default:
		s.refuse(r, req)
	}
}

// maxRetries returns how often a caller retries a refused request.
func (s *simulation) maxRetries() int {
	if s.config.MaxRetries == 0 {
		return 1
	}
	return max(s.config.MaxRetries, 0)
}

// refuse refuses a request and schedules a retry if the caller has one left.
func (s *simulation) refuse(r *request, req admission.Request) {
	overloads := &s.gateways[r.gateway].overloads
	overloads.RecordRefusal(s.now)
	s.attempts(r).Refused++
	s.count(r, Attempts{Refused: 1})
	s.gateways[r.gateway].teams.tracker.RecordRefusal(s.now, fairshare.TeamID(r.team), s.config.Hold)
	if r.retryCount >= s.maxRetries() {
		s.result.Refused++
		return
	}
	at := s.now + s.retryAfter(r, req)
	s.retries = append(s.retries, &request{firstArrived: r.firstArrived, arrived: at, deadline: r.deadline, retried: true, retryCount: r.retryCount + 1, team: r.team})
	slices.SortFunc(s.retries, func(a, b *request) int { return cmp.Compare(a.arrived, b.arrived) })
}

func (s *simulation) routeRetries() {
	for len(s.retries) > 0 && s.retries[0].arrived <= s.now {
		r := s.retries[0]
		s.retries = s.retries[1:]
		s.routeRequest(r)
	}
}

func (s *simulation) selectRunner(r *request) (placement.Choice, admission.Request) {
	g := s.gateways[r.gateway]
	choice, _ := g.placer.Select(s.now, placement.Request{
		Service: service, TieBreak: s.random.Float64(), Draw: s.random.Float64(), Age: s.config.DigestDelay + publishInterval,
		Objective: s.config.Objective, Gap: s.config.Speeds.Gap, Gateways: s.knownGateways(g),
	}, s.loadView(g))
	r.pace = choice.Pace
	if s.weights != nil {
		s.checkShare(r, &choice)
	}
	return choice, s.admissionRequest(r, choice)
}

// admissionRequest returns the input for the admission of a request at a runner.
func (s *simulation) admissionRequest(r *request, choice placement.Choice) admission.Request {
	return admission.Request{
		Arrived: r.arrived, Deadline: r.deadline, Objective: s.config.Objective, Retry: r.retried,
		ExpectedWait: choice.Wait, QueuePosition: choice.QueuePosition, Slots: s.config.Slots, Hold: s.holdAt(choice), QueueFull: s.queueFull(r), OverShare: r.overShare, NoQueue: r.noQueue,
	}
}

// loadView returns the load per runner as the placement policy sees it.
func (s *simulation) loadView(g *gateway) func(string) placement.Load {
	switch s.config.Placement {
	case OwnCounts:
		return func(id string) placement.Load {
			l := g.table.Own(id)
			return placement.Load{Online: l.Online, Own: l.Online}
		}
	case Random:
		drawn := map[string]placement.Load{}
		for _, r := range s.runners {
			drawn[r.GetId()] = placement.Load{Online: s.random.IntN(1000)}
		}
		return func(id string) placement.Load { return drawn[id] }
	default:
		return func(id string) placement.Load {
			l := g.table.Load(id)
			return placement.Load{
				Online: l.Online, Own: g.table.Own(id).Online, Batch: l.Batch, Foreign: g.table.Foreign(s.now, id),
				Pace: g.table.Paces().Usual(id), Present: g.table.Paces().Present(s.now, id),
			}
		}
	}
}

func (s *simulation) send(r *request, to *toucanhingev1.Runner) {
	s.gateways[r.gateway].addLoad(to.GetId(), occupancy.Load{Online: 1})
	s.addRunning(r, 1)
	state := s.states[to.GetId()]
	state.queue = append(state.queue, &task{request: r})
}

// processWaitQueues admits or refuses queued requests, in the order of their deadlines.
func (s *simulation) processWaitQueues() {
	for _, g := range s.gateways {
		if s.config.FleetQueue {
			s.processFleetQueue(g)
			continue
		}
		if len(g.waitQueue) == 0 {
			continue
		}
		slices.SortStableFunc(g.waitQueue, compareWaiters)
		// Of the requests of teams over their share, only the first of the queue may be admitted.
		first := g.waitQueue[0]
		g.waitQueue = slices.DeleteFunc(g.waitQueue, func(r *request) (left bool) {
			defer func() {
				if left {
					g.teams.tracker.AddWaiting(fairshare.TeamID(r.team), -1)
				}
			}()
			choice, req := s.selectRunner(r)
			req.QueueFull = false
			switch admission.Decide(s.now, req) {
			case admission.Admit:
				if r.overShare && (r != first || s.slotsScarce(r)) {
					return false
				}
				s.send(r, choice.Runner)
				return true
			case admission.Wait:
				return false
			default:
				s.refuse(r, req)
				return true
			}
		})
	}
}

// compareWaiters orders the requests of teams over their share after all others, and by deadline.
func compareWaiters(a, b *request) int {
	if a.overShare != b.overShare {
		if a.overShare {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.deadline, b.deadline)
}

func (s *simulation) addItem(index uint32, i Item) {
	key := dispatch.Key{Job: "j", Index: index}
	s.remaining[key], s.deadlines[key] = cmp.Or(i.Run, s.config.Run), i.Deadline
	if !s.coreLost {
		s.queueItem(key, i)
	}
}

func (s *simulation) queueItem(key dispatch.Key, i Item) {
	deadline := i.Deadline
	if s.config.FIFO {
		deadline = i.At + 1_000_000
	}
	if s.config.HideTeams {
		i.Team = ""
	}
	s.dispatch.Add(dispatch.Item{Key: key, Deadline: deadline, Expires: i.At + 10_000_000, Tokens: int64(i.Run), Team: i.Team, Priority: i.Priority})
}

// stepDispatch starts and pauses batch items as the dispatcher decides.
func (s *simulation) stepDispatch() {
	actions := s.dispatch.Step(s.now, dispatch.Environment{
		Runners: s.runners,
		Load: func(id string) dispatch.Load {
			total := s.core.table.Load(id)
			if !s.config.Yield {
				// Online load counts when items start, but not afterwards.
				return dispatch.Load{Online: min(total.Online, s.config.Slots-s.core.table.Own(id).Batch)}
			}
			return dispatch.Load{Online: total.Online, Foreign: s.core.table.Foreign(s.now, id)}
		},
		Services: func(string) []string { return []string{service} },
		Near:     func(*toucanhingev1.Runner) bool { return true },
		Pace:     s.knownPace(),
		Weight:   s.config.Weight,
	})
	for _, key := range actions.Pause {
		s.pause(key)
	}
	for _, start := range actions.Start {
		s.startItem(start)
	}
	for _, move := range actions.Move {
		s.moveItem(move)
	}
}

func (s *simulation) startItem(start dispatch.Start) {
	s.core.addLoad(start.Runner.GetId(), occupancy.Load{Batch: 1})
	state := s.states[start.Runner.GetId()]
	state.queue = append(state.queue, &task{key: start.Key})
}

func (s *simulation) pause(key dispatch.Key) {
	s.result.Pauses++
	for _, r := range s.runners {
		state := s.states[r.GetId()]
		drop := func(t *task) bool {
			if t.request != nil || t.orphaned || t.key != key {
				return false
			}
			if t.ends > 0 {
				s.remaining[key] = s.workLeft(r.GetId(), t) + s.config.Resume
			}
			s.core.addLoad(r.GetId(), occupancy.Load{Batch: -1})
			return true
		}
		state.running = slices.DeleteFunc(state.running, drop)
		state.queue = slices.DeleteFunc(state.queue, drop)
	}
}

// MixedItems draws items like SteadyItems, but in jobs of ten and with differing running times,
// between a third and twice the given one, like the lengths in the users' deployments.
func MixedItems(seed uint64, until clock.Millis, rate float64, run, timeLimit clock.Millis) []Item {
	random := rand.New(rand.NewPCG(seed, 3))
	var items []Item
	for _, at := range Arrivals(seed, until, Step{0, rate / jobItems}) {
		for range jobItems {
			length := clock.Millis(float64(run) * min(max(math.Exp(lengthSpread*random.NormFloat64()), 0.33), 2))
			items = append(items, Item{At: at, Deadline: at + timeLimit, Run: length})
		}
	}
	return items
}

// SteadyItems draws items at a constant rate, each with a deadline timeLimit after its arrival.
func SteadyItems(seed uint64, until clock.Millis, rate float64, timeLimit clock.Millis) []Item {
	var items []Item
	for _, at := range Arrivals(seed, until, Step{0, rate}) {
		items = append(items, Item{At: at, Deadline: at + timeLimit})
	}
	return items
}
