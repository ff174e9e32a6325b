package failure

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/lab/pkg/caller"
	"toucanhinge.example/lab/pkg/engine"
	"toucanhinge.example/lab/pkg/fleet"
)

const itemTokens = 12

// itemPrompt returns a prompt with a marker that identifies the item in the ledgers of the engines.
func itemPrompt(job string, n int) string {
	return fmt.Sprintf("ITEM[%s/%d] summarise agreement %d", job, n, n)
}

func itemLines(job string, count int) string {
	var lines strings.Builder
	for n := range count {
		lines.WriteString(caller.ItemLine(fmt.Sprintf("item-%d", n), fleet.Model, itemPrompt(job, n), itemTokens))
	}
	return lines.String()
}

func upload(ctx context.Context, t *testing.T, c *caller.Caller, key string, count int) caller.Job {
	t.Helper()
	job, err := c.Upload(ctx, fleet.ModelService, key, strings.NewReader(itemLines(key, count)))
	require.NoError(t, err)
	return job
}

// waitDecided waits until at least count items of a job are decided.
func waitDecided(ctx context.Context, t *testing.T, c *caller.Caller, id string, count uint64) {
	t.Helper()
	require.Eventually(t, func() bool {
		status, err := c.Status(ctx, id)
		return err == nil && status.Done+status.Failed >= count
	}, waitTimeout, pollInterval)
}

// requireExactlyOnce reads all results of a job and checks that each item occurs exactly
// once, in order, with the complete text for its own prompt.
func requireExactlyOnce(ctx context.Context, t *testing.T, c *caller.Caller, id, key string, count int) {
	t.Helper()
	next := 0
	err := c.Results(ctx, id, 0, func(r caller.Result) error {
		require.Equal(t, next, int(r.Index))
		require.Equal(t, fmt.Sprintf("item-%d", next), r.CustomID)
		require.Equal(t, engine.ChatText(itemPrompt(key, next), itemTokens), r.Text(), "item %d: %s %s", next, r.Outcome, r.Reason)
		next++
		return nil
	})
	require.NoError(t, err)
	require.Equal(t, count, next)
}

// runsByMark returns the number of requests that the running engines received for each marker.
func runsByMark(ctx context.Context, t *testing.T, f *fleet.Fleet) map[string]int {
	t.Helper()
	runs := make(map[string]int)
	for _, n := range f.Engines {
		if n.Process().Ended() {
			continue
		}
		l, err := f.EngineLedger(ctx, n)
		require.NoError(t, err)
		for _, r := range l.Records {
			runs[r.Mark] += r.Posts
		}
	}
	return runs
}
