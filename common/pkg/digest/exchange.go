// Package digest exchanges load digests between daemons by UDP. A digest is
// small, goes out a few milliseconds after a change and replaces the one before,
// so a lost datagram is made good by the next. By the same socket daemons tell one
// another which requests crash runners; that news is told several times.
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
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/occupancy"
	"toucanhinge.example/common/pkg/quota"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// gather is how long a change waits for others, so that a burst of requests
	// costs one datagram to each daemon instead of one for each request. Runners
	// need some 10 ms to a first token, so a picture 4 ms old places as well.
	gather = 4 * time.Millisecond
	// gatherPeers is the number of peers up to which that holds; with more, changes
	// are gathered for longer, so that a daemon's datagrams don't grow with the
	// fleet: at 100 gateways they made up most of the bytes between data centres.
	gatherPeers = 16
	// tellEmpty is how often in a row it is told that nothing is under way.
	tellEmpty = 2
	// mostBytes is the largest UDP payload.
	mostBytes = 64 << 10
)

// Config describes an exchange.
type Config struct {
	// Address to listen on, IP:port.
	Address string
	// Source names this daemon to the others.
	Source string
	// DataCentre is the daemon's own; empty if it isn't known.
	DataCentre string
	// Core says that this is a VM of the core.
	Core   bool
	Clock  clock.Clock
	Logger log.Logger
	// Version is the routing table in force here.
	Version func() uint64
	// OnDigest is told after a digest of another daemon came in, with the routing
	// table in force there; may be nil.
	OnDigest func(version uint64)
	// Quota counts the requests of teams, by the Boot clock; nil if nobody limits them.
	Quota *quota.Counter
	Boot  clock.Clock
}

// Exchange holds the occupancy table, and tells the own part of it.
type Exchange struct {
	config   Config
	socket   *net.UDPConn
	epoch    uint64
	sequence uint64
	// empty counts the digests in a row that told of nothing.
	empty int
	dirty chan struct{}
	news  *crashNews

	mu    sync.Mutex
	table *occupancy.Table
	peers []netip.AddrPort
	// all has the addresses of all peers as sent to, by their text.
	all   map[string]netip.AddrPort
	relay *relay
	// heard is when something came from each runner last.
	heard       map[string]clock.Millis
	heardPruned clock.Millis
	// gateways is how many daemons aren't of the core, this one with them.
	gateways int
	hearing  hearing
}

// Listen takes the address.
func Listen(config Config) (*Exchange, error) {
	address, err := net.ResolveUDPAddr("udp4", config.Address)
	if err != nil {
		return nil, fmt.Errorf("address for load digests: %w", err)
	}
	socket, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen for load digests: %w", err)
	}
	if config.Quota == nil {
		config.Boot = config.Clock
	}
	return &Exchange{
		hearing: hearing{startedAt: config.Boot.Now()},
		config:  config, socket: socket, epoch: uint64(config.Clock.Now()), all: map[string]netip.AddrPort{},
		relay: newRelay(config.Source, Peer{Address: config.Address, DataCentre: config.DataCentre, Core: config.Core}),
		dirty: make(chan struct{}, 1), news: newCrashNews(), table: occupancy.New(), heard: map[string]clock.Millis{},
	}, nil
}

// SetPeers replaces the daemons that get the digests. The own one is left out.
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
	x.mu.Lock()
	defer x.mu.Unlock()
	x.welcome(all)
	x.all = all
	x.relay.setPeers(x.config.Clock.Now(), others)
	told := others
	if x.relay.sums() {
		told = x.relay.near
	}
	x.peers = nil
	for _, p := range told {
		x.peers = append(x.peers, all[p.Address])
	}
	x.gateways = 1
	for _, p := range others {
		if !p.Core {
			x.gateways++
		}
	}
}

// Add counts own work that begins, or ends with negative numbers.
func (x *Exchange) Add(runner string, change occupancy.Load) {
	x.mu.Lock()
	x.table.Add(runner, change)
	x.mu.Unlock()
	x.wake()
}

// SetUnresponsive notes that a runner has said nothing for too long, or speaks again.
func (x *Exchange) SetUnresponsive(runner string, silent bool) {
	x.mu.Lock()
	x.table.SetUnresponsive(x.config.Clock.Now(), runner, silent)
	x.mu.Unlock()
	x.wake()
}

// Observe compares what a runner says to have under way with the counts of all
// daemons; foreign work that wasn't known is logged and told.
func (x *Exchange) Observe(runner string, held int) {
	x.mu.Lock()
	found, news := x.table.Observe(x.config.Clock.Now(), runner, held)
	x.mu.Unlock()
	if !news {
		return
	}
	level.Info(x.config.Logger).Log(logs.KeyEvent, "foreign-work", "runner", runner, "held", held, "foreign", found)
	x.wake()
}

// View runs a function on the table, which it must not keep.
func (x *Exchange) View(read func(*occupancy.Table)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.table.Expire(x.config.Clock.Now())
	read(x.table)
}

func (x *Exchange) wake() {
	select {
	case x.dirty <- struct{}{}:
	default:
	}
}

// Run sends and receives until the context ends.
func (x *Exchange) Run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { x.receive(ctx) })
	duties.Go(func() { x.pass(ctx) })
	duties.Go(func() { x.tellCrashes(ctx) })
	x.send(ctx)
	_ = x.socket.Close()
	duties.Wait()
}

// write sends one datagram. One that can't be sent is dropped: the next replaces it.
func (x *Exchange) write(data []byte, peer netip.AddrPort) {
	if _, err := x.socket.WriteToUDPAddrPort(data, peer); err != nil {
		level.Debug(x.config.Logger).Log(logs.KeyEvent, "digest-unsent", "peer", peer, logs.KeyError, err)
	}
}

func (x *Exchange) send(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(x.interval().Duration())
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-x.dirty:
			select {
			case <-ctx.Done():
				return
			case <-time.After(x.gather()):
			}
		}
		x.tell()
	}
}

func (x *Exchange) gather() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return gather * time.Duration(x.crowd())
}

// travel is how long a digest is under way, with the time until a small VM reads it:
// 1 to 2 ms between data centres, and a few of a processor's tenth.
const travel clock.Millis = 6

// hubTravel is the way over a hub.
const hubTravel clock.Millis = 3

// Age is how old the counts of other daemons are.
func (x *Exchange) Age() clock.Millis {
	age := clock.Millis(x.gather().Milliseconds()) + travel
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.relay.sums() {
		// Summed up at one relay, passed on by another one.
		age += relayEvery/2 + relayEvery/2
	}
	if !x.relay.hubs.tree.Empty() {
		age += hubTravel
	}
	return age
}

// PeersOf makes the daemons of a fleet into peers.
func PeersOf(f *toucanhingev1.FleetView) []Peer {
	var peers []Peer
	for _, p := range f.GetDigestPeers() {
		peers = append(peers, Peer{Address: p.GetAddress(), DataCentre: p.GetDataCentre(), Core: p.GetCore()})
	}
	return peers
}

// crowd is how much longer intervals are in a large fleet; the caller holds the lock.
func (x *Exchange) crowd() int { return max(len(x.peers)/gatherPeers, 1) }

// interval is the longest time until the next digest.
func (x *Exchange) interval() clock.Millis {
	x.mu.Lock()
	defer x.mu.Unlock()
	next := occupancy.DigestInterval
	if promised := x.promise(); promised > 0 {
		next = promised
	}
	if x.guides() {
		next = min(next, coreEvery)
	}
	return next
}

// guides says whether gateways that hear nothing of this daemon take themselves to be cut off;
// the caller holds the lock.
func (x *Exchange) guides() bool { return x.config.Core && x.config.Quota != nil && len(x.peers) > 0 }

// promise is the interval that others may count on, 0 for none; the caller holds
// the lock.
func (x *Exchange) promise() clock.Millis {
	if !x.table.RunsItems() {
		return 0
	}
	return occupancy.BatchDigestInterval * clock.Millis(x.crowd())
}

// Overdue says whether a daemon has kept silent for longer than it promised, since a
// moment or since it told something last.
func (x *Exchange) Overdue(daemon string, since clock.Millis) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.table.Overdue(x.config.Clock.Now(), daemon, since)
}

// tell sends the own work to all. A digest that can't be sent is dropped: the
// next one replaces it.
func (x *Exchange) tell() {
	x.mu.Lock()
	peers, guides := x.peers, x.guides()
	loads := x.table.Loads(x.config.Clock.Now())
	next := x.promise()
	x.mu.Unlock()
	untold := x.config.Quota.MarkAlive(x.boot())
	// Nothing under way is told twice, lest one is lost, and then no more.
	if len(loads) > 0 || untold || guides {
		x.empty = 0
	} else {
		x.empty++
	}
	if len(peers) == 0 || x.empty > tellEmpty {
		return
	}
	x.sequence++
	data, err := proto.Marshal(&toucanhingev1.LoadDigest{
		Source: x.config.Source, Epoch: x.epoch, Sequence: x.sequence, Version: x.config.Version(), Loads: loads,
		NextMs: uint32(next), Uses: x.config.Quota.Publish(false), CountingMs: x.counting(),
	})
	if err != nil {
		level.Error(x.config.Logger).Log(logs.KeyEvent, "digest-unencodable", logs.KeyError, err)
		return
	}
	for _, peer := range peers {
		x.write(data, peer)
	}
}

func (x *Exchange) receive(ctx context.Context) {
	buffer := make([]byte, mostBytes)
	for {
		n, from, err := x.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			level.Debug(x.config.Logger).Log(logs.KeyEvent, "digest-unread", logs.KeyError, err)
			continue
		}
		d := &toucanhingev1.LoadDigest{}
		if err := proto.Unmarshal(buffer[:n], d); err != nil {
			level.Warn(x.config.Logger).Log(logs.KeyEvent, "digest-unreadable", logs.KeyError, err)
			continue
		}
		sender := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if news := d.GetCrashes(); news != nil {
			x.takeCrashNews(d.GetSource(), sender, news)
			continue
		}
		for _, peer := range x.take(sender.String(), d) {
			x.write(buffer[:n], peer)
		}
		if x.config.OnDigest != nil {
			x.config.OnDigest(d.GetVersion())
		}
	}
}
