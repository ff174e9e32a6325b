package newsfleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/lab/pkg/relay"
)

// A gateway from which others hear fails in one way or another. What it costs those that hear
// from it is under a second, and they never go back to what was before.
func TestAGatewayFromWhichOthersHearFails(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(f *Fleet) (failed []*Gateway)
	}{
		{"the root is killed", func(f *Fleet) []*Gateway {
			root, _ := rootAndHubs(f, centre(0))
			root.Kill()
			return []*Gateway{root}
		}},
		{"a hub is frozen, its connections stay", func(f *Fleet) []*Gateway {
			_, hubs := rootAndHubs(f, centre(0))
			hubs[0].SetFaults(relay.Cut)
			hubs[0].StopSubscriber()
			return hubs[:1]
		}},
		{"nothing reaches the root", func(f *Fleet) []*Gateway {
			root, _ := rootAndHubs(f, centre(0))
			root.SetFaults(relay.Faults{HoldForward: true})
			return nil
		}},
		{"nothing comes back from the root", func(f *Fleet) []*Gateway {
			root, _ := rootAndHubs(f, centre(0))
			root.SetFaults(relay.Faults{HoldBackward: true})
			return nil
		}},
		{"answers of a hub are cut in their middle", func(f *Fleet) []*Gateway {
			_, hubs := rootAndHubs(f, centre(0))
			hubs[0].SetFaults(relay.Faults{DropBackward: true})
			return nil
		}},
		{"root and hubs are killed together", func(f *Fleet) []*Gateway {
			root, hubs := rootAndHubs(f, centre(0))
			root.Kill()
			for _, h := range hubs {
				h.Kill()
			}
			return append(hubs, root)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := settled(t)
			failed := c.fail(f)
			requireNews(t, f, without(f.Gateways, failed...), soon)
			// Later, when all know that it is gone, too.
			requireNews(t, f, without(f.Gateways, failed...), soon)
		})
	}
}

// The root hears nothing any more, but answers: it isn't taken at its word for long.
func TestAGatewayThatHearsNothingIsNotBelieved(t *testing.T) {
	f := settled(t)
	root, _ := rootAndHubs(f, centre(0))
	root.StopSubscriber()
	time.Sleep(2 * time.Second)
	requireNews(t, f, without(f.Gateways, root), soon)
}

// The leader's process is killed. The next one must not be asked by all gateways at once, each
// for the whole fleet: that is what made it fall behind in turn.
func TestTheNextLeaderIsNotOverrun(t *testing.T) {
	f := settled(t)
	f.Leader().Kill()
	before := f.SubscribeCalls()
	requireNews(t, f, f.Gateways, soon)
	time.Sleep(soon)
	after := f.SubscribeCalls()
	t.Logf("calls at the next leader: %v before, %v after", before, after)
	require.LessOrEqual(t, after["answered"]-before["answered"], float64(gateways)/2)
}

// All gateways start within a moment after all were killed: the leader serves the first of each
// data centre, and sends the others there.
func TestAllGatewaysStartAtOnce(t *testing.T) {
	f := settled(t)
	for _, g := range f.Gateways {
		g.Kill()
	}
	for _, g := range f.Gateways {
		require.NoError(t, g.Start())
	}
	took, err := Await(f.Gateways, 3*time.Second, func(g *Gateway) bool { return g.Version() > 0 && g.Runners() == runners })
	require.NoError(t, err)
	t.Logf("all know the table and the runners after %s", took)
	requireNews(t, f, f.Gateways, soon)
}

// A fleet starts for the first time, and nobody has sent a routing table yet: the gateways learn
// of one another over the first of them, and of the table as soon as there is one.
func TestAFleetStartsWithoutATable(t *testing.T) {
	f, err := Start(Config{Folder: t.TempDir(), Gateways: gateways, DataCentres: centres, Runners: runners})
	require.NoError(t, err)
	t.Cleanup(f.Stop)
	_, err = Await(f.Gateways, patience, func(g *Gateway) bool { return g.Daemons() == gateways+1 })
	require.NoError(t, err)
	time.Sleep(soon)
	before := f.SubscribeCalls()
	time.Sleep(soon)
	after := f.SubscribeCalls()
	calls := 0.0
	for outcome, count := range after {
		calls += count - before[outcome]
	}
	require.LessOrEqual(t, calls/soon.Seconds(), float64(centres)*4)
	requireNews(t, f, f.Gateways, 200*time.Millisecond)
}
