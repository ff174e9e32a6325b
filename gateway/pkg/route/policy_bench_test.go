package route

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"toucanhinge.example/common/pkg/clock"
)

// Constants of the bench's world. They are round numbers near the stand-in
// engine's; only ratios between policies in one run mean anything.
const (
	benchSlots    = 8
	benchService  = 400 // mean time of a request in its slot, milliseconds
	benchCold     = 150 // added when the prompt's prefix is not cached
	benchPrefixes = 200
	benchCache    = 24 // prefixes that an endpoint keeps
	benchGateways = 4
	benchRequests = 20_000
	benchUse      = 0.8
)

type benchCase struct {
	endpoints int
	report    clock.Millis
	// slow makes the first endpoint four times slower; lies makes it say it is idle as well.
	slow, lies bool
}

// benchEndpoint is an engine with slots, a queue and a small cache of prefixes.
type benchEndpoint struct {
	running int
	queue   []*benchRequest
	cache   []uint64
	pace    float64
	lies    bool
}

type benchRequest struct {
	gateway  int
	endpoint string
	prefix   uint64
	arrived  clock.Millis
	first    clock.Millis
	work     float64
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

type benchWorld struct {
	random    *rand.Rand
	events    benchQueue
	routers   []*Router
	endpoints map[string]*benchEndpoint
	order     int
	firsts    []clock.Millis
	warm      int
}

func (w *benchWorld) push(e benchEvent) {
	w.order++
	e.order = w.order
	heap.Push(&w.events, e)
}

func (e *benchEndpoint) load() Load {
	if e.lies {
		return Load{Slots: benchSlots, Healthy: true}
	}
	return Load{Slots: benchSlots, Healthy: true, Running: e.running, Queued: len(e.queue)}
}

// begin takes the next request into a free slot.
func (w *benchWorld) begin(now clock.Millis, name string) {
	e := w.endpoints[name]
	for e.running < benchSlots && len(e.queue) > 0 {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		cold := benchCold * e.pace
		if at := slices.Index(e.cache, r.prefix); at >= 0 {
			e.cache = slices.Delete(e.cache, at, at+1)
			cold = 0
			w.warm++
		}
		e.cache = append(e.cache, r.prefix)
		if len(e.cache) > benchCache {
			e.cache = e.cache[1:]
		}
		r.first = now + clock.Millis(cold+30*e.pace)
		w.push(benchEvent{at: now + clock.Millis(cold+r.work*e.pace) + 1, request: r, done: true})
	}
}

func (w *benchWorld) arrive(now clock.Millis, r *benchRequest) {
	router := w.routers[r.gateway]
	for _, name := range router.DuePolls(now) {
		load := w.endpoints[name].load()
		router.RecordPoll(now, name, &load)
	}
	choice := router.Choose(now, Request{Service: service, Budget: 1 << 40, Idempotent: true, Prefix: r.prefix})
	r.endpoint = choice.Endpoint
	router.RecordSent(r.endpoint)
	w.endpoints[r.endpoint].queue = append(w.endpoints[r.endpoint].queue, r)
	w.begin(now, r.endpoint)
}

func (w *benchWorld) end(now clock.Millis, r *benchRequest) {
	e := w.endpoints[r.endpoint]
	e.running--
	w.firsts = append(w.firsts, r.first-r.arrived)
	w.routers[r.gateway].RecordEnd(now, r.endpoint, OutcomeComplete, r.first-r.arrived, 0)
	w.routers[r.gateway].RecordLoad(now, r.endpoint, e.load())
	w.begin(now, r.endpoint)
}

func runPolicy(policy Policy, c benchCase, seed uint64) *benchWorld {
	w := &benchWorld{random: rand.New(rand.NewPCG(seed, 1)), endpoints: map[string]*benchEndpoint{}}
	list := fleet(c.endpoints)
	for i, e := range list {
		w.endpoints[e.Name] = &benchEndpoint{pace: 1, lies: c.lies && i == 0}
		if (c.slow || c.lies) && i == 0 {
			w.endpoints[e.Name].pace = 4
		}
	}
	for g := range benchGateways {
		r := newRouter(policy)
		r.config.Random = rand.New(rand.NewPCG(seed, uint64(g+2)))
		r.config.PollInterval = c.report
		r.SetEndpoints(service, list)
		w.routers = append(w.routers, r)
	}
	gap := float64(benchService+benchCold/2) / (benchUse * float64(c.endpoints*benchSlots))
	at := 1_000.0
	for range benchRequests {
		at += w.random.ExpFloat64() * gap
		prefix := uint64(min(w.random.ExpFloat64()/4, 1)*benchPrefixes) + 1
		w.push(benchEvent{at: clock.Millis(at), request: &benchRequest{
			gateway: w.random.IntN(benchGateways), prefix: prefix * 7_919, arrived: clock.Millis(at), work: w.random.ExpFloat64() * benchService,
		}})
	}
	for w.events.Len() > 0 {
		e := heap.Pop(&w.events).(benchEvent)
		if e.done {
			w.end(e.at, e.request)
		} else {
			w.arrive(e.at, e.request)
		}
	}
	slices.Sort(w.firsts)
	return w
}

// BenchmarkPolicies compares ours with the baselines in one world, in virtual time.
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
			b.Run(fmt.Sprintf("n=%d/report=%d/slow=%v/lies=%v/%s", c.endpoints, c.report, c.slow, c.lies, policy), func(b *testing.B) {
				var p50, p99, warm float64
				for i := range b.N {
					w := runPolicy(policy, c, uint64(i+1))
					p50 += float64(w.firsts[len(w.firsts)/2])
					p99 += float64(w.firsts[len(w.firsts)*99/100])
					warm += float64(w.warm) / benchRequests
				}
				b.ReportMetric(p50/float64(b.N), "p50-ms")
				b.ReportMetric(p99/float64(b.N), "p99-ms")
				b.ReportMetric(100*warm/float64(b.N), "warm-%")
			})
		}
	}
}

// BenchmarkChoose is the cost of one choice in a subset of the usual size.
func BenchmarkChoose(b *testing.B) {
	r := newRouter(PolicyDefault)
	r.SetEndpoints(service, fleet(40))
	a := ask()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		a.Prefix = uint64(i + 1)
		r.Choose(1_000, a)
	}
}
