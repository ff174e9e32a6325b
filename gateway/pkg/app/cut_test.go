package app

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/gateway/pkg/config"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// A caller opens a stream and stops reading, its connection still open. Every
// buffer on the way fills; without a limit the engine's slot would be held for
// as long as the caller likes.
func TestCallerThatDoesNotReadIsGivenUp(t *testing.T) {
	sidecar := newSidecar(t, "e1", service)
	sidecar.run = func(ctx context.Context, r *toucanhingev1.RunRequest, out *connect.ServerStream[toucanhingev1.Frame]) error {
		b := frames{r}
		if err := out.Send(b.head(200, "text/event-stream")); err != nil {
			return err
		}
		for n := uint64(1); ctx.Err() == nil; n++ {
			if err := out.Send(b.data(n, strings.Repeat("x", 64<<10))); err != nil {
				return err
			}
		}
		return nil
	}
	g := startGateway(t, func(s *config.Settings) { s.Limits.ReaderTimeout, s.Retry.StallTimeout = 300, 60_000 }, sidecar)
	request, err := http.NewRequest(http.MethodPost, g.url+chatPath, strings.NewReader(streamBody))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+teamKey)
	answer, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = answer.Body.Close() }()
	require.Eventually(t, func() bool { return len(sidecar.cancels()) == 1 }, patience, tick)
}

// An answer of a plain service is too long to be held back. It is passed through
// and its endpoint dies in the middle: the status is long gone, so the caller
// must see its connection cut, not a short body that looks whole.
func TestLongAnswerThatBreaksIsCutVisibly(t *testing.T) {
	scenarios := []struct {
		name string
		then error
		cut  bool
	}{{"whole", nil, false}, {"dies", errDies, true}}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			sidecar := newSidecar(t, "p1", plainName)
			sidecar.run = func(_ context.Context, r *toucanhingev1.RunRequest, out *connect.ServerStream[toucanhingev1.Frame]) error {
				b := frames{r}
				half := strings.Repeat("x", 800)
				if err := send(out, b.head(200, "text/plain"), b.data(1, half), b.data(2, half)); err != nil || s.then != nil {
					return s.then
				}
				return out.Send(b.end(2))
			}
			g := startGateway(t, func(s *config.Settings) { s.Limits.ResponseBufferBytes = 1_000 }, sidecar)
			r := g.send(http.MethodGet, visitPath, "")
			require.Equal(t, http.StatusOK, r.status)
			require.Len(t, r.body, 1_600)
			require.Equal(t, s.cut, r.cut)
			require.Len(t, sidecar.requests(), 1)
		})
	}
}

func manyItems(count, size int) string {
	var lines strings.Builder
	for i := range count {
		fmt.Fprintf(&lines, "{\"custom_id\":\"%d\",\"body\":{\"x\":\"%s\"}}\n", i, strings.Repeat("x", size))
	}
	return lines.String()
}

// The control VM that serves the results stops in the middle. The caller must be
// able to tell what it has from all there is.
func TestResultsThatBreakOffSaySo(t *testing.T) {
	g := startGateway(t, nil)
	require.Equal(t, http.StatusOK, g.send(http.MethodPost, "/v1/batches?service="+service+"&key=night-1", manyItems(10, 1)).status)
	g.control.cutResults.Store(true)
	r := g.send(http.MethodGet, "/v1/batches/"+jobID+"/results", "")
	list := strings.Split(strings.TrimSpace(r.body), "\n")
	require.Len(t, list, 6)
	require.Contains(t, list[5], `"reason":"control-unavailable"`)
	require.NotContains(t, r.body, `"end":true`)
}

// The leader of the job's group loses its lead during an upload. While all that
// was sent is at hand, the gateway begins again at the next one by itself; later
// it can't, and says that nothing was accepted, so that the caller resends.
func TestLeaderLostDuringAnUpload(t *testing.T) {
	scenarios := []struct {
		name   string
		after  int64
		status int
	}{{"early", 300_000, http.StatusOK}, {"late", 6_000_000, http.StatusServiceUnavailable}}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			g := startGateway(t, nil)
			g.control.loseLeadAfter.Store(s.after)
			r := g.send(http.MethodPost, "/v1/batches?service="+service+"&key=night-1", manyItems(2_000, 4_000))
			require.Equal(t, s.status, r.status, r.body)
			if s.status != http.StatusOK {
				require.Equal(t, "control-unavailable", r.refusal(t).Error.Reason)
				require.Equal(t, "no", r.refusal(t).Error.Run)
				require.Empty(t, g.control.items)
				return
			}
			require.Len(t, g.control.items, 2_000)
		})
	}
}
