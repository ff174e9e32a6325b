package batchrun

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a leader that ends by its memory because items with the largest bodies fill all slots, and against an
// item above the limit that never runs.
func TestBodiesOfRunningItemsAreLimited(t *testing.T) {
	ended, end := context.WithCancel(context.Background())
	end()
	l := newBodyLimit(100)
	require.True(t, l.acquire(context.Background(), 60))
	require.False(t, l.acquire(ended, 60), "a run that is halted while it waits")
	require.True(t, l.acquire(context.Background(), 40))
	l.release(60)
	l.release(40)
	require.True(t, l.acquire(context.Background(), 1000))
	l.release(1000)
	unlimited := newBodyLimit(0)
	require.True(t, unlimited.acquire(context.Background(), 1000))
	unlimited.release(1000)
}
