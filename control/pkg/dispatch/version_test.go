package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

func versionedRunner(id, version string, slots uint32) *toucanhingev1.Runner {
	r := testRunner(id, slots)
	r.Version = version
	return r
}

// Guards against an item that loses its text, or waits for long, because slots are free at other software versions only.
func TestPausedItemWaitsForItsSoftwareVersion(t *testing.T) {
	const ran clock.Millis = 2_000
	old, gone := versionedRunner("a", "v1", 1), versionedRunner("a", "v1", 1)
	gone.Leaving = true
	for _, c := range []struct {
		name string
		// version is the software version of the item's text as far as the driver knows.
		version string
		old     *toucanhingev1.Runner
		busy    bool
		// wait is how long the item has been passed over.
		wait clock.Millis
		want string
	}{
		{"its version has a slot", "v1", old, false, 0, "a"},
		{"its version has no slot", "v1", old, true, ran - 1, ""},
		{"its version has had no slot for as long as it ran", "v1", old, true, ran, "b"},
		{"its version gets a slot after that", "v1", old, false, ran, "a"},
		{"its version leaves", "v1", gone, true, 0, "b"},
		{"it has no text", "", old, true, 0, "b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := New()
			m.Add(testItem("j", 0, 100_000))
			require.Len(t, m.Step(1, testEnvironment(nil, old)).Start, 1)
			online := map[string]Load{"a": {Online: 1}}
			require.Len(t, m.Step(1+ran, testEnvironment(online, old)).Pause, 1)
			m.SetVersion(Key{Job: "j"}, c.version)
			if !c.busy {
				online = nil
			}
			runners := []*toucanhingev1.Runner{c.old, versionedRunner("b", "v2", 1)}
			if c.wait > 0 {
				require.Empty(t, m.Step(2+ran, testEnvironment(map[string]Load{"a": {Online: 1}}, runners...)).Start)
			}
			actions := m.Step(2+ran+c.wait, testEnvironment(online, runners...))
			if c.want == "" {
				require.Empty(t, actions.Start)
				return
			}
			require.Len(t, actions.Start, 1)
			require.Equal(t, c.want, actions.Start[0].Runner.GetId())
			if c.want == "b" && c.version != "" {
				require.Less(t, m.items[Key{Job: "j"}].work(2+ran+c.wait), ran, "its work is lost")
			}
		})
	}
}

// Guards against free slots that stay unused because the items that go first can't use them.
func TestItemsOfAnotherVersionLeaveSlotsToOthers(t *testing.T) {
	m := New()
	for n := range uint32(4) {
		item := testItem("urgent", n, 5_000)
		item.Version = "v1"
		m.Add(item)
		m.Add(testItem("later", n, 50_000))
	}
	runners := []*toucanhingev1.Runner{versionedRunner("a", "v1", 2), versionedRunner("b", "v2", 2)}
	started := map[string][]string{}
	for now := range clock.Millis(3) {
		for _, s := range m.Step(now+1, testEnvironment(map[string]Load{"a": {Online: 1}}, runners...)).Start {
			started[s.Runner.GetId()] = append(started[s.Runner.GetId()], s.Key.Job)
		}
	}
	require.Equal(t, map[string][]string{"a": {"urgent"}, "b": {"later", "later"}}, started)
}

// Guards against a move to a faster runner that can't continue the text.
func TestMoveKeepsSoftwareVersion(t *testing.T) {
	for _, c := range []struct {
		name, version string
		moves         bool
	}{{"same version", "v1", true}, {"another version", "v2", false}} {
		t.Run(c.name, func(t *testing.T) {
			m := New()
			m.Add(testItem("j", 0, 2_000))
			runners := []*toucanhingev1.Runner{versionedRunner("slow", "v1", 1), versionedRunner("fast", c.version, 1)}
			env := testEnvironment(map[string]Load{"fast": {Online: 1}}, runners...)
			env.Pace = func(id string) float64 { return map[string]float64{"slow": 1.8, "fast": 0.2}[id] }
			require.Len(t, m.Step(1, env).Start, 1)
			env.Load = func(string) Load { return Load{} }
			require.Equal(t, c.moves, len(m.Step(50, env).Move) == 1)
		})
	}
}
