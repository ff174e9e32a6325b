package batchrun

import (
	"context"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Items of many jobs finish within some milliseconds. Each learns the outcome of its own step,
// and the group logs a few commands.
func TestStepsThatComeTogetherAreLoggedTogether(t *testing.T) {
	var mu sync.Mutex
	commands := 0
	l := &groupCommit{propose: func(_ context.Context, steps ...*toucanhingev1.SystemStep) ([]any, error) {
		mu.Lock()
		defer mu.Unlock()
		commands++
		require.LessOrEqual(t, len(steps), mostSteps)
		var answers []any
		for _, s := range steps {
			answers = append(answers, s.GetFinishItem().GetItem())
		}
		return answers, nil
	}}
	var finishing sync.WaitGroup
	for i := range uint32(200) {
		finishing.Go(func() {
			answer, err := l.log(t.Context(), &toucanhingev1.SystemStep{Step: &toucanhingev1.SystemStep_FinishItem{
				FinishItem: &toucanhingev1.FinishItemStep{Item: i},
			}})
			require.NoError(t, err)
			require.Equal(t, i, answer)
		})
	}
	finishing.Wait()
	require.Less(t, commands, 20)
}

func TestAFailedCommandIsToldToEachStep(t *testing.T) {
	l := &groupCommit{propose: func(context.Context, ...*toucanhingev1.SystemStep) ([]any, error) { return nil, errWire }}
	_, err := l.log(t.Context(), &toucanhingev1.SystemStep{})
	require.ErrorIs(t, err, errWire)
	l.propose = func(context.Context, ...*toucanhingev1.SystemStep) ([]any, error) { return nil, nil }
	_, err = l.log(t.Context(), &toucanhingev1.SystemStep{})
	require.ErrorIs(t, err, errUnanswered)
}
