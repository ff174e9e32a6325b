package updatefleet

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/fanout"
)

const (
	gatewayCount    = 60
	dataCentreCount = 2
	runnerCount     = 40
	// testTimeout bounds the wait for conditions without a required time.
	testTimeout = 20 * time.Second
	// maxFailoverTime is how long the failure of one gateway may delay updates to others.
	maxFailoverTime = time.Second
)

// startSyncedFleet starts a fleet and waits until all gateways have the first table and know all
// other daemons.
func startSyncedFleet(t *testing.T) *Fleet {
	t.Helper()
	f, err := Start(Config{Folder: t.TempDir(), Gateways: gatewayCount, DataCentres: dataCentreCount, Runners: runnerCount})
	require.NoError(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(f.Describe())
		}
		f.Stop()
	})
	version := replaceTable(t, f)
	_, err = Await(f.Gateways, testTimeout, func(g *Gateway) bool { return g.Version() == version && g.Daemons() == gatewayCount+1 })
	require.NoError(t, err)
	// Gateways that the leader served at the start switch to their parents with the next call.
	time.Sleep(maxFailoverTime)
	return f
}

func replaceTable(t *testing.T, f *Fleet) uint64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	version, err := f.ReplaceTable(ctx)
	require.NoError(t, err)
	return version
}

// rootAndHubs returns the gateways of a data centre that forward updates to others.
func rootAndHubs(f *Fleet, dataCentre string) (root *Gateway, hubs []*Gateway) {
	var list []fanout.Gateway
	byAddress := map[string]*Gateway{}
	for _, g := range f.Gateways {
		list = append(list, fanout.Gateway{Address: g.Address(), DataCentre: g.DataCentre()})
		byAddress[g.Address()] = g
	}
	tree := fanout.New(list)
	for _, g := range list {
		if g.DataCentre != dataCentre {
			continue
		}
		switch parents := tree.Parents(g); len(parents) {
		case 0:
			root = byAddress[g.Address]
		case 1, 2:
			hubs = append(hubs, byAddress[g.Address])
		}
	}
	return root, hubs
}

// without returns the gateways except the given ones.
func without(all []*Gateway, excluded ...*Gateway) []*Gateway {
	var remaining []*Gateway
	for _, g := range all {
		keep := true
		for _, other := range excluded {
			keep = keep && g != other
		}
		if keep {
			remaining = append(remaining, g)
		}
	}
	return remaining
}

// requireUpdates applies a table and removes a runner. It requires that the gateways receive
// the table within a bound after its acknowledgement, and the list of runners within testTimeout.
func requireUpdates(t *testing.T, f *Fleet, at []*Gateway, maxDelay time.Duration) {
	t.Helper()
	version := replaceTable(t, f)
	elapsed, err := Await(at, maxDelay, func(g *Gateway) bool { return g.Version() >= version })
	require.NoError(t, err, "the table")
	remaining := f.RemoveRunner()
	_, err = Await(at, testTimeout, func(g *Gateway) bool { return g.Runners() == remaining })
	require.NoError(t, err, "the list of runners")
	t.Logf("applied by %d gateways after %s", len(at), elapsed)
}
