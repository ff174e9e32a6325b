package failure

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/lab/pkg/engine"
	"toucanhinge.example/lab/pkg/fleet"
	"toucanhinge.example/lab/pkg/load"
)

// One engine responds late, out of order, truncated or with garbage. Each caller must get
// the complete response to its own request or an explicit error. A truncated response or
// that of another request must never count as complete.
func TestFaultyResponsesNeverCountAsComplete(t *testing.T) {
	scenarios := []struct {
		name   string
		faults engine.Faults
	}{
		{"out-of-order", engine.Faults{Reorder: true}},
		{"short", engine.Faults{Short: true}},
		{"garbage", engine.Faults{Garbage: true}},
		{"cut", engine.Faults{Cut: true}},
		{"late", engine.Faults{LateMs: 5}},
		{"errors", engine.Faults{Status: 500}},
	}
	t.Parallel()
	ctx := testContext(t)
	f := startFleet(t, fleet.Config{Controls: 1, Gateways: 2, Sidecars: 2})
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			require.NoError(t, f.SetFaults(ctx, f.Engines[0], s.faults))
			complete := streamConcurrently(ctx, t, f, s.name, 40)
			require.NotZero(t, complete)
			t.Logf("%d of 40 calls complete, the others refused or ended with an error", complete)
		})
	}
}

// streamConcurrently makes count calls concurrently. It checks the text of each complete response
// and the explicit error of each other call, and returns the number of complete responses.
func streamConcurrently(ctx context.Context, t *testing.T, f *fleet.Fleet, name string, count int) int {
	t.Helper()
	outcomes := make([]load.Outcome, count)
	var calls sync.WaitGroup
	for n := range count {
		calls.Go(func() {
			outcomes[n] = f.Target(n).Call(ctx, load.Chat(fmt.Sprintf("%s-%d", name, n), fleet.Model, uniquePrompt(name, n), 20), time.Now())
		})
	}
	calls.Wait()
	complete := 0
	for n, o := range outcomes {
		if o.Complete {
			require.Equal(t, engine.ChatText(uniquePrompt(name, n), 20), o.Text)
			complete++
			continue
		}
		t.Log(o)
		require.True(t, o.Reason != "" || o.Err != nil, "call %d ended with neither a reason nor an error: %+v", n, o)
	}
	return complete
}

func uniquePrompt(name string, n int) string { return fmt.Sprintf("ITEM[%s-%d] which parcel", name, n) }

// Many more calls arrive than the fleet can run. For each call refused as not run, the
// ledgers of the engines must show that no engine received its request.
func TestCallsRefusedAsNotRunNeverReachEngines(t *testing.T) {
	t.Parallel()
	ctx := testContext(t)
	f := startFleet(t, fleet.Config{Controls: 1, Gateways: 2, Sidecars: 2, Engine: fleet.Engine{Slots: 2, Speed: 1}})
	const count = 600
	outcomes := make([]load.Outcome, count)
	var calls sync.WaitGroup
	for n := range count {
		calls.Go(func() {
			request := load.Chat(fmt.Sprintf("crowd-%d", n), fleet.Model, uniquePrompt("crowd", n), 20)
			request.DeadlineMs = 1500
			outcomes[n] = f.Target(n).Call(ctx, request, time.Now())
		})
	}
	calls.Wait()
	runs := runsByMark(ctx, t, f)
	refused := 0
	for n, o := range outcomes {
		if o.Run != "no" {
			continue
		}
		refused++
		require.Zero(t, runs[fmt.Sprintf("crowd-%d", n)], "call %d was refused as not run (%s)", n, o.Reason)
	}
	require.NotZero(t, refused)
}
