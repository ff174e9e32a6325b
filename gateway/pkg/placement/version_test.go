package placement

import (
	"testing"

	"github.com/stretchr/testify/require"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Guards against a stream that goes on at a runner of another software version because that one is free, near, or the only
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
