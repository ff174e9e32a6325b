package replay

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
)

// minCrowdShare is the least share of first attempts that are served while most requests arrive at one gateway, relative to
// the share while they arrive at all equally.
const minCrowdShare = 0.75

// servedAtFirst returns the share of first attempts that no gateway refuses, over two seeds.
func servedAtFirst(load float64, delay clock.Millis, fleetQueue bool, weights []float64) float64 {
	received, refused := 0, 0
	for seed := range uint64(2) {
		c := smallFleet(seed + 1)
		c.DigestDelay, c.FleetQueue, c.GatewayWeights = delay, fleetQueue, weights
		capacity := float64(c.Runners*c.Slots) / float64(c.Hold) * 1_000
		c.Arrivals = Arrivals(seed+1, 10_000, Step{0, load * capacity})
		for _, g := range Run(c).Gateways {
			received += g.First.Received
			refused += g.First.Refused
		}
	}
	return 1 - float64(refused)/float64(received)
}

// Guards against limits for each gateway that refuse requests while most of them arrive at one gateway, although the fleet
// could serve them, with the other gateways' waiters known and without.
func TestRequestsThroughOneGatewayAreServedAlike(t *testing.T) {
	t.Parallel()
	equal, crowded := []float64{1, 1, 1, 1, 1, 1, 1, 1}, []float64{90, 1, 1, 1, 1, 1, 1, 1}
	for _, load := range []float64{.7, 1.2} {
		for _, delay := range []clock.Millis{5, 50} {
			for _, fleetQueue := range []bool{true, false} {
				t.Run(fmt.Sprintf("load %.1f, state %d ms old, fleet queue %v", load, delay, fleetQueue), func(t *testing.T) {
					t.Parallel()
					usual, share := servedAtFirst(load, delay, fleetQueue, equal), servedAtFirst(load, delay, fleetQueue, crowded)
					t.Logf("%.3f, %.3f usually", share, usual)
					require.GreaterOrEqual(t, share, minCrowdShare*usual)
				})
			}
		}
	}
}
