// Package core subscribes a gateway to the updates of the core. Each call announces the gateway to the
// core and returns a new routing table or fleet view: the runners and the addresses of other daemons.
// In a large fleet, gateways receive updates from other gateways of their data centre; see package
// fanout.
package core

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/control"
	"toucanhinge.example/common/pkg/fanout"
	"toucanhinge.example/common/pkg/fleetview"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/routing"
	"toucanhinge.example/gateway/pkg/updates"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// group is the number of the core's consensus group.
	group = 0
	// leaderMaxWait is how long the leader may hold a call until there are updates. A leader that
	// hasn't answered within queryTimeout counts as unreachable. A gateway must know of a draining
	// runner within three seconds, and the list of runners itself lags by almost one.
	leaderMaxWait = 400 * time.Millisecond
	queryTimeout  = 700 * time.Millisecond
	// gatewayMaxWait is how long another gateway may hold a call. It answers as soon as it receives an
	// answer itself, at the latest after leaderMaxWait and a network delay.
	gatewayMaxWait = 500 * time.Millisecond
	// minRetryDelay is the minimum delay after a call that found no leader. All gateways of the fleet
	// then look for the leader, and retryJitter keeps them from retrying at the same time.
	minRetryDelay = 50 * time.Millisecond
	retryJitter   = 100 * time.Millisecond
	// findLeaderTimeout limits one search for the leader.
	findLeaderTimeout = 4 * time.Second
)

// Config holds the settings, dependencies and callbacks of a Subscriber.
type Config struct {
	Name          string
	DigestAddress string
	DataCentre    string
	// Core finds the leader and calls it.
	Core   *control.Client
	Logger log.Logger
	// Publisher serves the received updates to other gateways.
	Publisher *updates.Publisher
	// OnTable and OnFleet apply a new routing table and a new fleet view.
	OnTable func(*routing.Table)
	OnFleet func(*toucanhingev1.FleetView)
	// OnUsage applies the teams' quota usage, with the length of time that it covers. It is called
	// once, for the first fleet view.
	OnUsage func(usage []*toucanhingev1.TeamUse, known clock.Millis)
	// Boot is a clock that continues while the machine is suspended. OnFreshness receives the freshness
	// point by this clock: all state that the leader had at that time is applied. With Confirm, this
	// includes all state that was acknowledged before.
	Boot        clock.Clock
	OnFreshness func(asOf clock.Millis)
	Confirm     bool
	// Seeds returns the addresses to use if no known VM of the core answers.
	Seeds func() []string
}

// Subscriber receives the updates of the core.
type Subscriber struct {
	config       Config
	tableVersion uint64
	fleet        fleetview.Cache
	upstream     *upstream
	conn         gatewayConn
	// fleetKnown is set once a first fleet view was applied.
	fleetKnown bool
	// queriedAt is when the current attempt of a call started.
	queriedAt clock.Millis
	// gatewayCount is the number of gateways in the fleet view.
	gatewayCount int
	// updatedAt is when the last answer was applied.
	updatedAt clock.Millis
	// reportedTo is the address to which this gateway last reported its own subscribers, empty if that
	// call failed.
	reportedTo string
}

// New returns a subscriber that has no state yet.
func New(config Config) *Subscriber {
	return &Subscriber{
		config:   config,
		upstream: newUpstream(fanout.Gateway{Address: config.DigestAddress, DataCentre: config.DataCentre}),
	}
}

// Run receives updates until the context ends.
func (s *Subscriber) Run(ctx context.Context) {
	defer s.conn.close()
	for ctx.Err() == nil {
		gateway, insists := s.upstream.next(s.config.Boot.Now())
		if gateway != "" {
			s.queryGateway(ctx, gateway)
			continue
		}
		if delay := s.queryLeader(ctx, insists); delay > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(delay):
			}
		}
	}
}

// queryGateway fetches updates from another gateway, and blocks the gateway for a while if that fails.
func (s *Subscriber) queryGateway(parent context.Context, gateway string) {
	ctx, cancel := context.WithTimeout(parent, queryTimeout)
	defer cancel()
	answer, err := s.query(ctx, gateway, s.conn.client(gateway).Attend, gatewayMaxWait, false)
	if parent.Err() != nil {
		return
	}
	now, behind := s.config.Boot.Now(), clock.Millis(answer.GetBehindMs())
	// The state of a gateway that lags may still be newer than the state here.
	usable := err == nil && s.apply(answer)
	switch {
	case usable && behind <= maxLag:
		s.recordFreshness(answer)
		return
	case usable:
		err = fmt.Errorf("%w: %d ms", errLagging, behind)
		s.upstream.recordLag(now, gateway, s.queriedAt-behind)
	default:
		s.upstream.recordFailure(now, gateway)
	}
	level.Info(s.config.Logger).Log(logs.KeyEvent, "news-unheard", "gateway", gateway, logs.KeyError, err)
	s.conn.drop(gateway)
}

var errLagging = errors.New("query gateway for updates: its state lags too far behind")

// queryLeader fetches updates from the leader, and returns the delay before the next call.
func (s *Subscriber) queryLeader(ctx context.Context, insists bool) (delay time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, findLeaderTimeout)
	defer cancel()
	answer, err := control.Call(ctx, s.config.Core, group, "attend", func(ctx context.Context, leader *control.Replica) (*toucanhingev1.AttendResponse, error) {
		ctx, cancel := context.WithTimeout(ctx, queryTimeout)
		defer cancel()
		return s.query(ctx, leader.Address, leader.Core.Attend, leaderMaxWait, insists)
	})
	switch {
	case err != nil && ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled):
		return 0
	case err != nil:
		level.Warn(s.config.Logger).Log(logs.KeyEvent, "core-unreachable", logs.KeyError, err)
		if seeds := s.config.Seeds(); len(seeds) > 0 {
			s.config.Core.SetAddresses(seeds)
		}
		return minRetryDelay + jitter(retryJitter)
	case answer.GetRetryMs() > 0:
		wait := time.Duration(answer.GetRetryMs()) * time.Millisecond
		return wait/2 + jitter(wait)
	case len(answer.GetAsk()) > 0:
		s.upstream.setReferrals(s.config.Boot.Now(), answer.GetAsk())
	case s.apply(answer):
		s.recordFreshness(answer)
	}
	return 0
}

// jitter returns a random duration below limit. It keeps gateways that failed at the same time from
// retrying at the same time.
func jitter(limit time.Duration) time.Duration { return rand.N(limit) }

// attendFunc queries the leader or another gateway for updates.
type attendFunc func(context.Context, *connect.Request[toucanhingev1.AttendRequest]) (*connect.Response[toucanhingev1.AttendResponse], error)

// query calls the leader or another gateway, which may hold the call for maxWait until it has updates.
func (s *Subscriber) query(ctx context.Context, address string, call attendFunc, maxWait time.Duration, insists bool) (*toucanhingev1.AttendResponse, error) {
	// Set for each attempt: an answer confirms the state that was acknowledged before its own query.
	s.queriedAt = s.config.Boot.Now()
	all := address != s.reportedTo
	if all && s.queriedAt-s.updatedAt > clock.Millis(leaderMaxWait.Milliseconds()) {
		// The calls of this gateway's subscribers have waited for longer than leaderMaxWait already.
		maxWait = 0
	}
	request := &toucanhingev1.AttendRequest{
		Name: s.config.Name, DigestAddress: s.config.DigestAddress, DataCentre: s.config.DataCentre, HaveVersion: s.tableVersion, HaveFleet: s.fleet.Revision(),
		ReadsDifferences: true, WaitMs: uint32(maxWait.Milliseconds()), Confirm: s.config.Confirm, Insists: insists, HasParents: s.upstream.hasParents(),
		Knows:  uint32(s.gatewayCount),
		Passed: s.config.Publisher.Subscribers(all),
	}
	s.reportedTo = ""
	answer, err := call(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	s.reportedTo = address
	return answer.Msg, nil
}

// recordFreshness records a successful query and publishes the freshness point of its answer.
func (s *Subscriber) recordFreshness(answer *toucanhingev1.AttendResponse) {
	s.upstream.recordSuccess()
	s.updatedAt = s.config.Boot.Now()
	if answer.GetConfirmed() != s.config.Confirm {
		return
	}
	asOf := s.queriedAt - clock.Millis(answer.GetBehindMs())
	s.config.OnFreshness(asOf)
	s.config.Publisher.SetFreshness(asOf)
}

// apply applies a new routing table and fleet view; ok is false if one of them can't be used.
func (s *Subscriber) apply(answer *toucanhingev1.AttendResponse) (ok bool) {
	if wire := answer.GetTable(); wire.GetVersion() > s.tableVersion {
		table, err := routing.New(wire)
		if err != nil {
			level.Error(s.config.Logger).Log(logs.KeyEvent, "table-unreadable", "version", wire.GetVersion(), logs.KeyError, err)
			return false
		}
		s.tableVersion = table.Version
		s.config.OnTable(table)
		s.config.Publisher.SetTable(table)
	}
	if view := answer.GetFleet(); view != nil {
		return s.applyFleet(view, answer)
	}
	return true
}

// applyFleet applies a fleet view, unless it isn't newer than the current one.
func (s *Subscriber) applyFleet(view *toucanhingev1.FleetView, answer *toucanhingev1.AttendResponse) (ok bool) {
	if view.GetRevision() <= s.fleet.Revision() {
		// Sent by an earlier leader, or by a gateway that receives updates from one, before it knew of the
		// current leader.
		return true
	}
	fleet, ok := s.fleet.Apply(view)
	if !ok {
		level.Error(s.config.Logger).Log(logs.KeyEvent, "fleet-unusable", "since", view.GetSince(), "revision", view.GetRevision(),
			"reason", "the differences are to another revision than the current one; the complete view is requested")
		return false
	}
	if !s.fleetKnown {
		s.fleetKnown = true
		s.config.OnUsage(answer.GetUses(), clock.Millis(answer.GetUsesKnownMs()))
	}
	level.Info(s.config.Logger).Log(logs.KeyEvent, "fleet-taken", "revision", fleet.GetRevision(), "since", view.GetSince(),
		"runners", len(fleet.GetRunners()), "leaving", countDraining(fleet), "cores", len(fleet.GetCoreAddresses()),
		"daemons", len(fleet.GetDigestPeers()))
	s.config.Core.SetAddresses(fleet.GetCoreAddresses())
	s.config.OnFleet(fleet)
	s.config.Publisher.SetFleet(fleet)
	gateways := gatewaysOf(fleet)
	s.gatewayCount = len(gateways)
	s.upstream.setTree(fanout.New(gateways))
	return true
}

func gatewaysOf(fleet *toucanhingev1.FleetView) []fanout.Gateway {
	var gateways []fanout.Gateway
	for _, p := range fleet.GetDigestPeers() {
		if !p.GetCore() {
			gateways = append(gateways, fanout.Gateway{Address: p.GetAddress(), DataCentre: p.GetDataCentre()})
		}
	}
	return gateways
}

// countDraining returns the number of runners that are draining.
func countDraining(fleet *toucanhingev1.FleetView) int {
	count := 0
	for _, r := range fleet.GetRunners() {
		if r.GetLeaving() {
			count++
		}
	}
	return count
}
