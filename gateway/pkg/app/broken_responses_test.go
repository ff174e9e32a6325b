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

// A caller opens a stream and stops reading without closing the connection. All buffers on the path fill up;
// without a write timeout, the caller would hold a slot of the engine indefinitely.
func TestStreamIsCancelledWhenCallerStopsReading(t *testing.T) {
	sidecar := newSidecar(t, "e1", service)
	sidecar.run = func(ctx context.Context, r *toucanhingev1.RunRequest, out *connect.ServerStream[toucanhingev1.Frame]) error {
		b := frameBuilder{request: r}
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
	resp, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	require.Eventually(t, func() bool { return len(sidecar.cancels()) == 1 }, testTimeout, pollInterval)
}

// A response of a plain service is too long to be buffered, so it is passed through, and its endpoint fails in
// the middle. The status was sent already, so the gateway must abort the connection: a truncated body would look
// complete.
func TestBrokenLongResponseAbortsConnection(t *testing.T) {
	scenarios := []struct {
		name string
		err  error
		cut  bool
	}{{"complete", nil, false}, {"fails", errSidecarFailed, true}}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			sidecar := newSidecar(t, "p1", plainName)
			sidecar.run = func(_ context.Context, r *toucanhingev1.RunRequest, out *connect.ServerStream[toucanhingev1.Frame]) error {
				b := frameBuilder{request: r}
				half := strings.Repeat("x", 800)
				if err := sendFrames(out, b.head(200, "text/plain"), b.data(1, half), b.data(2, half)); err != nil || s.err != nil {
					return s.err
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

// Guards against an answer without a valid status that callers get as a sound one, or that breaks off their connection. A
// sidecar of an earlier release passes on what its engine sends.
func TestInvalidStatusOfSidecarIsBroken(t *testing.T) {
	for _, status := range []uint32{0, 1, 99, 100, 101, 199, 1000} {
		for _, path := range []string{chatPath, visitPath} {
			t.Run(fmt.Sprint(status, path), func(t *testing.T) {
				run := func(_ context.Context, r *toucanhingev1.RunRequest, out *connect.ServerStream[toucanhingev1.Frame]) error {
					b := frameBuilder{request: r}
					return sendFrames(out, b.head(status, "text/plain"), b.data(1, "no answer"), b.end(1))
				}
				model, plain := newSidecar(t, "e1", service), newSidecar(t, "p1", plainName)
				model.run, plain.run = run, run
				g := startGateway(t, nil, model, plain)
				r := g.send(http.MethodPost, path, streamBody)
				require.False(t, r.cut)
				require.GreaterOrEqual(t, r.status, http.StatusInternalServerError)
				require.NotContains(t, r.body, "no answer")
			})
		}
	}
}

func manyItems(count, size int) string {
	var lines strings.Builder
	for i := range count {
		fmt.Fprintf(&lines, "{\"custom_id\":\"%d\",\"body\":{\"x\":\"%s\"}}\n", i, strings.Repeat("x", size))
	}
	return lines.String()
}

// The control VM that serves the results stops in the middle. The caller must be able to distinguish partial
// results from complete ones.
func TestInterruptedResultsEndWithError(t *testing.T) {
	g := startGateway(t, nil)
	require.Equal(t, http.StatusOK, g.send(http.MethodPost, "/v1/batches?service="+service+"&key=night-1", manyItems(10, 1)).status)
	g.control.cutResults.Store(true)
	r := g.send(http.MethodGet, "/v1/batches/"+jobID+"/results", "")
	list := strings.Split(strings.TrimSpace(r.body), "\n")
	require.Len(t, list, 6)
	require.Contains(t, list[5], `"reason":"control-unavailable"`)
	require.NotContains(t, r.body, `"end":true`)
}

// The leader of the job's group loses leadership during an upload. As long as the gateway retains everything it
// sent, it restarts the upload at the next leader. Later it can't, and reports that nothing was accepted, so that
// the caller resends.
func TestLeaderLossDuringUpload(t *testing.T) {
	scenarios := []struct {
		name   string
		after  int64
		status int
	}{{"early", 300_000, http.StatusOK}, {"late", 6_000_000, http.StatusServiceUnavailable}}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			g := startGateway(t, nil)
			g.control.loseLeadershipAfter.Store(s.after)
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
