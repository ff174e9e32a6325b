package failure

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/lab/pkg/caller"
	"toucanhinge.example/lab/pkg/fleet"
)

// Two items of a job crash the engine that runs them, and one makes it return an error.
// Each engine is restarted after a crash, as the platform does. These three items must fail
// with a reason, and every other item must be done: an item that ran during a crash is
// retried alone, so poison items don't use up the attempts of items that ran beside them.
func TestPoisonItemsDoNotFailOtherItems(t *testing.T) {
	t.Parallel()
	requireOnlyPoisonItemsFail(t, func(context.Context, *fleet.Fleet) {})
}

// Guards against a sound item that fails because its sidecar is late: an item that ran alone must keep its attempt if the
// sidecar is frozen for longer than the lease, but returns.
func TestFrozenSidecarsDoNotFailItemsThatRunAlone(t *testing.T) {
	t.Parallel()
	requireOnlyPoisonItemsFail(t, freezeSidecars)
}

// requireOnlyPoisonItemsFail runs a job with poison items while disturb disturbs the fleet.
func requireOnlyPoisonItemsFail(t *testing.T, disturb func(context.Context, *fleet.Fleet)) {
	t.Helper()
	ctx := testContext(t)
	f := startFleet(t, fleet.Config{Controls: 1, Gateways: 1, Sidecars: 2})
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var background sync.WaitGroup
	background.Go(func() { restartEndedEngines(ctx, f) })
	background.Go(func() { disturb(ctx, f) })
	const items = 60
	bad := map[int]string{7: "POISON", 31: "POISON", 44: "FAIL"}
	var lines strings.Builder
	for n := range items {
		prompt := itemPrompt("poison", n)
		if text, isBad := bad[n]; isBad {
			prompt = text
		}
		lines.WriteString(caller.ItemLine(fmt.Sprintf("item-%d", n), fleet.Model, prompt, itemTokens))
	}
	c := callerAt(f, 0)
	job, err := c.Upload(ctx, fleet.ModelService, "poison", strings.NewReader(lines.String()))
	require.NoError(t, err)
	waitDecided(ctx, t, c, job.ID, items)
	require.NoError(t, c.Results(ctx, job.ID, 0, func(r caller.Result) error {
		if _, isBad := bad[int(r.Index)]; isBad {
			require.Equal(t, "failed", r.Outcome, "item %d", r.Index)
			require.NotEmpty(t, r.Reason)
			return nil
		}
		require.Equal(t, "done", r.Outcome, "item %d: %s", r.Index, r.Reason)
		return nil
	}))
	stop()
	background.Wait()
}

// freezeSidecars freezes all sidecars for longer than a lease, again and again until the context ends.
func freezeSidecars(ctx context.Context, f *fleet.Fleet) {
	for ctx.Err() == nil {
		for _, n := range f.Sidecars {
			_ = n.Process().Freeze()
		}
		wait(ctx, jobLease+jobLease/5)
		for _, n := range f.Sidecars {
			_ = n.Process().Thaw()
		}
		wait(ctx, jobLease/4)
	}
}

func wait(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// restartEndedEngines restarts each engine that has ended until the context is cancelled.
func restartEndedEngines(ctx context.Context, f *fleet.Fleet) {
	for ctx.Err() == nil {
		for _, n := range f.Engines {
			if n.Process().Ended() && ctx.Err() == nil {
				_ = n.Start()
			}
		}
		time.Sleep(pollInterval)
	}
}
