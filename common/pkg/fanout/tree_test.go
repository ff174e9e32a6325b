package fanout

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/seed"
)

func TestMain(m *testing.M) { seed.Main(m, 34) }

func fleetOf(gateways, centres int) []Gateway {
	var list []Gateway
	for n := range gateways {
		centre := n % centres
		list = append(list, Gateway{Address: fmt.Sprintf("10.%d.%d.%d:7720", centre, 64+n/centres/250, n/centres%250), DataCentre: fmt.Sprint("dc-", centre)})
	}
	return list
}

// children counts those whose best parent each gateway is; the leader's stand under "".
func children(t Tree, list []Gateway) map[string]int {
	counts := map[string]int{}
	for _, g := range list {
		parents := t.Parents(g)
		if len(parents) == 0 {
			counts[""]++
			continue
		}
		counts[parents[0]]++
	}
	return counts
}

// What the leader tells grows with the data centres, and what a gateway tells with the square
// root of those in its own: with one of both growing like the fleet, the busiest process is the
// first to give way when the fleet doubles.
func TestWhatOneTellsDoesNotGrowWithTheFleet(t *testing.T) {
	for _, gateways := range []int{33, 89, 314, 628, 1_000, 2_000} {
		for _, centres := range []int{1, 5, 8} {
			list := fleetOf(gateways, centres)
			counts := children(New(list), list)
			require.Equal(t, centres, counts[""], "%d gateways, %d data centres", gateways, centres)
			root := math.Sqrt(float64(gateways)/float64(centres) + 1)
			delete(counts, "")
			for address, count := range counts {
				require.LessOrEqual(t, float64(count), 3*root+2, "%s of %d gateways in %d data centres", address, gateways, centres)
			}
		}
	}
}

func TestASmallFleetHearsTheLeader(t *testing.T) {
	list := fleetOf(MaxDirect, 2)
	tree := New(list)
	require.True(t, tree.Empty())
	require.Equal(t, MaxDirect, children(tree, list)[""])
	require.False(t, New(fleetOf(MaxDirect+1, 2)).Empty())
	require.Empty(t, Tree{}.Parents(list[0]))
}

func TestParents(t *testing.T) {
	list := fleetOf(100, 1)
	tree := New(list)
	for rank, r := range tree.centres["dc-0"] {
		parents := tree.Parents(Gateway{Address: r.address, DataCentre: "dc-0"})
		switch {
		case rank == 0:
			require.Empty(t, parents)
		case rank == 1:
			require.Equal(t, []string{tree.centres["dc-0"][0].address}, parents)
		case rank <= 10:
			require.Equal(t, addresses(tree.centres["dc-0"][:2]), parents, "a hub hears the root, or else the first hub")
		default:
			require.Len(t, parents, 3)
			require.Equal(t, tree.centres["dc-0"][0].address, parents[2], "the root is the last choice")
		}
	}
	stranger := Gateway{Address: "10.9.9.9:1", DataCentre: "dc-0"}
	require.NotEmpty(t, tree.Parents(stranger), "one that isn't known yet has its parents")
	require.Empty(t, tree.Parents(Gateway{Address: "10.9.9.9:1", DataCentre: "nowhere"}))
}

// A gateway that stops or starts must not make all others of its data centre turn to new
// parents, each with a new connection: a dozen of them do so every second.
func TestOneThatComesOrGoesMovesFewOthers(t *testing.T) {
	list := fleetOf(130, 1)
	before := New(list)
	moved, worst := 0, 0
	for gone := range list {
		left := slices.Delete(slices.Clone(list), gone, gone+1)
		after, now := New(left), 0
		for _, g := range left {
			b, a := before.Parents(g), after.Parents(g)
			if len(a) == 0 || len(b) == 0 || a[0] != b[0] {
				now++
			}
		}
		moved += now
		worst = max(worst, now)
	}
	require.LessOrEqual(t, float64(moved)/float64(len(list)), 5.0, "the mean of all")
	require.LessOrEqual(t, worst, 45, "the root, or a hub")
}

// Gateways see different fleets for a moment: one has just started, one is frozen, one hears an
// earlier leader. Whatever each takes for its parents, nobody hears itself over others:
// two that hear only each other would never learn of anything again.
func TestRapidNoCircle(t *testing.T) {
	all := fleetOf(120, 2)
	rapid.Check(t, func(t *rapid.T) {
		parents := map[string][]string{}
		for _, g := range all {
			known := rapid.SliceOfNDistinct(rapid.IntRange(0, len(all)-1), 40, 60, rapid.ID).Draw(t, "known")
			var view []Gateway
			for _, n := range known {
				view = append(view, all[n])
			}
			parents[g.Address] = New(view).Parents(g)
		}
		seen, open := map[string]bool{}, map[string]bool{}
		var visit func(address string)
		visit = func(address string) {
			require.False(t, open[address], "%s hears itself", address)
			if seen[address] {
				return
			}
			seen[address], open[address] = true, true
			for _, p := range parents[address] {
				visit(p)
			}
			delete(open, address)
		}
		for _, g := range all {
			visit(g.Address)
		}
	})
}
