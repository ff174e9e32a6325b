package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
)

// Clients say how long answers will be: exactly, as a bound that all share, with errors of
// up to a factor of four, or not at all. Taken at their word, an item of a second was planned
// for six, and one of six seconds for one, and went before those that could be in time.
func TestSizesAreBelievedAsFarAsTheyTell(t *testing.T) {
	for _, c := range []struct {
		name string
		size func(run float64, random *rand.Rand) float64
		// most is the largest mean error of the expected running time, in parts of it.
		least, most float64
	}{
		{"exact", func(run float64, _ *rand.Rand) float64 { return run / 13 }, 0.9, 0.08},
		{"a shared bound", func(float64, *rand.Rand) float64 { return 4_000 }, 0, 0.45},
		{"far off now and then", func(run float64, random *rand.Rand) float64 { return run / 13 * math.Exp(0.7*random.NormFloat64()) }, 0.05, 0.42},
		{"of something else", func(_ float64, random *rand.Rand) float64 { return 1_000 * math.Exp(0.7*random.NormFloat64()) }, 0, 0.45},
		{"not told", func(float64, *rand.Rand) float64 { return 0 }, 0, 0.45},
	} {
		t.Run(c.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			m := &measured{}
			off, count := 0.0, 0.0
			for n := range 2_000 {
				run := 5_000 * math.Exp(0.4*random.NormFloat64())
				i := &item{Item: Item{Key: Key{Job: fmt.Sprint(n)}, Tokens: int64(c.size(run, random))}}
				if n > 100 {
					off += math.Abs(float64(m.expected(i))/run - 1)
					count++
				}
				m.note(i, clock.Millis(run))
			}
			t.Logf("mean error %.3f, slope %.2f", off/count, m.slope())
			require.Less(t, off/count, c.most)
			require.GreaterOrEqual(t, m.slope(), c.least)
		})
	}
}

func TestBeforeAnyRunAllItemsAreAlike(t *testing.T) {
	m := &measured{}
	require.Equal(t, firstRun, m.expected(&item{Item: Item{Tokens: 7}}))
	require.Equal(t, firstRun, m.expected(&item{}))
}
