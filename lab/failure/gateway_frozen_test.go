package failure

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/lab/pkg/caller"
	"toucanhinge.example/lab/pkg/fleet"
	"toucanhinge.example/lab/pkg/plain"
)

// The caller sends a non-idempotent call with its own id. The gateway freezes
// while the call runs; the caller sees silence, gives up and sends it again
// through the other gateway, and the first gateway goes on afterwards. The plain
// service must have run it once at most: the claim in the durable state is held
// by the first try, whatever that gateway still does.
func TestGatewayFrozenInTheMiddleOfANonIdempotentCall(t *testing.T) {
	t.Parallel()
	ctx := bounded(t)
	f := start(t, fleet.Config{Controls: 3, Gateways: 2, Sidecars: 1, PlainServices: 2})
	for _, n := range f.PlainServices {
		require.NoError(t, f.SetFaults(ctx, n, plain.Faults{LateMs: 300}))
	}
	call := caller.PlainCall{Service: fleet.PlainService, Path: "/pay", Body: "ITEM[pay-7] pay", ID: "pay-7", NonIdempotent: true}
	given := make(chan error, 1)
	first, giveUp := context.WithCancel(ctx)
	go func() {
		_, err := callerAt(f, 0).CallPlain(first, call)
		given <- err
	}()
	require.Eventually(t, func() bool { return plainRuns(ctx, t, f, "pay-7") == 1 }, patience, poll)
	require.NoError(t, f.Gateways[0].Process().Freeze())
	// The run ends and its answer waits at the frozen gateway.
	time.Sleep(500 * time.Millisecond)
	giveUp()
	require.Error(t, <-given)

	for range 3 {
		_, err := callerAt(f, 1).CallPlain(ctx, call)
		require.ErrorIs(t, err, caller.ErrRefused)
	}
	require.NoError(t, f.Gateways[0].Process().Thaw())
	require.NoError(t, f.Gateways[0].WaitReady(ctx))
	for g := range f.Gateways {
		_, err := callerAt(f, g).CallPlain(ctx, call)
		require.ErrorIs(t, err, caller.ErrRefused)
	}
	require.Equal(t, 1, plainRuns(ctx, t, f, "pay-7"))
}

func plainRuns(ctx context.Context, t *testing.T, f *fleet.Fleet, id string) int {
	t.Helper()
	runs := 0
	for _, n := range f.PlainServices {
		l, err := f.PlainLedger(ctx, n)
		require.NoError(t, err)
		for _, r := range l.Records {
			if r.ID == id {
				runs += r.Runs
			}
		}
	}
	return runs
}
