package carrier

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestChoose(t *testing.T) {
	near, alsoNear, far := Gateway{"a", "here"}, Gateway{"b", "here"}, Gateway{"c", "there"}
	for _, c := range []struct {
		name     string
		gateways []Gateway
		prepare  func(*chooser)
		want     string
	}{
		{"a near one", []Gateway{far, near}, nil, "a"},
		{"a far one if there is no other", []Gateway{far}, nil, "c"},
		{"the one that carries less", []Gateway{near, alsoNear}, func(c *chooser) { c.calls["a"] = 3 }, "b"},
		{"a near one that carries more before a far one", []Gateway{far, near}, func(c *chooser) { c.calls["a"] = 3 }, "a"},
		{"not one that didn't take a call", []Gateway{near, far}, func(c *chooser) { c.accuse(9, "a") }, "c"},
		{"but later again", []Gateway{near, far}, func(c *chooser) { c.accuse(10-suspectTime, "a") }, "a"},
		{"none", nil, nil, ""},
		{"none that takes calls", []Gateway{near}, func(c *chooser) { c.accuse(9, "a") }, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newChooser()
			if c.prepare != nil {
				c.prepare(m)
			}
			address, found := m.choose(10, c.gateways, "here", 0)
			require.Equal(t, c.want, address)
			require.Equal(t, c.want != "", found)
		})
	}
}

// A gateway's loss breaks off what it carries, so no gateway carries much more than
// the others near it.
func TestCallsAreSpreadAndGivenBack(t *testing.T) {
	m := newChooser()
	gateways := []Gateway{{"a", "here"}, {"b", "here"}, {"c", "there"}}
	for range 6 {
		_, found := m.choose(0, gateways, "here", 0)
		require.True(t, found)
	}
	require.Equal(t, map[string]int{"a": 3, "b": 3}, m.calls)
	for range 3 {
		m.leave("a")
		m.leave("b")
	}
	require.Empty(t, m.calls)
}
