// Package callproxy proxies calls to runners for the leader of the core. It handles the case that the leader's VM fails
// while batch items hold half of the fleet's slots. Runners can't detect the failure, since no connection is reset: they
// would go on for seconds with items whose results are lost, while online requests wait. A gateway that proxies an
// item's call detects the failure and closes the call's connection, and the runner stops.
package callproxy

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

// orphanCheckInterval is the interval of checks for unresponsive daemons. The timeout that ends their calls is six
// times as long.
const orphanCheckInterval = 50 * time.Millisecond

// Reasons for which this gateway ends calls, as metric labels.
const (
	reasonUnresponsive = "daemon-silent"
	reasonDraining     = "leaving"
	reasonReleased     = "released"
)

var (
	errDraining           = errors.New("this gateway is leaving")
	errDaemonUnresponsive = errors.New("the daemon that asked is gone")
	errReleased           = errors.New("the daemon that asked wants no more")
)

// Config holds the dependencies and settings of a Server.
type Config struct {
	Client runner.Client
	// Exchange receives the load of runners and reports of unresponsive ones.
	Exchange *digest.Exchange
	// Unresponsive reports whether a daemon has sent no load digest for too long. For a daemon that never sent one, the
	// time is counted from since.
	Unresponsive func(daemon string, since clock.Millis) bool
	Clock        clock.Clock
	Logger       log.Logger
	// Registerer registers the counters.
	Registerer prometheus.Registerer
}

// Server serves sessions and proxies their calls.
type Server struct {
	config Config
	// ended counts the calls that this gateway ended early, by reason.
	ended *prometheus.CounterVec

	mu       sync.Mutex
	draining bool
	sessions map[*session]bool
}

var _ toucanhingev1connect.CarryServiceHandler = (*Server)(nil)

// New returns a server without sessions.
func New(config Config) *Server {
	return &Server{
		config: config, sessions: map[*session]bool{},
		ended: promauto.With(config.Registerer).NewCounterVec(prometheus.CounterOpts{
			Name: "toucanhinge_carried_calls_ended_total", Help: "Item calls that this gateway ended early, by reason.",
		}, []string{"reason"}),
	}
}

// Run ends the calls of unresponsive daemons until the context ends.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(orphanCheckInterval)
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
	for session := range s.sessions {
		source := ""
		ended := session.cancelMatching(errDaemonUnresponsive, s.ended.WithLabelValues(reasonUnresponsive), func(c *call) bool {
			source = c.source
			return s.config.Unresponsive(c.source, c.startedAt)
		})
		if ended > 0 {
			level.Warn(s.config.Logger).Log(logs.KeyEvent, "carried-calls-ended", "for", source, "calls", ended, "reason", reasonUnresponsive)
		}
	}
}

// Drain ends all calls and makes the server reject new ones. The calling daemons resume the items elsewhere at once,
// after their last event.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for session := range s.sessions {
		session.cancelMatching(errDraining, s.ended.WithLabelValues(reasonDraining), func(*call) bool { return true })
	}
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

func (s *Server) addSession(session *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions[session] = true
}

func (s *Server) removeSession(session *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session)
}

// Carry makes the calls that a daemon requests and sends their events, until the session or the context ends.
func (s *Server) Carry(ctx context.Context, commands *stream) error {
	session := newSession()
	s.addSession(session)
	defer s.removeSession(session)
	ctx, cancel := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer cancel()
	tasks.Go(func() {
		defer cancel()
		if err := session.sendEvents(ctx, commands); err != nil {
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
		session.setFlushInterval(time.Duration(m.GetGatherMs()) * time.Millisecond)
		for _, request := range m.GetStarts() {
			s.startCall(ctx, session, m.GetSource(), request, &tasks)
		}
		released := session.release(errReleased, m.GetReleases()...)
		s.ended.WithLabelValues(reasonReleased).Add(float64(released))
	}
}

// startCall starts one call. Its context ends with that of the session. A call that is ended for another reason
// still sends its buffered events.
func (s *Server) startCall(ctx context.Context, session *session, source string, m *toucanhingev1.CarryRequest, tasks *sync.WaitGroup) {
	ctx, cancel := context.WithCancelCause(ctx)
	c := &call{
		source: source, number: m.GetCall(), startedAt: s.config.Clock.Now(), cancel: cancel, wake: session.wake, collected: make(chan struct{}, 1),
	}
	session.add(c)
	if s.isDraining() {
		cancel(errDraining)
		c.finish(&toucanhingev1.CarryEnd{Failure: errDraining.Error(), NotSent: true, NotTaken: true})
		return
	}
	session.wake()
	tasks.Go(func() {
		defer cancel(nil)
		c.run(ctx, s.config.Client, s.config.Exchange, m)
	})
}

func newRunnerCall(m *toucanhingev1.CarryRequest) runner.Call {
	header := http.Header{}
	for _, f := range m.GetHeaders() {
		header.Add(f.GetName(), f.GetValue())
	}
	return runner.Call{
		Runner: m.GetRunner(), Request: m.GetRequest(), Method: m.GetMethod(), Target: m.GetTarget(), Host: m.GetHost(),
		Header: header, Team: m.GetTeam(), Body: m.GetBody(), Resume: m.After != nil, After: m.GetAfter(),
	}
}

func newCarryHead(answer *runner.Answer) *toucanhingev1.CarryHead {
	head := &toucanhingev1.CarryHead{Status: uint32(answer.Status), NotRun: answer.NotRun, Other: answer.OtherInstance}
	if answer.Load != nil {
		running := uint32(answer.Load.Running)
		head.Running, head.Waiting = &running, uint32(answer.Load.Waiting)
	}
	return head
}
