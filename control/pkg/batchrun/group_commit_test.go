package batchrun

import (
	"context"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Items of many jobs finish within a few milliseconds. Each must get the result of its own step, and the
// steps must be logged by a few commands.
func TestGroupCommitBatchesConcurrentSteps(t *testing.T) {
	var mu sync.Mutex
	commands := 0
	g := &groupCommit{propose: func(_ context.Context, steps ...*toucanhingev1.SystemStep) ([]any, error) {
		mu.Lock()
		defer mu.Unlock()
		commands++
		require.LessOrEqual(t, len(steps), maxStepsPerCommand)
		var results []any
		for _, s := range steps {
			results = append(results, s.GetFinishItem().GetItem())
		}
		return results, nil
	}}
	var finishing sync.WaitGroup
	for i := range uint32(200) {
		finishing.Go(func() {
			result, err := g.log(t.Context(), &toucanhingev1.SystemStep{Step: &toucanhingev1.SystemStep_FinishItem{
				FinishItem: &toucanhingev1.FinishItemStep{Item: i},
			}})
			require.NoError(t, err)
			require.Equal(t, i, result)
		})
	}
	finishing.Wait()
	require.Less(t, commands, 20)
}

func TestGroupCommitReturnsErrorToEachStep(t *testing.T) {
	g := &groupCommit{propose: func(context.Context, ...*toucanhingev1.SystemStep) ([]any, error) { return nil, errWire }}
	_, err := g.log(t.Context(), &toucanhingev1.SystemStep{})
	require.ErrorIs(t, err, errWire)
	g.propose = func(context.Context, ...*toucanhingev1.SystemStep) ([]any, error) { return nil, nil }
	_, err = g.log(t.Context(), &toucanhingev1.SystemStep{})
	require.ErrorIs(t, err, errResultCount)
}
