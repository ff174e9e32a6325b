package admit

import (
	"math"

	"toucanhinge.example/common/pkg/clock"
)

// burst tracks the largest recent burst of arrivals as a decaying maximum.
type burst struct {
	window      clock.Millis
	halfLife    clock.Millis
	windowStart clock.Millis
	count       int
	peak        float64
	peakAt      clock.Millis
}

func (b *burst) record(now clock.Millis) {
	if now-b.windowStart >= b.window {
		b.windowStart = now
		b.count = 0
	}
	b.count++
	current := b.decayed(now)
	if float64(b.count) > current {
		current = float64(b.count)
	}
	b.peak = current
	b.peakAt = now
}

// decayed returns the peak after decay up to now.
func (b *burst) decayed(now clock.Millis) float64 {
	if b.peak == 0 || b.halfLife <= 0 {
		return b.peak
	}
	return b.peak * math.Exp2(-float64(now-b.peakAt)/float64(b.halfLife))
}
