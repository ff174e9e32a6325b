package occupancy

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// runnerState is all that the cache under test reads of a runner.
type runnerState struct {
	Total, Own   Load
	Foreign      int
	Unresponsive bool
}

func runnerStateAt(now clock.Millis, runner string, t *Table) runnerState {
	return runnerState{Total: t.Load(runner), Own: t.Own(runner), Foreign: t.Foreign(now, runner), Unresponsive: t.Unresponsive(now, runner)}
}

// A missed change would let items delay online requests until something else changes at that
// runner. Every change that other daemons send must show after the next refresh.
func TestRapidCacheReadsEveryChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var runners []*toucanhingev1.Runner
		for n := range 4 {
			runners = append(runners, &toucanhingev1.Runner{Id: fmt.Sprint(n)})
		}
		table, cache := New(), Cache[runnerState]{Read: runnerStateAt}
		now, sequence := clock.Millis(1_000), uint64(0)
		runner := rapid.StringMatching("[0-5]")
		t.Repeat(map[string]func(*rapid.T){
			"a daemon sends a digest": func(t *rapid.T) {
				sequence++
				d := &toucanhingev1.LoadDigest{Source: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "source"), Epoch: 1, Sequence: sequence}
				for _, id := range rapid.SliceOfNDistinct(runner, 0, 3, rapid.ID).Draw(t, "runners") {
					d.Loads = append(d.Loads, &toucanhingev1.RunnerLoad{Runner: id, Online: uint32(rapid.IntRange(0, 3).Draw(t, "online"))})
				}
				table.ApplyDigest(now, d)
			},
			"own work": func(t *rapid.T) { table.Add(runner.Draw(t, "runner"), Load{Batch: 1}) },
			"a data centre sends a summary": func(t *rapid.T) {
				sequence++
				table.ApplySummary(now, &toucanhingev1.LoadDigest{
					Source: "r", Epoch: 1, Sequence: sequence, DataCentre: "there", Partial: rapid.Bool().Draw(t, "partial"),
					Loads: []*toucanhingev1.RunnerLoad{{Runner: runner.Draw(t, "runner"), Online: uint32(rapid.IntRange(0, 2).Draw(t, "online"))}},
				})
			},
			"foreign work is found": func(t *rapid.T) {
				table.Observe(now, runner.Draw(t, "runner"), rapid.IntRange(0, 9).Draw(t, "held"))
			},
			"a runner becomes unresponsive or responsive": func(t *rapid.T) {
				table.SetUnresponsive(now, runner.Draw(t, "runner"), rapid.Bool().Draw(t, "unresponsive"))
			},
			"time passes": func(t *rapid.T) {
				now += clock.Millis(rapid.IntRange(1, 1_500).Draw(t, "duration"))
				table.Expire(now)
			},
			"the list of runners changes": func(*rapid.T) {
				runners = append([]*toucanhingev1.Runner{}, runners...)
				runners = append(runners, &toucanhingev1.Runner{Id: fmt.Sprint(len(runners))})
			},
			"": func(t *rapid.T) {
				before := map[string]runnerState{}
				for id, l := range cache.loads {
					before[id] = l
				}
				changed := map[string]bool{}
				for _, r := range cache.Refresh(now, runners, table) {
					changed[r.GetId()] = true
				}
				for _, r := range runners {
					want, got := runnerStateAt(now, r.GetId(), table), cache.Get(r.GetId())
					// Values that merely expired stay in the cache until the full refresh.
					if got.Foreign != want.Foreign {
						require.Zero(t, want.Foreign)
						got.Foreign = 0
					}
					if got.Unresponsive != want.Unresponsive {
						require.False(t, want.Unresponsive)
						got.Unresponsive = false
					}
					require.Equal(t, want, got)
					if l, known := before[r.GetId()]; !known || l != cache.Get(r.GetId()) {
						require.True(t, changed[r.GetId()], "runner %s", r.GetId())
					}
				}
			},
		})
	})
}
