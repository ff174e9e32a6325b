package place

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/seed"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

func TestMain(m *testing.M) { seed.Main(m, 32) }

func runnerAt(id, dataCentre string) *toucanhingev1.Runner {
	return &toucanhingev1.Runner{Id: id, Service: "llm", DataCentre: dataCentre, Slots: 4}
}

func machineOf(runners ...*toucanhingev1.Runner) *Machine {
	m := New(Config{DataCentre: "here"})
	m.SetRunners(runners)
	return m
}

func from(loads map[string]Load) func(string) Load {
	return func(id string) Load { return loads[id] }
}

func TestChoose(t *testing.T) {
	a, b, far := runnerAt("a", "here"), runnerAt("b", "here"), runnerAt("far", "there")
	leaving := runnerAt("leaving", "here")
	leaving.Leaving = true
	other := runnerAt("other", "here")
	other.Service = "other"
	for _, c := range []struct {
		name    string
		runners []*toucanhingev1.Runner
		loads   map[string]Load
		prepare func(*Machine)
		ask     Request
		want    string
		wait    clock.Millis
	}{
		{"the emptier one", []*toucanhingev1.Runner{a, b}, map[string]Load{"a": {Online: 2}}, nil, Request{}, "b", 0},
		{"a near one before an emptier far one", []*toucanhingev1.Runner{a, far}, map[string]Load{"a": {Online: 3}}, nil, Request{}, "a", 0},
		{"a free far one before a full near one", []*toucanhingev1.Runner{a, far}, map[string]Load{"a": {Online: 4}}, nil, Request{}, "far", 0},
		{"a free place before an item's", []*toucanhingev1.Runner{a, far}, map[string]Load{"a": {Online: 1, Batch: 3}}, nil, Request{}, "far", 0},
		{"an item's place before a wait", []*toucanhingev1.Runner{a, b}, map[string]Load{"a": {Online: 4}, "b": {Online: 3, Batch: 1}}, nil, Request{}, "b", 0},
		{"the shortest wait", []*toucanhingev1.Runner{a, b}, map[string]Load{"a": {Online: 6}, "b": {Online: 4}}, nil, Request{}, "b", 175},
		{"items don't add to a wait", []*toucanhingev1.Runner{a}, map[string]Load{"a": {Online: 4, Batch: 2}}, nil, Request{}, "a", 175},
		{"foreign work fills places", []*toucanhingev1.Runner{a, far}, map[string]Load{"a": {Online: 1, Foreign: 3}}, nil, Request{}, "far", 0},
		{"foreign work doesn't give way", []*toucanhingev1.Runner{a, b}, map[string]Load{"a": {Online: 2, Foreign: 2}, "b": {Online: 3, Batch: 1}}, nil, Request{}, "b", 0},
		{"foreign work is waited for", []*toucanhingev1.Runner{a}, map[string]Load{"a": {Online: 1, Foreign: 4}}, nil, Request{}, "a", 350},
		{"not one that leaves", []*toucanhingev1.Runner{leaving, far}, nil, nil, Request{}, "far", 0},
		{"not one of another service", []*toucanhingev1.Runner{other, far}, nil, nil, Request{}, "far", 0},
		{"not one that was tried", []*toucanhingev1.Runner{a, far}, nil, nil, Request{Tried: []string{"a"}}, "far", 0},
		{"one that was tried if there is no other", []*toucanhingev1.Runner{a, leaving}, nil, nil, Request{Tried: []string{"a"}}, "a", 0},
		{"not a blocked one", []*toucanhingev1.Runner{a, far}, nil, func(m *Machine) { m.Block("a", 11) }, Request{}, "far", 0},
		{"one that is blocked no longer", []*toucanhingev1.Runner{a, far}, nil, func(m *Machine) { m.Block("a", 10) }, Request{}, "a", 0},
		{"a doubted one last", []*toucanhingev1.Runner{a, far}, map[string]Load{"far": {Online: 3}}, func(m *Machine) { m.Deprioritize("a", 11) }, Request{}, "far", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := machineOf(c.runners...)
			if c.prepare != nil {
				c.prepare(m)
			}
			c.ask.Service = "llm"
			choice, found := m.Select(10, c.ask, from(c.loads))
			require.True(t, found)
			require.Equal(t, c.want, choice.Runner.GetId())
			require.Equal(t, c.wait, choice.Wait)
		})
	}
	_, found := machineOf(leaving, other).Select(0, Request{Service: "llm"}, from(nil))
	require.False(t, found)
}

func TestEqualRunnersShareTheRequests(t *testing.T) {
	m := machineOf(runnerAt("a", "here"), runnerAt("b", "here"), runnerAt("c", "here"), runnerAt("d", "here"))
	counts := map[string]int{}
	for i := range 100 {
		choice, _ := m.Select(0, Request{Service: "llm", TieBreak: float64(i) / 100}, from(nil))
		counts[choice.Runner.GetId()]++
	}
	require.Equal(t, map[string]int{"a": 25, "b": 25, "c": 25, "d": 25}, counts)
}

// Two gateways' callers come at the same moment, in a burst, and one place is free in
// the whole fleet. Each gateway sees it, and not what the other one does. If both took it
// one request would wait for a place there while the queues elsewhere are shorter.
func TestRequestsAreSpreadOverWhatOthersTakeUnseen(t *testing.T) {
	var runners []*toucanhingev1.Runner
	loads := map[string]Load{}
	for i := range 8 {
		id := string(rune('a' + i))
		runners = append(runners, runnerAt(id, "here"))
		loads[id] = Load{Online: 4, Own: 1}
	}
	loads["a"] = Load{Online: 3, Own: 1}
	m := machineOf(runners...)
	for _, c := range []struct {
		name  string
		age   clock.Millis
		least int
		most  int
	}{
		{"what others do is seen at once", 0, 1, 1},
		{"23 requests of others are under way for 700 ms each, so about one is placed unseen", 35, 3, 4},
		{"the picture is old", 300, 8, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			taken := map[string]bool{}
			for i := range 100 {
				choice, _ := m.Select(0, Request{Service: "llm", Draw: float64(i) / 100, Age: c.age}, from(loads))
				taken[choice.Runner.GetId()] = true
			}
			require.True(t, taken["a"])
			require.GreaterOrEqual(t, len(taken), c.least)
			require.LessOrEqual(t, len(taken), c.most)
		})
	}
	for id, l := range loads {
		l.Own = l.Online
		loads[id] = l
	}
	choice, _ := m.Select(0, Request{Service: "llm", Draw: 0.99, Age: 300}, from(loads))
	require.Equal(t, "a", choice.Runner.GetId(), "a gateway that is alone sees all")
}

func TestTheWaitFollowsMeasuredHolds(t *testing.T) {
	m := machineOf(runnerAt("a", "here"))
	full := from(map[string]Load{"a": {Online: 4}})
	for range 200 {
		m.RecordHold("llm", 2_000)
	}
	choice, _ := m.Select(0, Request{Service: "llm"}, full)
	require.InDelta(t, 500, float64(choice.Wait), 5)
	require.Equal(t, 4, m.Slots(0, "llm"))
}

// TestRapidNoWorseRunnerIsChosen compares each choice with all others: none that
// takes work has a shorter wait, and one that waits is taken only if all do.
func TestRapidNoWorseRunnerIsChosen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var runners []*toucanhingev1.Runner
		loads := map[string]Load{}
		for i := range rapid.IntRange(1, 6).Draw(t, "runners") {
			id := string(rune('a' + i))
			r := runnerAt(id, rapid.SampledFrom([]string{"here", "there"}).Draw(t, "data centre"))
			r.Leaving = rapid.Bool().Draw(t, "leaving")
			runners = append(runners, r)
			loads[id] = Load{Online: rapid.IntRange(0, 8).Draw(t, "online"), Batch: rapid.IntRange(0, 4).Draw(t, "batch")}
		}
		m := machineOf(runners...)
		choice, found := m.Select(0, Request{Service: "llm", TieBreak: rapid.Float64Range(0, 0.99).Draw(t, "tie")}, from(loads))
		for _, r := range runners {
			if r.GetLeaving() {
				continue
			}
			require.True(t, found)
			wait := clock.Millis(float64(turnAt(r, loads[r.GetId()])) * firstHold / float64(r.GetSlots()))
			require.LessOrEqual(t, choice.Wait, wait)
		}
		if found {
			require.False(t, choice.Runner.GetLeaving())
		}
	})
}

// A runner failed calls, so it is avoided; then it crashes and starts again under its id. It
// is another one, and may be as good as any.
func TestWhatWasLearntOfARunnerEndsWithIt(t *testing.T) {
	m := New(Config{DataCentre: "here"})
	runners := func(born int64) []*toucanhingev1.Runner {
		return []*toucanhingev1.Runner{
			{Id: "a", Service: "llm", Slots: 8, DataCentre: "here", BornMs: born},
			{Id: "b", Service: "llm", Slots: 8, DataCentre: "there", BornMs: 5},
		}
	}
	choose := func() string {
		choice, ok := m.Select(10, Request{Service: "llm"}, func(string) Load { return Load{} })
		require.True(t, ok)
		return choice.Runner.GetId()
	}
	m.SetRunners(runners(1))
	m.Deprioritize("a", 1_000)
	m.Block("a", 1_000)
	require.Equal(t, "b", choose())
	m.SetRunners(runners(1))
	require.Equal(t, "b", choose())
	m.SetRunners(runners(2))
	require.Equal(t, "a", choose())
}
