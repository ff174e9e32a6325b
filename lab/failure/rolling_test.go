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

// Every process of the system is stopped with SIGTERM and started again, one
// after the other, while callers stream answers and a job runs. The callers'
// balancer sends new calls only to gateways whose readiness holds. No stream may
// be cut or end short, no call refused for good, and no item lost: each process
// refuses new work first, and finishes or hands back what it has.
func TestRollingStopCutsNoStream(t *testing.T) {
	t.Parallel()
	ctx := bounded(t)
	f := start(t, fleet.Config{Controls: 3, Gateways: 2, Sidecars: 3, Engine: fleet.Engine{Speed: 2}})
	const items = 1500
	job := upload(ctx, t, callerAt(f, 0), "rolling", items)
	calls, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	outcomes := &outcomes{}
	for n := range 8 {
		callers.Go(func() { outcomes.stream(calls, ctx, f, n) })
	}
	for _, n := range f.SystemNodes() {
		require.NoError(t, n.Restart(ctx), n.Name)
	}
	stop()
	callers.Wait()
	require.Empty(t, outcomes.bad)
	require.Greater(t, outcomes.whole, 50)
	waitDecided(ctx, t, callerAt(f, 1), job.ID, items)
	requireExactlyOnce(ctx, t, callerAt(f, 1), job.ID, "rolling", items)
}

type outcomes struct {
	mu    sync.Mutex
	whole int
	bad   []string
}

// stream makes one call after the other until calls ends, each to its end.
func (o *outcomes) stream(calls, ctx context.Context, f *fleet.Fleet, worker int) {
	for n := 0; calls.Err() == nil; n++ {
		target, ok := balanced(ctx, f, worker+n)
		if !ok {
			time.Sleep(poll)
			continue
		}
		prompt := fmt.Sprintf("caller %d asks %d", worker, n)
		outcome := target.Call(ctx, load.Chat(fmt.Sprintf("roll-%d-%d", worker, n), fleet.Model, prompt, 40), time.Now())
		o.note(outcome, engine.ChatText(prompt, 40))
	}
}

func (o *outcomes) note(outcome load.Outcome, want string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if outcome.Complete && outcome.Text == want {
		o.whole++
		return
	}
	o.bad = append(o.bad, outcome.String())
}

// balanced does as the platform's balancer: the next gateway whose readiness holds.
func balanced(ctx context.Context, f *fleet.Fleet, turn int) (load.Target, bool) {
	for k := range f.Gateways {
		n := f.Gateways[(turn+k)%len(f.Gateways)]
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, n.ReadyURL, nil)
		if err != nil {
			return load.Target{}, false
		}
		answer, err := http.DefaultClient.Do(request)
		if err != nil {
			continue
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return f.Target((turn + k) % len(f.Gateways)), true
		}
	}
	return load.Target{}, false
}
