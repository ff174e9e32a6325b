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

func fleetOf(gateways, dataCentres int) []Gateway {
	var list []Gateway
	for n := range gateways {
		dataCentre := n % dataCentres
		list = append(list, Gateway{Address: fmt.Sprintf("10.%d.%d.%d:7720", dataCentre, 64+n/dataCentres/250, n/dataCentres%250), DataCentre: fmt.Sprint("dc-", dataCentre)})
	}
	return list
}

// children counts the gateways by preferred parent. The key of the leader is "".
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

// The leader's children must grow with the number of data centres, and those of a gateway with the
// square root of its data centre. If either grew with the fleet, the busiest process would be
// overloaded first when the fleet doubles.
func TestChildrenDoNotGrowWithFleet(t *testing.T) {
	for _, gateways := range []int{33, 89, 314, 628, 1_000, 2_000} {
		for _, dataCentres := range []int{1, 5, 8} {
			list := fleetOf(gateways, dataCentres)
			counts := children(New(list), list)
			require.Equal(t, dataCentres, counts[""], "%d gateways, %d data centres", gateways, dataCentres)
			squareRoot := math.Sqrt(float64(gateways)/float64(dataCentres) + 1)
			delete(counts, "")
			for address, count := range counts {
				require.LessOrEqual(t, float64(count), 3*squareRoot+2, "%s of %d gateways in %d data centres", address, gateways, dataCentres)
			}
		}
	}
}

func TestSmallFleetReceivesFromLeader(t *testing.T) {
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
	for position, r := range tree.dataCentres["dc-0"] {
		parents := tree.Parents(Gateway{Address: r.address, DataCentre: "dc-0"})
		switch {
		case position == 0:
			require.Empty(t, parents)
		case position == 1:
			require.Equal(t, []string{tree.dataCentres["dc-0"][0].address}, parents)
		case position <= 10:
			require.Equal(t, addresses(tree.dataCentres["dc-0"][:2]), parents, "the parents of a hub are the root and the first hub")
		default:
			require.Len(t, parents, 3)
			require.Equal(t, tree.dataCentres["dc-0"][0].address, parents[2], "the root is the last parent")
		}
	}
	unknown := Gateway{Address: "10.9.9.9:1", DataCentre: "dc-0"}
	require.NotEmpty(t, tree.Parents(unknown), "a gateway that isn't in the tree yet has parents")
	require.Empty(t, tree.Parents(Gateway{Address: "10.9.9.9:1", DataCentre: "nowhere"}))
}

// A gateway that stops or starts must change the parents of few others. A dozen gateways do so
// every second, and each new parent costs a new connection.
func TestMembershipChangeMovesFewGateways(t *testing.T) {
	list := fleetOf(130, 1)
	before := New(list)
	moved, worst := 0, 0
	for removed := range list {
		remaining := slices.Delete(slices.Clone(list), removed, removed+1)
		after, movedNow := New(remaining), 0
		for _, g := range remaining {
			b, a := before.Parents(g), after.Parents(g)
			if len(a) == 0 || len(b) == 0 || a[0] != b[0] {
				movedNow++
			}
		}
		moved += movedNow
		worst = max(worst, movedNow)
	}
	require.LessOrEqual(t, float64(moved)/float64(len(list)), 5.0, "mean over all removed gateways")
	require.LessOrEqual(t, worst, 45, "removal of the root or a hub")
}

// Gateways temporarily have different views of the fleet: after a start, while suspended, or with an
// earlier leader. Their parents must never form a cycle, because gateways that receive only from
// one another would get no further updates.
func TestRapidParentsFormNoCycle(t *testing.T) {
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
		seen, visiting := map[string]bool{}, map[string]bool{}
		var visit func(address string)
		visit = func(address string) {
			require.False(t, visiting[address], "%s is in a cycle", address)
			if seen[address] {
				return
			}
			seen[address], visiting[address] = true, true
			for _, p := range parents[address] {
				visit(p)
			}
			delete(visiting, address)
		}
		for _, g := range all {
			visit(g.Address)
		}
	})
}
