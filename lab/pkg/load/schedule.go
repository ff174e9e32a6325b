package load

import (
	"math/rand/v2"
	"time"
)

// Shape describes the arrival of requests: a Poisson process whose rate is higher
// during random bursts.
type Shape struct {
	// Rate is the number of requests per second outside bursts.
	Rate float64
	// BurstFactor multiplies the rate during a burst; 0 or 1 means no bursts.
	BurstFactor float64
	// BurstInterval is the mean time from the end of a burst to the start of the next.
	BurstInterval time.Duration
	// BurstDuration is the mean length of a burst.
	BurstDuration time.Duration
}

// Mean returns the average rate, including bursts.
func (s Shape) Mean() float64 {
	if s.BurstFactor <= 1 || s.BurstInterval <= 0 {
		return s.Rate
	}
	share := float64(s.BurstDuration) / float64(s.BurstDuration+s.BurstInterval)
	return s.Rate * (1 + (s.BurstFactor-1)*share)
}

// WithMean returns the shape scaled to the given average rate.
func (s Shape) WithMean(rate float64) Shape {
	s.Rate *= rate / s.Mean()
	return s
}

// Poisson returns a shape with a constant rate and no bursts.
func Poisson(rate float64) Shape { return Shape{Rate: rate} }

// Burst patterns of the two sites, with shortened times so that a short run contains
// several bursts.
var (
	// FrequentBursts models surveyors who call when a crew reaches a field: frequent
	// bursts of a few callers.
	FrequentBursts = Shape{Rate: 1, BurstFactor: 3, BurstInterval: 1500 * time.Millisecond, BurstDuration: 500 * time.Millisecond}
	// RareBursts models all testers of a studio starting on a new build at once: rarer,
	// higher and shorter bursts.
	RareBursts = Shape{Rate: 1, BurstFactor: 6, BurstInterval: 3 * time.Second, BurstDuration: 300 * time.Millisecond}
)

// Schedule returns the random arrival times of one run, relative to its start.
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
		// A Poisson process is memoryless, so after a rate change the next arrival is
		// drawn again from the time of the change.
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
