// Package digest exchanges load digests between daemons over UDP. A digest is small, is sent a
// few milliseconds after a change and replaces the previous one, so the next digest makes up for
// a lost datagram. Daemons use the same socket to report requests that crash runners; those
// reports are sent several times. Gateways use it as well to tell each other where streams began.
package digest

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/occupancy"
	"toucanhinge.example/common/pkg/pace"
	"toucanhinge.example/common/pkg/quota"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// batchDelay is how long a change waits for further ones, so that a burst of requests
	// costs each peer one datagram instead of one per request. Runners need about 10 ms to
	// the first token, so a delay of 4 ms doesn't make placement worse.
	batchDelay = 4 * time.Millisecond
	// batchDelayPeers is the number of peers up to which batchDelay applies unscaled. With more
	// peers the delay grows, so that the number of datagrams per daemon doesn't grow with the
	// fleet: at 100 gateways they made up most of the traffic between data centres.
	batchDelayPeers = 16
	// emptyDigestRepeats is the number of consecutive empty digests that are sent before a
	// daemon stops sending.
	emptyDigestRepeats = 2
	// maxDatagramSize is the maximum size of a UDP payload.
	maxDatagramSize = 64 << 10
)

// Config holds the settings and dependencies of an Exchange.
type Config struct {
	// Address to listen on, IP:port.
	Address string
	// Source is the name of this daemon in its digests.
	Source string
	// DataCentre is the data centre of this daemon, empty if unknown.
	DataCentre string
	// Core is set on a VM of the core.
	Core   bool
	Clock  clock.Clock
	Logger log.Logger
	// Version returns the version of the routing table that this daemon uses.
	Version func() uint64
	// OnDigest is called after each received digest with the routing table version of its
	// sender; may be nil.
	OnDigest func(version uint64)
	// Quota counts the requests of teams by the Boot clock; nil if teams have no limits.
	Quota *quota.Counter
	Boot  clock.Clock
}

// Exchange holds the occupancy table and publishes this daemon's part of it.
type Exchange struct {
	config   Config
	socket   *net.UDPConn
	epoch    uint64
	sequence uint64
	// emptySent counts the consecutive digests without content.
	emptySent  int
	dirty      chan struct{}
	crashState *crashState
	origins    *originState

	mu    sync.Mutex
	table *occupancy.Table
	peers []netip.AddrPort
	// all maps the address text of each peer to its parsed address.
	all   map[string]netip.AddrPort
	relay *relay
	// runnerSeen is the time of the last event from each runner.
	runnerSeen       map[string]clock.Millis
	runnerSeenPruned clock.Millis
	// gateways counts the daemons outside the core, including this one.
	gateways   int
	isolation  isolation
	contention contentionState
}

// Listen opens the UDP socket and returns an exchange that is not yet running.
func Listen(config Config) (*Exchange, error) {
	address, err := net.ResolveUDPAddr("udp4", config.Address)
	if err != nil {
		return nil, fmt.Errorf("resolve load digest address: %w", err)
	}
	socket, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen for load digests: %w", err)
	}
	if config.Quota == nil {
		config.Boot = config.Clock
	}
	x := &Exchange{
		isolation: isolation{startedAt: config.Boot.Now()}, contention: newContentionState(),
		config: config, socket: socket, epoch: uint64(config.Clock.Now()), all: map[string]netip.AddrPort{},
		relay: newRelay(config.Source, Peer{Address: config.Address, DataCentre: config.DataCentre, Core: config.Core}),
		dirty: make(chan struct{}, 1), crashState: newCrashState(config.Source), origins: newOriginState(), table: occupancy.New(), runnerSeen: map[string]clock.Millis{},
	}
	x.relay.contention.sum, x.relay.contention.delayFactor = x.dataCentreContention, x.delayFactor
	return x, nil
}

// SetPeers replaces the daemons that receive the digests. The exchange skips its own address.
func (x *Exchange) SetPeers(peers []Peer) {
	all := make(map[string]netip.AddrPort, len(peers))
	var others []Peer
	for _, p := range peers {
		address, err := netip.ParseAddrPort(p.Address)
		if err != nil {
			level.Warn(x.config.Logger).Log(logs.KeyEvent, "digest-peer-unreadable", "address", p.Address, logs.KeyError, err)
			continue
		}
		if p.Address != x.config.Address {
			all[p.Address] = address
			others = append(others, p)
		}
	}
	x.setOriginGateways(others)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.resendUsage(all)
	x.all = all
	summaries := x.relay.usesSummaries()
	x.relay.setPeers(x.config.Clock.Now(), others)
	if x.relay.usesSummaries() != summaries {
		// Gateways of other data centres would count twice: by their own reports and in summaries.
		x.contention.table.Clear()
	}
	recipients := others
	if x.relay.usesSummaries() {
		recipients = x.relay.local
	}
	x.peers = nil
	for _, p := range recipients {
		x.peers = append(x.peers, all[p.Address])
	}
	x.gateways = 1
	for _, p := range others {
		if !p.Core {
			x.gateways++
		}
	}
	x.table.SetDaemons(x.gateways)
	x.contention.table.SetDelayFactor(x.delayFactor())
}

// Add changes the load that this daemon has at a runner: positive for requests that start,
// negative for requests that end.
func (x *Exchange) Add(runner string, change occupancy.Load) {
	x.mu.Lock()
	x.table.Add(runner, change)
	x.mu.Unlock()
	x.wake()
}

// SetUnresponsive records whether this daemon finds a runner unresponsive.
func (x *Exchange) SetUnresponsive(runner string, unresponsive bool) {
	x.mu.Lock()
	x.table.SetUnresponsive(x.config.Clock.Now(), runner, unresponsive)
	x.mu.Unlock()
	x.wake()
}

// Observe compares the number of requests that a runner reports with the counts of all daemons.
// It logs and publishes a change in foreign work.
func (x *Exchange) Observe(runner string, reported int) {
	x.mu.Lock()
	found, changed := x.table.Observe(x.config.Clock.Now(), runner, reported)
	x.mu.Unlock()
	if !changed {
		return
	}
	level.Info(x.config.Logger).Log(logs.KeyEvent, "foreign-work", "runner", runner, "held", reported, "foreign", found)
	x.wake()
}

// ObservePace records that a runner reported its pace, in percent of the usual time; 0 if it reported
// none.
func (x *Exchange) ObservePace(runner string, percent int) {
	if percent == 0 {
		return
	}
	x.mu.Lock()
	news := x.table.ObservePace(x.config.Clock.Now(), runner, percent)
	x.mu.Unlock()
	if news == occupancy.Change {
		x.wake()
	}
}

// MeasurePace records the time per event of a request that ran on a runner, in milliseconds. It logs when
// requests start or stop to overrule what the runner reports.
func (x *Exchange) MeasurePace(runner string, perEvent float64) {
	now := x.config.Clock.Now()
	x.mu.Lock()
	changed := x.table.Paces().Measure(now, runner, perEvent)
	estimate, _ := x.table.Paces().Estimate(now, runner)
	x.mu.Unlock()
	if changed {
		level.Warn(x.config.Logger).Log(logs.KeyEvent, "runner-pace-overruled", "runner", runner, "overruled", estimate.Overruled,
			"pace", estimate.Usual, "event-ms", perEvent, "measured", estimate.Measurements, "report-age-ms", estimate.Age)
	}
}

// PresentPace returns how long work takes at a runner at the moment, relative to the mean of its
// service's runners; 1 if nothing is known.
func (x *Exchange) PresentPace(runner string) float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.table.Paces().Present(x.config.Clock.Now(), runner)
}

// PaceSummary returns the spread of the runners' paces.
func (x *Exchange) PaceSummary() pace.Summary {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.table.Paces().Summary(x.config.Clock.Now())
}

// View calls read with the table. The function must not retain it.
func (x *Exchange) View(read func(*occupancy.Table)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.table.Expire(x.config.Clock.Now())
	read(x.table)
}

// Pace returns how long work usually takes at a runner, relative to the mean of its service's runners; 1 if nothing is
// known.
func (x *Exchange) Pace(runner string) float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.table.Paces().Usual(runner)
}

func (x *Exchange) wake() {
	select {
	case x.dirty <- struct{}{}:
	default:
	}
}

// Run sends and receives until the context ends.
func (x *Exchange) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { x.receive(ctx) })
	wg.Go(func() { x.runRelay(ctx) })
	wg.Go(func() { x.runCrashGossip(ctx) })
	wg.Go(func() { x.runOrigins(ctx) })
	x.send(ctx)
	_ = x.socket.Close()
	wg.Wait()
}

// networkDelay is the time between sending and processing a digest: 1 to 2 ms between data
// centres, and a few milliseconds until a small VM with a tenth of a processor reads it.
const networkDelay clock.Millis = 6

// hubDelay is the additional delay of a digest that a hub forwards.
const hubDelay clock.Millis = 3

// Age estimates the age of the counts received from other daemons.
func (x *Exchange) Age() clock.Millis {
	age := clock.Millis(x.batchDelay().Milliseconds()) + networkDelay
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.relay.usesSummaries() {
		// The relay of the sending data centre sums up, the relay of the receiving one forwards:
		// each waits half an interval on average.
		age += relayInterval/2 + relayInterval/2
	}
	if !x.relay.hubs.tree.Empty() {
		age += hubDelay
	}
	return age
}

// PeersOf returns the daemons of a fleet view as peers.
func PeersOf(f *toucanhingev1.FleetView) []Peer {
	var peers []Peer
	for _, p := range f.GetDigestPeers() {
		peers = append(peers, Peer{Address: p.GetAddress(), DataCentre: p.GetDataCentre(), Core: p.GetCore()})
	}
	return peers
}

// Overdue reports whether a daemon has sent no digest for longer than it announced, counted from
// its last digest or from since, whichever is later.
func (x *Exchange) Overdue(daemon string, since clock.Millis) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.table.Overdue(x.config.Clock.Now(), daemon, since)
}
