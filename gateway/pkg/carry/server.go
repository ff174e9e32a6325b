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
	"io"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/runner"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

const (
	// lookEvery is the interval at which silent daemons are looked for; the silence
	// that ends calls is six times as long.
	lookEvery = 50 * time.Millisecond
	// gather is how long events wait for others. Nobody waits for single events of
	// an item, and each message costs both ends some 50 us of processor time.
	gather = 40 * time.Millisecond
	// readBytes holds the events of that time, of some 100 bytes each.
	readBytes = 4 << 10
)

// Reasons for which calls are ended here.
const (
	reasonSilent  = "daemon-silent"
	reasonLeaving = "leaving"
)

var (
	errLeaving = errors.New("this gateway is leaving")
	errGone    = errors.New("the daemon that asked is gone")
)

// Config describes a server.
type Config struct {
	Client runner.Client
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

// call is one call on its way.
type call struct {
	source string
	began  clock.Millis
	cancel context.CancelCauseFunc
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
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c := &call{source: r.Msg.GetSource(), began: s.config.Clock.Now(), cancel: cancel}
	if !s.enter(c) {
		return connect.NewError(connect.CodeUnavailable, errLeaving)
	}
	defer s.exit(c)
	if err := stream.Send(&toucanhingev1.CarryFrame{}); err != nil {
		return fmt.Errorf("take a call: %w", err)
	}
	err := s.pass(ctx, r.Msg, stream)
	var unsent *runner.NotSentError
	end := &toucanhingev1.CarryEnd{NotSent: errors.As(err, &unsent)}
	if err != nil {
		end.Failure = err.Error()
	}
	if err := stream.Send(&toucanhingev1.CarryFrame{Frame: &toucanhingev1.CarryFrame_End{End: end}}); err != nil {
		return fmt.Errorf("end a call: %w", err)
	}
	return nil
}

// pass calls the runner and passes its answer on to the last byte.
func (s *Server) pass(ctx context.Context, m *toucanhingev1.CarryRequest, stream *connect.ServerStream[toucanhingev1.CarryFrame]) error {
	answer, err := s.config.Client.Open(ctx, callOf(m))
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if err := stream.Send(&toucanhingev1.CarryFrame{Frame: &toucanhingev1.CarryFrame_Head{Head: headOf(answer)}}); err != nil {
		return fmt.Errorf("pass a head on: %w", err)
	}
	buffer := make([]byte, readBytes)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			if err := stream.Send(&toucanhingev1.CarryFrame{Frame: &toucanhingev1.CarryFrame_Data{Data: buffer[:n]}}); err != nil {
				return fmt.Errorf("pass events on: %w", err)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read an answer: %w", err)
		}
		if err := pause(ctx); err != nil {
			return err
		}
	}
}

// pause lets events gather.
func pause(ctx context.Context) error {
	timer := time.NewTimer(gather)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
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
