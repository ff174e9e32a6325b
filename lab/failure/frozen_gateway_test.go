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

// A caller sends a non-idempotent call with its own id, and the gateway freezes while the
// call runs. The caller gets no response, cancels the call and retries it through the
// other gateway. Later the first gateway resumes. The plain service must run the call at
// most once, since the first attempt holds the claim in the durable state.
func TestNonIdempotentCallRunsOnceWhenGatewayFreezes(t *testing.T) {
	t.Parallel()
	ctx := testContext(t)
	f := startFleet(t, fleet.Config{Controls: 3, Gateways: 2, Sidecars: 1, PlainServices: 2})
	for _, n := range f.PlainServices {
		require.NoError(t, f.SetFaults(ctx, n, plain.Faults{LateMs: 300}))
	}
	call := caller.PlainCall{Service: fleet.PlainService, Path: "/pay", Body: "ITEM[pay-7] pay", ID: "pay-7", NonIdempotent: true}
	callErr := make(chan error, 1)
	firstCtx, cancelFirst := context.WithCancel(ctx)
	go func() {
		_, err := callerAt(f, 0).CallPlain(firstCtx, call)
		callErr <- err
	}()
	require.Eventually(t, func() bool { return plainRuns(ctx, t, f, "pay-7") == 1 }, waitTimeout, pollInterval)
	require.NoError(t, f.Gateways[0].Process().Freeze())
	// The run ends, and its response stays unread at the frozen gateway.
	time.Sleep(500 * time.Millisecond)
	cancelFirst()
	require.Error(t, <-callErr)

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
