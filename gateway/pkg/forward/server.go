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
	"toucanhinge.example/common/pkg/streamorigin"
	"toucanhinge.example/gateway/pkg/admission"
	"toucanhinge.example/gateway/pkg/fairshare"
	"toucanhinge.example/gateway/pkg/lease"
	"toucanhinge.example/gateway/pkg/placement"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Config holds the settings and dependencies of a Server.
type Config struct {
	Client     runner.Client
	Exchange   *digest.Exchange
	DataCentre string
	// DrainNoticeLimit is how long requests may be sent to a runner after the list of runners shows it as leaving; 0 if
	// unknown.
	DrainNoticeLimit clock.Millis
	// Name is the name of this gateway, by which ties between waiting requests of several gateways are broken.
	Name  string
	Clock clock.Clock
	// Boot is a clock that continues while the machine is suspended. KeyLease reports by it whether
	// the callers' keys in the routing table are still confirmed; nil if they always are.
	Boot       clock.Clock
	KeyLease   *lease.Lease
	Logger     log.Logger
	Registerer prometheus.Registerer
}

// Server serves requests by the current routing table and list of runners.
type Server struct {
	config   Config
	table    atomic.Pointer[routing.Table]
	metrics  *metrics
	draining atomic.Bool
	// fleetKnown is set once a list of runners was received.
	fleetKnown atomic.Bool
	// ready is closed once requests can be served.
	ready     chan struct{}
	readyOnce sync.Once

	mu        sync.Mutex
	placement *placement.Machine
	loads     *occupancy.Cache[placement.Load]
	// versions holds the software versions of the runners over time, and routeServices the services of the routes.
	versions      *streamorigin.History
	routeServices map[string]routeService
	// fleetConfirmedAt is the time by the boot clock up to which the list of runners is complete.
	fleetConfirmedAt clock.Millis
	runners          []*toucanhingev1.Runner
	gateways         int
	retries          *admission.RetryDetector
	// queues holds the wait queue of each service, and waiters numbers the requests that waited.
	queues  map[string]*serviceQueue
	waiters uint64
	// contention has a lock of its own.
	contention contentionState
	// loadChanged is closed and replaced when the load changes while requests are queued.
	loadChanged chan struct{}
}

type metrics struct {
	requests       *prometheus.CounterVec
	refused        *prometheus.CounterVec
	retried        *prometheus.CounterVec
	continued      *prometheus.CounterVec
	resumeRequests *prometheus.CounterVec
	firstEvent     prometheus.Histogram
	waiting        prometheus.Gauge
	crashes        prometheus.Counter
	broken         *prometheus.CounterVec
}

// New returns a server without a routing table.
func New(config Config) *Server {
	if config.KeyLease == nil {
		config.Boot, config.KeyLease = config.Clock, lease.New(0)
	}
	factory := promauto.With(config.Registerer)
	factory.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "toucanhinge_requests_quarantined", Help: "Quarantined requests, which no runner may run.",
	}, func() float64 { return float64(config.Exchange.QuarantineCount()) })
	factory.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "toucanhinge_parts_quarantined", Help: "Quarantined parts of prompts: no runner may run a request with one.",
	}, func() float64 { return float64(config.Exchange.PartQuarantineCount()) })
	factory.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "toucanhinge_stream_origins", Help: "Streams whose origins are known here.",
	}, func() float64 { return float64(config.Exchange.OriginCount()) })
	s := &Server{
		config: config, contention: contentionState{services: map[string]*serviceContention{}},
		versions: streamorigin.NewHistory(), placement: placement.New(placement.Config{DataCentre: config.DataCentre, LeavingGrace: clock.Millis(leavingGraceShare * float64(config.DrainNoticeLimit))}),
		loads: &occupancy.Cache[placement.Load]{Read: runnerLoad}, retries: admission.NewRetryDetector(),
		queues: map[string]*serviceQueue{}, loadChanged: make(chan struct{}), ready: make(chan struct{}),
		metrics: &metrics{
			requests: factory.NewCounterVec(prometheus.CounterOpts{
				Name: "toucanhinge_requests_total", Help: "Online requests by outcome.",
			}, []string{"outcome"}),
			refused: factory.NewCounterVec(prometheus.CounterOpts{
				Name: "toucanhinge_requests_refused_total", Help: "Requests that were refused or failed, by reason.",
			}, []string{"reason"}),
			retried: factory.NewCounterVec(prometheus.CounterOpts{
				Name: "toucanhinge_requests_retried_total", Help: "Requests that were retried at another runner, by reason.",
			}, []string{"reason"}),
			continued: factory.NewCounterVec(prometheus.CounterOpts{
				Name: "toucanhinge_streams_continued_total", Help: "Streams continued after a break, by whom.",
			}, []string{"by"}),
			resumeRequests: factory.NewCounterVec(prometheus.CounterOpts{
				Name: "toucanhinge_resume_requests_total", Help: "Streams that callers resume, by how their origin is known.",
			}, []string{"known_by"}),
			firstEvent: factory.NewHistogram(prometheus.HistogramOpts{
				Name: "toucanhinge_first_event_seconds", Help: "Time from a request's arrival to its first event.",
				Buckets: []float64{.01, .02, .05, .1, .2, .3, .5, 1, 2, 5},
			}),
			waiting: factory.NewGauge(prometheus.GaugeOpts{
				Name: "toucanhinge_requests_waiting", Help: "Retried requests that wait for a free slot.",
			}),
			crashes: factory.NewCounter(prometheus.CounterOpts{
				Name: "toucanhinge_calls_crashed_total", Help: "Calls whose runner crashed.",
			}),
			broken: factory.NewCounterVec(prometheus.CounterOpts{
				Name: "toucanhinge_calls_broken_total", Help: "Calls that broke off, by the presence of their runner afterwards.",
			}, []string{"presence"}),
		},
	}
	factory.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "toucanhinge_teams_over_share", Help: "Teams that use more than their share of the slots of a service with too few.",
	}, func() float64 { return float64(s.contention.overCount(config.Clock.Now())) })
	if config.Exchange != nil {
		s.contention.others = config.Exchange.Contention
		config.Exchange.SetContentionSource(s.reportContention)
		config.Exchange.SetTeamWeights(s.teamWeight)
		config.Registerer.MustRegister(newPaceCollector(config.Exchange.PaceSummary))
	}
	return s
}

// SetTable applies a routing table, unless it isn't newer than the current one.
func (s *Server) SetTable(table *routing.Table) {
	for {
		current := s.table.Load()
		if current != nil && current.Version >= table.Version {
			return
		}
		if s.table.CompareAndSwap(current, table) {
			s.mu.Lock()
			s.recordRoutes(table)
			s.mu.Unlock()
			level.Info(s.config.Logger).Log(logs.KeyEvent, "table-in-force", "version", table.Version)
			s.signalReady()
			return
		}
	}
}

// Table returns the current routing table, nil before the first.
func (s *Server) Table() *routing.Table { return s.table.Load() }

// Version returns the version of the current routing table, 0 before the first.
func (s *Server) Version() uint64 {
	if t := s.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// SetRunners sets the known runners and the number of gateways.
func (s *Server) SetRunners(runners []*toucanhingev1.Runner, gateways int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placement.RecordLeaving(s.config.Clock.Now(), runners)
	s.placement.SetRunners(runners)
	s.versions.Update(s.config.Clock.Now(), runners)
	s.runners = runners
	s.gateways = gateways
	s.fleetKnown.Store(true)
	s.signalReady()
}

// signalReady wakes the callers of AwaitReady if requests can be served.
func (s *Server) signalReady() {
	if s.Ready() {
		s.readyOnce.Do(func() { close(s.ready) })
	}
}

// AwaitReady waits until requests can be served, but no longer than is useful for a caller with this
// timeout.
func (s *Server) AwaitReady(ctx context.Context, timeout clock.Millis) {
	s.mu.Lock()
	// Without a routing table, all callers are counted as callers of one route.
	retry := s.retries.IsRetry("", timeout)
	s.mu.Unlock()
	timer := time.NewTimer(admission.StartupWait(timeout, retry).Duration())
	defer timer.Stop()
	select {
	case <-s.ready:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Ready reports whether requests can be served: routes and runners are known. A gateway that was ready
// earlier would refuse requests that another gateway can serve.
func (s *Server) Ready() bool { return s.table.Load() != nil && s.fleetKnown.Load() }

// Drain makes the server close the connection of a caller with its next answer.
func (s *Server) Drain() { s.draining.Store(true) }

// A caller that is refused for lack of a routing table retries after tableRetryDelay plus a random part
// of tableRetryJitter. A gateway that starts knows its routes after 50 ms if the core has a leader, and
// after a second if all machines lost power and the core elects one. Callers retry only once, within a
// third of their timeout: after half a second they were refused again by a fleet that was almost ready.
const (
	tableRetryDelay  = 900 * time.Millisecond
	tableRetryJitter = 700 * time.Millisecond
)

// Serve answers an authorized request.
func (s *Server) Serve(ctx context.Context, w http.ResponseWriter, auth Authorization, request Request) {
	route := auth.Route
	limit := route.TimeLimit()
	if request.Timeout > 0 {
		limit = min(limit, request.Timeout)
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add((limit - (s.config.Clock.Now() - request.Arrived)).Duration()))
	defer cancel()
	s.mu.Lock()
	retry := s.retries.IsRetry(route.Name, request.Timeout)
	s.mu.Unlock()
	e := &exchange{
		retry: retry, leaveQueue: func() {},
		server: s, w: w, route: route, auth: auth, request: request, deadline: request.Arrived + limit,
		service: route.Service(rand.Float64()), team: fairshare.TeamID(auth.Team.GetName()), lastEventID: request.After, resume: request.Resume,
	}
	e.serve(ctx)
	e.report()
}

// selectRunner selects a runner for a call by the current loads.
func (s *Server) selectRunner(req placement.Request) (placement.Choice, bool) {
	req.TieBreak, req.Draw, req.Age = rand.Float64(), rand.Float64(), s.config.Exchange.Age()
	s.mu.Lock()
	defer s.mu.Unlock()
	var choice placement.Choice
	ok := false
	if now := s.config.Clock.Now(); s.queue(now, req.Service).fleet.Known(now) {
		req.Gateways = s.gateways
	}
	s.config.Exchange.View(func(t *occupancy.Table) {
		now := s.config.Clock.Now()
		s.loads.Refresh(now, s.runners, t)
		s.placement.SetAvoided(t.Avoided(now))
		choice, ok = s.placement.Select(now, req, s.loads.Get)
	})
	return choice, ok
}

// runnerLoad returns the load of a runner by all daemons.
func runnerLoad(now clock.Millis, id string, t *occupancy.Table) placement.Load {
	l := t.Load(id)
	return placement.Load{
		Online: l.Online, Own: t.Own(id).Online, Batch: l.Batch, Foreign: t.Foreign(now, id), Unresponsive: t.Unresponsive(now, id),
		Pace: t.Paces().Usual(id), Present: t.Paces().Present(now, id),
	}
}

// queueState returns how long a request of a service holds its slot on average, and whether the wait
// queue is full for a team, which may be over its share.
func (s *Server) queueState(service, team string, overShare bool) (hold clock.Millis, full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Clock.Now()
	q := s.queue(now, service)
	slots := s.placement.Slots(now, service)
	return s.meanHold(service), q.fleet.Full(now, &q.waiters, slots, s.gateways, team, overShare)
}

// LoadChanged wakes the queued requests, since slots may have become free.
func (s *Server) LoadChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, q := range s.queues {
		if q.waiters.Len() > 0 {
			close(s.loadChanged)
			s.loadChanged = make(chan struct{})
			return
		}
	}
}

// updatePlacement applies a change to the placement state under the lock.
func (s *Server) updatePlacement(change func(*placement.Machine)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.placement)
}

// Refuse sends a refusal to the caller.
func (s *Server) Refuse(w http.ResponseWriter, refusal Refusal) {
	s.metrics.refused.WithLabelValues(refusal.Reason).Inc()
	header := w.Header()
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	s.closeIfDraining(header)
	body := `{"error":"` + refusal.Reason + `"}`
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(refusal.Status)
	if _, err := w.Write([]byte(body)); err != nil {
		level.Debug(s.config.Logger).Log(logs.KeyEvent, "refusal-unsent", logs.KeyError, err)
	}
}

func (s *Server) closeIfDraining(header http.Header) {
	if s.draining.Load() {
		header.Set("Connection", "close")
	}
}
