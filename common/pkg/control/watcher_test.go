package control

import (
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// A daemon restarts while one control VM has been cut off for hours. Its watch
// happens to reach that stale replica, which shows version 4; the quorum
// confirmed version 7. The daemon must not serve by version 4, or a change that
// was in force everywhere would be undone here.
func TestWatcherNeverGoesBack(t *testing.T) {
	scenarios := []struct {
		name    string
		floor   uint64
		updates []uint64
		inForce uint64
		started bool
	}{
		{"below the floor", 7, []uint64{4}, 0, false},
		{"at the floor", 7, []uint64{7}, 7, true},
		{"older after newer", 7, []uint64{9, 8}, 9, true},
		{"nothing accepted yet", 0, []uint64{0}, 0, true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			w := NewWatcher(WatcherConfig{Logger: log.NewNopLogger()})
			w.RaiseMinVersion(s.floor)
			for _, v := range s.updates {
				w.Apply(&toucanhingev1.WatchResponse{Version: v, Whole: true})
			}
			require.Equal(t, s.inForce, w.Fleet().Version)
			select {
			case <-w.Started():
				require.True(t, s.started)
			default:
				require.False(t, s.started)
			}
		})
	}
}
