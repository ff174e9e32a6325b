// Package updates publishes the updates that a gateway received from the core to other gateways of its data
// centre: the routing table, the fleet view, and the freshness point up to which both are complete. See
// package fanout for the tree of gateways.
//
// Published state is never older than its freshness point. A gateway that has received no update for a
// while continues to answer and reports its lag; the subscriber decides whether to query another gateway.
package updates

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/fleetview"
	"toucanhinge.example/common/pkg/routing"
	"toucanhinge.example/common/pkg/signal"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Config holds the settings and dependencies of a Publisher.
type Config struct {
	// Boot is a clock that continues while the machine is suspended.
	Boot clock.Clock
	// Confirm is set if this gateway receives only freshness points that a majority confirmed.
	Confirm bool
	// Usage returns the teams' quota usage, and the length of time that it covers.
	Usage func() (usage []*toucanhingev1.TeamUse, known clock.Millis)
	// Registerer registers the metrics.
	Registerer prometheus.Registerer
}

// Publisher stores the latest updates of this gateway and serves them to its subscribers.
type Publisher struct {
	config Config
	// changed fires when an answer of the parent was applied, with or without updates, and on Drain.
	changed *signal.Signal
	calls   *prometheus.CounterVec

	mu    sync.Mutex
	table *routing.Table
	fleet *toucanhingev1.FleetView
	// fleetLog has the differences between fleet views; it is nil until a subscriber needs them.
	fleetLog *fleetview.ChangeLog
	// freshness is the time by the boot clock up to which all state of the leader is stored here; 0
	// before the first update.
	freshness clock.Millis
	draining  bool
	// activeCalls is the number of calls that are served or wait for updates.
	activeCalls int
	subscribers subscribers
}

// New returns a publisher without state.
func New(config Config) *Publisher {
	return &Publisher{
		config: config, changed: signal.New(),
		calls: promauto.With(config.Registerer).NewCounterVec(prometheus.CounterOpts{
			Name: "toucanhinge_news_calls_total", Help: "Calls of other gateways for updates of the core, by outcome.",
		}, []string{"outcome"}),
	}
}

// SetTable stores a routing table.
func (p *Publisher) SetTable(t *routing.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table = t
}

// SetFleet stores a fleet view, which the caller must not change afterwards.
func (p *Publisher) SetFleet(v *toucanhingev1.FleetView) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet = v
	if p.fleetLog != nil {
		p.fleetLog.Apply(v)
	}
}

// SetFreshness records the freshness point: all state that the leader had at this time of the boot clock
// is stored here. It wakes the waiting calls.
func (p *Publisher) SetFreshness(asOf clock.Millis) {
	p.mu.Lock()
	p.freshness = max(p.freshness, asOf)
	p.mu.Unlock()
	p.changed.Fire()
}

// Drain makes all calls fail, so that the subscribers query another gateway.
func (p *Publisher) Drain() {
	p.mu.Lock()
	p.draining = true
	p.mu.Unlock()
	p.changed.Fire()
}

// Subscribers returns the subscribers of this gateway that must be reported now, or all of them if the
// receiver of the report may know none.
func (p *Publisher) Subscribers(all bool) []*toucanhingev1.Attendance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.subscribers.report(p.config.Boot.Now(), all)
}

// recordSubscribers records the caller and the subscribers that it reports.
func (p *Publisher) recordSubscribers(arrived clock.Millis, m *toucanhingev1.AttendRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.subscribers.record(m.GetName(), m.GetDigestAddress(), arrived, m.GetHaveFleet() != 0)
	for _, passed := range m.GetPassed() {
		p.subscribers.record(passed.GetName(), passed.GetAddress(), arrived-clock.Millis(passed.GetAgeMs()), passed.GetHolds())
	}
}

// response returns the answer to a call, and whether it contains updates. The answer is nil if this
// gateway has no state or is draining.
func (p *Publisher) response(
	arrived clock.Millis, m *toucanhingev1.AttendRequest,
) (answer *toucanhingev1.AttendResponse, hasUpdates bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining || p.freshness == 0 || p.fleet == nil {
		return nil, false
	}
	answer = &toucanhingev1.AttendResponse{
		BehindMs: uint32(max(arrived-p.freshness, 0)), Confirmed: p.config.Confirm && m.GetConfirm(), Fleet: p.fleetChanges(m.GetHaveFleet()),
	}
	if p.table != nil && p.table.Version > m.GetHaveVersion() {
		answer.Table = p.table.WithoutDocument()
	}
	if answer.Fleet != nil && m.GetHaveFleet() == 0 {
		usage, known := p.config.Usage()
		answer.Uses, answer.UsesKnownMs = usage, uint32(known)
	}
	return answer, answer.Table != nil || answer.Fleet != nil
}

// fleetChanges returns the differences to the revision that a subscriber has, nil if there are none.
func (p *Publisher) fleetChanges(have uint64) *toucanhingev1.FleetView {
	if have >= p.fleet.GetRevision() {
		return nil
	}
	if p.fleetLog == nil {
		p.fleetLog = &fleetview.ChangeLog{}
		p.fleetLog.Apply(p.fleet)
	}
	return p.fleetLog.Since(have, true)
}
