package jobs

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/control"
	"toucanhinge.example/common/pkg/routing"
	"toucanhinge.example/common/pkg/web"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

// fakeCore is a VM of the core whose answers a test defines. It never answers a submission if submit is
// nil.
type fakeCore struct {
	toucanhingev1connect.UnimplementedCoreServiceHandler
	submit func() (*toucanhingev1.SubmitJobResponse, error)
	read   func() (*toucanhingev1.ReadListedResponse, error)
	end    func() (*toucanhingev1.EndJobResponse, error)
}

func (f *fakeCore) SubmitJob(ctx context.Context, _ *connect.Request[toucanhingev1.SubmitJobRequest]) (*connect.Response[toucanhingev1.SubmitJobResponse], error) {
	if f.submit == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return wrap(f.submit())
}

func (f *fakeCore) ReadListed(context.Context, *connect.Request[toucanhingev1.ReadListedRequest]) (*connect.Response[toucanhingev1.ReadListedResponse], error) {
	return wrap(f.read())
}

func (f *fakeCore) EndJob(context.Context, *connect.Request[toucanhingev1.EndJobRequest]) (*connect.Response[toucanhingev1.EndJobResponse], error) {
	return wrap(f.end())
}

func wrap[T any](answer *T, err error) (*connect.Response[T], error) {
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(answer), nil
}

// serve starts VMs of the core and returns a service that tries them in this order.
func serve(t *testing.T, cores ...*fakeCore) *Service {
	t.Helper()
	var addresses []string
	for _, f := range cores {
		mux := http.NewServeMux()
		mux.Handle(toucanhingev1connect.NewCoreServiceHandler(f))
		server := httptest.NewUnstartedServer(mux)
		server.Config.Protocols = new(http.Protocols)
		server.Config.Protocols.SetUnencryptedHTTP2(true)
		server.Start()
		t.Cleanup(server.CloseClientConnections)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	return New(Config{
		Core:   control.New(control.Config{Addresses: addresses, NewHTTP: web.NewClient, AttemptTimeout: time.Second}),
		Logger: log.NewNopLogger(),
	})
}

func accepted() (*toucanhingev1.SubmitJobResponse, error) {
	return &toucanhingev1.SubmitJobResponse{Outcome: toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_ACCEPTED}, nil
}

func outcome(o toucanhingev1.SubmitOutcome) func() (*toucanhingev1.SubmitJobResponse, error) {
	return func() (*toucanhingev1.SubmitJobResponse, error) {
		return &toucanhingev1.SubmitJobResponse{Outcome: o}, nil
	}
}

func submit(s *Service, timeoutMs int64) Outcome {
	return s.Submit(context.Background(), routing.Route{Route: &toucanhingev1.Route{}}, &toucanhingev1.SubmitJobRequest{Job: "j"}, timeoutMs)
}

// The leader loses power and never answers, without a reset. A job must still be answered within about
// half a second, by submitting it to the next VM.
func TestSubmitSkipsUnresponsiveLeader(t *testing.T) {
	s := serve(t, &fakeCore{submit: accepted}, &fakeCore{})
	startedAt := time.Now()
	require.Equal(t, http.StatusAccepted, submit(s, 4_000).Status)
	require.Less(t, time.Since(startedAt), 700*time.Millisecond)
}

func overloaded() (*toucanhingev1.SubmitJobResponse, error) {
	return nil, connect.NewError(connect.CodeResourceExhausted, errors.New("too much waits"))
}

func unavailable() (*toucanhingev1.SubmitJobResponse, error) {
	return nil, connect.NewError(connect.CodeUnavailable, errors.New("the outcome isn't known"))
}

// inTurn returns a leader that answers the first attempt and the later ones.
func inTurn(first, later func() (*toucanhingev1.SubmitJobResponse, error)) func() (*toucanhingev1.SubmitJobResponse, error) {
	var attempts atomic.Int32
	return func() (*toucanhingev1.SubmitJobResponse, error) {
		if attempts.Add(1) == 1 {
			return first()
		}
		return later()
	}
}

// TestSubmitOutcomes checks that an answer says that the job wasn't accepted only if that is certain.
func TestSubmitOutcomes(t *testing.T) {
	for _, c := range []struct {
		name   string
		submit func() (*toucanhingev1.SubmitJobResponse, error)
		status int
		reason string
		retry  bool
	}{
		{"accepted", accepted, http.StatusAccepted, "", false},
		{"over the quota", outcome(toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_OVER_QUOTA), http.StatusTooManyRequests, ReasonQuota, true},
		{"the core has no such route", outcome(toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_NO_ROUTE), http.StatusServiceUnavailable, "no-route", true},
		{"the leader fails while it commits the job", unavailable, http.StatusBadGateway, ReasonOutcomeUnknown, false},
		{"the leader is overloaded", overloaded, http.StatusServiceUnavailable, ReasonCoreFull, true},
		{"the leader is overloaded after it failed", inTurn(unavailable, overloaded), http.StatusBadGateway, ReasonOutcomeUnknown, false},
		{"no leader", func() (*toucanhingev1.SubmitJobResponse, error) { return nil, control.NotLeader("") }, http.StatusBadGateway, ReasonOutcomeUnknown, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := submit(serve(t, &fakeCore{submit: c.submit}), 400)
			require.Equal(t, c.status, o.status())
			if o.Refusal != nil {
				require.Equal(t, c.reason, o.Refusal.Reason)
				require.Equal(t, c.retry, o.Refusal.RetryAfter > 0)
			}
		})
	}
}

func TestReadAndEnd(t *testing.T) {
	found := false
	s := serve(t, &fakeCore{
		read: func() (*toucanhingev1.ReadListedResponse, error) {
			return &toucanhingev1.ReadListedResponse{Found: found, Total: 3}, nil
		},
		end: func() (*toucanhingev1.EndJobResponse, error) { return &toucanhingev1.EndJobResponse{Found: found}, nil },
	})
	ctx := context.Background()
	_, refusal := s.Read(ctx, &toucanhingev1.ReadListedRequest{Job: "j"})
	require.Equal(t, http.StatusNotFound, refusal.Status)
	require.Equal(t, http.StatusNotFound, s.End(ctx, "j", nil).status())
	found = true
	answer, refusal := s.Read(ctx, &toucanhingev1.ReadListedRequest{Job: "j"})
	require.Nil(t, refusal)
	require.Equal(t, uint32(3), answer.GetTotal())
	require.Equal(t, http.StatusOK, s.End(ctx, "j", nil).status())
}

// No VM of the core answers. The job may exist nevertheless: 404 would mean that it was lost.
func TestReadWithoutCoreIsUnavailable(t *testing.T) {
	s := serve(t, &fakeCore{
		read: func() (*toucanhingev1.ReadListedResponse, error) { return nil, control.NotLeader("") },
	})
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, refusal := s.Read(ctx, &toucanhingev1.ReadListedRequest{Job: "j"})
	require.Equal(t, http.StatusServiceUnavailable, refusal.Status)
	require.Positive(t, refusal.RetryAfter)
}

// Guards against callers that are told to submit a job again before it can fit, all at the same time,
// or outside of 1 to 30 s.
func TestQuotaRefusalCarriesRetryTime(t *testing.T) {
	for _, c := range []struct {
		name        string
		afterMs     uint32
		least, most time.Duration
	}{
		{"time of the core", 8_000, 8 * time.Second, 10 * time.Second},
		{"unknown to the core", 0, time.Second, 1_250 * time.Millisecond},
		{"the longest", 30_000, 30 * time.Second, 30 * time.Second},
		{"beyond the longest", 4_000_000_000, 30 * time.Second, 30 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := submit(serve(t, &fakeCore{submit: func() (*toucanhingev1.SubmitJobResponse, error) {
				return &toucanhingev1.SubmitJobResponse{Outcome: toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_OVER_QUOTA, RetryAfterMs: c.afterMs}, nil
			}}), 4_000)
			require.Equal(t, http.StatusTooManyRequests, o.status())
			require.GreaterOrEqual(t, o.Refusal.RetryAfter, c.least)
			require.LessOrEqual(t, o.Refusal.RetryAfter, c.most)
		})
	}
}
