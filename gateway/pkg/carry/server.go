// Package carry calls runners for the leader of the core and passes the answers on
// to it. The load that it answers: batch items hold half of the fleet when the
// leader's VM vanishes. Runners don't notice, since no connection is reset, and go on
// for seconds with items that nobody waits for, while online requests wait behind
// them. A gateway that carries an item's call does notice, and closes the call's
// connection; then the runner stops.
package carry

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/digest"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/runner"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

// lookEvery is the interval at which silent daemons are looked for; the silence
// that ends calls is six times as long.
const lookEvery = 50 * time.Millisecond

// Reasons for which calls are ended here.
const (
	reasonSilent  = "daemon-silent"
	reasonLeaving = "leaving"
	reasonRelease = "released"
)

var (
	errLeaving = errors.New("this gateway is leaving")
	errGone    = errors.New("the daemon that asked is gone")
	errRelease = errors.New("the daemon that asked wants no more")
)

// Config describes a server.
type Config struct {
	Client runner.Client
	// Exchange is told of runners that fall silent.
	Exchange *digest.Exchange
	// Overdue says whether a daemon has kept silent for too long, or, if it never
	// told anything, since a moment.
	Overdue func(daemon string, since clock.Millis) bool
	Clock   clock.Clock
	Logger  log.Logger
	// Registerer takes the counters.
	Registerer prometheus.Registerer
}

// Server carries calls.
type Server struct {
	config Config
	// ended counts the calls that were ended here, by reason.
	ended *prometheus.CounterVec

	mu      sync.Mutex
	leaving bool
	calls   map[*call]bool
}

var _ toucanhingev1connect.CarryServiceHandler = (*Server)(nil)

// New makes a server without calls.
func New(config Config) *Server {
	return &Server{
		config: config, calls: map[*call]bool{},
		ended: promauto.With(config.Registerer).NewCounterVec(prometheus.CounterOpts{
			Name: "toucanhinge_carried_calls_ended_total", Help: "Items' calls that this gateway ended early, by reason.",
		}, []string{"reason"}),
	}
}

// Run ends the calls of daemons that fell silent, until the context ends.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.endOrphans()
		}
	}
}

func (s *Server) endOrphans() {
	s.mu.Lock()
	defer s.mu.Unlock()
	ended := map[string]int{}
	for c := range s.calls {
		if s.config.Overdue(c.source, c.began) {
			c.cancel(errGone)
			delete(s.calls, c)
			ended[c.source]++
		}
	}
	for source, calls := range ended {
		s.ended.WithLabelValues(reasonSilent).Add(float64(calls))
		level.Warn(s.config.Logger).Log(logs.KeyEvent, "carried-calls-ended", "for", source, "calls", calls, "reason", reasonSilent)
	}
}

// Leave takes no more calls and ends those under way: the daemon that asked lets
// them go on from their last event elsewhere, at once.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	for c := range s.calls {
		c.cancel(errLeaving)
		delete(s.calls, c)
		s.ended.WithLabelValues(reasonLeaving).Inc()
	}
}

func (s *Server) enter(c *call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return false
	}
	s.calls[c] = true
	return true
}

func (s *Server) exit(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, c)
}

// Carry calls a runner once and passes the answer on.
func (s *Server) Carry(
	ctx context.Context, r *connect.Request[toucanhingev1.CarryRequest], stream *connect.ServerStream[toucanhingev1.CarryFrame],
) error {
	// The runner's call has a context of its own: ended early, it still passes on what has
	// gathered.
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c := newCall(r.Msg, s.config.Clock.Now(), cancel)
	if !s.enter(c) {
		return connect.NewError(connect.CodeUnavailable, errLeaving)
	}
	defer s.exit(c)
	if err := stream.Send(&toucanhingev1.CarryFrame{}); err != nil {
		return fmt.Errorf("take a call: %w", err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.read(callCtx, s.config.Client, s.config.Exchange, r.Msg)
	}()
	err := c.pass(ctx, stream)
	cancel(nil)
	<-done
	return err
}

// Release ends calls early; each passes on what it has gathered.
func (s *Server) Release(
	_ context.Context, r *connect.Request[toucanhingev1.ReleaseRequest],
) (*connect.Response[toucanhingev1.ReleaseResponse], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.calls {
		if c.source == r.Msg.GetSource() && slices.Contains(r.Msg.GetCalls(), c.number) {
			c.cancel(errRelease)
			s.ended.WithLabelValues(reasonRelease).Inc()
		}
	}
	return connect.NewResponse(&toucanhingev1.ReleaseResponse{}), nil
}

func callOf(m *toucanhingev1.CarryRequest) runner.Call {
	header := http.Header{}
	for _, f := range m.GetHeaders() {
		header.Add(f.GetName(), f.GetValue())
	}
	return runner.Call{
		Runner: m.GetRunner(), Request: m.GetRequest(), Method: m.GetMethod(), Target: m.GetTarget(), Host: m.GetHost(),
		Header: header, Body: m.GetBody(), Resume: m.After != nil, After: m.GetAfter(),
	}
}

func headOf(answer *runner.Answer) *toucanhingev1.CarryHead {
	head := &toucanhingev1.CarryHead{Status: uint32(answer.Status), NotRun: answer.NotRun, Other: answer.Other}
	if answer.Held != nil {
		running := uint32(answer.Held.Running)
		head.Running, head.Waiting = &running, uint32(answer.Held.Waiting)
	}
	return head
}
