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

// One engine answers late, out of order, short, or with garbage. Each caller
// must get the whole answer to its own request, or an explicit error; a short or
// mixed-up answer must never look whole.
func TestFaultyAnswersNeverLookWhole(t *testing.T) {
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
	ctx := bounded(t)
	f := start(t, fleet.Config{Controls: 1, Gateways: 2, Sidecars: 2})
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			require.NoError(t, f.SetFaults(ctx, f.Engines[0], s.faults))
			whole := streamMany(ctx, t, f, s.name, 40)
			require.NotZero(t, whole)
			t.Logf("%d of 40 whole, the rest refused or broken off openly", whole)
		})
	}
}

// streamMany makes calls at once and checks that what looks whole is right.
func streamMany(ctx context.Context, t *testing.T, f *fleet.Fleet, name string, count int) int {
	t.Helper()
	outcomes := make([]load.Outcome, count)
	var calls sync.WaitGroup
	for n := range count {
		calls.Go(func() {
			outcomes[n] = f.Target(n).Call(ctx, load.Chat(fmt.Sprintf("%s-%d", name, n), fleet.Model, ownPrompt(name, n), 20), time.Now())
		})
	}
	calls.Wait()
	whole := 0
	for n, o := range outcomes {
		if o.Complete {
			require.Equal(t, engine.ChatText(ownPrompt(name, n), 20), o.Text)
			whole++
			continue
		}
		t.Log(o)
		require.True(t, o.Reason != "" || o.Err != nil, "call %d ended without a word: %+v", n, o)
	}
	return whole
}

func ownPrompt(name string, n int) string { return fmt.Sprintf("ITEM[%s-%d] which parcel", name, n) }

// Many more calls come than the fleet takes. Every refusal that says "not run"
// is checked against the engines' ledgers: the engines never saw its request.
func TestRefusedAsNotRunWasNotRun(t *testing.T) {
	t.Parallel()
	ctx := bounded(t)
	f := start(t, fleet.Config{Controls: 1, Gateways: 2, Sidecars: 2, Engine: fleet.Engine{Slots: 2, Speed: 1}})
	const count = 600
	outcomes := make([]load.Outcome, count)
	var calls sync.WaitGroup
	for n := range count {
		calls.Go(func() {
			request := load.Chat(fmt.Sprintf("crowd-%d", n), fleet.Model, ownPrompt("crowd", n), 20)
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
