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

// Requests come again and again, at any time. One that was started is not
// started again for as long as it must be remembered; the memory never holds
// more than its size, and a start that reached nothing may be tried again.
func TestRapidMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size, keep = 3, clock.Millis(100)
		m := New(Config{MaxRequests: size, Retention: keep})
		now := clock.Millis(0)
		startedAt := map[string]clock.Millis{}
		remembered := func(key string) bool {
			at, known := startedAt[key]
			return known && now-at < keep
		}
		name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"})
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				key := name.Draw(t, "key")
				held := 0
				for other := range startedAt {
					if remembered(other) {
						held++
					}
				}
				wants := Fresh
				switch {
				case remembered(key):
					wants = AlreadyStarted
				case held == size:
					wants = Full
				}
				require.Equal(t, wants, m.Start(now, key))
				if wants == Fresh {
					startedAt[key] = now
				}
			},
			"undo": func(t *rapid.T) {
				key := name.Draw(t, "key")
				m.Undo(key)
				delete(startedAt, key)
			},
			"time": func(t *rapid.T) { now += clock.Millis(rapid.IntRange(1, 60).Draw(t, "passed")) },
			"":     func(t *rapid.T) { require.LessOrEqual(t, len(m.started), size) },
		})
	})
}
