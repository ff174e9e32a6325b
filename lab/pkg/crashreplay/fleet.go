// Package crashreplay replays, in simulated time, fleets whose runners crash: on some requests, on a part of some
// prompts, or for other reasons. The gateways decide with the product's machines.
package crashreplay

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/crashes"
	"toucanhinge.example/common/pkg/prompt"
)

// Config describes a fleet and its load.
type Config struct {
	Seed              uint64
	Gateways, Runners int
	// RequestsPerSecond is the number of harmless requests per second, CrashingRequests the number of requests that
	// crash their runners each time.
	RequestsPerSecond, CrashingRequests int
	// CrashAfter are the times from the first event of an answer until the runner crashes, one of which is drawn each time.
	// If there are none, it crashes before.
	CrashAfter []clock.Millis
	// CrashInterval is the mean time between waves of unrelated crashes, 0 for none. Wave is the number of runners
	// that crash in a wave, WaveGap the time between two of them.
	CrashInterval, WaveGap clock.Millis
	Wave                   int
	Duration               clock.Millis
	// Retries is the number of times that a caller retries, RetryDelay the time after which a caller retries a request that
	// crashes runners, 0 for retryDelay.
	Retries    int
	RetryDelay clock.Millis
	// HarmlessFrom is when the harmless requests begin to arrive.
	HarmlessFrom clock.Millis
	// RestartInterval is the mean time between two restarts of a gateway, 0 for none.
	RestartInterval clock.Millis
	// Loss is the share of lost datagrams. Gossip is set if the gateways repeat what they know, as they do in long replays.
	Loss   float64
	Gossip bool
	// Parts are the parts of the requests' prompts; none if it is the zero value.
	Parts Parts
}

// Parts describes the prompts of the requests: each lists its caller's part, a topic and a part of its own.
type Parts struct {
	// Topics is the number of topics, which the harmless requests share.
	Topics int
	// Sessions is the share of the harmless requests with a topic of their own session instead, which SessionLength
	// requests share, PauseLength apart.
	Sessions float64
	// Crashing is the number of parts that crash runners. Requests with them arrive from CrashingFrom for CrashingSpan,
	// CrashingPerSecond with each part, no two alike. Half of them have a topic of the harmless ones as well.
	Crashing                   int
	CrashingPerSecond          float64
	CrashingFrom, CrashingSpan clock.Millis
	// Paired is set if each crashing part is accompanied by a second one that no other request has.
	Paired bool
	// Items is the number of accepted batch items with each crashing part, which are sent until they are answered.
	Items int
}

// Fleet is a fleet in simulated time with its results.
type Fleet struct {
	config   Config
	random   *rand.Rand
	now      clock.Millis
	start    clock.Millis
	events   eventQueue
	gateways []*gateway
	runners  []*simRunner
	Results
}

// Results are the counts of a replay.
type Results struct {
	// Crashed counts the runs of each request that ended with a runner crash, Runs all its runs, and LateRuns the runs
	// that started more than three seconds after its third crash.
	Crashed, Runs, LateRuns map[crashes.Fingerprint]int
	Harmless                map[crashes.Fingerprint]bool
	Served, Refused         int
	// Quarantined are the harmless requests that were refused as crashing ones.
	Quarantined map[crashes.Fingerprint]bool
	// PartCrashes are the times of the crashes by each crashing part, PartSent the times at which requests with it
	// reached runners.
	PartCrashes, PartSent map[prompt.PartID][]clock.Millis
	// QuarantinedParts are the parts that were quarantined although they crash no runner.
	QuarantinedParts map[prompt.PartID]bool
	// Attempts are the first attempts of the harmless requests.
	Attempts []Attempt

	thirdAt map[crashes.Fingerprint]clock.Millis
}

// Attempt is the first attempt of a harmless request.
type Attempt struct {
	At clock.Millis
	// Began is set if its answer began.
	Began bool
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

// startTime is the simulated time at which a replay begins, late enough that no age is negative.
const startTime clock.Millis = 1_000_000

// Run replays a fleet.
func Run(c Config) *Fleet {
	f := &Fleet{
		config: c, random: rand.New(rand.NewPCG(c.Seed, 1)), now: startTime, start: startTime,
		Results: Results{
			Crashed: map[crashes.Fingerprint]int{}, Runs: map[crashes.Fingerprint]int{}, LateRuns: map[crashes.Fingerprint]int{},
			Harmless: map[crashes.Fingerprint]bool{}, Quarantined: map[crashes.Fingerprint]bool{},
			PartCrashes: map[prompt.PartID][]clock.Millis{}, PartSent: map[prompt.PartID][]clock.Millis{}, QuarantinedParts: map[prompt.PartID]bool{},
			thirdAt: map[crashes.Fingerprint]clock.Millis{},
		},
	}
	for n := range c.Gateways {
		f.gateways = append(f.gateways, newGateway(f, n, c.Runners))
	}
	for n := range c.Runners {
		f.runners = append(f.runners, &simRunner{index: n, up: true, startedAt: int64(f.now)})
	}
	f.schedule()
	end := f.now + c.Duration
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(event)
		if e.at > end {
			break
		}
		f.now = e.at
		e.run()
	}
	return f
}

func (f *Fleet) after(delay clock.Millis, do func()) {
	heap.Push(&f.events, event{f.now + delay, len(f.events) + int(f.random.Int32N(1<<20)), do})
}

// draw returns a time below a limit.
func (f *Fleet) draw(limit clock.Millis) clock.Millis {
	return clock.Millis(f.random.Int64N(int64(limit)))
}

// schedule draws the arrivals of the requests and the unrelated crashes.
func (f *Fleet) schedule() {
	c := f.config
	for n := range c.CrashingRequests {
		q := &request{fingerprint: CrashingRequest(n), crashing: true}
		f.after(1_000+f.draw(2_000), func() { f.arrive(q) })
	}
	for n := range int(c.Duration-c.HarmlessFrom) * c.RequestsPerSecond / 1_000 {
		q := &request{fingerprint: fingerprint(n), remaining: runTime/2 + f.draw(runTime)}
		at := c.HarmlessFrom + f.draw(c.Duration-c.HarmlessFrom)
		if c.Parts.Topics > 0 {
			q.parts, at = f.prompt(n, at)
		}
		f.Harmless[q.fingerprint] = true
		f.after(at, func() { f.arrive(q) })
	}
	f.schedulePartCrashes()
	if c.CrashInterval > 0 {
		f.after(f.interval(c.CrashInterval), f.unrelatedCrashes)
	}
	if c.RestartInterval > 0 {
		f.after(f.interval(c.RestartInterval), f.restartGateways)
	}
	if c.Gossip {
		f.after(gossipInterval, f.gossip)
	}
}

// CrashingRequest returns the fingerprint of the nth request that crashes its runners.
func CrashingRequest(n int) crashes.Fingerprint { return fingerprint(1<<32 + n) }

func fingerprint(n int) crashes.Fingerprint {
	return crashes.FingerprintOf("POST", "team", fmt.Sprint(n), nil)
}

func (f *Fleet) interval(mean clock.Millis) clock.Millis {
	return clock.Millis(float64(mean) * f.random.ExpFloat64())
}

func (f *Fleet) unrelatedCrashes() {
	for n, at := range f.random.Perm(len(f.runners))[:f.config.Wave] {
		f.after(clock.Millis(n)*f.config.WaveGap, func() { f.crash(f.runners[at]) })
	}
	f.after(f.interval(f.config.CrashInterval), f.unrelatedCrashes)
}
