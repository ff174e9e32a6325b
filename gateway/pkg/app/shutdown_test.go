package app

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"go.uber.org/fx"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/health"
	"toucanhinge.example/common/pkg/metrics"
	"toucanhinge.example/common/pkg/web"
	"toucanhinge.example/gateway/pkg/config"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

type fakeShutdowner struct{ called chan struct{} }

// Shutdown records that the process requested its shutdown from fx.
func (f fakeShutdowner) Shutdown(...fx.ShutdownOption) error {
	close(f.called)
	return nil
}

func startProcess(t *testing.T, sidecars ...*fakeSidecar) (*process, *fakeControl, fakeShutdowner) {
	t.Helper()
	control, address := newControl(t, sidecars...)
	settings := testSettings(address)
	settings.Listen, settings.AdminListen = "127.0.0.1:0", "127.0.0.1:0"
	settings.Drain = config.Drain{BalancerWait: 300, FinishTimeout: 60_000}
	settings.Retry.StallTimeout = 30_000
	now, set := clock.System(), metrics.New(program)
	decisionLog := newDecisionLog(settings, now)
	logger := log.NewNopLogger()
	shutdowner := fakeShutdowner{called: make(chan struct{})}
	p := newProcess(settings, now, health.New(), logger, set, decisionLog, newComponents(settings, now, logger, set, decisionLog), shutdowner)
	require.NoError(t, p.start(context.Background()))
	require.Eventually(t, func() bool { return p.readinessStatus() == http.StatusOK }, testTimeout, pollInterval)
	return p, control, shutdowner
}

func (p *process) readinessStatus() int {
	resp, err := http.Get("http://" + p.adminServer.Address() + health.PathReady)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// A gateway is stopped while a stream is open. The load balancer must see that the gateway is not ready before it
// stops accepting requests. A request that still arrives is served, the stream completes, and only then does the
// process end.
func TestStopFinishesOpenRequests(t *testing.T) {
	sidecar := newSidecar(t, "e1", service)
	started, proceed := make(chan struct{}), make(chan struct{})
	sidecar.run = func(_ context.Context, r *toucanhingev1.RunRequest, out *connect.ServerStream[toucanhingev1.Frame]) error {
		b := frameBuilder{request: r}
		if !r.GetStream() {
			return sidecar.respondWith()(context.Background(), r, out)
		}
		if err := sendFrames(out, b.head(200, "text/event-stream"), b.data(1, chunk("x", "one "))); err != nil {
			return err
		}
		close(started)
		<-proceed
		return sendFrames(out, b.data(2, chunk("x", "two")), b.end(2))
	}
	p, control, _ := startProcess(t, sidecar)
	call := func(body string) response {
		request, err := http.NewRequest(http.MethodPost, "http://"+p.callerServer.Address()+chatPath, strings.NewReader(body))
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer "+teamKey)
		resp, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		defer func() { _ = resp.Body.Close() }()
		text, err := io.ReadAll(resp.Body)
		return response{status: resp.StatusCode, header: resp.Header, body: string(text), cut: err != nil}
	}
	streamed := make(chan response, 1)
	go func() { streamed <- call(streamBody) }()
	<-started
	stopped := make(chan error, 1)
	go func() { stopped <- p.stop(context.Background()) }()
	require.Eventually(t, func() bool { return p.readinessStatus() == http.StatusServiceUnavailable }, testTimeout, pollInterval)
	late := call(nonStreamBody)
	require.Equal(t, http.StatusOK, late.status, "requests are served while the load balancer reacts")
	require.Eventually(t, func() bool {
		control.mu.Lock()
		defer control.mu.Unlock()
		last := control.heartbeats[len(control.heartbeats)-1]
		return last.GetMember().GetState() == toucanhingev1.MemberState_MEMBER_STATE_LEAVING
	}, testTimeout, pollInterval)
	require.Eventually(t, func() bool {
		connection, err := net.Dial("tcp", p.callerServer.Address())
		if err == nil {
			_ = connection.Close()
		}
		return err != nil
	}, testTimeout, pollInterval, "the listener closes after the balancer wait")
	select {
	case err := <-stopped:
		t.Fatalf("stopped while a stream was open: %v", err)
	default:
	}
	close(proceed)
	r := <-streamed
	text, complete := r.joinedText()
	require.Equal(t, "one two", text)
	require.True(t, complete)
	require.NoError(t, <-stopped)
}

// An operator drains the VM of the gateway. The drain entry reaches the gateway with the fleet configuration and
// makes it stop as a signal does.
func TestDrainEntryStopsProcess(t *testing.T) {
	p, control, shutdowner := startProcess(t)
	control.putEntries(&toucanhingev1.Entry{
		Kind: toucanhingev1.Kind_KIND_DRAIN, Name: "vm-1", Body: &toucanhingev1.Entry_Drain{Drain: &toucanhingev1.Drain{Reason: "new kernel"}},
	})
	select {
	case <-shutdowner.called:
	case <-time.After(testTimeout):
		t.Fatal("the gateway did not request its shutdown after the drain")
	}
	require.NoError(t, p.stop(context.Background()))
}

// The explain call returns to which endpoint a request was sent and why. It finds the request by the id that the
// gateway assigned and by the id of the caller.
func TestExplainReturnsRequestHistory(t *testing.T) {
	sidecar := newSidecar(t, "e1", service)
	runSteps([]step{refuseStep("queue-full", toucanhingev1.Ran_RAN_NO)}, sidecar)
	p, _, _ := startProcess(t, sidecar)
	defer func() { require.NoError(t, p.stop(context.Background())) }()
	request, err := http.NewRequest(http.MethodPost, "http://"+p.callerServer.Address()+chatPath, strings.NewReader(streamBody))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+teamKey)
	request.Header.Set("X-Request-Id", "mine")
	resp, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	_ = resp.Body.Close()
	explain := toucanhingev1connect.NewExplainServiceClient(web.NewClient(), "http://"+p.adminServer.Address())
	history := func(id string) (events []string) {
		found, err := explain.Explain(context.Background(), connect.NewRequest(&toucanhingev1.ExplainRequest{Id: id}))
		require.NoError(t, err)
		for _, h := range found.Msg.GetHappenings() {
			events = append(events, h.GetEvent()+" "+h.GetDetail())
		}
		return events
	}
	id := resp.Header.Get("X-Toucanhinge-Request")
	require.Equal(t, "known-as "+id, history("mine")[0])
	require.Equal(t, []string{
		"arrived " + team + " POST " + chatPath, "chosen e1 prefix", "retried e1 queue-full", "no-choice no-endpoint", "failed queue-full",
	}, history(id))
}
