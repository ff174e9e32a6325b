package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
)

// Clients declare the length of answers exactly, as a bound that all items share, with errors of
// up to a factor of four, or not at all. When declared lengths were used as they are, an item of
// one second was planned for six seconds and one of six seconds for one, and the latter ran before
// items that could still meet their deadlines.
func TestRunTimeModelLearnsInfluenceOfSize(t *testing.T) {
	for _, c := range []struct {
		name string
		size func(run float64, random *rand.Rand) float64
		// minSlope is the minimum learned slope, and maxError the maximum mean relative error of
		// the estimated run time.
		minSlope, maxError float64
	}{
		{"exact", func(run float64, _ *rand.Rand) float64 { return run / 13 }, 0.9, 0.08},
		{"shared bound", func(float64, *rand.Rand) float64 { return 4_000 }, 0, 0.45},
		{"with errors", func(run float64, random *rand.Rand) float64 { return run / 13 * math.Exp(0.7*random.NormFloat64()) }, 0.05, 0.42},
		{"unrelated", func(_ float64, random *rand.Rand) float64 { return 1_000 * math.Exp(0.7*random.NormFloat64()) }, 0, 0.45},
		{"unknown", func(float64, *rand.Rand) float64 { return 0 }, 0, 0.45},
	} {
		t.Run(c.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			model := &runTimeModel{}
			errorSum, count := 0.0, 0.0
			for n := range 2_000 {
				run := 5_000 * math.Exp(0.4*random.NormFloat64())
				i := &item{Item: Item{Key: Key{Job: fmt.Sprint(n)}, Tokens: int64(c.size(run, random))}}
				if n > 100 {
					errorSum += math.Abs(float64(model.cachedEstimate(i))/run - 1)
					count++
				}
				model.record(i, clock.Millis(run))
			}
			t.Logf("mean error %.3f, slope %.2f", errorSum/count, model.slope())
			require.Less(t, errorSum/count, c.maxError)
			require.GreaterOrEqual(t, model.slope(), c.minSlope)
		})
	}
}

func TestDefaultRunTimeBeforeFirstRun(t *testing.T) {
	model := &runTimeModel{}
	require.Equal(t, defaultRunTime, model.cachedEstimate(&item{Item: Item{Tokens: 7}}))
	require.Equal(t, defaultRunTime, model.cachedEstimate(&item{}))
}
