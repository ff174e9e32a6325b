package occupancy

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// recomputedSum computes the sum from the loads of this daemon and of the included ones.
func recomputedSum(t *Table, includes func(string) bool) map[string]Load {
	sum := map[string]Load{}
	for runner, l := range t.own {
		sum[runner] = sum[runner].plus(l)
	}
	for name, s := range t.sources {
		if !includes(name) {
			continue
		}
		for _, l := range s.loads {
			sum[l.GetRunner()] = sum[l.GetRunner()].plus(loadOf(l))
		}
	}
	for runner, l := range sum {
		if l == (Load{}) {
			delete(sum, runner)
		}
	}
	return sum
}

// The tracked sum must equal the sum of the last digests, and every change must be listed, also
// when daemons stop sending, return or repeat a digest.
func TestRapidTrackedSumMatchesDigests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		includes := func(daemon string) bool { return daemon != "far" }
		table, now, sequence := New(), clock.Millis(1_000), uint64(0)
		table.ApplyDigest(now, digest("a", 1, 1, 2))
		table.TrackLocalSum(includes)
		published := map[string]*toucanhingev1.RunnerLoad{}
		for _, l := range table.LocalLoads(now) {
			published[l.GetRunner()] = l
		}
		table.PopLocalChanges()
		runner := rapid.StringMatching("[0-4]")
		t.Repeat(map[string]func(*rapid.T){
			"a daemon sends a digest": func(t *rapid.T) {
				sequence += uint64(rapid.IntRange(0, 2).Draw(t, "step"))
				d := &toucanhingev1.LoadDigest{Source: rapid.SampledFrom([]string{"a", "b", "far"}).Draw(t, "source"), Epoch: 1, Sequence: 1 + sequence}
				for _, id := range rapid.SliceOfNDistinct(runner, 0, 3, rapid.ID).Draw(t, "runners") {
					d.Loads = append(d.Loads, &toucanhingev1.RunnerLoad{
						Runner: id, Online: uint32(rapid.IntRange(0, 3).Draw(t, "online")), Silent: rapid.Bool().Draw(t, "unresponsive"),
					})
				}
				table.ApplyDigest(now, d)
			},
			"own work": func(t *rapid.T) {
				id := runner.Draw(t, "runner")
				change := 1
				if table.own[id].Online > 0 && rapid.Bool().Draw(t, "ends") {
					change = -1
				}
				table.Add(id, Load{Online: change})
			},
			"time passes": func(t *rapid.T) {
				now += clock.Millis(rapid.IntRange(1, 1_500).Draw(t, "duration"))
				table.Expire(now)
			},
			"": func(t *rapid.T) {
				for _, id := range table.PopLocalChanges() {
					if l := table.LocalLoad(now, id); l != nil {
						published[id] = l
					} else {
						delete(published, id)
					}
				}
				want := recomputedSum(table, includes)
				got := map[string]Load{}
				for id, l := range published {
					if loadOf(l) != (Load{}) {
						got[id] = loadOf(l)
					}
					require.Equal(t, table.local.unresponsive[id] > 0, l.GetSilent(), id)
				}
				require.Equal(t, want, got)
				require.Len(t, table.LocalLoads(now), len(published))
			},
		})
	})
}

// BenchmarkPopLocalChanges measures the work of a relay every 8 ms with 140 daemons in its data
// centre, some of which sent a digest.
func BenchmarkPopLocalChanges(b *testing.B) {
	table := New()
	applyDigest := func(daemon, sequence int) {
		d := &toucanhingev1.LoadDigest{Source: fmt.Sprint(daemon), Epoch: 1, Sequence: uint64(sequence)}
		for n := range 8 {
			d.Loads = append(d.Loads, &toucanhingev1.RunnerLoad{Runner: fmt.Sprint((daemon*7 + n + sequence) % 1_042), Online: 1})
		}
		table.ApplyDigest(0, d)
	}
	table.TrackLocalSum(func(string) bool { return true })
	for daemon := range 140 {
		applyDigest(daemon, 1)
	}
	table.PopLocalChanges()
	for n := range b.N {
		for k := range 4 {
			applyDigest((n*4+k)%140, 2+n)
		}
		for _, runner := range table.PopLocalChanges() {
			table.LocalLoad(0, runner)
		}
	}
}
