package failure

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/lab/pkg/engine"
	"toucanhinge.example/lab/pkg/fleet"
	"toucanhinge.example/lab/pkg/load"
)

// Each process of the system is restarted with SIGTERM, one after the other, while callers
// stream responses and a job runs. The simulated load balancer sends new calls only to
// ready gateways. No stream may be truncated, no call finally refused and no item lost:
// a stopping process first refuses new work and then finishes or returns its work.
func TestRollingRestartCutsNoStream(t *testing.T) {
	t.Parallel()
	ctx := testContext(t)
	f := startFleet(t, fleet.Config{Controls: 3, Gateways: 2, Sidecars: 3, Engine: fleet.Engine{Speed: 2}})
	const items = 1500
	job := upload(ctx, t, callerAt(f, 0), "rolling", items)
	callsCtx, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	outcomes := &outcomes{}
	for n := range 8 {
		callers.Go(func() { outcomes.stream(callsCtx, ctx, f, n) })
	}
	for _, n := range f.SystemNodes() {
		require.NoError(t, n.Restart(ctx), n.Name)
	}
	stop()
	callers.Wait()
	require.Empty(t, outcomes.failures)
	require.Greater(t, outcomes.complete, 50)
	waitDecided(ctx, t, callerAt(f, 1), job.ID, items)
	requireExactlyOnce(ctx, t, callerAt(f, 1), job.ID, "rolling", items)
}

type outcomes struct {
	mu       sync.Mutex
	complete int
	failures []string
}

// stream makes calls in sequence until callsCtx ends. The last call still runs to its end.
func (o *outcomes) stream(callsCtx, ctx context.Context, f *fleet.Fleet, worker int) {
	for n := 0; callsCtx.Err() == nil; n++ {
		target, ok := readyTarget(ctx, f, worker+n)
		if !ok {
			time.Sleep(pollInterval)
			continue
		}
		prompt := fmt.Sprintf("caller %d asks %d", worker, n)
		outcome := target.Call(ctx, load.Chat(fmt.Sprintf("roll-%d-%d", worker, n), fleet.Model, prompt, 40), time.Now())
		o.record(outcome, engine.ChatText(prompt, 40))
	}
}

func (o *outcomes) record(outcome load.Outcome, want string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if outcome.Complete && outcome.Text == want {
		o.complete++
		return
	}
	o.failures = append(o.failures, outcome.String())
}

// readyTarget acts as the load balancer of the platform: it returns the next ready gateway, starting at first.
func readyTarget(ctx context.Context, f *fleet.Fleet, first int) (load.Target, bool) {
	for k := range f.Gateways {
		n := f.Gateways[(first+k)%len(f.Gateways)]
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, n.ReadyURL, nil)
		if err != nil {
			return load.Target{}, false
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return f.Target((first + k) % len(f.Gateways)), true
		}
	}
	return load.Target{}, false
}
