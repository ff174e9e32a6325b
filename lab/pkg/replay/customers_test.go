package replay

import (
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
)

// restless draws bursts without a rhythm: each lasts for 0.3 to 4 s, with as long a
// pause, and needs 1 to 2.4 times the places of a fleet.
func restless(seed uint64, until clock.Millis, capacity float64) []Step {
	random := rand.New(rand.NewPCG(seed, 3))
	span := func() clock.Millis { return clock.Millis(300 + random.IntN(3_700)) }
	var steps []Step
	for at := clock.Millis(0); at < until; {
		steps = append(steps, Step{at, 0.2 * capacity})
		at += span()
		steps = append(steps, Step{at, capacity * (1 + 1.4*random.Float64())})
		at += span()
	}
	return steps
}

// Other customers' loads, none of which the policy was made for. The bounds are what the
// policy before it got on the same load: a single gateway that sees all, one runner,
// callers that never come back or come back twice, bursts without a rhythm, items that run
// ten times as long, an overload that lasts.
func TestOtherCustomersAreServedNoWorse(t *testing.T) {
	t.Parallel()
	capacity := func(c *Config) float64 { return float64(c.Runners*c.Slots) / float64(c.Hold) * 1000 }
	for _, c := range []struct {
		name   string
		change func(*Config)
		worth  float64
		items  float64
	}{
		{"one gateway", func(c *Config) { c.Gateways = 1 }, 0.941, 0},
		{"one runner", func(c *Config) {
			c.Runners, c.Gateways = 1, 3
			c.Arrivals = Arrivals(c.Seed, 29_000, Bursts(7, 29_000)...)
		}, 0.793, 0},
		{"callers never come back", func(c *Config) { c.MaxRetries = -1 }, 0.772, 0},
		{"callers come back twice", func(c *Config) { c.MaxRetries = 2 }, 0.772, 0},
		{"bursts without a rhythm", func(c *Config) {
			c.Arrivals = Arrivals(c.Seed, 10_000, restless(c.Seed, 10_000, capacity(c))...)
		}, 0.764, 0},
		{"an overload that lasts", func(c *Config) {
			c.Arrivals = Arrivals(c.Seed, 10_000, Step{0, 0.5 * capacity(c)}, Step{2_000, 1.3 * capacity(c)}, Step{8_000, 0.3 * capacity(c)})
		}, 0.472, 0},
		{"items that run ten times as long", func(c *Config) {
			c.Run = 50_000
			c.Items = SteadyItems(c.Seed, 20_000, 3, 180_000)
		}, 0.770, 0.999},
		{"items for all that is left", func(c *Config) {
			c.Items = SteadyItems(c.Seed, 29_000, 32, 18_000)
		}, 0.771, 0.999},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			results := make([]Result, 2)
			var plays sync.WaitGroup
			for i, seed := range seeds[:len(results)] {
				plays.Add(1)
				go func() {
					defer plays.Done()
					config := short(seed)
					c.change(&config)
					results[i] = Run(config)
				}()
			}
			plays.Wait()
			worth, inTime, late, late2, refused, items := 0.0, 0, 0, 0, 0, 0
			for _, r := range results {
				worth += r.MeanWorth() / float64(len(results))
				inTime, late, refused = inTime+r.InTime, late+r.Late, refused+r.Refused
				items, late2 = items+r.ItemsInTime, late2+r.ItemsLate
			}
			share := float64(items) / float64(max(items+late2, 1))
			t.Logf("worth %.3f (%d in time, %d late, %d not served); items in time %.3f", worth, inTime, late, refused, share)
			require.GreaterOrEqual(t, worth, c.worth)
			require.GreaterOrEqual(t, share, c.items)
		})
	}
}
