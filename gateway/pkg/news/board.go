// Package news passes on to other gateways of the data centre what this one heard of the core:
// the routing table, the fleet, and up to when all that was acknowledged is in them. See package
// fanout for who hears whom.
//
// What it says is never older than it claims. A gateway that has heard nothing new for a while
// goes on answering, with how far behind it is; whoever asks then decides to ask another one.
package news

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

// Config describes a board.
type Config struct {
	// Boot goes on while the machine is suspended.
	Boot clock.Clock
	// Confirm says that points are heard only if a majority confirmed them.
	Confirm bool
	// Usage lists what teams have used of their quotas, and for how long a span that is known.
	Usage func() (uses []*toucanhingev1.TeamUse, known clock.Millis)
	// Registerer takes the counters.
	Registerer prometheus.Registerer
}

// Publisher holds what this gateway heard last, for the gateways that hear it from here.
type Publisher struct {
	config Config
	// pulse fires when news came, or the word that there are none.
	pulse    *signal.Signal
	answered *prometheus.CounterVec

	mu    sync.Mutex
	table *routing.Table
	fleet *toucanhingev1.FleetView
	// log has the differences between views, nil until somebody asks for them.
	log *fleetview.ChangeLog
	// point is the moment, by the boot clock, up to which all that the leader knew is here; 0
	// before anything was heard.
	point   clock.Millis
	leaving bool
	// waiting counts the calls that wait for news.
	waiting     int
	attendances attendances
}

// New makes a board that holds nothing.
func New(config Config) *Publisher {
	return &Publisher{
		config: config, pulse: signal.New(),
		answered: promauto.With(config.Registerer).NewCounterVec(prometheus.CounterOpts{
			Name: "toucanhinge_news_calls_total", Help: "Calls of other gateways for the news of the core, by outcome.",
		}, []string{"outcome"}),
	}
}

// SetTable takes over a routing table.
func (b *Publisher) SetTable(t *routing.Table) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table = t
}

// SetFleet takes over a view of the fleet, which must not be changed any more.
func (b *Publisher) SetFleet(v *toucanhingev1.FleetView) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleet = v
	if b.log != nil {
		b.log.Apply(v)
	}
}

// SetFreshness notes that all that the leader knew at a point, by the boot clock, is here, and tells
// the gateways that wait.
func (b *Publisher) SetFreshness(point clock.Millis) {
	b.mu.Lock()
	b.point = max(b.point, point)
	b.mu.Unlock()
	b.pulse.Fire()
}

// Drain sends the gateways that hear from here elsewhere.
func (b *Publisher) Drain() {
	b.mu.Lock()
	b.leaving = true
	b.mu.Unlock()
	b.pulse.Fire()
}

// Subscribers lists the gateways that hear from here and must be passed on now; all of them if
// whoever is told may know of none.
func (b *Publisher) Subscribers(all bool) []*toucanhingev1.Attendance {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.attendances.pass(b.config.Boot.Now(), all)
}

// note takes up who is there by a call that came in at a moment.
func (b *Publisher) note(arrived clock.Millis, m *toucanhingev1.AttendRequest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attendances.note(m.GetName(), m.GetDigestAddress(), arrived, m.GetHaveFleet() != 0)
	for _, passed := range m.GetPassed() {
		b.attendances.note(passed.GetName(), passed.GetAddress(), arrived-clock.Millis(passed.GetAgeMs()), passed.GetHolds())
	}
}

// answer is what a call is told now, and whether it holds anything new; nil if nothing can be
// told.
func (b *Publisher) answer(arrived clock.Millis, m *toucanhingev1.AttendRequest) (answer *toucanhingev1.AttendResponse, news bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leaving || b.point == 0 || b.fleet == nil {
		return nil, false
	}
	answer = &toucanhingev1.AttendResponse{
		BehindMs: uint32(max(arrived-b.point, 0)), Confirmed: b.config.Confirm && m.GetConfirm(), Fleet: b.view(m.GetHaveFleet()),
	}
	if b.table != nil && b.table.Version > m.GetHaveVersion() {
		answer.Table = b.table.WithoutDocument()
	}
	if answer.Fleet != nil && m.GetHaveFleet() == 0 {
		uses, known := b.config.Usage()
		answer.Uses, answer.UsesKnownMs = uses, uint32(known)
	}
	return answer, answer.Table != nil || answer.Fleet != nil
}

// view is what a gateway that holds a revision lacks, nil if that is nothing.
func (b *Publisher) view(have uint64) *toucanhingev1.FleetView {
	if have >= b.fleet.GetRevision() {
		return nil
	}
	if b.log == nil {
		b.log = &fleetview.ChangeLog{}
		b.log.Apply(b.fleet)
	}
	return b.log.Since(have, true)
}
