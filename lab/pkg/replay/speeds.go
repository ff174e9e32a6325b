package replay

import (
	"math/rand/v2"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/control/pkg/dispatch"
	"toucanhinge.example/gateway/pkg/placement"
)

// Speeds configures runners that differ in speed. All runners are equally fast if Factors is empty.
type Speeds struct {
	// Factors are the times that work takes at the runners, in turn, relative to the configured ones.
	Factors []float64
	// SlowShare of the runners are slower by SlowFactor, other ones after each SlowInterval.
	SlowShare    float64
	SlowFactor   float64
	SlowInterval clock.Millis
	// Reported lets runners report their pace with each answer. Gateways and the dispatcher of items then
	// decide by what they learn.
	Reported bool
	// Known tells the dispatcher of items the factors. Otherwise it takes all runners for equally fast
	// unless they report.
	Known bool
	// Error is the largest relative error of a known factor. It is drawn anew for each reading.
	Error float64
	// KnownFrom and KnownUntil bound the time in which the factors are known; always if KnownUntil is 0.
	KnownFrom, KnownUntil clock.Millis
	// FirstEvent is the time from the start of a request to its first event, and Event the time of each
	// further one, both at factor 1. Gap is the longest gap that meets the objective.
	FirstEvent clock.Millis
	Event      clock.Millis
	Gap        clock.Millis
}

// of returns the factor of the runner with the given index.
func (s Speeds) of(index int) float64 { return s.Factors[index%len(s.Factors)] }

// mean returns the mean factor of a number of runners.
func (s Speeds) mean(runners int) float64 {
	sum := 0.0
	for i := range runners {
		sum += s.of(i)
	}
	return sum / float64(runners)
}

// capacity returns the work that a number of runners gets done, in runners of factor 1.
func (s Speeds) capacity(runners int) float64 {
	sum := 0.0
	for i := range runners {
		sum += 1 / s.of(i)
	}
	return sum
}

// speedState is the state of a simulation with runners that differ in speed. It has its own random
// numbers, so that the slowdowns don't depend on decisions.
type speedState struct {
	random *rand.Rand
	slow   map[string]bool
}

func (s *simulation) initSpeeds() {
	if len(s.config.Speeds.Factors) == 0 {
		return
	}
	s.speeds = speedState{random: rand.New(rand.NewPCG(s.config.Seed, 4)), slow: map[string]bool{}}
	for _, g := range s.daemons() {
		g.table.SetRunners(s.runners)
	}
}

// speed returns how long work takes at a runner at the moment, relative to the configured times.
func (s *simulation) speed(runner string) float64 {
	c := s.config.Speeds
	switch {
	case len(c.Factors) == 0:
		return 1
	case s.speeds.slow[runner]:
		return c.of(s.indexes[runner]) * c.SlowFactor
	default:
		return c.of(s.indexes[runner])
	}
}

// knownPace returns the function by which the dispatcher reads paces, nil if it doesn't know them.
func (s *simulation) knownPace() func(string) float64 {
	c := s.config.Speeds
	if c.Reported {
		return s.core.table.Paces().Usual
	}
	if !c.Known || c.KnownUntil > 0 && (s.now < c.KnownFrom || s.now >= c.KnownUntil) {
		return nil
	}
	mean := c.mean(len(s.runners))
	return func(runner string) float64 {
		return c.of(s.indexes[runner]) / mean * (1 + c.Error*(2*s.random.Float64()-1))
	}
}

// moveItem resumes a running item on another runner.
func (s *simulation) moveItem(to dispatch.Start) {
	s.pause(to.Key)
	s.result.Pauses--
	s.result.Moves[to.Key]++
	s.startItem(to)
}

// timeAt returns the time that work takes at a runner at its present speed.
func (s *simulation) timeAt(runner string, work clock.Millis) clock.Millis {
	return clock.Millis(float64(work) * s.speed(runner))
}

// workLeft returns the rest of a running task, at speed 1.
func (s *simulation) workLeft(runner string, t *task) clock.Millis {
	return clock.Millis(float64(max(t.ends-s.now, 0)) / s.speed(runner))
}

// changeSlowRunners draws the runners that are slower until the next change.
func (s *simulation) changeSlowRunners() {
	c := s.config.Speeds
	if c.SlowInterval == 0 || s.now%c.SlowInterval != 0 {
		return
	}
	slow := map[string]bool{}
	for _, i := range s.speeds.random.Perm(len(s.runners))[:int(c.SlowShare*float64(len(s.runners)))] {
		slow[s.runners[i].GetId()] = true
	}
	for _, r := range s.runners {
		id := r.GetId()
		if slow[id] == s.speeds.slow[id] {
			continue
		}
		change := c.SlowFactor
		if !slow[id] {
			change = 1 / c.SlowFactor
		}
		for _, t := range s.states[id].running {
			t.ends = s.now + clock.Millis(float64(max(t.ends-s.now, 0))*change)
		}
	}
	s.speeds.slow = slow
}

// anyGateway returns the gateway that proxies a call of an item.
func (s *simulation) anyGateway() int {
	if s.speeds.random == nil {
		return 0
	}
	return s.speeds.random.IntN(len(s.gateways))
}

// observePace applies the pace that a runner reports with its answer to a gateway's table.
func (s *simulation) observePace(runner string, g *gateway) {
	if s.config.Speeds.Reported {
		g.table.ObservePace(s.now, runner, int(100*s.speed(runner)))
		g.changed = true
	}
}

// firstEvent returns the time from the start of a request to its first event.
func (s *simulation) firstEvent(runner string) clock.Millis {
	return s.timeAt(runner, s.config.Speeds.FirstEvent)
}

// holdAt returns the time for which requests hold a slot of the selected runner, as far as its gateway
// knows it.
func (s *simulation) holdAt(choice placement.Choice) clock.Millis {
	if len(s.config.Speeds.Factors) == 0 {
		return s.config.Hold
	}
	return choice.Hold
}

// recordTimes records the times of a finished request at its gateway.
func (s *simulation) recordTimes(runner string, t *task) {
	if len(s.config.Speeds.Factors) == 0 {
		return
	}
	g, took := s.gateways[t.request.gateway], float64(s.now-t.started)
	perEvent := took / float64(s.config.Hold) * float64(s.config.Speeds.Event)
	g.placer.RecordHold(service, clock.Millis(took/t.request.pace))
	g.placer.RecordEvents(service, float64(s.config.Speeds.FirstEvent), perEvent/t.request.pace)
	g.table.Paces().Measure(s.now, runner, perEvent)
}
