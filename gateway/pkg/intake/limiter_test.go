package intake

import (
	"container/heap"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
)

// Costs of a request on the simulated processor, in microseconds: reading and placing it, each of its events, and a
// connection that is closed unread. An event arrives every eventGap.
const (
	requestCost              = 400
	eventCost                = 25
	refusalCost              = 50
	events                   = 28
	eventGap    clock.Millis = 25
	// objective is the time within which the first event must be forwarded, from the connection.
	objective clock.Millis = 300
	// stableWindow is the time after which the gateway must have adapted.
	stableWindow clock.Millis = 3_000
	// maxLate is the largest part of the read requests that may be late from then on: three quarters of the usual part
	// must be served.
	maxLate = 0.25
	// maxRefusedLater is the largest part of the usual load that may be refused after the crowd.
	maxRefusedLater = 0.05
)

// task is work that is due on the simulated processor.
type task struct {
	at   clock.Millis
	cost int
	done func(at clock.Millis)
}

type tasks []task

func (q tasks) Len() int           { return len(q) }
func (q tasks) Less(i, k int) bool { return q[i].at < q[k].at }
func (q tasks) Swap(i, k int)      { q[i], q[k] = q[k], q[i] }
func (q *tasks) Push(x any)        { *q = append(*q, x.(task)) }
func (q *tasks) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// processor runs the tasks of a gateway one after the other in the order in which they are due.
type processor struct {
	due tasks
	// freeAt is when the running task ends, in microseconds.
	freeAt int64
	// share is its part of a core.
	share      float64
	limiter    *Limiter
	inProgress int
	random     *rand.Rand
	refused    []clock.Millis
	read       []clock.Millis
	// late are the arrivals of the requests whose first event was late.
	late []clock.Millis
}

func (p *processor) add(at clock.Millis, cost int, done func(at clock.Millis)) {
	heap.Push(&p.due, task{at, cost, done})
}

// run runs all tasks that are due before the end.
func (p *processor) run(end clock.Millis) {
	for len(p.due) > 0 && p.due[0].at < end {
		t := heap.Pop(&p.due).(task)
		p.freeAt = max(p.freeAt, int64(t.at)*1_000) + int64(float64(t.cost)/p.share)
		if t.done != nil {
			t.done(clock.Millis(p.freeAt / 1_000))
		}
	}
}

func (p *processor) sample(at clock.Millis) {
	p.add(at+SampleInterval, 10, func(now clock.Millis) {
		p.limiter.Observe(now, now-at-SampleInterval, p.inProgress)
		p.sample(now)
	})
}

// connect is a new connection with a request.
func (p *processor) connect(at clock.Millis) {
	p.add(at, refusalCost, func(now clock.Millis) {
		if !p.limiter.Take(now, p.inProgress) {
			p.refused = append(p.refused, at)
			return
		}
		p.read = append(p.read, at)
		p.inProgress++
		p.add(at, requestCost, func(now clock.Millis) { p.event(now+eventGap, at, 1) })
	})
}

func (p *processor) event(due, connected clock.Millis, n int) {
	p.add(due, eventCost, func(now clock.Millis) {
		if n == 1 && now > connected+objective {
			p.late = append(p.late, connected)
		}
		if n < events {
			p.event(due+eventGap, connected, n+1)
			return
		}
		p.inProgress--
	})
}

// capacity is the number of requests that the processor can serve in a second.
func (p *processor) capacity() float64 {
	return 1e6 * p.share / (requestCost + refusalCost + events*eventCost)
}

func countIn(times []clock.Millis, from, to clock.Millis) int {
	count := 0
	for _, at := range times {
		if at >= from && at < to {
			count++
		}
	}
	return count
}

// crowd replays a gateway that receives usual times its capacity for ten seconds, crowded times for ten more, and usual
// times again.
func crowd(seed uint64, usual, crowded float64) *processor {
	p := &processor{share: 0.144, limiter: NewLimiter(), random: rand.New(rand.NewPCG(seed, 1))}
	p.sample(0)
	for _, phase := range []struct {
		from, to clock.Millis
		load     float64
	}{{0, 10_000, usual}, {10_000, 20_000, crowded}, {20_000, 30_000, usual}} {
		for at := float64(phase.from); at < float64(phase.to); at += p.random.ExpFloat64() * 1_000 / (phase.load * p.capacity()) {
			p.connect(clock.Millis(at))
		}
	}
	p.run(30_000)
	return p
}

// Guards against a gateway that reads more requests than its processor can serve while most new connections arrive at
// it, so that all of them are late, and against one that refuses what it could serve.
func TestReadRequestsAreServedWhileConnectionsCrowd(t *testing.T) {
	for _, c := range []struct {
		// crowded is the load during the crowd relative to the capacity. minUtilisation is the least part of the
		// processor's time that must be used beside the connections that are closed.
		crowded, minUtilisation float64
	}{{1.5, 0.7}, {3, 0.7}, {8, 0.5}, {15, 0.25}} {
		crowded, minUtilisation := c.crowded, c.minUtilisation
		for seed := range uint64(10) {
			p := crowd(seed, 0.3, crowded)
			require.Zero(t, countIn(p.refused, 0, 10_000), "the usual load is taken")
			from, to := 10_000+stableWindow, clock.Millis(20_000)
			read, late := countIn(p.read, from, to), countIn(p.late, from, to)
			// What is left of the processor after the refused connections are closed.
			left := 1 - float64(countIn(p.refused, from, to)*refusalCost)/(1_000*float64(to-from)*p.share)
			utilisation := float64(read) / (left * p.capacity() * float64(to-from) / 1_000)
			if seed == 0 {
				t.Logf("load %.1f: %d read, %d late, %.2f of the capacity left; refused %d; after the crowd %d refused", crowded, read, late, utilisation,
					countIn(p.refused, from, to), countIn(p.refused, to+stableWindow, 30_000))
			}
			require.LessOrEqual(t, float64(late), maxLate*float64(read), "load %.1f, seed %d", crowded, seed)
			require.GreaterOrEqual(t, utilisation, minUtilisation, "load %.1f, seed %d", crowded, seed)
			refused, usual := countIn(p.refused, to+stableWindow, 30_000), countIn(p.read, 0, 10_000)
			require.LessOrEqual(t, float64(refused), maxRefusedLater*float64(usual), "load %.1f, seed %d", crowded, seed)
		}
	}
}

// Guards against refusals because of pauses of the process: a frozen VM, or a collection of garbage.
func TestPausesAreNoOverload(t *testing.T) {
	l, now := NewLimiter(), clock.Millis(0)
	for n := range 1_000 {
		lag := clock.Millis(1)
		if n%samples == 0 {
			lag = 3_000
		}
		now += SampleInterval + lag
		require.False(t, l.Observe(now, lag, n))
		require.True(t, l.Take(now, n))
	}
}
