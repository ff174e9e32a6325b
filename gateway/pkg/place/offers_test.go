package place

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// sortedOffers puts all places of all runners in order, and takes the first.
func sortedOffers(m *Machine, able []*toucanhingev1.Runner, ask Request, hold float64, load func(string) Load) []offer {
	others := 0
	for _, r := range able {
		others += load(r.GetId()).Online - load(r.GetId()).Own
	}
	wanted := 1 + int(spread*float64(others)*float64(ask.Age)/hold+0.5)
	offset := int(ask.TieBreak * float64(len(able)))
	var list []offer
	for i := range able {
		r := able[(i+offset)%len(able)]
		l := load(r.GetId())
		for range min(wanted, mostOffers) {
			turn := turnAt(r, l)
			wait := float64(turn) * hold / float64(r.GetSlots())
			list = append(list, offer{runner: r, turn: turn, wait: wait, cost: wait + m.fixed(0, r, l) + crowd(r, l), order: len(list)})
			l.Online++
		}
	}
	slices.SortStableFunc(list, func(a, b offer) int { return cmp.Compare(a.cost, b.cost) })
	return list[:min(wanted, len(list))]
}

// The best places are the same ones as if all were put in order.
func TestRapidTheBestPlacesAreFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var runners []*toucanhingev1.Runner
		loads := map[string]Load{}
		for n := range rapid.IntRange(1, 30).Draw(t, "runners") {
			r := &toucanhingev1.Runner{Id: fmt.Sprint(n), Service: "llm", Slots: rapid.Uint32Range(1, 8).Draw(t, "slots"), DataCentre: rapid.SampledFrom([]string{"here", "there"}).Draw(t, "centre")}
			runners = append(runners, r)
			own := rapid.IntRange(0, 2).Draw(t, "own")
			loads[r.Id] = Load{
				Own: own, Online: own + rapid.IntRange(0, 9).Draw(t, "online"), Batch: rapid.IntRange(0, 3).Draw(t, "batch"),
				Foreign: rapid.IntRange(0, 1).Draw(t, "foreign"), Unresponsive: rapid.Bool().Draw(t, "silent"),
			}
		}
		m := machineOf(runners...)
		ask := Request{Service: "llm", TieBreak: rapid.Float64Range(0, 0.99).Draw(t, "tie"), Age: clock.Millis(rapid.IntRange(0, 400).Draw(t, "age"))}
		require.Equal(t, sortedOffers(m, runners, ask, firstHold, from(loads)), m.offers(0, runners, ask, firstHold, from(loads)))
	})
}
