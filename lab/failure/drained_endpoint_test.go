package failure

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/lab/pkg/fleet"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// An endpoint is drained, either because the platform's VM list reports its VM as leaving
// or by an operator, while calls and items keep arriving. Soon its engine must receive no
// new work, and no call may fail because of the drain.
func TestDrainedEndpointGetsNoNewWork(t *testing.T) {
	scenarios := []struct {
		name  string
		drain func(ctx context.Context, t *testing.T, f *fleet.Fleet)
	}{
		{"by the VM list", func(ctx context.Context, t *testing.T, f *fleet.Fleet) {
			request, err := http.NewRequestWithContext(ctx, http.MethodPut, f.VMList.URL()+"/vms/"+f.Sidecars[0].VM,
				strings.NewReader(`{"state":"leaving"}`))
			require.NoError(t, err)
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
		}},
		{"by an operator", func(ctx context.Context, t *testing.T, f *fleet.Fleet) {
			_, err := f.Operator.Apply(ctx, &toucanhingev1.Entry{
				Kind: toucanhingev1.Kind_KIND_DRAIN, Name: f.Sidecars[0].Name,
				Body: &toucanhingev1.Entry_Drain{Drain: &toucanhingev1.Drain{Reason: "repair"}},
			})
			require.NoError(t, err)
		}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			ctx := testContext(t)
			f := startFleet(t, fleet.Config{Controls: 1, Gateways: 2, Sidecars: 2})
			job := upload(ctx, t, callerAt(f, 0), "leaving", 600)
			streamConcurrently(ctx, t, f, "before", 40)
			require.NotZero(t, enginePosts(ctx, f, f.Engines[0]))
			s.drain(ctx, t, f)
			require.Eventually(t, func() bool {
				before := enginePosts(ctx, f, f.Engines[0])
				complete := streamConcurrently(ctx, t, f, "during", 20)
				require.Equal(t, 20, complete)
				time.Sleep(100 * time.Millisecond)
				return before >= 0 && before == enginePosts(ctx, f, f.Engines[0])
			}, waitTimeout, pollInterval)
			postsAfterDrain := enginePosts(ctx, f, f.Engines[0])
			require.Equal(t, 40, streamConcurrently(ctx, t, f, "after", 40))
			waitDecided(ctx, t, callerAt(f, 0), job.ID, 600)
			require.Equal(t, postsAfterDrain, enginePosts(ctx, f, f.Engines[0]))
		})
	}
}

// enginePosts returns the number of requests that an engine received, or -1 if its ledger can't be read.
func enginePosts(ctx context.Context, f *fleet.Fleet, n *fleet.Node) int {
	l, err := f.EngineLedger(ctx, n)
	if err != nil {
		return -1
	}
	total := 0
	for _, r := range l.Records {
		total += r.Posts
	}
	return total
}

// totalPosts returns the number of requests that all engines received, or -1 if a ledger can't be read.
func totalPosts(ctx context.Context, f *fleet.Fleet) int {
	total := 0
	for _, n := range f.Engines {
		p := enginePosts(ctx, f, n)
		if p < 0 {
			return p
		}
		total += p
	}
	return total
}
