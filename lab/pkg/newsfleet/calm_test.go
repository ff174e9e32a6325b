package newsfleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The leader used to be called by each gateway 2.5 times a second and at each change; twice the
// gateways and twice the changes filled its processor on a calm day. It hears one gateway of each
// data centre, however many there are.
func TestTheLeaderHearsOneGatewayOfEachDataCentre(t *testing.T) {
	f := settled(t)
	before := f.SubscribeCalls()
	const span = 2 * time.Second
	time.Sleep(span)
	after := f.SubscribeCalls()
	calls := 0.0
	for outcome, count := range after {
		calls += count - before[outcome]
	}
	// Each waits 0.4 s for news; a change of the list may come in between.
	require.LessOrEqual(t, calls/span.Seconds(), float64(centres)*4)
	require.Positive(t, calls)
}

// Acknowledged changes reach all gateways over both levels within 200 ms.
func TestNewsReachAllGateways(t *testing.T) {
	f := settled(t)
	requireNews(t, f, f.Gateways, 200*time.Millisecond)
}
