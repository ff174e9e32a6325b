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
	// Unresponsive says whether a daemon has kept silent for too long, or, if it never
	// told anything, since a moment.
	Unresponsive func(daemon string, since clock.Millis) bool
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

	mu       sync.Mutex
	leaving  bool
	sessions map[*session]bool
}

var _ toucanhingev1connect.CarryServiceHandler = (*Server)(nil)

// New makes a server without calls.
func New(config Config) *Server {
	return &Server{
		config: config, sessions: map[*session]bool{},
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
	for l := range s.sessions {
		source := ""
		ended := l.endIf(errGone, s.ended.WithLabelValues(reasonSilent), func(c *call) bool {
			source = c.source
			return s.config.Unresponsive(c.source, c.began)
		})
		if ended > 0 {
			level.Warn(s.config.Logger).Log(logs.KeyEvent, "carried-calls-ended", "for", source, "calls", ended, "reason", reasonSilent)
		}
	}
}

// Drain takes no more calls and ends those under way: the daemon that asked lets
// them go on from their last event elsewhere, at once.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	for l := range s.sessions {
		l.endIf(errLeaving, s.ended.WithLabelValues(reasonLeaving), func(*call) bool { return true })
	}
}

func (s *Server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

func (s *Server) enter(l *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions[l] = true
}

func (s *Server) exit(l *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, l)
}

// Carry makes the calls that a daemon asks for, and passes their answers on, until the session
// or the context ends.
func (s *Server) Carry(ctx context.Context, commands *stream) error {
	l := newSession()
	s.enter(l)
	defer s.exit(l)
	ctx, cancel := context.WithCancel(ctx)
	var duties sync.WaitGroup
	defer duties.Wait()
	defer cancel()
	duties.Go(func() {
		defer cancel()
		if err := l.pass(ctx, commands); err != nil {
			level.Info(s.config.Logger).Log(logs.KeyEvent, "carry-session-broken", logs.KeyError, err)
		}
	})
	for {
		m, err := commands.Receive()
		if errors.Is(err, io.EOF) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("take commands: %w", err)
		}
		l.hold(time.Duration(m.GetGatherMs()) * time.Millisecond)
		for _, request := range m.GetStarts() {
			s.begin(ctx, l, m.GetSource(), request, &duties)
		}
		released := l.end(errRelease, m.GetReleases()...)
		s.ended.WithLabelValues(reasonRelease).Add(float64(released))
	}
}

// begin makes one call. Its context ends with the session's; ended for another reason, it still
// passes on what it has gathered.
func (s *Server) begin(ctx context.Context, l *session, source string, m *toucanhingev1.CarryRequest, duties *sync.WaitGroup) {
	ctx, cancel := context.WithCancelCause(ctx)
	c := &call{source: source, number: m.GetCall(), began: s.config.Clock.Now(), cancel: cancel, wake: l.wake}
	l.add(c)
	if s.isLeaving() {
		cancel(errLeaving)
		c.finish(&toucanhingev1.CarryEnd{Failure: errLeaving.Error(), NotSent: true, NotTaken: true})
		return
	}
	l.wake()
	duties.Go(func() {
		defer cancel(nil)
		c.read(ctx, s.config.Client, s.config.Exchange, m)
	})
}

func callOf(m *toucanhingev1.CarryRequest) runner.Call {
	header := http.Header{}
	for _, f := range m.GetHeaders() {
		header.Add(f.GetName(), f.GetValue())
	}
	return runner.Call{
		Runner: m.GetRunner(), Request: m.GetRequest(), Method: m.GetMethod(), Target: m.GetTarget(), Host: m.GetHost(),
		Header: header, Team: m.GetTeam(), Body: m.GetBody(), Resume: m.After != nil, After: m.GetAfter(),
	}
}

func headOf(answer *runner.Answer) *toucanhingev1.CarryHead {
	head := &toucanhingev1.CarryHead{Status: uint32(answer.Status), NotRun: answer.NotRun, Other: answer.OtherInstance}
	if answer.Load != nil {
		running := uint32(answer.Load.Running)
		head.Running, head.Waiting = &running, uint32(answer.Load.Waiting)
	}
	return head
}
