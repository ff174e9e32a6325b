package plain

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/seed"
)

func TestMain(m *testing.M) {
	seed.Main(m, 1)
}

// Requests repeat in any order and at any time. A started request must not start again
// within the retention time, the number of recorded requests never exceeds the limit, and
// a start that was undone may be repeated.
func TestRapidDeduplicator(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxRequests, retention = 3, clock.Millis(100)
		d := New(Config{MaxRequests: maxRequests, Retention: retention})
		now := clock.Millis(0)
		startedAt := map[string]clock.Millis{}
		isRecorded := func(key string) bool {
			at, known := startedAt[key]
			return known && now-at < retention
		}
		name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"})
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				key := name.Draw(t, "key")
				recorded := 0
				for other := range startedAt {
					if isRecorded(other) {
						recorded++
					}
				}
				want := Fresh
				switch {
				case isRecorded(key):
					want = AlreadyStarted
				case recorded == maxRequests:
					want = Full
				}
				require.Equal(t, want, d.Start(now, key))
				if want == Fresh {
					startedAt[key] = now
				}
			},
			"undo": func(t *rapid.T) {
				key := name.Draw(t, "key")
				d.Undo(key)
				delete(startedAt, key)
			},
			"time": func(t *rapid.T) { now += clock.Millis(rapid.IntRange(1, 60).Draw(t, "passed")) },
			"":     func(t *rapid.T) { require.LessOrEqual(t, len(d.started), maxRequests) },
		})
	})
}
