package streamorigin

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func gateways(perDataCentre ...int) []Gateway {
	var list []Gateway
	for d, count := range perDataCentre {
		for n := range count {
			list = append(list, Gateway{Address: fmt.Sprintf("10.%d.0.%d:7200", d, n), DataCentre: fmt.Sprint("dc", d)})
		}
	}
	return list
}

func without(list []Gateway, removed ...Gateway) []Gateway {
	return slices.DeleteFunc(slices.Clone(list), func(g Gateway) bool { return slices.Contains(removed, g) })
}

// Guards against a gateway that asks none of the gateways that got the record, in any data centre.
func TestEverySourceListMeetsTheHolders(t *testing.T) {
	for _, list := range [][]Gateway{gateways(2), gateways(3, 3, 2), gateways(3, 2, 2, 2), gateways(40, 40, 39), gateways(1, 1, 1)} {
		for n := range 50 {
			key := KeyOf("", "r", fmt.Sprint(n))
			from, to := list[n%len(list)], list[(n*7+1)%len(list)]
			if from == to {
				continue
			}
			holders := append(Holders(key, from, without(list, from)), from.Address)
			asked := append(Sources(key, to, without(list, to)), to.Address)
			met := slices.ContainsFunc(asked, func(a string) bool { return slices.Contains(holders, a) })
			require.True(t, met, "holders %v, asked %v", holders, asked)
			require.LessOrEqual(t, len(holders), nearHolders+farHolders+1)
		}
	}
}

// Guards against records that are lost with the gateways that hold them: a third of all gateways, the one that began the
// stream among them, are killed at the same moment. At least half of the streams must be found, also while the
// gateways still count the killed ones.
func TestRecordsOutliveKilledGateways(t *testing.T) {
	for _, list := range [][]Gateway{gateways(3, 3, 2), gateways(3, 2, 2, 2), gateways(30, 30, 29)} {
		random := rand.New(rand.NewPCG(1, 2))
		found, asked := 0, 0
		for n := range 3_000 {
			key := KeyOf("", "r", fmt.Sprint(n))
			random.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
			killed, alive := list[:len(list)/3], list[len(list)/3:]
			from, to := killed[0], alive[0]
			holders := Holders(key, from, without(list, from))
			reached := func(address string) bool {
				return slices.Contains(holders, address) && slices.ContainsFunc(alive, func(g Gateway) bool { return g.Address == address })
			}
			asked++
			if reached(to.Address) || slices.ContainsFunc(Sources(key, to, without(list, to)), reached) {
				found++
			}
		}
		require.Greater(t, float64(found)/float64(asked), 0.75, "%d gateways", len(list))
	}
}

// Guards against a gateway that holds most of the records.
func TestRecordsAreSpread(t *testing.T) {
	list := gateways(30, 30, 29)
	counts := map[string]int{}
	const streams = 10_000
	for n := range streams {
		from := list[n%len(list)]
		for _, h := range Holders(KeyOf("", "r", fmt.Sprint(n)), from, without(list, from)) {
			counts[h]++
		}
	}
	mean := streams * (nearHolders + farHolders) / len(list)
	for address, count := range counts {
		require.Less(t, count, 2*mean, address)
	}
}

// A decision at the size that the fleet is designed for.
func BenchmarkHolders380(b *testing.B) {
	list := gateways(48, 48, 48, 48, 47, 47, 47, 47)
	for n := range b.N {
		Holders(Key{byte(n), byte(n >> 8)}, list[0], list[1:])
	}
}
