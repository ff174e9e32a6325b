package placement

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/seed"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

func TestMain(m *testing.M) { seed.Main(m, 32) }

func newRunner(id, dataCentre string) *toucanhingev1.Runner {
	return &toucanhingev1.Runner{Id: id, Service: "llm", DataCentre: dataCentre, Slots: 4}
}

func newMachine(runners ...*toucanhingev1.Runner) *Machine {
	m := New(Config{DataCentre: "here"})
	m.SetRunners(runners)
	return m
}

func loadsFrom(loads map[string]Load) func(string) Load {
	return func(id string) Load { return loads[id] }
}

func TestSelect(t *testing.T) {
	a, b, far := newRunner("a", "here"), newRunner("b", "here"), newRunner("far", "there")
	draining := newRunner("draining", "here")
	draining.Leaving = true
	other := newRunner("other", "here")
	other.Service = "other"
	for _, c := range []struct {
		name    string
		runners []*toucanhingev1.Runner
		loads   map[string]Load
		prepare func(*Machine)
		req     Request
		want    string
		wait    clock.Millis
	}{
		{"lowest load first", []*toucanhingev1.Runner{a, b}, map[string]Load{"a": {Online: 2}}, nil, Request{}, "b", 0},
		{"own data centre before lowest load", []*toucanhingev1.Runner{a, far}, map[string]Load{"a": {Online: 3}}, nil, Request{}, "a", 0},
		{"free slot in another data centre before a full runner", []*toucanhingev1.Runner{a, far}, map[string]Load{"a": {Online: 4}}, nil, Request{}, "far", 0},
		{"free slot before an item's slot", []*toucanhingev1.Runner{a, far}, map[string]Load{"a": {Online: 1, Batch: 3}}, nil, Request{}, "far", 0},
		{"item's slot before a wait", []*toucanhingev1.Runner{a, b}, map[string]Load{"a": {Online: 4}, "b": {Online: 3, Batch: 1}}, nil, Request{}, "b", 0},
		{"shortest wait", []*toucanhingev1.Runner{a, b}, map[string]Load{"a": {Online: 6}, "b": {Online: 4}}, nil, Request{}, "b", 175},
		{"items don't add to the wait", []*toucanhingev1.Runner{a}, map[string]Load{"a": {Online: 4, Batch: 2}}, nil, Request{}, "a", 175},
		{"foreign calls hold slots", []*toucanhingev1.Runner{a, far}, map[string]Load{"a": {Online: 1, Foreign: 3}}, nil, Request{}, "far", 0},
		{"foreign calls aren't preempted", []*toucanhingev1.Runner{a, b}, map[string]Load{"a": {Online: 2, Foreign: 2}, "b": {Online: 3, Batch: 1}}, nil, Request{}, "b", 0},
		{"foreign calls add to the wait", []*toucanhingev1.Runner{a}, map[string]Load{"a": {Online: 1, Foreign: 4}}, nil, Request{}, "a", 350},
		{"draining runner excluded", []*toucanhingev1.Runner{draining, far}, nil, nil, Request{}, "far", 0},
		{"runner of another service excluded", []*toucanhingev1.Runner{other, far}, nil, nil, Request{}, "far", 0},
		{"tried runner excluded", []*toucanhingev1.Runner{a, far}, nil, nil, Request{Tried: []string{"a"}}, "far", 0},
		{"tried runner as fallback", []*toucanhingev1.Runner{a, draining}, nil, nil, Request{Tried: []string{"a"}}, "a", 0},
		{"blocked runner excluded", []*toucanhingev1.Runner{a, far}, nil, func(m *Machine) { m.Block("a", 11) }, Request{}, "far", 0},
		{"block expired", []*toucanhingev1.Runner{a, far}, nil, func(m *Machine) { m.Block("a", 10) }, Request{}, "a", 0},
		{"deprioritized runner last", []*toucanhingev1.Runner{a, far}, map[string]Load{"far": {Online: 3}}, func(m *Machine) { m.Deprioritize("a", 11) }, Request{}, "far", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newMachine(c.runners...)
			if c.prepare != nil {
				c.prepare(m)
			}
			c.req.Service = "llm"
			choice, found := m.Select(10, c.req, loadsFrom(c.loads))
			require.True(t, found)
			require.Equal(t, c.want, choice.Runner.GetId())
			require.Equal(t, c.wait, choice.Wait)
		})
	}
	_, found := newMachine(draining, other).Select(0, Request{Service: "llm"}, loadsFrom(nil))
	require.False(t, found)
}

func TestSelectSpreadsRequestsOverEqualRunners(t *testing.T) {
	m := newMachine(newRunner("a", "here"), newRunner("b", "here"), newRunner("c", "here"), newRunner("d", "here"))
	counts := map[string]int{}
	for i := range 100 {
		choice, _ := m.Select(0, Request{Service: "llm", TieBreak: float64(i) / 100}, loadsFrom(nil))
		counts[choice.Runner.GetId()]++
	}
	require.Equal(t, map[string]int{"a": 25, "b": 25, "c": 25, "d": 25}, counts)
}

// During a burst two gateways place requests at the same time, and one slot is free in the whole fleet. Neither gateway
// sees the other's request. If both select that slot, one request waits there although queues elsewhere are shorter.
// So the requests must be spread over more runners the older the known load is.
func TestSelectSpreadsRequestsByLoadAge(t *testing.T) {
	var runners []*toucanhingev1.Runner
	loads := map[string]Load{}
	for i := range 8 {
		id := string(rune('a' + i))
		runners = append(runners, newRunner(id, "here"))
		loads[id] = Load{Online: 4, Own: 1}
	}
	loads["a"] = Load{Online: 3, Own: 1}
	m := newMachine(runners...)
	for _, c := range []struct {
		name       string
		age        clock.Millis
		minRunners int
		maxRunners int
	}{
		{"current load: one runner", 0, 1, 1},
		{"23 requests of others that hold a slot for 700 ms: about one isn't visible", 35, 3, 4},
		{"old load: all runners", 300, 8, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			selected := map[string]bool{}
			for i := range 100 {
				choice, _ := m.Select(0, Request{Service: "llm", Draw: float64(i) / 100, Age: c.age}, loadsFrom(loads))
				selected[choice.Runner.GetId()] = true
			}
			require.True(t, selected["a"])
			require.GreaterOrEqual(t, len(selected), c.minRunners)
			require.LessOrEqual(t, len(selected), c.maxRunners)
		})
	}
	for id, l := range loads {
		l.Own = l.Online
		loads[id] = l
	}
	choice, _ := m.Select(0, Request{Service: "llm", Draw: 0.99, Age: 300}, loadsFrom(loads))
	require.Equal(t, "a", choice.Runner.GetId(), "without other gateways all requests are visible")
}

func TestWaitFollowsRecordedHolds(t *testing.T) {
	m := newMachine(newRunner("a", "here"))
	full := loadsFrom(map[string]Load{"a": {Online: 4}})
	for range 200 {
		m.RecordHold("llm", 2_000)
	}
	choice, _ := m.Select(0, Request{Service: "llm"}, full)
	require.InDelta(t, 500, float64(choice.Wait), 5)
	require.Equal(t, 4, m.Slots(0, "llm"))
}

// No eligible runner may have a shorter wait than the selected one, and a draining runner must never be selected.
func TestRapidSelectMinimizesWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var runners []*toucanhingev1.Runner
		loads := map[string]Load{}
		for i := range rapid.IntRange(1, 6).Draw(t, "runners") {
			id := string(rune('a' + i))
			r := newRunner(id, rapid.SampledFrom([]string{"here", "there"}).Draw(t, "data centre"))
			r.Leaving = rapid.Bool().Draw(t, "leaving")
			runners = append(runners, r)
			loads[id] = Load{Online: rapid.IntRange(0, 8).Draw(t, "online"), Batch: rapid.IntRange(0, 4).Draw(t, "batch")}
		}
		m := newMachine(runners...)
		choice, found := m.Select(0, Request{Service: "llm", TieBreak: rapid.Float64Range(0, 0.99).Draw(t, "tie")}, loadsFrom(loads))
		for _, r := range runners {
			if r.GetLeaving() {
				continue
			}
			require.True(t, found)
			wait := clock.Millis(float64(queuePosition(r, loads[r.GetId()])) * initialHold / float64(r.GetSlots()))
			require.LessOrEqual(t, choice.Wait, wait)
		}
		if found {
			require.False(t, choice.Runner.GetLeaving())
		}
	})
}

// A runner that failed calls is blocked and deprioritized, then crashes and restarts under the same id. Both must end
// with the restart.
func TestRestartedRunnerIsEligibleAgain(t *testing.T) {
	m := New(Config{DataCentre: "here"})
	runners := func(startedAt int64) []*toucanhingev1.Runner {
		return []*toucanhingev1.Runner{
			{Id: "a", Service: "llm", Slots: 8, DataCentre: "here", BornMs: startedAt},
			{Id: "b", Service: "llm", Slots: 8, DataCentre: "there", BornMs: 5},
		}
	}
	selected := func() string {
		choice, ok := m.Select(10, Request{Service: "llm"}, func(string) Load { return Load{} })
		require.True(t, ok)
		return choice.Runner.GetId()
	}
	m.SetRunners(runners(1))
	m.Deprioritize("a", 1_000)
	m.Block("a", 1_000)
	require.Equal(t, "b", selected())
	m.SetRunners(runners(1))
	require.Equal(t, "b", selected())
	m.SetRunners(runners(2))
	require.Equal(t, "a", selected())
}
