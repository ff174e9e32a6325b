package streamorigin

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Guards against a stream without a record that continues at the only version there is now, although it may have begun at
// another one that was there, or that this gateway hasn't known for long.
func TestOnlyVersion(t *testing.T) {
	const span clock.Millis = 10_000
	type list struct {
		at       clock.Millis
		versions []string
	}
	for _, c := range []struct {
		name  string
		lists []list
		now   clock.Millis
		want  string
	}{
		{"one version for long", []list{{0, []string{"v1", "v1"}}}, span, "v1"},
		{"not known for long", []list{{0, []string{"v1"}}}, span - 1, ""},
		{"two versions", []list{{0, []string{"v1", "v2"}}}, 2 * span, ""},
		{"the other version ended lately", []list{{0, []string{"v1", "v2"}}, {span, []string{"v2"}}}, 2*span - 1, ""},
		{"the other version ended long ago", []list{{0, []string{"v1", "v2"}}, {span, []string{"v2"}}}, 2 * span, "v2"},
		{"one version replaced the other", []list{{0, []string{"v1"}}, {span, []string{"v2"}}}, span + 1, ""},
		{"no runner for a while", []list{{0, []string{"v1"}}, {span, nil}, {span + 1, []string{"v1"}}}, span + 2, "v1"},
		{"another version after a while without runners", []list{{0, []string{"v1"}}, {span, nil}, {span + 1, []string{"v2"}}}, span + 2, ""},
		{"no runner", []list{{0, []string{"v1"}}, {span, nil}}, 2 * span, ""},
		{"a version came and went", []list{{0, []string{"v1"}}, {span, []string{"v1", "v2"}}, {span + 1, []string{"v1"}}}, 2 * span, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := NewHistory()
			for _, l := range c.lists {
				runners := []*toucanhingev1.Runner{{Service: "other", Version: "v9"}}
				for _, version := range l.versions {
					runners = append(runners, &toucanhingev1.Runner{Service: "llm", Version: version})
				}
				h.Update(l.at, runners)
			}
			version, ok := h.Only(c.now, "llm", span)
			require.Equal(t, c.want, version)
			require.Equal(t, c.want != "", ok)
			_, ok = h.Only(c.now, "unknown", span)
			require.False(t, ok)
		})
	}
}

// Guards against a caller that is told that its stream's version is gone, when this gateway doesn't know it yet.
func TestKnowsVersionsThatWereListed(t *testing.T) {
	h := NewHistory()
	h.Update(0, []*toucanhingev1.Runner{{Service: "llm", Version: "v1"}})
	h.Update(1, []*toucanhingev1.Runner{{Service: "llm", Version: "v2"}})
	for origin, known := range map[Origin]bool{
		{Service: "llm", Version: "v1"}: true, {Service: "llm", Version: "v2"}: true, {Service: "llm", Version: "v3"}: false, {Service: "other", Version: "v1"}: false,
	} {
		require.Equal(t, known, h.Knows(origin), origin)
	}
}
