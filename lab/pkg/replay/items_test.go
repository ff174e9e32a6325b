package replay

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// crowded is a seventh of a fleet of hundreds: 20 runners with 7 places behind 8 gateways.
// Online requests ask for 0.6 of the places on the mean, nearly twice that in bursts;
// items ask for as much again as the given share of what is left.
func crowded(seed uint64, items float64) Config {
	const until = 60_000
	c := Config{
		Runners: 20, Slots: 7, Gateways: 8, Hold: 790, Run: 5_200, Resume: 80, DigestDelay: 12, Objective: 300, Timeout: 5_000,
		Arrivals: Arrivals(seed, until, Bursts(107, until)...), Admit: true, Yield: true, Seed: seed,
	}
	left := float64(c.Runners*c.Slots) - 107*0.79
	c.Items = MixedItems(seed, until, items*left/5.2, c.Run, 18_000)
	return c
}

// More items come than can be done, for a minute. When those go first that must begin first
// to be in time, every item gets a little of each place, and half of them end late at 1.5
// times what can be done. With those first that have the least left, two in three are in
// time, and while there is room for all, long items still begin sooner. Late ones are done in
// the end, too: nobody waits for ever.
func TestAFleetWithTooManyItems(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		load float64
		// least is a little under what was measured; the order of urgency alone gave 1,452,
		// 1,545 and 1,351.
		least int
	}{{0.8, 1_420}, {1, 1_560}, {1.5, 1_880}} {
		t.Run(fmt.Sprint(c.load), func(t *testing.T) {
			t.Parallel()
			inTime, late, items := 0, 0, 0
			for _, seed := range seeds {
				config := crowded(seed, c.load)
				r := Run(config)
				inTime, late, items = inTime+r.ItemsInTime, late+r.ItemsLate, items+len(config.Items)
			}
			t.Logf("%d in time, %d late", inTime, late)
			require.Greater(t, inTime, c.least)
			require.Equal(t, items, inTime+late, "an item was never done")
		})
	}
}
