package placement

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Guards against a stream that continues at a runner of another software version because that one is free, near, or the only
// one that answers.
func TestSelectKeepsSoftwareVersion(t *testing.T) {
	list := func() []*toucanhingev1.Runner {
		return []*toucanhingev1.Runner{
			{Id: "a", Service: "llm", DataCentre: "there", Slots: 2, Version: "v1"},
			{Id: "b", Service: "llm", DataCentre: "here", Slots: 8, Version: "v2"},
			{Id: "c", Service: "llm", DataCentre: "there", Slots: 2, Version: "v1"},
			{Id: "d", Service: "other", DataCentre: "here", Slots: 8, Version: "v1"},
		}
	}
	for _, c := range []struct {
		name    string
		request Request
		prepare func(*Machine)
		want    []string
	}{
		{"any version", Request{Service: "llm"}, func(*Machine) {}, []string{"b"}},
		{"its version", Request{Service: "llm", Version: "v1"}, func(*Machine) {}, []string{"a", "c"}},
		{"tried runners of its version last", Request{Service: "llm", Version: "v1", Tried: []string{"a"}}, func(*Machine) {}, []string{"c"}},
		{"all of its version tried", Request{Service: "llm", Version: "v1", Tried: []string{"a", "c"}}, func(*Machine) {}, []string{"a", "c"}},
		{"all of its version blocked", Request{Service: "llm", Version: "v1"}, func(m *Machine) { m.Block("a", 10); m.Block("c", 10) }, nil},
		{"others avoid its runners", Request{Service: "llm", Version: "v1"}, func(m *Machine) { m.SetAvoided(map[string]bool{"a": true, "c": true}) }, []string{"a", "c"}},
		{"no such version", Request{Service: "llm", Version: "v3"}, func(*Machine) {}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := New(Config{DataCentre: "here"})
			m.SetRunners(list())
			c.prepare(m)
			for draw := range 10 {
				c.request.TieBreak, c.request.Draw = float64(draw)/10, float64(draw)/10
				choice, ok := m.Select(0, c.request, func(id string) Load { return Load{Online: map[string]int{"a": 1, "c": 3}[id]} })
				require.Equal(t, len(c.want) > 0, ok)
				if ok {
					require.Contains(t, c.want, choice.Runner.GetId())
				}
			}
		})
	}
}

// Guards against a stream that ends although a runner of its version still serves, and against requests to a runner that
// has been leaving for long.
func TestStreamContinuesAtLeavingRunnerAsLastResort(t *testing.T) {
	const grace clock.Millis = 1_000
	runner := func(id string, leaving bool) *toucanhingev1.Runner {
		return &toucanhingev1.Runner{Id: id, Service: "llm", Slots: 2, Version: "v1", Leaving: leaving}
	}
	for _, c := range []struct {
		name     string
		version  string
		before   []*toucanhingev1.Runner
		after    []*toucanhingev1.Runner
		age      clock.Millis
		tried    []string
		selected string
	}{
		{"it has just begun to leave", "v1", []*toucanhingev1.Runner{runner("a", false)}, []*toucanhingev1.Runner{runner("a", true)}, grace - 1, nil, "a"},
		{"it has been leaving for long", "v1", []*toucanhingev1.Runner{runner("a", false)}, []*toucanhingev1.Runner{runner("a", true)}, grace, nil, ""},
		{"a new request", "", []*toucanhingev1.Runner{runner("a", false)}, []*toucanhingev1.Runner{runner("a", true)}, 0, nil, ""},
		{"another one serves", "v1", []*toucanhingev1.Runner{runner("a", false), runner("b", false)}, []*toucanhingev1.Runner{runner("a", true), runner("b", false)}, 0, nil, "b"},
		{"the other one was tried", "v1", []*toucanhingev1.Runner{runner("a", false), runner("b", false)}, []*toucanhingev1.Runner{runner("a", true), runner("b", false)}, 0, []string{"b"}, "a"},
		{"it was leaving when it became known", "v1", nil, []*toucanhingev1.Runner{runner("a", true)}, 0, nil, ""},
		{"it was leaving before", "v1", []*toucanhingev1.Runner{runner("a", true)}, []*toucanhingev1.Runner{runner("a", true)}, 0, nil, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := New(Config{LeavingGrace: grace})
			now := clock.Millis(5_000)
			for _, list := range [][]*toucanhingev1.Runner{c.before, c.after, c.after} {
				m.RecordLeaving(now, list)
				m.SetRunners(list)
			}
			choice, ok := m.Select(now+c.age, Request{Service: "llm", Version: c.version, Tried: c.tried}, func(string) Load { return Load{} })
			require.Equal(t, c.selected != "", ok)
			require.Equal(t, c.selected, choice.Runner.GetId())
		})
	}
}
