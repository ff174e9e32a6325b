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

func around(loads map[string]Load, runners ...*toucanhingev1.Runner) Environment {
	return Environment{
		Runners: runners, Load: func(id string) Load { return loads[id] },
		Services: func(string) []string { return []string{"llm"} },
		Near:     func(r *toucanhingev1.Runner) bool { return r.GetDataCentre() == "here" },
	}
}

func runnerOf(id string, slots uint32) *toucanhingev1.Runner {
	return &toucanhingev1.Runner{Id: id, Service: "llm", Slots: slots, DataCentre: "here"}
}

func itemOf(job string, index uint32, due clock.Millis) Item {
	return Item{Key: Key{Job: job, Index: index}, Deadline: due, Expires: due + 60_000}
}

func TestItemsFillWhatOnlineWorkLeaves(t *testing.T) {
	m := New()
	for i := range uint32(5) {
		m.Add(itemOf("j", i, 10_000))
	}
	loads := map[string]Load{"a": {Online: 3}, "b": {Online: 4}}
	actions := m.Step(0, around(loads, runnerOf("a", 4), runnerOf("b", 4), runnerOf("c", 2)))
	require.Len(t, actions.Start, 3)
	require.Empty(t, actions.Pause)
	waiting, running := m.Counts()
	require.Equal(t, 2, waiting)
	require.Equal(t, 3, running)
}

func TestItemsGiveWayToOnlineWork(t *testing.T) {
	m := New()
	m.Add(itemOf("urgent", 0, 5_000))
	m.Add(itemOf("patient", 0, 50_000))
	a := runnerOf("a", 2)
	require.Len(t, m.Step(0, around(nil, a)).Start, 2)

	actions := m.Step(10, around(map[string]Load{"a": {Online: 1}}, a))
	require.Equal(t, []Key{{Job: "patient"}}, actions.Pause, "the one with more time left gives way")
	require.Empty(t, actions.Start)

	actions = m.Step(20, around(nil, a))
	require.Len(t, actions.Start, 1)
	require.Equal(t, "patient", actions.Start[0].Key.Job, "it goes on as soon as there is room")
}

func TestUrgentItemsGoFirstButLateOnesLast(t *testing.T) {
	for _, c := range []struct {
		name string
		now  clock.Millis
		due  []clock.Millis
		want string
	}{
		{"by when they are due", 0, []clock.Millis{20_000, 10_000}, "j1"},
		{"one that can't be in time waits for one that can", 9_000, []clock.Millis{20_000, 10_000}, "j0"},
		{"all late: by when they were due", 30_000, []clock.Millis{20_000, 10_000}, "j1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := New()
			for i, due := range c.due {
				m.Add(Item{Key: Key{Job: fmt.Sprintf("j%d", i)}, Deadline: due, Expires: 90_000})
			}
			actions := m.Step(c.now, around(nil, runnerOf("a", 1)))
			require.Len(t, actions.Start, 1)
			require.Equal(t, c.want, actions.Start[0].Key.Job)
		})
	}
}

// Two items are due at the same time, and one runs four times as long. Begun in the order
// of arrival the long one would be late, and a team's longest summaries with it.
func TestLongItemsBeginSooner(t *testing.T) {
	m := New()
	r := runnerOf("a", 1)
	measured := itemOf("measured", 0, 10_000)
	measured.Tokens = 1_000
	m.Add(measured)
	require.Len(t, m.Step(0, around(nil, r)).Start, 1)
	m.Finished(2_000, measured.Key)

	short, long := itemOf("short", 0, 20_000), itemOf("long", 0, 20_000)
	short.Tokens, long.Tokens = 1_000, 4_000
	m.Add(short)
	m.Add(long)
	started := m.Step(2_000, around(nil, r)).Start
	require.Len(t, started, 1)
	require.Equal(t, "long", started[0].Key.Job)

	two := runnerOf("a", 2)
	require.Len(t, m.Step(2_100, around(nil, two)).Start, 1)
	paused := m.Step(2_200, around(map[string]Load{"a": {Online: 1}}, two)).Pause
	require.Equal(t, []Key{short.Key}, paused, "the short one can wait longer")
}

func TestWhereItemsMayNotGo(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(*Machine, *Environment, *toucanhingev1.Runner)
	}{
		{"the runner leaves", func(_ *Machine, _ *Environment, r *toucanhingev1.Runner) { r.Leaving = true }},
		{"the runner is blocked", func(m *Machine, _ *Environment, _ *toucanhingev1.Runner) { m.Block("a", 1_000) }},
		{"another service", func(_ *Machine, _ *Environment, r *toucanhingev1.Runner) { r.Service = "other" }},
		{"the route is gone", func(_ *Machine, s *Environment, _ *toucanhingev1.Runner) {
			s.Services = func(string) []string { return nil }
		}},
		{"foreign work holds the places", func(_ *Machine, s *Environment, _ *toucanhingev1.Runner) {
			s.Load = func(string) Load { return Load{Foreign: 2} }
		}},
		{"another daemon's items hold the places", func(_ *Machine, s *Environment, _ *toucanhingev1.Runner) {
			s.Load = func(string) Load { return Load{Batch: 2} }
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := New()
			m.Add(itemOf("j", 0, 10_000))
			r := runnerOf("a", 2)
			s := around(nil, r)
			c.prepare(m, &s, r)
			require.Empty(t, m.Step(0, s).Start)
		})
	}
}

func TestANearRunnerIsTakenIfThereIsAsMuchRoom(t *testing.T) {
	m := New()
	m.Add(itemOf("j", 0, 10_000))
	far := runnerOf("far", 2)
	far.DataCentre = "there"
	require.Equal(t, "near", m.Step(0, around(nil, far, runnerOf("near", 2))).Start[0].Runner.GetId())
	m.Add(itemOf("j", 1, 10_000))
	require.Equal(t, "far", m.Step(0, around(nil, far, runnerOf("near", 2))).Start[0].Runner.GetId())
}

func TestItemsAreGivenUpWhenTheyMayBe(t *testing.T) {
	m := New()
	m.Add(Item{Key: Key{Job: "j"}, Deadline: 10, Expires: 1_000})
	m.Step(0, around(nil, runnerOf("a", 1)))
	require.Empty(t, m.Step(999, around(nil, runnerOf("a", 1))).GiveUp)
	require.Equal(t, []Key{{Job: "j"}}, m.Step(1_000, around(nil, runnerOf("a", 1))).GiveUp)
	require.False(t, m.Has(Key{Job: "j"}))
}

func TestAStoppedItemWaitsForItsPause(t *testing.T) {
	m := New()
	m.Add(itemOf("j", 0, 10_000))
	r := runnerOf("a", 1)
	m.Step(0, around(nil, r))
	m.Stopped(10, Key{Job: "j"}, 100)
	require.Empty(t, m.Step(50, around(nil, r)).Start)
	require.Len(t, m.Step(110, around(nil, r)).Start, 1)
	m.Finished(500, Key{Job: "j"})
	require.Empty(t, m.Jobs())
}

// TestRapidPlacesAreNeverOverfilled plays arrivals, ends, loads and leaving
// runners in any order: items never hold more places than online work leaves,
// each item runs at one runner at most, none is lost, and while items that may
// start wait no place stands empty.
func TestRapidPlacesAreNeverOverfilled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		now := clock.Millis(0)
		runners := []*toucanhingev1.Runner{runnerOf("a", 2), runnerOf("b", 3), runnerOf("c", 1)}
		loads := map[string]Load{}
		at := map[Key]string{}
		open := map[Key]bool{}
		next := uint32(0)
		step := func(t *rapid.T) {
			actions := m.Step(now, around(loads, runners...))
			for _, key := range actions.Pause {
				require.NotEmpty(t, at[key])
				delete(at, key)
			}
			for _, s := range actions.Start {
				require.Empty(t, at[s.Key], "an item runs twice")
				require.False(t, s.Runner.GetLeaving())
				at[s.Key] = s.Runner.GetId()
			}
			for _, key := range actions.GiveUp {
				delete(at, key)
				delete(open, key)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				i := itemOf("j", next, now+clock.Millis(rapid.IntRange(100, 20_000).Draw(t, "due")))
				next++
				open[i.Key] = true
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
						delete(open, key)
					} else {
						m.Stopped(now, key, 0)
					}
					delete(at, key)
					break
				}
				step(t)
			},
			"time": func(t *rapid.T) {
				now += clock.Millis(rapid.IntRange(1, 5_000).Draw(t, "span"))
				step(t)
			},
			"": func(t *rapid.T) {
				held := map[string]int{}
				for _, r := range at {
					held[r]++
				}
				room := false
				for _, r := range runners {
					l := loads[r.GetId()]
					left := max(int(r.GetSlots())-l.Online-l.Batch, 0)
					require.LessOrEqual(t, held[r.GetId()], left)
					room = room || held[r.GetId()] < left && !r.GetLeaving()
				}
				waiting, running := m.Counts()
				require.Equal(t, len(at), running)
				require.Equal(t, len(open)-len(at), waiting)
				require.False(t, room && waiting > 0, "a place stands empty while items wait")
			},
		})
	})
}
