package load

import (
	"math/rand/v2"
	"time"
)

// Shape is how requests arrive: a Poisson stream, whose rate is raised during
// bursts that come at random, on the average once in Every.
type Shape struct {
	// Rate is requests a second outside bursts.
	Rate float64
	// BurstFactor multiplies the rate during a burst; 0 or 1 means no bursts.
	BurstFactor float64
	// BurstInterval is the mean time from one burst's end to the next one's start.
	BurstInterval time.Duration
	// BurstDuration is the mean length of a burst.
	BurstDuration time.Duration
}

// Mean is the shape's average rate.
func (s Shape) Mean() float64 {
	if s.BurstFactor <= 1 || s.BurstInterval <= 0 {
		return s.Rate
	}
	share := float64(s.BurstDuration) / float64(s.BurstDuration+s.BurstInterval)
	return s.Rate * (1 + (s.BurstFactor-1)*share)
}

// WithMean scales the shape to an average rate.
func (s Shape) WithMean(rate float64) Shape {
	s.Rate *= rate / s.Mean()
	return s
}

// Poisson is a steady shape.
func Poisson(rate float64) Shape { return Shape{Rate: rate} }

// The bursts of the two sites, scaled down in time so that a short run sees
// several of them.
var (
	// FrequentBursts: surveyors call when a crew reaches a field, a few at a time, and
	// often.
	FrequentBursts = Shape{Rate: 1, BurstFactor: 3, BurstInterval: 1500 * time.Millisecond, BurstDuration: 500 * time.Millisecond}
	// RareBursts: a new build sends all testers of a studio at once: rarer, higher
	// and shorter.
	RareBursts = Shape{Rate: 1, BurstFactor: 6, BurstInterval: 3 * time.Second, BurstDuration: 300 * time.Millisecond}
)

// Schedule draws the arrival times of one run.
func (s Shape) Schedule(length time.Duration, seed uint64) []time.Duration {
	random := rand.New(rand.NewPCG(seed, seed^0x5eed))
	var times []time.Duration
	at, change, bursting := time.Duration(0), s.nextChange(random, false), false
	for at < length {
		rate := s.Rate
		if bursting {
			rate *= s.BurstFactor
		}
		next := at + exponential(random, 1/rate)
		// The stream has no memory, so at a change of rate we draw again from there.
		if change > 0 && next > change {
			at, bursting = change, !bursting
			change = at + s.nextChange(random, bursting)
			continue
		}
		at = next
		if at < length {
			times = append(times, at)
		}
	}
	return times
}

func (s Shape) nextChange(random *rand.Rand, bursting bool) time.Duration {
	if s.BurstFactor <= 1 || s.BurstInterval <= 0 {
		return 0
	}
	mean := s.BurstInterval
	if bursting {
		mean = s.BurstDuration
	}
	return max(time.Microsecond, exponential(random, mean.Seconds()))
}

func exponential(random *rand.Rand, meanSeconds float64) time.Duration {
	return time.Duration(random.ExpFloat64() * meanSeconds * float64(time.Second))
}
