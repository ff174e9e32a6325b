package app

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/fleetconfig"
	"toucanhinge.example/gateway/pkg/config"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const visitPath = "/svc/" + plainName + "/visits"

func (g *gateway) postVisit(id string) response {
	return g.send(http.MethodPost, visitPath, "{}", "X-Request-Id", id)
}

// A caller resends a non-idempotent request because it got no response. The resend, through any gateway, must not
// run again; its response states the outcome of the first request. Each scenario sets one state of the claim.
func TestNonIdempotentResendIsRefusedByClaimState(t *testing.T) {
	scenarios := []struct {
		name   string
		state  toucanhingev1.ClaimState
		status int
		reason string
		run    string
	}{
		{"held by another attempt", 0, 409, "in-progress", "unknown"},
		{"run already", toucanhingev1.ClaimState_CLAIM_STATE_RUN, 409, "already-run", "yes"},
		{"given up", toucanhingev1.ClaimState_CLAIM_STATE_UNKNOWN, 409, "unknown-outcome", "unknown"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			sidecar := newSidecar(t, "p1", plainName)
			g := startGateway(t, nil, sidecar)
			g.control.mu.Lock()
			g.control.claims[team+"/visit-1"] = &toucanhingev1.ClaimRequest{Token: "of another attempt"}
			g.control.states[team+"/visit-1"] = s.state
			g.control.mu.Unlock()
			r := g.postVisit("visit-1")
			require.Equal(t, s.status, r.status)
			require.Equal(t, s.reason, r.refusal(t).Error.Reason)
			require.Equal(t, s.run, r.refusal(t).Error.Run)
			require.Empty(t, sidecar.requests())
		})
	}
}

// The claim is settled by the outcome of the run: complete as "run", a lost response as "unknown". Only "not run"
// releases the claim, so that a resend is run.
func TestClaimIsSettledByOutcome(t *testing.T) {
	scenarios := []struct {
		name    string
		step    step
		status  int
		settled toucanhingev1.ClaimState
	}{
		{"complete", sendStep(func(b frameBuilder) []*toucanhingev1.Frame {
			return []*toucanhingev1.Frame{b.head(200, "text/plain"), b.data(1, "x")}
		}, nil, endFrame(1)), 200, toucanhingev1.ClaimState_CLAIM_STATE_RUN},
		{"lost", sendStep(func(frameBuilder) []*toucanhingev1.Frame { return nil }, errSidecarFailed), 502, toucanhingev1.ClaimState_CLAIM_STATE_UNKNOWN},
		{"not run", refuseStep("leaving", toucanhingev1.Ran_RAN_NO), 503, 0},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			sidecar := newSidecar(t, "p1", plainName)
			runSteps([]step{s.step}, sidecar)
			g := startGateway(t, nil, sidecar)
			require.Equal(t, s.status, g.postVisit("visit-1").status)
			settled := func() []toucanhingev1.ClaimState {
				g.control.mu.Lock()
				defer g.control.mu.Unlock()
				return append([]toucanhingev1.ClaimState{}, g.control.settled...)
			}
			if s.settled == 0 {
				require.Len(t, settled(), 1, "the claim is released before the caller gets its response")
			}
			require.Eventually(t, func() bool { return len(settled()) == 1 }, testTimeout, pollInterval)
			require.Equal(t, s.settled, settled()[0])
			require.Len(t, sidecar.requests(), 1)
		})
	}
}

// The claim is granted after the caller's deadline, because control was slow or the gateway was frozen. The caller
// has given up and may have resent the request. The request must not run, the refusal must state that, and the
// claim must be released.
func TestClaimGrantedAfterDeadlineIsReleased(t *testing.T) {
	sidecar := newSidecar(t, "p1", plainName)
	g := startGateway(t, func(s *config.Settings) { s.Retry.ClaimTimeout = 5_000 }, sidecar)
	g.control.claimDelay = 400 * time.Millisecond
	r := g.send(http.MethodPost, visitPath, "{}", "X-Request-Id", "visit-1", "X-Deadline-Ms", "100")
	require.Equal(t, "deadline", r.refusal(t).Error.Reason)
	require.Equal(t, "no", r.refusal(t).Error.Run)
	require.Empty(t, sidecar.requests())
	require.Empty(t, g.control.claims)
}

// No control VM is the leader. Without a claim, the gateway can't know whether a copy of the request was run, so it
// refuses the request as not run. An idempotent request needs no claim and is served.
func TestNonIdempotentRequestIsRefusedWithoutLeader(t *testing.T) {
	sidecar := newSidecar(t, "p1", plainName)
	g := startGateway(t, nil, sidecar)
	g.control.leaderless.Store(true)
	r := g.postVisit("visit-1")
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.Equal(t, "no-claim", r.refusal(t).Error.Reason)
	require.Equal(t, "no", r.refusal(t).Error.Run)
	require.NotEmpty(t, r.header.Get("Retry-After"))
	require.Empty(t, sidecar.requests())
	require.Equal(t, http.StatusOK, g.send(http.MethodGet, visitPath, "").status)
}

// A sidecar reads a request and its VM fails before any response. Go's HTTP client resends some requests on its own
// after such a loss, which would run the request twice. The test counts the requests that arrive.
func TestHTTPClientDoesNotResend(t *testing.T) {
	sidecar := newSidecar(t, "p1", plainName)
	g := startGateway(t, nil, sidecar)
	// The first call leaves an open idle connection; the HTTP client only resends on reused connections.
	require.Equal(t, http.StatusOK, g.send(http.MethodGet, visitPath, "").status)
	var arrived atomic.Int32
	sidecar.run = func(ctx context.Context, _ *toucanhingev1.RunRequest, _ *connect.ServerStream[toucanhingev1.Frame]) error {
		arrived.Add(1)
		// Shutdown with a cancelled context closes all connections at once.
		cancelledCtx, cancel := context.WithCancel(ctx)
		cancel()
		_ = sidecar.server.Shutdown(cancelledCtx)
		return nil
	}
	r := g.send(http.MethodPost, visitPath, "{}", "Idempotency-Key", "k", "X-Idempotency-Key", "k")
	require.Equal(t, "unknown-outcome", r.refusal(t).Error.Reason, r.body)
	require.Equal(t, int32(1), arrived.Load())
}

// The legacy system gets a percentage of the requests to a service. Each request is run by exactly one of the two
// systems, a resend with the same id by the same one. A request whose connection breaks is not retried, not even by
// the HTTP client.
func TestLegacySystemGetsItsPercentage(t *testing.T) {
	sidecar := newSidecar(t, "p1", plainName)
	var served, broken atomic.Int32
	legacy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/break" {
			broken.Add(1)
			connection, _, _ := w.(http.Hijacker).Hijack()
			_ = connection.(*net.TCPConn).SetLinger(0)
			_ = connection.Close()
			return
		}
		served.Add(1)
		w.WriteHeader(http.StatusAccepted)
		_, _ = w.Write([]byte("older"))
	}))
	defer legacy.Close()
	g := startGateway(t, func(s *config.Settings) { s.Retry.ClaimTimeout = 2_000 }, sidecar)
	g.control.putEntries(serviceEntry(plainName, &toucanhingev1.Service{
		Kind: toucanhingev1.ServiceKind_SERVICE_KIND_PLAIN, OlderPercent: 50, OlderUrl: legacy.URL,
	}))
	require.Eventually(t, func() bool { return g.components.watcher.Fleet().Version == 2 }, testTimeout, pollInterval)
	statuses := map[string]int{}
	for i := range 60 {
		id := "visit-" + string(rune('A'+i))
		first := g.send(http.MethodGet, visitPath, "", "X-Request-Id", id)
		second := g.send(http.MethodGet, visitPath, "", "X-Request-Id", id)
		require.Equal(t, first.status, second.status)
		statuses[http.StatusText(first.status)]++
	}
	require.Greater(t, statuses["Accepted"], 15)
	require.Greater(t, statuses["OK"], 15)
	require.Equal(t, 120, int(served.Load())+len(sidecar.requests()))
	for i := range 10 {
		g.send(http.MethodGet, "/svc/"+plainName+"/break", "", "X-Request-Id", "break-"+string(rune('A'+i)))
	}
	require.Equal(t, 10, int(broken.Load())+len(sidecar.requests())-(120-int(served.Load())))
}

// Of two teams, one exceeds its rate limit. Its requests are refused at once with the time after which to retry; the
// other team is not affected.
func TestTeamRateLimitReturnsRetryAfter(t *testing.T) {
	sidecar := newSidecar(t, "e1", service)
	g := startGateway(t, nil, sidecar)
	limited := teamEntry(team, &toucanhingev1.TeamRecord{KeyHashes: []string{hash(teamKey)}, Rate: 0.5, Burst: 2})
	g.control.putEntries(limited, contractEntry(otherTeam, service))
	require.Eventually(t, func() bool { return g.components.watcher.Fleet().Version == 2 }, testTimeout, pollInterval)
	statuses := map[int]int{}
	var last response
	for range 5 {
		last = g.send(http.MethodPost, chatPath, streamBody)
		statuses[last.status]++
	}
	require.Equal(t, map[int]int{200: 2, 429: 3}, statuses)
	require.Equal(t, "rate", last.refusal(t).Error.Reason)
	require.Equal(t, "2", last.header.Get("Retry-After"))
	require.Equal(t, 200, g.send(http.MethodPost, chatPath, streamBody, "Authorization", "Bearer "+otherKey).status)
}

func hash(key string) string {
	return fleetconfig.HashKey(key)
}
