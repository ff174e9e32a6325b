package updatefleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/lab/pkg/relay"
)

// A gateway that forwards updates to others fails in different ways. The failure may delay the
// updates of its subscribers by less than a second, and they never return to an older state.
func TestUpdatesReachGatewaysWhenParentFails(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(f *Fleet) (failed []*Gateway)
	}{
		{"the root is killed", func(f *Fleet) []*Gateway {
			root, _ := rootAndHubs(f, dataCentreName(0))
			root.Kill()
			return []*Gateway{root}
		}},
		{"a hub freezes with open connections", func(f *Fleet) []*Gateway {
			_, hubs := rootAndHubs(f, dataCentreName(0))
			hubs[0].SetFaults(relay.Cut)
			hubs[0].StopSubscriber()
			return hubs[:1]
		}},
		{"the root receives no bytes", func(f *Fleet) []*Gateway {
			root, _ := rootAndHubs(f, dataCentreName(0))
			root.SetFaults(relay.Faults{HoldForward: true})
			return nil
		}},
		{"no bytes from the root arrive", func(f *Fleet) []*Gateway {
			root, _ := rootAndHubs(f, dataCentreName(0))
			root.SetFaults(relay.Faults{HoldBackward: true})
			return nil
		}},
		{"responses of a hub are cut off", func(f *Fleet) []*Gateway {
			_, hubs := rootAndHubs(f, dataCentreName(0))
			hubs[0].SetFaults(relay.Faults{DropBackward: true})
			return nil
		}},
		{"root and hubs are killed together", func(f *Fleet) []*Gateway {
			root, hubs := rootAndHubs(f, dataCentreName(0))
			root.Kill()
			for _, h := range hubs {
				h.Kill()
			}
			return append(hubs, root)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := startSyncedFleet(t)
			failed := c.fail(f)
			requireUpdates(t, f, without(f.Gateways, failed...), maxFailoverTime)
			// The same holds once all gateways have detected the failure.
			requireUpdates(t, f, without(f.Gateways, failed...), maxFailoverTime)
		})
	}
}

// The root receives no updates any more but still responds: its subscribers must detect that its
// state is outdated and switch to another source.
func TestUpdatesBypassRootWithoutSubscription(t *testing.T) {
	f := startSyncedFleet(t)
	root, _ := rootAndHubs(f, dataCentreName(0))
	root.StopSubscriber()
	time.Sleep(2 * time.Second)
	requireUpdates(t, f, without(f.Gateways, root), maxFailoverTime)
}

// The leader is killed. All gateways requesting the whole fleet view from the next leader at once
// would overload it.
func TestNextLeaderIsNotOverloaded(t *testing.T) {
	f := startSyncedFleet(t)
	f.Leader().Kill()
	before := f.SubscribeCalls()
	requireUpdates(t, f, f.Gateways, maxFailoverTime)
	time.Sleep(maxFailoverTime)
	after := f.SubscribeCalls()
	t.Logf("calls at the next leader: %v before, %v after", before, after)
	require.LessOrEqual(t, after["answered"]-before["answered"], float64(gatewayCount)/2)
}

// All gateways restart at once after all were killed. The leader serves the first gateway of each
// data centre and redirects the others to it.
func TestAllGatewaysRestartAtOnce(t *testing.T) {
	f := startSyncedFleet(t)
	for _, g := range f.Gateways {
		g.Kill()
	}
	for _, g := range f.Gateways {
		require.NoError(t, g.Start())
	}
	elapsed, err := Await(f.Gateways, 3*time.Second, func(g *Gateway) bool { return g.Version() > 0 && g.Runners() == runnerCount })
	require.NoError(t, err)
	t.Logf("all know the table and the runners after %s", elapsed)
	requireUpdates(t, f, f.Gateways, maxFailoverTime)
}

// A fleet starts for the first time, before any routing table exists. The gateways learn of each
// other through the first gateway of each data centre, and receive the table once there is one.
func TestFleetStartsWithoutTable(t *testing.T) {
	f, err := Start(Config{Folder: t.TempDir(), Gateways: gatewayCount, DataCentres: dataCentreCount, Runners: runnerCount})
	require.NoError(t, err)
	t.Cleanup(f.Stop)
	_, err = Await(f.Gateways, testTimeout, func(g *Gateway) bool { return g.Daemons() == gatewayCount+1 })
	require.NoError(t, err)
	time.Sleep(maxFailoverTime)
	before := f.SubscribeCalls()
	time.Sleep(maxFailoverTime)
	after := f.SubscribeCalls()
	calls := 0.0
	for outcome, count := range after {
		calls += count - before[outcome]
	}
	require.LessOrEqual(t, calls/maxFailoverTime.Seconds(), float64(dataCentreCount)*4)
	requireUpdates(t, f, f.Gateways, 200*time.Millisecond)
}

// Guards against a next leader that is overloaded because it comes late: once the state of all gateways lags, each of them
// looks for the leader itself.
func TestLateLeaderIsNotOverloaded(t *testing.T) {
	f := startSyncedFleet(t)
	leader := f.Leader()
	leader.Kill()
	var other *VM
	for _, v := range f.VMs {
		if v != leader {
			other = v
		}
	}
	other.Kill()
	time.Sleep(3 * time.Second)
	before := f.SubscribeCalls()
	require.NoError(t, other.Start())
	requireUpdates(t, f, f.Gateways, 3*maxFailoverTime)
	time.Sleep(maxFailoverTime)
	after := f.SubscribeCalls()
	t.Logf("calls at the next leader: %v before, %v after", before, after)
	require.LessOrEqual(t, after["answered"]-before["answered"], float64(gatewayCount)/2)
}
