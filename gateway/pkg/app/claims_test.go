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

func (g *gateway) visit(id string) reply {
	return g.send(http.MethodPost, visitPath, "{}", "X-Request-Id", id)
}

// A surveyor's program books a visit and resends when it hears nothing. The
// second copy, through whichever gateway, must not book again: it is told what
// became of the first. Each line brings the claim into one state.
func TestNonIdempotentResendsAreClaimedFirst(t *testing.T) {
	scenarios := []struct {
		name   string
		state  toucanhingev1.ClaimState
		status int
		reason string
		run    string
	}{
		{"held by another try", 0, 409, "in-progress", "unknown"},
		{"run already", toucanhingev1.ClaimState_CLAIM_STATE_RUN, 409, "already-run", "yes"},
		{"given up", toucanhingev1.ClaimState_CLAIM_STATE_UNKNOWN, 409, "unknown-outcome", "unknown"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			sidecar := newSidecar(t, "p1", plainName)
			g := startGateway(t, nil, sidecar)
			g.control.mu.Lock()
			g.control.claims[team+"/visit-1"] = &toucanhingev1.ClaimRequest{Token: "of another try"}
			g.control.states[team+"/visit-1"] = s.state
			g.control.mu.Unlock()
			r := g.visit("visit-1")
			require.Equal(t, s.status, r.status)
			require.Equal(t, s.reason, r.refusal(t).Error.Reason)
			require.Equal(t, s.run, r.refusal(t).Error.Run)
			require.Empty(t, sidecar.requests())
		})
	}
}

// The claim is settled by what became of the run: whole is "run", a lost answer
// is "unknown", and only "not run" frees it, so that the resend is run.
func TestClaimsAreSettledByWhatHappened(t *testing.T) {
	scenarios := []struct {
		name    string
		step    step
		status  int
		settled toucanhingev1.ClaimState
	}{
		{"whole", sends(func(b frames) []*toucanhingev1.Frame {
			return []*toucanhingev1.Frame{b.head(200, "text/plain"), b.data(1, "x")}
		}, nil, ends(1)), 200, toucanhingev1.ClaimState_CLAIM_STATE_RUN},
		{"lost", sends(func(frames) []*toucanhingev1.Frame { return nil }, errDies), 502, toucanhingev1.ClaimState_CLAIM_STATE_UNKNOWN},
		{"not run", refuses("leaving", toucanhingev1.Ran_RAN_NO), 503, 0},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			sidecar := newSidecar(t, "p1", plainName)
			follow([]step{s.step}, sidecar)
			g := startGateway(t, nil, sidecar)
			require.Equal(t, s.status, g.visit("visit-1").status)
			settled := func() []toucanhingev1.ClaimState {
				g.control.mu.Lock()
				defer g.control.mu.Unlock()
				return append([]toucanhingev1.ClaimState{}, g.control.settled...)
			}
			if s.settled == 0 {
				require.Len(t, settled(), 1, "freed before the caller hears of it")
			}
			require.Eventually(t, func() bool { return len(settled()) == 1 }, patience, tick)
			require.Equal(t, s.settled, settled()[0])
			require.Len(t, sidecar.requests(), 1)
		})
	}
}

// The claim is granted, but only after the caller's deadline: control was slow,
// or this gateway was frozen meanwhile. The caller has given up and perhaps
// resent; running now would be for nobody. It is not run, said so, and freed.
func TestClaimAfterTheDeadlineRunsNothing(t *testing.T) {
	sidecar := newSidecar(t, "p1", plainName)
	g := startGateway(t, func(s *config.Settings) { s.Retry.ClaimTimeout = 5_000 }, sidecar)
	g.control.claimDelay = 400 * time.Millisecond
	r := g.send(http.MethodPost, visitPath, "{}", "X-Request-Id", "visit-1", "X-Deadline-Ms", "100")
	require.Equal(t, "deadline", r.refusal(t).Error.Reason)
	require.Equal(t, "no", r.refusal(t).Error.Run)
	require.Empty(t, sidecar.requests())
	require.Empty(t, g.control.claims)
}

// No control VM leads for a while. Whether a resend of this request was run
// can't be known without the claim, so it is refused as not run; an idempotent
// one needs no claim and goes on.
func TestWithoutALeaderNonIdempotentCallsAreRefused(t *testing.T) {
	sidecar := newSidecar(t, "p1", plainName)
	g := startGateway(t, nil, sidecar)
	g.control.leaderless.Store(true)
	r := g.visit("visit-1")
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.Equal(t, "no-claim", r.refusal(t).Error.Reason)
	require.Equal(t, "no", r.refusal(t).Error.Run)
	require.NotEmpty(t, r.header.Get("Retry-After"))
	require.Empty(t, sidecar.requests())
	require.Equal(t, http.StatusOK, g.send(http.MethodGet, visitPath, "").status)
}

// A sidecar reads a request and its VM dies before any answer. Go's HTTP client
// resends some requests by itself on such a loss; the second run would be one
// that nobody asked for. We count what arrives on the wire.
func TestTheHTTPClientDoesNotResend(t *testing.T) {
	sidecar := newSidecar(t, "p1", plainName)
	g := startGateway(t, nil, sidecar)
	// The first call leaves a connection that is open and idle, as resends need.
	require.Equal(t, http.StatusOK, g.send(http.MethodGet, visitPath, "").status)
	var arrived atomic.Int32
	sidecar.run = func(ctx context.Context, _ *toucanhingev1.RunRequest, _ *connect.ServerStream[toucanhingev1.Frame]) error {
		arrived.Add(1)
		// Shutdown with an ended context closes every connection at once.
		ended, end := context.WithCancel(ctx)
		end()
		_ = sidecar.server.Shutdown(ended)
		return nil
	}
	r := g.send(http.MethodPost, visitPath, "{}", "Idempotency-Key", "k", "X-Idempotency-Key", "k")
	require.Equal(t, "unknown-outcome", r.refusal(t).Error.Reason, r.body)
	require.Equal(t, int32(1), arrived.Load())
}

// The older system takes a share of a service until it is switched off. Every
// request is run by one of the two, a resend under the same id by the same one,
// and a connection that breaks is not tried again, not even by the HTTP client.
func TestOlderSystemGetsItsShareOnce(t *testing.T) {
	sidecar := newSidecar(t, "p1", plainName)
	var seen, broken atomic.Int32
	older := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/break" {
			broken.Add(1)
			connection, _, _ := w.(http.Hijacker).Hijack()
			_ = connection.(*net.TCPConn).SetLinger(0)
			_ = connection.Close()
			return
		}
		seen.Add(1)
		w.WriteHeader(http.StatusAccepted)
		_, _ = w.Write([]byte("older"))
	}))
	defer older.Close()
	g := startGateway(t, func(s *config.Settings) { s.Retry.ClaimTimeout = 2_000 }, sidecar)
	g.control.put(serviceEntry(plainName, &toucanhingev1.Service{
		Kind: toucanhingev1.ServiceKind_SERVICE_KIND_PLAIN, OlderPercent: 50, OlderUrl: older.URL,
	}))
	require.Eventually(t, func() bool { return g.parts.watcher.Fleet().Version == 2 }, patience, tick)
	ways := map[string]int{}
	for i := range 60 {
		id := "visit-" + string(rune('A'+i))
		first := g.send(http.MethodGet, visitPath, "", "X-Request-Id", id)
		again := g.send(http.MethodGet, visitPath, "", "X-Request-Id", id)
		require.Equal(t, first.status, again.status)
		ways[http.StatusText(first.status)]++
	}
	require.Greater(t, ways["Accepted"], 15)
	require.Greater(t, ways["OK"], 15)
	require.Equal(t, 120, int(seen.Load())+len(sidecar.requests()))
	for i := range 10 {
		g.send(http.MethodGet, "/svc/"+plainName+"/break", "", "X-Request-Id", "break-"+string(rune('A'+i)))
	}
	require.Equal(t, 10, int(broken.Load())+len(sidecar.requests())-(120-int(seen.Load())))
}

// Two teams, one of them limited. The limited one hears at once that it is, and
// when to come back; the other isn't touched.
func TestTeamLimitsAreTold(t *testing.T) {
	sidecar := newSidecar(t, "e1", service)
	g := startGateway(t, nil, sidecar)
	limited := teamEntry(team, &toucanhingev1.TeamRecord{KeyHashes: []string{hash(teamKey)}, Rate: 0.5, Burst: 2})
	g.control.put(limited, contractEntry(otherTeam, service))
	require.Eventually(t, func() bool { return g.parts.watcher.Fleet().Version == 2 }, patience, tick)
	statuses := map[int]int{}
	var last reply
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
