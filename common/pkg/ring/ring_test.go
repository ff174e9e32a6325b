package ring

import (
	"context"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"
)

func TestRingRefusesWhenFull(t *testing.T) {
	refused := prometheus.NewCounter(prometheus.CounterOpts{Name: "refused"})
	r := New[int](Config{Size: 2, Refused: refused})
	require.True(t, r.Offer(1))
	require.True(t, r.Offer(2))
	require.False(t, r.Offer(3))
	require.InDelta(t, 1, testutil.ToFloat64(refused), 0)
	require.Equal(t, []int{1, 2}, r.Drain(5))
	require.Zero(t, r.Len())
}

func TestRingPutReturnsWhenContextEnds(t *testing.T) {
	r := New[int](Config{Size: 1})
	ctx, cancel := context.WithCancel(context.Background())
	require.NoError(t, r.Put(ctx, 1))
	cancel()
	require.ErrorIs(t, r.Put(ctx, 2), context.Canceled)
}
