package placement

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

// sortedCandidates computes the result of Machine.candidates by sorting all candidates of all runners.
func sortedCandidates(m *Machine, runners []*toucanhingev1.Runner, req Request, hold float64, load func(string) Load) []candidate {
	others := 0
	for _, r := range runners {
		others += load(r.GetId()).Online - load(r.GetId()).Own
	}
	limit := 1 + int(spreadFactor*float64(others)*float64(req.Age)/hold+0.5)
	offset := int(req.TieBreak * float64(len(runners)))
	var list []candidate
	for i := range runners {
		r := runners[(i+offset)%len(runners)]
		l := load(r.GetId())
		for range min(limit, maxCandidatesPerRunner) {
			position := queuePosition(r, l)
			wait := float64(position) * hold / float64(r.GetSlots())
			list = append(list, candidate{runner: r, position: position, wait: wait, cost: wait + m.fixedCost(0, r, l) + loadCost(r, l), order: len(list)})
			l.Online++
		}
	}
	slices.SortStableFunc(list, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	return list[:min(limit, len(list))]
}

// The heap must return the same candidates as sorting all of them.
func TestRapidCandidatesMatchSorting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var runners []*toucanhingev1.Runner
		loads := map[string]Load{}
		for n := range rapid.IntRange(1, 30).Draw(t, "runners") {
			r := &toucanhingev1.Runner{Id: fmt.Sprint(n), Service: "llm", Slots: rapid.Uint32Range(1, 8).Draw(t, "slots"), DataCentre: rapid.SampledFrom([]string{"here", "there"}).Draw(t, "centre")}
			runners = append(runners, r)
			own := rapid.IntRange(0, 2).Draw(t, "own")
			loads[r.Id] = Load{
				Own: own, Online: own + rapid.IntRange(0, 9).Draw(t, "online"), Batch: rapid.IntRange(0, 3).Draw(t, "batch"),
				Foreign: rapid.IntRange(0, 1).Draw(t, "foreign"), Unresponsive: rapid.Bool().Draw(t, "unresponsive"),
			}
		}
		m := newMachine(runners...)
		req := Request{Service: "llm", TieBreak: rapid.Float64Range(0, 0.99).Draw(t, "tie"), Age: clock.Millis(rapid.IntRange(0, 400).Draw(t, "age"))}
		best, _ := m.candidates(0, runners, req, initialHold, loadsFrom(loads))
		require.Equal(t, sortedCandidates(m, runners, req, initialHold, loadsFrom(loads)), best)
	})
}
