package app

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/loopback"
	"toucanhinge.example/common/pkg/web"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
	"toucanhinge.example/sidecar/pkg/config"
)

const patience = 20 * time.Second

type fixture struct {
	settings config.Settings
	control  *fakeControl
	engine   *fakeEngine
	calls    toucanhingev1connect.EndpointServiceClient
	ended    chan error
}

func startApp(t *testing.T, kind string) *fixture {
	t.Helper()
	f := &fixture{ended: make(chan error, 1)}
	var address string
	f.control, address = newFakeControl(t)
	s := config.Defaults()
	s.Name, s.VM, s.DataCentre, s.Service, s.Kind = "e1", "vm1", "agdal", "triage-llm", kind
	s.Control = []string{address}
	s.Listen, s.AdminListen = loopback.Address(t, 0), loopback.Address(t, 1)
	s.Engine.Slots, s.Batch.Slots = 2, 2
	s.Drain.LingerMS = 10
	s.LogLevel = "error"
	f.engine, s.Engine.URL = newFakeEngine(t)
	f.settings = s
	f.calls = toucanhingev1connect.NewEndpointServiceClient(web.NewClient(), "http://"+s.Listen)
	go func() { f.ended <- Run(s) }()
	require.Eventually(t, func() bool {
		r, err := http.Get("http://" + s.AdminListen + "/readyz")
		if err != nil {
			return false
		}
		defer func() { _ = r.Body.Close() }()
		return r.StatusCode == http.StatusOK
	}, patience, 10*time.Millisecond)
	require.Eventually(t, func() bool {
		r, err := f.calls.Report(context.Background(), connect.NewRequest(&toucanhingev1.ReportRequest{}))
		return err == nil && r.Msg.GetLoad().GetHealthy()
	}, patience, 10*time.Millisecond)
	return f
}

func (f *fixture) drain(t *testing.T) {
	t.Helper()
	f.control.put(&toucanhingev1.Entry{
		Kind: toucanhingev1.Kind_KIND_DRAIN, Name: "vm1",
		Body: &toucanhingev1.Entry_Drain{Drain: &toucanhingev1.Drain{}},
	})
}

func (f *fixture) awaitEnd(t *testing.T) {
	t.Helper()
	select {
	case err := <-f.ended:
		require.NoError(t, err)
	case <-time.After(patience):
		t.Fatal("the sidecar did not end")
	}
}

func chatRequest(id string) *toucanhingev1.RunRequest {
	return &toucanhingev1.RunRequest{
		RequestId: id, Attempt: 1, Team: "d", Method: http.MethodPost, Path: "/v1/chat/completions",
		Body: []byte(`{"messages":[{"role":"user","content":"hi"}],"stream":true}`), BudgetMs: 20_000,
		Idempotent: true, Stream: true,
	}
}

func frames(t *testing.T, f *fixture, r *toucanhingev1.RunRequest) []*toucanhingev1.Frame {
	t.Helper()
	stream, err := f.calls.Run(context.Background(), connect.NewRequest(r))
	require.NoError(t, err)
	var found []*toucanhingev1.Frame
	for stream.Receive() {
		found = append(found, stream.Msg())
	}
	require.NoError(t, stream.Err())
	return found
}

func TestOnlineStreamAndPlainCall(t *testing.T) {
	f := startApp(t, config.KindModel)
	found := frames(t, f, chatRequest("r1"))
	require.Len(t, found, 5)
	require.Equal(t, uint32(200), found[0].GetHead().GetStatus())
	require.NotNil(t, found[0].GetLoad())
	for n := 1; n <= 3; n++ {
		require.Equal(t, uint64(n), found[n].GetSequence())
		require.Contains(t, string(found[n].GetData()), "content")
	}
	require.Equal(t, uint64(3), found[4].GetEnd().GetFrames())
	require.Empty(t, found[4].GetEnd().GetError())
	require.NotNil(t, found[4].GetLoad())
	f.drain(t)
	f.awaitEnd(t)

	p := startApp(t, config.KindPlain)
	found = frames(t, p, &toucanhingev1.RunRequest{
		RequestId: "r2", Attempt: 1, Team: "d", Method: http.MethodPost, Path: "/plain", Body: []byte("x"), BudgetMs: 5_000,
	})
	require.Len(t, found, 3)
	require.Equal(t, uint32(http.StatusCreated), found[0].GetHead().GetStatus())
	require.Equal(t, "got x", string(found[1].GetData()))
	p.drain(t)
	p.awaitEnd(t)
}

func TestBatchItemsAreLeasedRunAndCompleted(t *testing.T) {
	f := startApp(t, config.KindModel)
	f.control.mu.Lock()
	for n := range 50 {
		f.control.items = append(f.control.items, &toucanhingev1.LeasedItem{
			Job: "j", Index: uint64(n), Lease: uint64(n + 1), Attempt: 1,
			Body: []byte(`{"messages":[{"role":"user","content":"hi"}]}`),
		})
	}
	f.control.mu.Unlock()
	require.Eventually(t, func() bool {
		return f.control.completed(toucanhingev1.Outcome_OUTCOME_DONE) == 50
	}, patience, 10*time.Millisecond)
	require.Contains(t, string(f.control.done[0].GetBody()), `"content":"t1t2t3"`)
	f.drain(t)
	f.awaitEnd(t)
}

// An operator drains the VM while one caller's stream is under way and batch
// items run. The caller reads its whole answer; control hears of the leaving at
// once and gets the items back; a new request is refused as not run; then the
// process ends by itself. A drain that cut the stream would leave the caller
// with half an answer.
func TestDrainFinishesStreamsAndReturnsItems(t *testing.T) {
	f := startApp(t, config.KindModel)
	release := f.engine.hold()
	stream, err := f.calls.Run(context.Background(), connect.NewRequest(chatRequest("r1")))
	require.NoError(t, err)
	require.True(t, stream.Receive())
	require.True(t, stream.Receive())
	f.control.mu.Lock()
	f.control.items = append(f.control.items, &toucanhingev1.LeasedItem{
		Job: "j", Index: 7, Lease: 1, Body: []byte(`{"messages":[{"role":"user","content":"hi"}]}`),
	})
	f.control.mu.Unlock()
	require.Eventually(t, func() bool {
		r, err := f.calls.Report(context.Background(), connect.NewRequest(&toucanhingev1.ReportRequest{}))
		return err == nil && r.Msg.GetLoad().GetBatch() == 1
	}, patience, 5*time.Millisecond)

	f.drain(t)
	require.Eventually(t, func() bool {
		return f.control.lastState() == toucanhingev1.MemberState_MEMBER_STATE_LEAVING &&
			f.control.completed(toucanhingev1.Outcome_OUTCOME_RETURNED) == 1
	}, patience, 5*time.Millisecond)
	refused := frames(t, f, chatRequest("r2"))
	require.Equal(t, "leaving", refused[0].GetRefusal().GetReason())
	require.Equal(t, toucanhingev1.Ran_RAN_NO, refused[0].GetRefusal().GetRan())

	release()
	var last *toucanhingev1.Frame
	for stream.Receive() {
		last = stream.Msg()
	}
	require.Equal(t, uint64(3), last.GetEnd().GetFrames())
	require.Empty(t, last.GetEnd().GetError())
	f.awaitEnd(t)
}

// An operator orders another model while a caller's stream is under way. New
// requests are refused at once as not run, the stream ends whole, only then does
// the engine get the order; when it has loaded, the endpoint takes work again.
// Loading under a stream would cut it; taking work meanwhile would fail it.
func TestOrderWaitsForTheStream(t *testing.T) {
	f := startApp(t, config.KindModel)
	release := f.engine.hold()
	stream, err := f.calls.Run(context.Background(), connect.NewRequest(chatRequest("r1")))
	require.NoError(t, err)
	require.True(t, stream.Receive())
	f.control.put(&toucanhingev1.Entry{
		Kind: toucanhingev1.Kind_KIND_ORDER, Name: "e1",
		Body: &toucanhingev1.Entry_Order{Order: &toucanhingev1.Order{
			Endpoint: "e1", Kind: toucanhingev1.OrderKind_ORDER_KIND_LOAD_MODEL, Model: "other",
		}},
	})
	healthy := func() bool {
		r, err := f.calls.Report(context.Background(), connect.NewRequest(&toucanhingev1.ReportRequest{}))
		return err == nil && r.Msg.GetLoad().GetHealthy()
	}
	require.Eventually(t, func() bool { return !healthy() }, patience, 5*time.Millisecond)
	refused := frames(t, f, chatRequest("r2"))
	require.Equal(t, "loading", refused[0].GetRefusal().GetReason())
	require.Equal(t, toucanhingev1.Ran_RAN_NO, refused[0].GetRefusal().GetRan())
	require.Zero(t, f.engine.order(false))
	release()
	var last *toucanhingev1.Frame
	for stream.Receive() {
		last = stream.Msg()
	}
	require.Equal(t, uint64(3), last.GetEnd().GetFrames())
	require.Empty(t, last.GetEnd().GetError())
	require.Eventually(t, func() bool { return f.engine.order(false) == 1 }, patience, 5*time.Millisecond)
	require.False(t, healthy(), "open while the engine loads")
	f.engine.order(true)
	require.Eventually(t, healthy, patience, 5*time.Millisecond)
	require.Equal(t, 1, f.engine.order(false))

	f.explains(t, "r2", "refused", "loading, ran no")
	f.explains(t, "e1", "order-taken", "load_model number 2")
	f.drain(t)
	f.awaitEnd(t)
}

// explains looks a happening up on the operators' port, and its counter.
func (f *fixture) explains(t *testing.T, id, event, detail string) {
	t.Helper()
	operators := toucanhingev1connect.NewExplainServiceClient(web.NewClient(), "http://"+f.settings.AdminListen)
	reply, err := operators.Explain(context.Background(), connect.NewRequest(&toucanhingev1.ExplainRequest{Id: id}))
	require.NoError(t, err)
	found := false
	for _, h := range reply.Msg.GetHappenings() {
		found = found || h.GetEvent() == event && h.GetDetail() == detail
	}
	require.True(t, found, "%v", reply.Msg.GetHappenings())
	page, err := http.Get("http://" + f.settings.AdminListen + "/metrics")
	require.NoError(t, err)
	defer func() { _ = page.Body.Close() }()
	text, err := io.ReadAll(page.Body)
	require.NoError(t, err)
	require.Contains(t, string(text), `toucanhinge_refused_total{place="online",program="sidecar",reason="loading"} 1`)
}
