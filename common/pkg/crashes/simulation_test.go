package crashes

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
)

// simulation is a fleet in simulated time. Each gateway has a machine, and messages between them
// are delayed and lost. Runners crash on some requests and for other reasons.
type simulation struct {
	config   simulationConfig
	random   *rand.Rand
	now      clock.Millis
	events   eventQueue
	machines []*Machine
	runners  []*simRunner
	// crashed counts the runs of each request that ended with a runner crash, runs all its runs,
	// and lateRuns the runs that started more than three seconds after its third crash.
	crashed        map[Fingerprint]int
	runs           map[Fingerprint]int
	thirdAt        map[Fingerprint]clock.Millis
	lateRuns       map[Fingerprint]int
	harmless       map[Fingerprint]bool
	served         int
	refused        int
	falsePositives []Fingerprint
}

type simulationConfig struct {
	seed              uint64
	gateways, runners int
	// requestsPerSecond is the number of harmless requests per second, crashingRequests the number
	// of requests that crash their runners.
	requestsPerSecond, crashingRequests int
	// crashInterval is the mean time between waves of unrelated crashes, 0 for none. wave is the
	// number of runners that crash in a wave, waveGap the time between two of them.
	crashInterval, waveGap clock.Millis
	wave                   int
	duration               clock.Millis
	// retries is the number of times that a caller retries.
	retries int
	// loss is the share of lost datagrams.
	loss float64
}

type simRunner struct {
	startedAt int64
	up        bool
	running   []*simRun
	waiting   []*simRun
}

type simRun struct {
	request   *simRequest
	gateway   int
	runner    int
	sent      clock.Millis
	startedAt clock.Millis
	ended     bool
}

type simRequest struct {
	fingerprint Fingerprint
	crashing    bool
	// remaining is the remaining run time, attempts the number of retries by the caller.
	remaining clock.Millis
	attempts  int
	runs      int
}

type event struct {
	at    clock.Millis
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, k int) bool {
	return q[i].at < q[k].at || q[i].at == q[k].at && q[i].order < q[k].order
}
func (q eventQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const (
	simSlots       = 8
	simRunTime     = 900
	simRestartTime = 3_200
	simRetryDelay  = 70
	simMaxRuns     = 2
)

func runSimulation(c simulationConfig) *simulation {
	s := &simulation{
		config: c, random: rand.New(rand.NewPCG(c.seed, 1)), crashed: map[Fingerprint]int{}, runs: map[Fingerprint]int{},
		thirdAt: map[Fingerprint]clock.Millis{}, lateRuns: map[Fingerprint]int{}, harmless: map[Fingerprint]bool{}, now: 1_000_000,
	}
	for range c.gateways {
		m := New()
		m.SetRunnerCount(c.runners)
		s.machines = append(s.machines, m)
	}
	for range c.runners {
		s.runners = append(s.runners, &simRunner{up: true, startedAt: int64(s.now)})
	}
	end := s.now + c.duration
	for n := range c.crashingRequests {
		request := &simRequest{fingerprint: simFingerprint(1<<32 + n), crashing: true}
		s.after(1_000+clock.Millis(s.random.IntN(2_000)), func() { s.arrive(request) })
	}
	for n := range int(c.duration) * c.requestsPerSecond / 1_000 {
		request := &simRequest{fingerprint: simFingerprint(n), remaining: clock.Millis(simRunTime/2 + s.random.IntN(simRunTime))}
		s.harmless[request.fingerprint] = true
		s.after(clock.Millis(s.random.Int64N(int64(c.duration))), func() { s.arrive(request) })
	}
	if c.crashInterval > 0 {
		s.after(s.randomInterval(c.crashInterval), s.unrelatedCrashes)
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at > end {
			break
		}
		s.now = e.at
		e.run()
	}
	return s
}

func simFingerprint(n int) Fingerprint { return FingerprintOf("POST", "team", fmt.Sprint(n), nil) }

func (s *simulation) after(delay clock.Millis, do func()) {
	heap.Push(&s.events, event{s.now + delay, len(s.events) + int(s.random.Int32N(1<<20)), do})
}

func (s *simulation) randomInterval(mean clock.Millis) clock.Millis {
	return clock.Millis(float64(mean) * s.random.ExpFloat64())
}

func (s *simulation) unrelatedCrashes() {
	for n, at := range s.random.Perm(len(s.runners))[:s.config.wave] {
		s.after(clock.Millis(n)*s.config.waveGap, func() { s.crash(at) })
	}
	s.after(s.randomInterval(s.config.crashInterval), s.unrelatedCrashes)
}

// arrive sends an attempt of a caller to a random gateway.
func (s *simulation) arrive(q *simRequest) {
	q.runs = 0
	s.place(q, s.random.IntN(s.config.gateways))
}

// place sends a request to the runner with the lowest load.
func (s *simulation) place(q *simRequest, gateway int) {
	m := s.machines[gateway]
	verdict := m.Evaluate(s.now, q.fingerprint)
	s.broadcastNewQuarantines(gateway)
	switch verdict.Status {
	case Delayed:
		s.after(max(verdict.Until-s.now, 1), func() { s.place(q, gateway) })
		return
	case Quarantined:
		if s.harmless[q.fingerprint] && !slices.Contains(s.falsePositives, q.fingerprint) {
			s.falsePositives = append(s.falsePositives, q.fingerprint)
		}
		s.refused++
		s.retry(q)
		return
	}
	leastLoaded := -1
	for _, candidate := range s.random.Perm(len(s.runners)) {
		r := s.runners[candidate]
		if r.up && (leastLoaded < 0 || r.load() < s.runners[leastLoaded].load()) {
			leastLoaded = candidate
		}
	}
	if leastLoaded < 0 || s.runners[leastLoaded].load() >= 2*simSlots {
		s.retry(q)
		return
	}
	run := &simRun{request: q, gateway: gateway, runner: leastLoaded, sent: s.now}
	q.runs++
	s.runs[q.fingerprint]++
	if thirdAt := s.thirdAt[q.fingerprint]; thirdAt > 0 && s.now > thirdAt+3_000 {
		s.lateRuns[q.fingerprint]++
	}
	r := s.runners[leastLoaded]
	r.waiting = append(r.waiting, run)
	s.startNext(r)
}

func (r *simRunner) load() int { return len(r.running) + len(r.waiting) }

func (s *simulation) startNext(r *simRunner) {
	for len(r.running) < simSlots && len(r.waiting) > 0 {
		run := r.waiting[0]
		r.waiting = r.waiting[1:]
		r.running = append(r.running, run)
		run.startedAt = s.now + clock.Millis(25+s.random.IntN(30))
		if run.request.crashing {
			s.after(run.startedAt-s.now+clock.Millis(30+s.random.IntN(75)), func() {
				if !run.ended {
					s.crash(run.runner)
				}
			})
			continue
		}
		s.after(run.startedAt-s.now+run.request.remaining, func() { s.finish(run) })
	}
}

func (s *simulation) finish(run *simRun) {
	if run.ended {
		return
	}
	run.ended = true
	r := s.runners[run.runner]
	r.running = slices.DeleteFunc(r.running, func(o *simRun) bool { return o == run })
	s.served++
	s.recordSuccess(run)
	s.startNext(r)
}

func (s *simulation) recordSuccess(run *simRun) {
	m := s.machines[run.gateway]
	if m.IsSuspect(run.request.fingerprint) {
		clearance := Clearance{Fingerprint: run.request.fingerprint, At: s.now}
		m.Clear(s.now, clearance)
		s.broadcast(run.gateway, func(m *Machine) { m.Clear(s.now, clearance) })
	}
}

// streamed is the time since the first event of a run, which takes 55 ms, or -1 before it.
func (run *simRun) streamed(now clock.Millis) clock.Millis {
	const firstEvent = 55
	if run.request.crashing || run.startedAt == 0 || now < run.startedAt+firstEvent {
		return -1
	}
	return now - run.startedAt - firstEvent
}

func (s *simulation) crash(index int) {
	r := s.runners[index]
	if !r.up {
		return
	}
	r.up = false
	runs := slices.Concat(r.running, r.waiting)
	r.running, r.waiting = nil, nil
	crash := Crash{Runner: fmt.Sprint(index), StartedAt: r.startedAt}
	for _, run := range runs {
		run.ended = true
		q := run.request
		s.crashed[q.fingerprint]++
		if s.crashed[q.fingerprint] == 3 {
			s.thirdAt[q.fingerprint] = s.now
		}
		s.after(clock.Millis(1+s.random.IntN(4)), func() { s.reportCrash(run, crash) })
	}
	s.after(clock.Millis(simRestartTime), func() { r.up, r.startedAt = true, int64(s.now) })
}

// reportCrash handles a run on its gateway after a crash of the runner.
func (s *simulation) reportCrash(run *simRun, crash Crash) {
	q := run.request
	streamed := run.streamed(s.now)
	report := Report{Crash: crash, Fingerprint: q.fingerprint, Phase: PhaseOf(streamed, s.now-run.sent, true), At: s.now}
	if report.Phase == Late {
		s.recordSuccess(run)
	}
	if report.Phase != Late || !s.machines[run.gateway].KnowsCrash(crash) {
		s.machines[run.gateway].AddReport(s.now, report)
		s.broadcast(run.gateway, func(m *Machine) { m.AddReport(s.now, report) })
		s.broadcastNewQuarantines(run.gateway)
	}
	q.remaining -= max(streamed, 0)
	if q.runs < simMaxRuns {
		s.place(q, run.gateway)
		return
	}
	s.retry(q)
}

func (s *simulation) retry(q *simRequest) {
	if !q.crashing && q.attempts >= s.config.retries {
		return
	}
	q.attempts++
	s.after(simRetryDelay, func() { s.arrive(q) })
}

func (s *simulation) broadcastNewQuarantines(gateway int) {
	for _, quarantine := range s.machines[gateway].PopNewQuarantines() {
		s.broadcast(gateway, func(m *Machine) { m.ApplyQuarantine(s.now, quarantine) })
	}
}

// broadcast delivers a message to each other gateway after 4 to 24 ms, and 40 ms later for each
// time that it is lost.
func (s *simulation) broadcast(from int, apply func(*Machine)) {
	for gateway, m := range s.machines {
		if gateway == from {
			continue
		}
		delay := clock.Millis(4 + s.random.IntN(20))
		for attempt := 0; s.random.Float64() < s.config.loss; attempt++ {
			if attempt == 2 {
				delay = -1
				break
			}
			delay += 40
		}
		if delay > 0 {
			s.after(delay, func() { apply(m); m.PopNewQuarantines() })
		}
	}
}

// Some requests crash every runner that starts them, and callers retry them at any gateway 70 ms
// after each error. For any fleet size, such a request must reach a runner at most three more times
// once three seconds have passed since its third crash. Harmless requests that share these runners
// and are retried must not be quarantined.
func TestOnlyRequestsThatCrashRunnersAreQuarantined(t *testing.T) {
	for _, c := range []simulationConfig{
		{gateways: 3, runners: 12, requestsPerSecond: 60, crashingRequests: 1},
		{gateways: 8, runners: 12, requestsPerSecond: 60, crashingRequests: 2},
		{gateways: 8, runners: 12, requestsPerSecond: 100, crashingRequests: 4},
		{gateways: 8, runners: 12, requestsPerSecond: 100, crashingRequests: 6},
		{gateways: 27, runners: 54, requestsPerSecond: 280, crashingRequests: 3, loss: .05},
		{gateways: 89, runners: 144, requestsPerSecond: 700, crashingRequests: 4, loss: .02},
		{gateways: 8, runners: 12, requestsPerSecond: 60, crashingRequests: 2, retries: 4, crashInterval: 2_000, wave: 4, waveGap: 150},
	} {
		seeds := uint64(40)
		if c.gateways > 20 {
			seeds = 4
		}
		c.duration = 12_000
		c.retries = max(c.retries, 1)
		runCounts := map[int]int{}
		for seed := range seeds {
			c.seed = seed
			s := runSimulation(c)
			name := fmt.Sprintf("%+v", c)
			require.Empty(t, s.falsePositives, name)
			for n := range c.crashingRequests {
				fingerprint := simFingerprint(1<<32 + n)
				require.LessOrEqual(t, s.lateRuns[fingerprint], 3, name)
				runCounts[s.runs[fingerprint]]++
			}
			require.Positive(t, s.refused, name)
		}
		t.Logf("%d gateways, %d runners, %d crashing requests: runs per request %v", c.gateways, c.runners, c.crashingRequests, runCounts)
	}
}

// Runners crash in waves for reasons unrelated to the requests, and callers retry interrupted
// requests up to four times. No request must be quarantined, however many crashes it meets. Where
// each runner crashes about every four seconds, fewer than one request in 50,000 may be.
func TestUnrelatedCrashesQuarantineNoRequest(t *testing.T) {
	for _, c := range []struct {
		simulationConfig
		maxQuarantined int
	}{
		{simulationConfig{gateways: 3, runners: 12, crashInterval: 3_000, wave: 2}, 0},
		{simulationConfig{gateways: 8, runners: 12, crashInterval: 2_000, wave: 3, waveGap: 100}, 0},
		{simulationConfig{gateways: 8, runners: 12, crashInterval: 3_000, wave: 12, waveGap: 120}, 0},
		{simulationConfig{gateways: 8, runners: 12, crashInterval: 1_500, wave: 8, waveGap: 60}, 0},
		{simulationConfig{gateways: 8, runners: 4, crashInterval: 500, wave: 2, waveGap: 50}, 0},
		{simulationConfig{gateways: 8, runners: 12, crashInterval: 800, wave: 3, waveGap: 100}, 2},
	} {
		c.duration, c.requestsPerSecond, c.retries = 20_000, 60, 4
		withThreeCrashes, quarantined, requests := 0, 0, 0
		for seed := range uint64(100) {
			c.seed = seed
			s := runSimulation(c.simulationConfig)
			quarantined += len(s.falsePositives)
			requests += len(s.harmless)
			for _, n := range s.crashed {
				if n >= 3 {
					withThreeCrashes++
				}
			}
		}
		require.LessOrEqual(t, quarantined, c.maxQuarantined, "%+v", c)
		t.Logf("%+v: %d of %d requests met three crashes or more, %d quarantined", c.simulationConfig, withThreeCrashes, requests, quarantined)
	}
}
