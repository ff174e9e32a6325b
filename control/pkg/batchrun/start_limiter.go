package batchrun

import "toucanhinge.example/common/pkg/clock"

const (
	// mostStarts and leastStarts bound the rate at which items begin, a second. When a burst
	// of online requests ebbs, hundreds of places are free at once; 4,000 a second fill a
	// thousand within 250 ms. The least still begins each of a fleet's items within seconds.
	mostStarts  = 4_000.0
	leastStarts = 100.0
	// slowLag is how late a decision may begin before the rate is lowered. The leader
	// sends heartbeats every 75 ms; when hundreds of items began at once it sent them too
	// late, another VM led, and all items began anew there.
	slowLag clock.Millis = 20
	// slower and faster change the rate at each decision that was late or in time.
	slower = 0.7
	faster = 1.05
	// gatherStarts is the span for which starts that weren't used are kept.
	gatherStarts = 0.05
)

// startLimiter decides how many items may begin, by how late this process's own decisions are: the
// VM that decides also leads, and work that it can't keep up with must show as items that
// begin later, not as a change of leader. It holds no clock.
type startLimiter struct {
	rate   float64
	tokens float64
	at     clock.Millis
}

func newStartLimiter() *startLimiter { return &startLimiter{rate: mostStarts} }

// note takes up how late a decision began, a span.
func (p *startLimiter) note(lag clock.Millis) {
	if lag > slowLag {
		p.rate = max(p.rate*slower, leastStarts)
		return
	}
	p.rate = min(p.rate*faster, mostStarts)
}

// allowed is how many items may begin now, one at least now and then.
func (p *startLimiter) allowed(now clock.Millis) int {
	if p.at > 0 {
		p.tokens += p.rate * float64(now-p.at) / 1_000
	}
	p.at = now
	p.tokens = min(p.tokens, max(p.rate*gatherStarts, 1))
	return int(p.tokens)
}

// spent notes that items began.
func (p *startLimiter) spent(starts int) { p.tokens -= float64(starts) }
