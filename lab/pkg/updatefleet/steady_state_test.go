package updatefleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Every gateway used to call the leader 2.5 times a second and at each change; twice the gateways
// and twice the changes saturated the leader's processor without any failure. The leader must
// serve only one gateway per data centre, regardless of their number.
func TestLeaderServesOneGatewayPerDataCentre(t *testing.T) {
	f := startSyncedFleet(t)
	before := f.SubscribeCalls()
	const interval = 2 * time.Second
	time.Sleep(interval)
	after := f.SubscribeCalls()
	calls := 0.0
	for outcome, count := range after {
		calls += count - before[outcome]
	}
	// Each call waits up to 0.4 s for updates; a change of the runner list may end it earlier.
	require.LessOrEqual(t, calls/interval.Seconds(), float64(dataCentreCount)*4)
	require.Positive(t, calls)
}

// Acknowledged changes reach all gateways through both levels of the tree within 200 ms.
func TestUpdatesReachAllGateways(t *testing.T) {
	f := startSyncedFleet(t)
	requireUpdates(t, f, f.Gateways, 200*time.Millisecond)
}
