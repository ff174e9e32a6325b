package jobs

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
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

// fakeCore is a VM of the core that says what a test wants.
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

// serve starts fake VMs and returns a service that knows them in this order.
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

func submit(s *Service, patience int64) Outcome {
	return s.Submit(context.Background(), routing.Route{Route: &toucanhingev1.Route{}}, &toucanhingev1.SubmitJobRequest{Job: "j"}, patience)
}

// The leader loses power and answers never, without a reset. A job that comes
// then must be answered within about half a second: it is handed to the next VM.
func TestALeaderThatLostPowerIsPassedOver(t *testing.T) {
	s := serve(t, &fakeCore{submit: accepted}, &fakeCore{})
	began := time.Now()
	require.Equal(t, http.StatusAccepted, submit(s, 4_000).Status)
	require.Less(t, time.Since(began), 700*time.Millisecond)
}

// TestWhatCallersAreTold: only a sure refusal promises that nothing runs.
func TestWhatCallersAreTold(t *testing.T) {
	for _, c := range []struct {
		name   string
		submit func() (*toucanhingev1.SubmitJobResponse, error)
		status int
		reason string
		retry  bool
	}{
		{"accepted", accepted, http.StatusAccepted, "", false},
		{"over the quota", outcome(toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_OVER_QUOTA), http.StatusTooManyRequests, ReasonQuota, true},
		{"its route is gone at the core", outcome(toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_NO_ROUTE), http.StatusServiceUnavailable, "no-route", true},
		{"the leader vanishes while it logs", func() (*toucanhingev1.SubmitJobResponse, error) {
			return nil, connect.NewError(connect.CodeUnavailable, errors.New("the outcome isn't known"))
		}, http.StatusBadGateway, ReasonOutcomeUnknown, false},
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

func TestReadingAndEnding(t *testing.T) {
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

// No VM of the core answers. A job that can't be found now may exist: 404 would
// tell its team that it was lost.
func TestNoCoreMeansUnsure(t *testing.T) {
	s := serve(t, &fakeCore{
		read: func() (*toucanhingev1.ReadListedResponse, error) { return nil, control.NotLeader("") },
	})
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, refusal := s.Read(ctx, &toucanhingev1.ReadListedRequest{Job: "j"})
	require.Equal(t, http.StatusServiceUnavailable, refusal.Status)
	require.Positive(t, refusal.RetryAfter)
}
