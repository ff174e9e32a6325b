package newsfleet

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/fanout"
)

const (
	gateways = 60
	centres  = 2
	runners  = 40
	// patience is for what must happen at all.
	patience = 20 * time.Second
	// soon is how long a failure at one gateway may keep news from others.
	soon = time.Second
)

// settled is a fleet in which all gateways know the first table, and all of one another.
func settled(t *testing.T) *Fleet {
	t.Helper()
	f, err := Start(Config{Folder: t.TempDir(), Gateways: gateways, DataCentres: centres, Runners: runners})
	require.NoError(t, err)
	t.Cleanup(f.Stop)
	version := replace(t, f)
	_, err = Await(f.Gateways, patience, func(g *Gateway) bool { return g.Version() == version && g.Daemons() == gateways+1 })
	require.NoError(t, err)
	// Whoever was answered by the leader at the start turns to its parents with its next call.
	time.Sleep(soon)
	return f
}

func replace(t *testing.T, f *Fleet) uint64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	version, err := f.ReplaceTable(ctx)
	require.NoError(t, err)
	return version
}

// rootAndHubs are the gateways of a data centre from which others hear.
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

// without lists the gateways but for some.
func without(all []*Gateway, gone ...*Gateway) []*Gateway {
	var left []*Gateway
	for _, g := range all {
		keep := true
		for _, other := range gone {
			keep = keep && g != other
		}
		if keep {
			left = append(left, g)
		}
	}
	return left
}

// requireNews puts a table in force and takes a runner off the list, and requires that gateways
// learn of the table within a bound after its acknowledgement, and of the runner by and by.
func requireNews(t *testing.T, f *Fleet, at []*Gateway, most time.Duration) {
	t.Helper()
	version := replace(t, f)
	took, err := Await(at, most, func(g *Gateway) bool { return g.Version() >= version })
	require.NoError(t, err, "the table")
	left := f.RemoveRunner()
	_, err = Await(at, patience, func(g *Gateway) bool { return g.Runners() == left })
	require.NoError(t, err, "the list of runners")
	t.Logf("in force at %d gateways after %s", len(at), took)
}
