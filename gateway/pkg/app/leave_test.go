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

type asked struct{ stop chan struct{} }

// Shutdown stands for the end of the process that fx would bring about.
func (a asked) Shutdown(...fx.ShutdownOption) error {
	close(a.stop)
	return nil
}

func startProcess(t *testing.T, sidecars ...*fakeSidecar) (*process, *fakeControl, asked) {
	t.Helper()
	control, address := newControl(t, sidecars...)
	settings := testSettings(address)
	settings.Listen, settings.AdminListen = "127.0.0.1:0", "127.0.0.1:0"
	settings.Drain = config.Drain{BalancerWait: 300, FinishTimeout: 60_000}
	settings.Retry.StallTimeout = 30_000
	now, set := clock.System(), metrics.New(program)
	book := newBook(settings, now)
	logger := log.NewNopLogger()
	asked := asked{stop: make(chan struct{})}
	p := newProcess(settings, now, health.New(), logger, set, book, newParts(settings, now, logger, set, book), asked)
	require.NoError(t, p.start(context.Background()))
	require.Eventually(t, func() bool { return p.ready() == http.StatusOK }, patience, tick)
	return p, control, asked
}

func (p *process) ready() int {
	answer, err := http.Get("http://" + p.admin.Address() + health.PathReady)
	if err != nil {
		return 0
	}
	_ = answer.Body.Close()
	return answer.StatusCode
}

// A gateway is asked to leave while a stream is under way. The balancer must see
// that it is not ready before it stops taking requests; a request that still
// comes is answered; the stream goes to its end; only then does the process end.
func TestPlannedStopCutsNothing(t *testing.T) {
	sidecar := newSidecar(t, "e1", service)
	begun, goOn := make(chan struct{}), make(chan struct{})
	sidecar.run = func(_ context.Context, r *toucanhingev1.RunRequest, out *connect.ServerStream[toucanhingev1.Frame]) error {
		b := frames{r}
		if !r.GetStream() {
			return sidecar.say()(context.Background(), r, out)
		}
		if err := send(out, b.head(200, "text/event-stream"), b.data(1, chunk("x", "one "))); err != nil {
			return err
		}
		close(begun)
		<-goOn
		return send(out, b.data(2, chunk("x", "two")), b.end(2))
	}
	p, control, _ := startProcess(t, sidecar)
	call := func(body string) reply {
		request, err := http.NewRequest(http.MethodPost, "http://"+p.callers.Address()+chatPath, strings.NewReader(body))
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer "+teamKey)
		answer, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		defer func() { _ = answer.Body.Close() }()
		text, err := io.ReadAll(answer.Body)
		return reply{status: answer.StatusCode, header: answer.Header, body: string(text), cut: err != nil}
	}
	streamed := make(chan reply, 1)
	go func() { streamed <- call(streamBody) }()
	<-begun
	stopped := make(chan error, 1)
	go func() { stopped <- p.stop(context.Background()) }()
	require.Eventually(t, func() bool { return p.ready() == http.StatusServiceUnavailable }, patience, tick)
	late := call(wholeBody)
	require.Equal(t, http.StatusOK, late.status, "still answered while the balancer turns away")
	require.Eventually(t, func() bool {
		control.mu.Lock()
		defer control.mu.Unlock()
		last := control.beats[len(control.beats)-1]
		return last.GetMember().GetState() == toucanhingev1.MemberState_MEMBER_STATE_LEAVING
	}, patience, tick)
	require.Eventually(t, func() bool {
		connection, err := net.Dial("tcp", p.callers.Address())
		if err == nil {
			_ = connection.Close()
		}
		return err != nil
	}, patience, tick, "the listener closes once the balancer had its time")
	select {
	case err := <-stopped:
		t.Fatalf("stopped with a stream under way: %v", err)
	default:
	}
	close(goOn)
	r := <-streamed
	text, whole := r.text()
	require.Equal(t, "one two", text)
	require.True(t, whole)
	require.NoError(t, <-stopped)
}

// An operator drains the gateway's VM: the entry reaches the gateway with its
// configuration, and it leaves as on a signal.
func TestOperatorsDrainIsObeyed(t *testing.T) {
	p, control, asked := startProcess(t)
	control.put(&toucanhingev1.Entry{
		Kind: toucanhingev1.Kind_KIND_DRAIN, Name: "vm-1", Body: &toucanhingev1.Entry_Drain{Drain: &toucanhingev1.Drain{Reason: "new kernel"}},
	})
	select {
	case <-asked.stop:
	case <-time.After(patience):
		t.Fatal("the drain was not obeyed")
	}
	require.NoError(t, p.stop(context.Background()))
}

// "Why did my request go there?" is answered by the process itself, by the
// system's id and by the caller's own.
func TestExplainTellsWhereARequestWent(t *testing.T) {
	sidecar := newSidecar(t, "e1", service)
	follow([]step{refuses("queue-full", toucanhingev1.Ran_RAN_NO)}, sidecar)
	p, _, _ := startProcess(t, sidecar)
	defer func() { require.NoError(t, p.stop(context.Background())) }()
	request, err := http.NewRequest(http.MethodPost, "http://"+p.callers.Address()+chatPath, strings.NewReader(streamBody))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+teamKey)
	request.Header.Set("X-Request-Id", "mine")
	answer, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	_ = answer.Body.Close()
	explain := toucanhingev1connect.NewExplainServiceClient(web.NewClient(), "http://"+p.admin.Address())
	tell := func(id string) (events []string) {
		reply, err := explain.Explain(context.Background(), connect.NewRequest(&toucanhingev1.ExplainRequest{Id: id}))
		require.NoError(t, err)
		for _, h := range reply.Msg.GetHappenings() {
			events = append(events, h.GetEvent()+" "+h.GetDetail())
		}
		return events
	}
	id := answer.Header.Get("X-Toucanhinge-Request")
	require.Equal(t, "known-as "+id, tell("mine")[0])
	require.Equal(t, []string{
		"arrived " + team + " POST " + chatPath, "chosen e1 prefix", "retried e1 queue-full", "no-choice no-endpoint", "failed queue-full",
	}, tell(id))
}
