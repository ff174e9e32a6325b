package batchrun

import "toucanhinge.example/common/pkg/clock"

const (
	// maxStartRate and minStartRate limit the number of items that start per second. After a burst of
	// online requests hundreds of slots become free at once, and 4,000 starts a second fill a thousand
	// slots within 250 ms. At the minimum rate all slots of a fleet are still filled within seconds.
	maxStartRate = 4_000.0
	minStartRate = 100.0
	// lagThreshold is the delay of a decision above which the rate is lowered. The leader sends heartbeats
	// every 75 ms. When hundreds of items started at once, heartbeats were late, another VM became leader,
	// and all items started again there.
	lagThreshold clock.Millis = 20
	// decreaseFactor and increaseFactor multiply the rate after each decision that was late or in time.
	decreaseFactor = 0.7
	increaseFactor = 1.05
	// burstSeconds limits unused starts to those of this many seconds.
	burstSeconds = 0.05
)

// startLimiter is a token bucket that limits how many items may start. Its rate follows the delay of this
// process's decisions: the VM that decides also leads the core, and overload must delay items instead of
// causing a change of leader. It doesn't read the clock.
type startLimiter struct {
	rate       float64
	tokens     float64
	refilledAt clock.Millis
}

func newStartLimiter() *startLimiter { return &startLimiter{rate: maxStartRate} }

// recordLag adjusts the rate to the delay of a decision.
func (l *startLimiter) recordLag(lag clock.Millis) {
	if lag > lagThreshold {
		l.rate = max(l.rate*decreaseFactor, minStartRate)
		return
	}
	l.rate = min(l.rate*increaseFactor, maxStartRate)
}

// allowed returns how many items may start now. The capacity of the bucket is at least one start, so that
// items start even at a rate below one per burstSeconds.
func (l *startLimiter) allowed(now clock.Millis) int {
	if l.refilledAt > 0 {
		l.tokens += l.rate * float64(now-l.refilledAt) / 1_000
	}
	l.refilledAt = now
	l.tokens = min(l.tokens, max(l.rate*burstSeconds, 1))
	return int(l.tokens)
}

// spend records started items.
func (l *startLimiter) spend(starts int) { l.tokens -= float64(starts) }
