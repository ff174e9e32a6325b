package systemstate

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a leader that continues a text at another software version because the log, or a snapshot, doesn't tell
// which one wrote it.
func TestTextKeepsItsSoftwareVersion(t *testing.T) {
	m := newTestMachine(t, t.TempDir())
	apply(t, m, 1, tableStep(1, 0), jobStep("a", 2, 1))
	step := progressStep(0, 0, 2, "1\n2")
	step.GetKeepProgress().Version = "v1"
	apply(t, m, 2, step)
	version := func(s *State, item int) string { return s.Job("a").Items[item].Version }
	m.View(func(s *State) {
		require.Equal(t, "v1", version(s, 0))
		require.Empty(t, version(s, 1))
		restored, err := Restore(Config{}, s.Save())
		require.NoError(t, err)
		require.Equal(t, "v1", version(restored, 0))
	})
	apply(t, m, 3, finishStep("a", 0, "another text"))
	m.View(func(s *State) { require.Empty(t, version(s, 0), "the whole text replaced the one of v1") })
}
