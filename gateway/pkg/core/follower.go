// Package core follows the core: it tells that this gateway is there, and takes over routing
// tables, runners and the addresses of other daemons. In a large fleet it hears them from other
// gateways of its data centre; see package fanout.
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
	"toucanhinge.example/gateway/pkg/news"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// group is the number of the core's consensus group.
	group = 0
	// waitTime is how long the leader may keep a call waiting for news, and
	// answerTime when its answer must be there: later, the leader is cut off, or
	// gone. A drain must be known within three seconds, and the list of runners
	// itself lags by almost one.
	waitTime   = 400 * time.Millisecond
	answerTime = 700 * time.Millisecond
	// relayWaitTime is the same for another gateway. It answers when it hears itself, at the
	// latest after waitTime and a way.
	relayWaitTime = 500 * time.Millisecond
	// failurePause is the least pause after a call that found no leader; all gateways of the
	// fleet look for it then, so none keeps step with the others.
	failurePause = 50 * time.Millisecond
	pauseSpread  = 100 * time.Millisecond
	// attendTime bounds one round of looking for the leader.
	attendTime = 4 * time.Second
)

// Config describes a follower.
type Config struct {
	Name          string
	DigestAddress string
	DataCentre    string
	// Core calls the leader, wherever it is.
	Core   *control.Client
	Logger log.Logger
	// Publisher passes on to other gateways what is heard here.
	Publisher *news.Publisher
	// OnTable and Fleet take over what is new.
	OnTable func(*routing.Table)
	OnFleet func(*toucanhingev1.FleetView)
	// OnUsage takes over what the teams have used of their quotas, once, with the span of which
	// that is known.
	OnUsage func(uses []*toucanhingev1.TeamUse, known clock.Millis)
	// Boot goes on while the machine is suspended. Heard is told that all that the leader knew
	// at a point of it is taken over; with Confirm, all that was acknowledged before.
	Boot    clock.Clock
	OnFreshness   func(point clock.Millis)
	Confirm bool
	// Seeds lists addresses to fall back on when no known VM of the core answers.
	Seeds func() []string
}

// Subscriber follows the core.
type Subscriber struct {
	config   Config
	version  uint64
	fleet    fleetview.Cache
	upstream *upstream
	relays   relays
	// begun says that a first view was taken.
	begun bool
	// asked is when the present try of a call began.
	asked clock.Millis
	// knows is how many gateways there are by the fleet.
	knows int
	// heardAt is when anything was heard last.
	heardAt clock.Millis
	// told is who heard last which gateways hear from this one, empty if that failed.
	told string
}

// New makes a follower.
func New(config Config) *Subscriber {
	return &Subscriber{
		config:   config,
		upstream: newUpstream(fanout.Gateway{Address: config.DigestAddress, DataCentre: config.DataCentre}),
	}
}

// Run follows until the context ends.
func (f *Subscriber) Run(ctx context.Context) {
	defer f.relays.close()
	for ctx.Err() == nil {
		gateway, insists := f.upstream.next(f.config.Boot.Now())
		if gateway != "" {
			f.askGateway(ctx, gateway)
			continue
		}
		if pause := f.askLeader(ctx, insists); pause > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
		}
	}
}

// askGateway hears from another gateway, or passes it over for a while.
func (f *Subscriber) askGateway(parent context.Context, gateway string) {
	ctx, cancel := context.WithTimeout(parent, answerTime)
	defer cancel()
	answer, err := f.ask(ctx, gateway, f.relays.client(gateway).Attend, relayWaitTime, false)
	if err == nil && clock.Millis(answer.GetBehindMs()) > mostBehind {
		err = fmt.Errorf("%w: %d ms", errBehind, answer.GetBehindMs())
	}
	if parent.Err() != nil {
		return
	}
	// What is behind may still be newer than what is held here.
	if answer == nil || !f.take(answer) || err != nil {
		level.Info(f.config.Logger).Log(logs.KeyEvent, "news-unheard", "gateway", gateway, logs.KeyError, err)
		f.relays.drop(gateway)
		f.upstream.failed(f.config.Boot.Now(), gateway, errors.Is(err, errBehind))
		return
	}
	f.hear(answer)
}

var errBehind = errors.New("the gateway's news are too far behind")

// askLeader hears from the leader, and returns how long to pause before the next call.
func (f *Subscriber) askLeader(ctx context.Context, insists bool) (pause time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, attendTime)
	defer cancel()
	answer, err := control.Call(ctx, f.config.Core, group, "attend", func(ctx context.Context, leader *control.Replica) (*toucanhingev1.AttendResponse, error) {
		ctx, cancel := context.WithTimeout(ctx, answerTime)
		defer cancel()
		return f.ask(ctx, leader.Address, leader.Core.Attend, waitTime, insists)
	})
	switch {
	case err != nil && ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled):
		return 0
	case err != nil:
		level.Warn(f.config.Logger).Log(logs.KeyEvent, "core-unreachable", logs.KeyError, err)
		if seeds := f.config.Seeds(); len(seeds) > 0 {
			f.config.Core.SetAddresses(seeds)
		}
		return failurePause + spread(pauseSpread)
	case answer.GetRetryMs() > 0:
		wait := time.Duration(answer.GetRetryMs()) * time.Millisecond
		return wait/2 + spread(wait)
	case len(answer.GetAsk()) > 0:
		f.upstream.refer(f.config.Boot.Now(), answer.GetAsk())
	case f.take(answer):
		f.hear(answer)
	}
	return 0
}

// spread keeps gateways that failed together from coming back together.
func spread(span time.Duration) time.Duration { return rand.N(span) }

// attend is a call for news, of the leader or of another gateway.
type attend func(context.Context, *connect.Request[toucanhingev1.AttendRequest]) (*connect.Response[toucanhingev1.AttendResponse], error)

func (f *Subscriber) ask(ctx context.Context, address string, call attend, wait time.Duration, insists bool) (*toucanhingev1.AttendResponse, error) {
	// Each try asks anew: an answer confirms what was acknowledged before its own question.
	f.asked = f.config.Boot.Now()
	first := address != f.told
	if first && f.asked-f.heardAt > clock.Millis(waitTime.Milliseconds()) {
		// Those who hear from here have waited long enough.
		wait = 0
	}
	request := &toucanhingev1.AttendRequest{
		Name: f.config.Name, DigestAddress: f.config.DigestAddress, DataCentre: f.config.DataCentre, HaveVersion: f.version, HaveFleet: f.fleet.Revision(),
		ReadsDifferences: true, WaitMs: uint32(wait.Milliseconds()), Confirm: f.config.Confirm, Insists: insists, HasParents: f.upstream.hasParents(),
		Knows:  uint32(f.knows),
		Passed: f.config.Publisher.Subscribers(first),
	}
	f.told = ""
	answer, err := call(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	f.told = address
	return answer.Msg, nil
}

// hear notes up to when all that the leader knew is here.
func (f *Subscriber) hear(answer *toucanhingev1.AttendResponse) {
	f.upstream.heard()
	f.heardAt = f.config.Boot.Now()
	if answer.GetConfirmed() != f.config.Confirm {
		return
	}
	point := f.asked - clock.Millis(answer.GetBehindMs())
	f.config.OnFreshness(point)
	f.config.Publisher.SetFreshness(point)
}

// take takes over what is new; ok is false if it can't be read.
func (f *Subscriber) take(answer *toucanhingev1.AttendResponse) (ok bool) {
	if wire := answer.GetTable(); wire.GetVersion() > f.version {
		table, err := routing.New(wire)
		if err != nil {
			level.Error(f.config.Logger).Log(logs.KeyEvent, "table-unreadable", "version", wire.GetVersion(), logs.KeyError, err)
			return false
		}
		f.version = table.Version
		f.config.OnTable(table)
		f.config.Publisher.SetTable(table)
	}
	if told := answer.GetFleet(); told != nil {
		return f.takeFleet(told, answer)
	}
	return true
}

func (f *Subscriber) takeFleet(told *toucanhingev1.FleetView, answer *toucanhingev1.AttendResponse) (ok bool) {
	if told.GetRevision() <= f.fleet.Revision() {
		// An earlier leader, or a gateway that hears one, doesn't know yet that there is another.
		return true
	}
	fleet, ok := f.fleet.Apply(told)
	if !ok {
		level.Error(f.config.Logger).Log(logs.KeyEvent, "fleet-unusable", "since", told.GetSince(), "revision", told.GetRevision(),
			"reason", "differences to another view than the one held; the whole is asked for")
		return false
	}
	if !f.begun {
		f.begun = true
		f.config.OnUsage(answer.GetUses(), clock.Millis(answer.GetUsesKnownMs()))
	}
	level.Info(f.config.Logger).Log(logs.KeyEvent, "fleet-taken", "revision", fleet.GetRevision(), "since", told.GetSince(),
		"runners", len(fleet.GetRunners()), "leaving", leaving(fleet), "cores", len(fleet.GetCoreAddresses()), "daemons", len(fleet.GetDigestPeers()))
	f.config.Core.SetAddresses(fleet.GetCoreAddresses())
	f.config.OnFleet(fleet)
	f.config.Publisher.SetFleet(fleet)
	gateways := gatewaysOf(fleet)
	f.knows = len(gateways)
	f.upstream.setTree(fanout.New(gateways))
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

func leaving(fleet *toucanhingev1.FleetView) int {
	count := 0
	for _, r := range fleet.GetRunners() {
		if r.GetLeaving() {
			count++
		}
	}
	return count
}
