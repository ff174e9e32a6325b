package digest

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/occupancy"
	"toucanhinge.example/common/pkg/quota"
)

// requestsPerGateway is the number of requests that start per gateway and second.
const requestsPerGateway = 2

// simulateSecond starts and ends requests all over the fleet for a second. It returns the bytes
// that the busiest daemon sent within its data centre.
func (f *fleet) simulateSecond(t *testing.T) (busiest int) {
	t.Helper()
	for _, d := range f.daemons {
		d.localBytes = 0
	}
	changes := 2 * requestsPerGateway * len(f.addresses)
	for n := range 1_000 {
		for range changes*(n+1)/1_000 - changes*n/1_000 {
			f.changeLoad(f.any())
		}
		f.run(1)
	}
	for _, d := range f.daemons {
		busiest = max(busiest, d.localBytes)
	}
	return busiest
}

// Without hubs the relay of a data centre sends all changes of the fleet to each of its gateways:
// twice the fleet costs four times the bytes. That overloaded the links of small VMs, and the
// relay role moved from daemon to daemon. With hubs the bytes must grow less than quadratically.
func TestRelayTrafficGrowsLessThanQuadratically(t *testing.T) {
	small, large := newFleet(t, 2, 45), newFleet(t, 2, 90)
	small.run(2 * relayTimeout)
	large.run(2 * relayTimeout)
	smallBytes, largeBytes := small.simulateSecond(t), large.simulateSecond(t)
	t.Logf("busiest daemon: %d kB/s with 45 gateways in a data centre, %d kB/s with 90", smallBytes/1000, largeBytes/1000)
	require.Less(t, float64(largeBytes), 3.2*float64(smallBytes))
}

func TestAllDaemonsSeeSameLoadWithHubs(t *testing.T) {
	f := newFleet(t, 2, 40)
	f.run(2 * relayTimeout)
	for range 300 {
		f.changeLoad(f.any())
		f.run(2)
	}
	f.run(4*relayInterval + 6)
	f.requireSameLoad()
}

// A hub fails and is still listed as a peer. The daemons that it forwarded to must query the
// relay, and see the load of the other data centre after half a second.
func TestDaemonsQueryRelayWhenHubFails(t *testing.T) {
	f := newFleet(t, 2, 40)
	f.run(2 * relayTimeout)
	var hub *daemon
	for _, address := range f.addresses {
		d := f.daemons[address]
		if d.relay.activeSince == 0 && len(d.relay.hubs.children) > 0 {
			hub = d
			break
		}
	}
	require.NotNil(t, hub)
	hub.down = true
	busy := f.daemons[f.addresses[0]]
	if busy.peer.DataCentre == hub.peer.DataCentre {
		busy = f.daemons[f.addresses[len(f.addresses)-1]]
	}
	for range 20 {
		f.changeLoad(busy)
		f.run(2)
	}
	f.run(relayTimeout + 2*heartbeatInterval + 2*relayInterval)
	for _, child := range hub.relay.hubs.children {
		for r := range fleetRunners {
			id := runnerName(r)
			require.Equal(t, busy.table.Own(id).Online, f.daemons[child].table.Load(id).Online-hub.table.Own(id).Online, "%s at %s", id, child)
		}
	}
	// The daemons must stay up to date until the fleet removes the failed hub.
	for range 500 {
		f.changeLoad(busy)
		f.run(4)
	}
	f.run(2*fullSummaryInterval + 4*relayInterval)
	f.requireSameLoad()
}

// The relay fails. Its hubs must receive the digests of the next relay.
func TestHubsReceiveFromNextRelay(t *testing.T) {
	f := newFleet(t, 2, 40)
	f.run(2 * relayTimeout)
	first := f.daemons[f.addresses[0]]
	require.NotZero(t, first.relay.activeSince)
	first.down = true
	busy := f.daemons[f.addresses[len(f.addresses)-1]]
	for range 20 {
		f.changeLoad(busy)
		f.run(2)
	}
	f.run(relayTimeout + 2*heartbeatInterval + occupancy.Expiry)
	f.requireSameLoad()
}

// A team sends four times its limit everywhere while the relay of a data centre is down. The
// delay of the additional hop must not exceed the overrun margin.
func TestQuotaHoldsWhenRelayFailsWithHubs(t *testing.T) {
	f := newFleet(t, 2, 40)
	f.run(2 * relayTimeout)
	l := quota.Limit{Team: "a", Rate: 50, Burst: 10}
	admitted := 0
	for n := range 1_000 {
		if n == 300 {
			f.daemons[f.addresses[0]].down = true
		}
		if d := f.any(); !d.down {
			admitted += f.acquireQuota(d, l, 1)
		}
		f.run(5)
	}
	require.LessOrEqual(t, admitted, 280)
}

// A daemon that has just started, or that the relay doesn't know yet, must query the relay so
// that it doesn't place requests without the load of the other data centres.
func TestDaemonWithoutDigestsQueriesRelay(t *testing.T) {
	f := newFleet(t, 2, 40)
	leaf := f.daemons[f.addresses[3]].relay
	for _, address := range f.addresses {
		if r := f.daemons[address].relay; r.hubs.parent != "" {
			leaf = r
			break
		}
	}
	now := clock.Millis(2_000_000)
	require.NotEmpty(t, leaf.hubs.queryTargets(now, leaf.local))
	require.Empty(t, leaf.hubs.queryTargets(now+queryInterval-1, leaf.local), "the next query is due only after the interval")
	leaf.hubs.receive(now+queryInterval, leaf.hubs.parent, leaf.local[0].Address)
	require.Empty(t, leaf.hubs.queryTargets(now+2*queryInterval, leaf.local))
	require.NotEmpty(t, leaf.hubs.queryTargets(now+queryInterval+relayTimeout+1, leaf.local))
}
