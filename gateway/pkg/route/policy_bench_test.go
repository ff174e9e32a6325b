package route

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"toucanhinge.example/common/pkg/clock"
)

// Parameters of the simulation. They are round numbers close to the stand-in engine's; only
// ratios between policies in one run are meaningful.
const (
	benchSlots       = 8
	benchServiceTime = 400 // mean time of a request in its slot, in milliseconds
	benchColdPenalty = 150 // milliseconds added when the prompt's prefix is not cached
	benchPrefixes    = 200
	benchCacheSize   = 24 // prefixes that an endpoint caches
	benchGateways    = 4
	benchRequests    = 20_000
	benchUtilization = 0.8
)

type benchCase struct {
	endpoints    int
	pollInterval clock.Millis
	// slow makes the first endpoint four times slower; reportsIdle also makes it report itself as idle.
	slow, reportsIdle bool
}

// benchEndpoint simulates an engine with slots, a queue and a small prefix cache.
type benchEndpoint struct {
	running     int
	queue       []*benchRequest
	cache       []uint64
	slowdown    float64
	reportsIdle bool
}

type benchRequest struct {
	gateway      int
	endpoint     string
	prefix       uint64
	arrivedAt    clock.Millis
	firstChunkAt clock.Millis
	work         float64
}

type benchEvent struct {
	at      clock.Millis
	order   int
	request *benchRequest
	done    bool
}

type benchQueue []benchEvent

func (q benchQueue) Len() int { return len(q) }
func (q benchQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].order < q[j].order)
}
func (q benchQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *benchQueue) Push(x any)   { *q = append(*q, x.(benchEvent)) }
func (q *benchQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type benchSimulation struct {
	random          *rand.Rand
	events          benchQueue
	routers         []*Router
	endpoints       map[string]*benchEndpoint
	order           int
	firstChunkTimes []clock.Millis
	cacheHits       int
}

func (s *benchSimulation) push(e benchEvent) {
	s.order++
	e.order = s.order
	heap.Push(&s.events, e)
}

func (e *benchEndpoint) load() Load {
	if e.reportsIdle {
		return Load{Slots: benchSlots, Healthy: true}
	}
	return Load{Slots: benchSlots, Healthy: true, Running: e.running, Queued: len(e.queue)}
}

// startQueued starts queued requests while the endpoint has free slots.
func (s *benchSimulation) startQueued(now clock.Millis, name string) {
	e := s.endpoints[name]
	for e.running < benchSlots && len(e.queue) > 0 {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		coldPenalty := benchColdPenalty * e.slowdown
		if at := slices.Index(e.cache, r.prefix); at >= 0 {
			e.cache = slices.Delete(e.cache, at, at+1)
			coldPenalty = 0
			s.cacheHits++
		}
		e.cache = append(e.cache, r.prefix)
		if len(e.cache) > benchCacheSize {
			e.cache = e.cache[1:]
		}
		r.firstChunkAt = now + clock.Millis(coldPenalty+30*e.slowdown)
		s.push(benchEvent{at: now + clock.Millis(coldPenalty+r.work*e.slowdown) + 1, request: r, done: true})
	}
}

func (s *benchSimulation) arrive(now clock.Millis, r *benchRequest) {
	router := s.routers[r.gateway]
	for _, name := range router.DuePolls(now) {
		load := s.endpoints[name].load()
		router.RecordPoll(now, name, &load)
	}
	choice := router.Choose(now, Request{Service: service, Budget: 1 << 40, Idempotent: true, Prefix: r.prefix})
	r.endpoint = choice.Endpoint
	router.RecordSent(r.endpoint)
	s.endpoints[r.endpoint].queue = append(s.endpoints[r.endpoint].queue, r)
	s.startQueued(now, r.endpoint)
}

func (s *benchSimulation) end(now clock.Millis, r *benchRequest) {
	e := s.endpoints[r.endpoint]
	e.running--
	s.firstChunkTimes = append(s.firstChunkTimes, r.firstChunkAt-r.arrivedAt)
	s.routers[r.gateway].RecordEnd(now, r.endpoint, OutcomeComplete, r.firstChunkAt-r.arrivedAt, 0)
	s.routers[r.gateway].RecordLoad(now, r.endpoint, e.load())
	s.startQueued(now, r.endpoint)
}

func runPolicy(policy Policy, c benchCase, seed uint64) *benchSimulation {
	s := &benchSimulation{random: rand.New(rand.NewPCG(seed, 1)), endpoints: map[string]*benchEndpoint{}}
	list := newEndpoints(c.endpoints)
	for i, e := range list {
		s.endpoints[e.Name] = &benchEndpoint{slowdown: 1, reportsIdle: c.reportsIdle && i == 0}
		if (c.slow || c.reportsIdle) && i == 0 {
			s.endpoints[e.Name].slowdown = 4
		}
	}
	for g := range benchGateways {
		r := newRouter(policy)
		r.config.Random = rand.New(rand.NewPCG(seed, uint64(g+2)))
		r.config.PollInterval = c.pollInterval
		r.SetEndpoints(service, list)
		s.routers = append(s.routers, r)
	}
	gap := float64(benchServiceTime+benchColdPenalty/2) / (benchUtilization * float64(c.endpoints*benchSlots))
	at := 1_000.0
	for range benchRequests {
		at += s.random.ExpFloat64() * gap
		prefix := uint64(min(s.random.ExpFloat64()/4, 1)*benchPrefixes) + 1
		s.push(benchEvent{at: clock.Millis(at), request: &benchRequest{
			gateway: s.random.IntN(benchGateways), prefix: prefix * 7_919, arrivedAt: clock.Millis(at), work: s.random.ExpFloat64() * benchServiceTime,
		}})
	}
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(benchEvent)
		if e.done {
			s.end(e.at, e.request)
		} else {
			s.arrive(e.at, e.request)
		}
	}
	slices.Sort(s.firstChunkTimes)
	return s
}

// BenchmarkPolicies compares the default policy with the baselines in a simulation in virtual time.
func BenchmarkPolicies(b *testing.B) {
	cases := []benchCase{
		{4, 500, false, false},
		{12, 500, false, false},
		{20, 500, false, false},
		{12, 50, false, false},
		{12, 5_000, false, false},
		{12, 500, true, false},
		{12, 500, true, true},
	}
	for _, c := range cases {
		for _, policy := range []Policy{PolicyRandom, PolicyLeastLoaded, PolicyTwoChoices, PolicyAffinity, PolicyDefault} {
			b.Run(fmt.Sprintf("n=%d/report=%d/slow=%v/lies=%v/%s", c.endpoints, c.pollInterval, c.slow, c.reportsIdle, policy), func(b *testing.B) {
				var p50, p99, warm float64
				for i := range b.N {
					s := runPolicy(policy, c, uint64(i+1))
					p50 += float64(s.firstChunkTimes[len(s.firstChunkTimes)/2])
					p99 += float64(s.firstChunkTimes[len(s.firstChunkTimes)*99/100])
					warm += float64(s.cacheHits) / benchRequests
				}
				b.ReportMetric(p50/float64(b.N), "p50-ms")
				b.ReportMetric(p99/float64(b.N), "p99-ms")
				b.ReportMetric(100*warm/float64(b.N), "warm-%")
			})
		}
	}
}

// BenchmarkChoose measures the cost of one choice in a subset of the usual size.
func BenchmarkChoose(b *testing.B) {
	r := newRouter(PolicyDefault)
	r.SetEndpoints(service, newEndpoints(40))
	request := newRequest()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		request.Prefix = uint64(i + 1)
		r.Choose(1_000, request)
	}
}
