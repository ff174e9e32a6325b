package occupancy

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// A caller's request waits in the queue of a full runner, in a burst. Its gateway has no
// other call there, so it hears nothing. That the runner works is known from the counts:
// taken for dark, it would be left with nothing to do when its queue is served.
func TestAQueueIsNoSilence(t *testing.T) {
	const first = clock.Millis(1_000)
	for _, c := range []struct {
		name   string
		looks  []clock.Millis
		queued clock.Millis
		begun  bool
		heard  clock.Millis
		want   bool
	}{
		{"nothing came for long", []clock.Millis{150}, 0, false, 0, true},
		{"not long enough", []clock.Millis{149}, 0, false, 0, false},
		{"another call hears from it", []clock.Millis{150}, 0, false, 100, false},
		{"it waits in the queue", []clock.Millis{150, 200, 250}, 250, false, 0, false},
		{"its turn has just come", []clock.Millis{150, 200, 250, 300}, 250, false, 0, false},
		{"its turn came long ago", []clock.Millis{150, 200, 250, 300, 350, 400}, 250, false, 0, true},
		{"its first event came, then nothing, whatever else waits", []clock.Millis{150}, 150, true, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := Detector{Started: c.begun}
			proven := false
			for _, at := range c.looks {
				proven = s.Unresponsive(first+at, first+c.heard, at <= c.queued)
			}
			require.Equal(t, c.want, proven)
		})
	}
}

func TestQueued(t *testing.T) {
	table := New()
	table.Add("a", Load{Online: 1})
	table.ApplyDigest(0, &toucanhingev1.LoadDigest{Source: "other", Epoch: 1, Sequence: 1, Loads: []*toucanhingev1.RunnerLoad{
		{Runner: "a", Online: 1, Batch: 2},
	}})
	require.True(t, table.Queued(0, "a", 3))
	require.False(t, table.Queued(0, "a", 4))
	table.Observe(1, "a", 7)
	require.True(t, table.Queued(1, "a", 4), "foreign work waits in front as well")
}
