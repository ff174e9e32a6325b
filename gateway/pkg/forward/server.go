package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/digest"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/occupancy"
	"toucanhinge.example/common/pkg/routing"
	"toucanhinge.example/common/pkg/runner"
	"toucanhinge.example/gateway/pkg/admission"
	"toucanhinge.example/gateway/pkg/lease"
	"toucanhinge.example/gateway/pkg/place"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Config describes a server.
type Config struct {
	Client     runner.Client
	Exchange   *digest.Exchange
	DataCentre string
	Clock      clock.Clock
	// Boot goes on while the machine is suspended. Keys says by it whether what is known of
	// callers' keys may be believed; nil if it always may.
	Boot       clock.Clock
	KeyLease       *lease.Lease
	Logger     log.Logger
	Registerer prometheus.Registerer
}

// Server serves requests by the routing table and the runners that it was given
// last.
type Server struct {
	config  Config
	table   atomic.Pointer[routing.Table]
	metrics *metrics
	leaving atomic.Bool
	// fleetKnown says that the runners have been told once.
	fleetKnown atomic.Bool
	// begun is closed when requests can be served for the first time.
	begun     chan struct{}
	beginOnce sync.Once

	mu       sync.Mutex
	places   *place.Machine
	loads    *occupancy.Cache[place.Load]
	runners  []*toucanhingev1.Runner
	gateways int
	patience *admission.RetryDetector
	room     admission.WaitQueue
	spells   admission.OverloadTracker
	// freed is closed and made anew when the load changes.
	freed chan struct{}
}

type metrics struct {
	requests *prometheus.CounterVec
	refused  *prometheus.CounterVec
	retried  *prometheus.CounterVec
	first    prometheus.Histogram
	waiting  prometheus.Gauge
	crashes  prometheus.Counter
}

// New makes a server without routes.
func New(config Config) *Server {
	if config.KeyLease == nil {
		config.Boot, config.KeyLease = config.Clock, lease.New(0)
	}
	factory := promauto.With(config.Registerer)
	factory.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "toucanhinge_requests_quarantined", Help: "Requests that are kept from all runners.",
	}, func() float64 { return float64(config.Exchange.QuarantineCount()) })
	return &Server{
		config: config, places: place.New(place.Config{DataCentre: config.DataCentre}),
		loads: &occupancy.Cache[place.Load]{Read: loadAt}, patience: admission.NewRetryDetector(), freed: make(chan struct{}), begun: make(chan struct{}),
		metrics: &metrics{
			requests: factory.NewCounterVec(prometheus.CounterOpts{
				Name: "toucanhinge_requests_total", Help: "Online requests by outcome.",
			}, []string{"outcome"}),
			refused: factory.NewCounterVec(prometheus.CounterOpts{
				Name: "toucanhinge_requests_refused_total", Help: "Requests that were refused or failed, by reason.",
			}, []string{"reason"}),
			retried: factory.NewCounterVec(prometheus.CounterOpts{
				Name: "toucanhinge_requests_retried_total", Help: "Calls that went on at another runner, by reason.",
			}, []string{"reason"}),
			first: factory.NewHistogram(prometheus.HistogramOpts{
				Name: "toucanhinge_first_event_seconds", Help: "Time from a request's arrival to its first event.",
				Buckets: []float64{.01, .02, .05, .1, .2, .3, .5, 1, 2, 5},
			}),
			waiting: factory.NewGauge(prometheus.GaugeOpts{
				Name: "toucanhinge_requests_waiting", Help: "Requests that came back and wait for a free place.",
			}),
			crashes: factory.NewCounter(prometheus.CounterOpts{
				Name: "toucanhinge_calls_crashed_total", Help: "Calls whose runner crashed.",
			}),
		},
	}
}

// SetTable puts a routing table in force, unless it is older than the present one.
func (s *Server) SetTable(table *routing.Table) {
	for {
		present := s.table.Load()
		if present != nil && present.Version >= table.Version {
			return
		}
		if s.table.CompareAndSwap(present, table) {
			level.Info(s.config.Logger).Log(logs.KeyEvent, "table-in-force", "version", table.Version)
			s.begin()
			return
		}
	}
}

// Table is the routing table in force, nil before the first.
func (s *Server) Table() *routing.Table { return s.table.Load() }

// Version of the routing table in force, 0 before the first.
func (s *Server) Version() uint64 {
	if t := s.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// SetRunners replaces the known runners, and how many gateways there are.
func (s *Server) SetRunners(runners []*toucanhingev1.Runner, gateways int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.places.SetRunners(runners)
	s.runners = runners
	s.gateways = gateways
	s.fleetKnown.Store(true)
	s.begin()
}

func (s *Server) begin() {
	if s.Ready() {
		s.beginOnce.Do(func() { close(s.begun) })
	}
}

// AwaitReady waits until requests can be served, for as long as is good for a caller
// of this patience, a span.
func (s *Server) AwaitReady(ctx context.Context, patience clock.Millis) {
	s.mu.Lock()
	// Without a table all callers count as those of one route.
	returned := s.patience.IsRetry("", patience)
	s.mu.Unlock()
	timer := time.NewTimer(admission.StartupWait(patience, returned).Duration())
	defer timer.Stop()
	select {
	case <-s.begun:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Ready says whether requests can be served: routes and runners are known. A
// gateway that said so before would refuse what another one could serve.
func (s *Server) Ready() bool { return s.table.Load() != nil && s.fleetKnown.Load() }

// Drain makes every answer from now on the last of its connection.
func (s *Server) Drain() { s.leaving.Store(true) }

// tableRetry is when a gateway that has just started knows its routes at the
// latest, in most cases: after 50 ms if the core runs, after a second if all
// machines have lost power and the core elects a leader. Callers come back once,
// within a third of their time; told to come back after half a second, they were
// turned away again by a fleet that was ready a moment later.
const (
	tableRetry  = 900 * time.Millisecond
	tableSpread = 700 * time.Millisecond
)

// Serve answers a request that was let in.
func (s *Server) Serve(ctx context.Context, w http.ResponseWriter, entry Authorization, request Request) {
	route := entry.Route
	limit := route.TimeLimit()
	if request.Timeout > 0 {
		limit = min(limit, request.Timeout)
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add((limit - (s.config.Clock.Now() - request.Arrived)).Duration()))
	defer cancel()
	s.mu.Lock()
	returned := s.patience.IsRetry(route.Name, request.Timeout)
	s.mu.Unlock()
	e := &exchange{
		returned: returned,
		server:   s, w: w, route: route, entry: entry, request: request, ends: request.Arrived + limit,
		service: route.Service(rand.Float64()), after: request.After, resume: request.Resume,
	}
	e.serve(ctx)
	e.report()
}

// choose takes a place for a call.
func (s *Server) choose(ask place.Request) (place.Choice, bool) {
	ask.TieBreak, ask.Draw, ask.Age = rand.Float64(), rand.Float64(), s.config.Exchange.Age()
	s.mu.Lock()
	defer s.mu.Unlock()
	var choice place.Choice
	ok := false
	s.config.Exchange.View(func(t *occupancy.Table) {
		now := s.config.Clock.Now()
		s.loads.Refresh(now, s.runners, t)
		choice, ok = s.places.Select(now, ask, s.loads.Get)
	})
	return choice, ok
}

// loadAt is what all daemons have under way at a runner.
func loadAt(now clock.Millis, id string, t *occupancy.Table) place.Load {
	l := t.Load(id)
	return place.Load{
		Online: l.Online, Own: t.Own(id).Online, Batch: l.Batch, Foreign: t.Foreign(now, id), Unresponsive: t.Unresponsive(now, id),
	}
}

// conditions tells how long a request of a service holds its place, and whether
// enough of a team wait for one here.
func (s *Server) conditions(service, team string) (hold clock.Millis, crowded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	places := s.places.Slots(s.config.Clock.Now(), service)
	return clock.Millis(s.places.MeanHold(service)), s.room.Full(places, s.gateways, team)
}

// LoadChanged tells that places may have become free somewhere.
func (s *Server) LoadChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.room.Len() > 0 {
		close(s.freed)
		s.freed = make(chan struct{})
	}
}

// learn runs a change of what is known of the runners.
func (s *Server) learn(change func(*place.Machine)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.places)
}

// Refuse answers that a request wasn't run.
func (s *Server) Refuse(w http.ResponseWriter, refusal Refusal) {
	s.metrics.refused.WithLabelValues(refusal.Reason).Inc()
	header := w.Header()
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	s.closeIfLeaving(header)
	body := `{"error":"` + refusal.Reason + `"}`
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(refusal.Status)
	if _, err := w.Write([]byte(body)); err != nil {
		level.Debug(s.config.Logger).Log(logs.KeyEvent, "refusal-unsent", logs.KeyError, err)
	}
}

func (s *Server) closeIfLeaving(header http.Header) {
	if s.leaving.Load() {
		header.Set("Connection", "close")
	}
}
