package dispatch

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/seed"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

func TestMain(m *testing.M) { seed.Main(m, 22) }

func testEnvironment(loads map[string]Load, runners ...*toucanhingev1.Runner) Environment {
	return Environment{
		Runners: runners, Load: func(id string) Load { return loads[id] },
		Services: func(string) []string { return []string{"llm"} },
		Near:     func(r *toucanhingev1.Runner) bool { return r.GetDataCentre() == "here" },
	}
}

func testRunner(id string, slots uint32) *toucanhingev1.Runner {
	return &toucanhingev1.Runner{Id: id, Service: "llm", Slots: slots, DataCentre: "here"}
}

func testItem(job string, index uint32, deadline clock.Millis) Item {
	return Item{Key: Key{Job: job, Index: index}, Deadline: deadline, Expires: deadline + 60_000}
}

func TestItemsFillFreeSlots(t *testing.T) {
	m := New()
	for i := range uint32(5) {
		m.Add(testItem("j", i, 10_000))
	}
	loads := map[string]Load{"a": {Online: 3}, "b": {Online: 4}}
	actions := m.Step(0, testEnvironment(loads, testRunner("a", 4), testRunner("b", 4), testRunner("c", 2)))
	require.Len(t, actions.Start, 3)
	require.Empty(t, actions.Pause)
	waiting, running := m.Counts()
	require.Equal(t, 2, waiting)
	require.Equal(t, 3, running)
}

func TestItemsYieldToOnlineWork(t *testing.T) {
	m := New()
	m.Add(testItem("urgent", 0, 5_000))
	m.Add(testItem("relaxed", 0, 50_000))
	a := testRunner("a", 2)
	require.Len(t, m.Step(0, testEnvironment(nil, a)).Start, 2)

	actions := m.Step(10, testEnvironment(map[string]Load{"a": {Online: 1}}, a))
	require.Equal(t, []Key{{Job: "relaxed"}}, actions.Pause, "the item with the later deadline must yield")
	require.Empty(t, actions.Start)

	actions = m.Step(20, testEnvironment(nil, a))
	require.Len(t, actions.Start, 1)
	require.Equal(t, "relaxed", actions.Start[0].Key.Job, "a paused item must resume as soon as a slot is free")
}

func TestItemsAreOrderedByDeadlineWithLateOnesLast(t *testing.T) {
	for _, c := range []struct {
		name      string
		now       clock.Millis
		deadlines []clock.Millis
		want      string
	}{
		{"by deadline", 0, []clock.Millis{20_000, 10_000}, "j1"},
		{"item that is too late waits", 9_000, []clock.Millis{20_000, 10_000}, "j0"},
		{"all late: by deadline", 30_000, []clock.Millis{20_000, 10_000}, "j1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := New()
			for i, deadline := range c.deadlines {
				m.Add(Item{Key: Key{Job: fmt.Sprintf("j%d", i)}, Deadline: deadline, Expires: 90_000})
			}
			actions := m.Step(c.now, testEnvironment(nil, testRunner("a", 1)))
			require.Len(t, actions.Start, 1)
			require.Equal(t, c.want, actions.Start[0].Key.Job)
		})
	}
}

// Two items have the same deadline, and one of them runs four times as long. Started in the order
// of arrival, the long one would be late.
func TestLongItemsStartSooner(t *testing.T) {
	m := New()
	r := testRunner("a", 1)
	measured := testItem("measured", 0, 10_000)
	measured.Tokens = 1_000
	m.Add(measured)
	require.Len(t, m.Step(0, testEnvironment(nil, r)).Start, 1)
	m.Finished(2_000, measured.Key)

	short, long := testItem("short", 0, 20_000), testItem("long", 0, 20_000)
	short.Tokens, long.Tokens = 1_000, 4_000
	m.Add(short)
	m.Add(long)
	started := m.Step(2_000, testEnvironment(nil, r)).Start
	require.Len(t, started, 1)
	require.Equal(t, "long", started[0].Key.Job)

	two := testRunner("a", 2)
	require.Len(t, m.Step(2_100, testEnvironment(nil, two)).Start, 1)
	paused := m.Step(2_200, testEnvironment(map[string]Load{"a": {Online: 1}}, two)).Pause
	require.Equal(t, []Key{short.Key}, paused, "the short item can wait longer")
}

func TestItemsDoNotStartOnUnsuitableRunner(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(*Machine, *Environment, *toucanhingev1.Runner)
	}{
		{"runner is leaving", func(_ *Machine, _ *Environment, r *toucanhingev1.Runner) { r.Leaving = true }},
		{"runner is blocked", func(m *Machine, _ *Environment, _ *toucanhingev1.Runner) { m.Block("a", 1_000) }},
		{"other service", func(_ *Machine, _ *Environment, r *toucanhingev1.Runner) { r.Service = "other" }},
		{"route was removed", func(_ *Machine, s *Environment, _ *toucanhingev1.Runner) {
			s.Services = func(string) []string { return nil }
		}},
		{"foreign work holds the slots", func(_ *Machine, s *Environment, _ *toucanhingev1.Runner) {
			s.Load = func(string) Load { return Load{Foreign: 2} }
		}},
		{"items of another daemon hold the slots", func(_ *Machine, s *Environment, _ *toucanhingev1.Runner) {
			s.Load = func(string) Load { return Load{Batch: 2} }
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := New()
			m.Add(testItem("j", 0, 10_000))
			r := testRunner("a", 2)
			s := testEnvironment(nil, r)
			c.prepare(m, &s, r)
			require.Empty(t, m.Step(0, s).Start)
		})
	}
}

func TestNearRunnerIsPreferredWithEqualFreeSlots(t *testing.T) {
	m := New()
	m.Add(testItem("j", 0, 10_000))
	far := testRunner("far", 2)
	far.DataCentre = "there"
	require.Equal(t, "near", m.Step(0, testEnvironment(nil, far, testRunner("near", 2))).Start[0].Runner.GetId())
	m.Add(testItem("j", 1, 10_000))
	require.Equal(t, "far", m.Step(0, testEnvironment(nil, far, testRunner("near", 2))).Start[0].Runner.GetId())
}

func TestExpiredItemsAreGivenUp(t *testing.T) {
	m := New()
	m.Add(Item{Key: Key{Job: "j"}, Deadline: 10, Expires: 1_000})
	m.Step(0, testEnvironment(nil, testRunner("a", 1)))
	require.Empty(t, m.Step(999, testEnvironment(nil, testRunner("a", 1))).Expired)
	require.Equal(t, []Key{{Job: "j"}}, m.Step(1_000, testEnvironment(nil, testRunner("a", 1))).Expired)
	require.False(t, m.Has(Key{Job: "j"}))
}

func TestStoppedItemWaitsForBackoff(t *testing.T) {
	m := New()
	m.Add(testItem("j", 0, 10_000))
	r := testRunner("a", 1)
	m.Step(0, testEnvironment(nil, r))
	m.Stopped(10, Key{Job: "j"}, 100)
	require.Empty(t, m.Step(50, testEnvironment(nil, r)).Start)
	require.Len(t, m.Step(110, testEnvironment(nil, r)).Start, 1)
	m.Finished(500, Key{Job: "j"})
	require.Empty(t, m.Jobs())
}

// TestRapidSlotsAreNeverExceeded runs arrivals, ends, load changes and leaving runners in random
// order. Items must never use more slots than online work leaves free, each item runs on at most
// one runner, no item is lost, and no slot stays free while items that may start are waiting.
func TestRapidSlotsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		now := clock.Millis(0)
		runners := []*toucanhingev1.Runner{testRunner("a", 2), testRunner("b", 3), testRunner("c", 1)}
		loads := map[string]Load{}
		at := map[Key]string{}
		unfinished := map[Key]bool{}
		next := uint32(0)
		step := func(t *rapid.T) {
			actions := m.Step(now, testEnvironment(loads, runners...))
			for _, key := range actions.Pause {
				require.NotEmpty(t, at[key])
				delete(at, key)
			}
			for _, s := range actions.Start {
				require.Empty(t, at[s.Key], "item runs twice")
				require.False(t, s.Runner.GetLeaving())
				at[s.Key] = s.Runner.GetId()
			}
			for _, key := range actions.Expired {
				delete(at, key)
				delete(unfinished, key)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				i := testItem("j", next, now+clock.Millis(rapid.IntRange(100, 20_000).Draw(t, "deadline")))
				next++
				unfinished[i.Key] = true
				m.Add(i)
				step(t)
			},
			"load": func(t *rapid.T) {
				r := rapid.SampledFrom(runners).Draw(t, "runner")
				loads[r.GetId()] = Load{Online: rapid.IntRange(0, 5).Draw(t, "online"), Batch: rapid.IntRange(0, 1).Draw(t, "batch")}
				step(t)
			},
			"leave": func(t *rapid.T) {
				r := rapid.SampledFrom(runners).Draw(t, "runner")
				r.Leaving = !r.Leaving
				step(t)
			},
			"end": func(t *rapid.T) {
				for key := range at {
					if rapid.Bool().Draw(t, "finished") {
						m.Finished(now, key)
						delete(unfinished, key)
					} else {
						m.Stopped(now, key, 0)
					}
					delete(at, key)
					break
				}
				step(t)
			},
			"time": func(t *rapid.T) {
				now += clock.Millis(rapid.IntRange(1, 5_000).Draw(t, "duration"))
				step(t)
			},
			"": func(t *rapid.T) {
				held := map[string]int{}
				for _, r := range at {
					held[r]++
				}
				free := false
				for _, r := range runners {
					l := loads[r.GetId()]
					available := max(int(r.GetSlots())-l.Online-l.Batch, 0)
					require.LessOrEqual(t, held[r.GetId()], available)
					free = free || held[r.GetId()] < available && !r.GetLeaving()
				}
				waiting, running := m.Counts()
				require.Equal(t, len(at), running)
				require.Equal(t, len(unfinished)-len(at), waiting)
				require.False(t, free && waiting > 0, "slot is free while items wait")
			},
		})
	})
}
