package core

import (
	"slices"
	"strings"
	"sync"

	"google.golang.org/protobuf/proto"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/digest"
	"toucanhinge.example/common/pkg/fanout"
	"toucanhinge.example/common/pkg/fleetview"
	"toucanhinge.example/common/pkg/signal"
	"toucanhinge.example/control/pkg/carrier"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// presenceExpiry is how long a gateway counts as there after it last attended. In a large
	// fleet it takes up to two seconds until the leader hears of it again.
	presenceExpiry clock.Millis = 4_000
	// referFresh is how long after it was heard last a gateway is named to others.
	referFresh clock.Millis = 2_000
	// mostReserve is the number of VMs that are no members and announce themselves all the time:
	// twice the members that two losses ask for. Others rest for a while after each word.
	mostReserve = 12
	// reserveFresh is how long such a VM counts after it announced itself.
	reserveFresh clock.Millis = 1_500
	// restTime is how long a VM rests: less than the silence after which it counts as gone.
	restTime clock.Millis = 2_000
)

// fleet is what the leader knows of the running daemons and runners. It is not
// durable: a new leader learns it anew within a second.
type fleet struct {
	changed *signal.Signal

	mu       sync.Mutex
	revision uint64
	// began is when this leader began.
	began clock.Millis
	// known says that the list of runners was read since this leader began.
	known    bool
	runners  []*toucanhingev1.Runner
	gateways map[string]gateway
	// carrying lists them for calls of items, nil if it must be made anew.
	carrying []carrier.Gateway
	// tree has them as they hear one another, nil if it must be made anew.
	tree *fanout.Tree
	// vms are the VMs of the core that announced themselves, by address.
	vms   map[string]announced
	cores []string
	// told is what gateways were told, for differences.
	told fleetview.ChangeLog
}

type gateway struct {
	address    string
	dataCentre string
	heard      clock.Millis
	// holds says that it holds a fleet, so that others can hear from it.
	holds bool
}

type announced struct {
	name     string
	identity string
	heard    clock.Millis
	// resting says that it was told to rest.
	resting bool
}

func newFleet() *fleet {
	return &fleet{changed: signal.New(), gateways: map[string]gateway{}, vms: map[string]announced{}}
}

// begin starts a leader's time: its revisions are above those of all before. What this
// VM knew from an earlier time of its own is forgotten: a VM that led again after six
// seconds sent items to runners that had been leaving all that time, until it had read
// the list anew 200 ms later.
func (f *fleet) begin(now clock.Millis, term uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.began = now
	f.revision = term << 32
	f.known = false
	f.runners = nil
	f.gateways = map[string]gateway{}
	f.carrying, f.tree = nil, nil
	f.vms = map[string]announced{}
	f.told = fleetview.ChangeLog{}
}

func (f *fleet) list() []*toucanhingev1.Runner {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runners
}

// restarted lists the runners of a new list that started again under their id.
func (f *fleet) restarted(runners []*toucanhingev1.Runner) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	born := make(map[string]int64, len(f.runners))
	for _, r := range f.runners {
		born[r.GetId()] = r.GetBornMs()
	}
	var ids []string
	for _, r := range runners {
		if before, known := born[r.GetId()]; known && before != r.GetBornMs() {
			ids = append(ids, r.GetId())
		}
	}
	return ids
}

// setRunners takes over a new list, and says whether it differs.
func (f *fleet) setRunners(runners []*toucanhingev1.Runner) bool {
	slices.SortFunc(runners, func(a, b *toucanhingev1.Runner) int { return strings.Compare(a.GetId(), b.GetId()) })
	f.mu.Lock()
	defer f.mu.Unlock()
	same := func(a, b *toucanhingev1.Runner) bool { return proto.Equal(a, b) }
	if f.known && slices.EqualFunc(f.runners, runners, same) {
		return false
	}
	f.known = true
	f.runners = runners
	f.bump()
	return true
}

func (f *fleet) setCores(addresses []string) {
	slices.Sort(addresses)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !slices.Equal(f.cores, addresses) {
		f.cores = addresses
		f.bump()
	}
}

// attend notes a gateway that was heard at a moment.
func (f *fleet) attend(name string, g gateway) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before, known := f.gateways[name]
	g.heard = max(g.heard, before.heard)
	f.gateways[name] = g
	if !known || before.address != g.address {
		f.bump()
	}
}

// refer names the gateways from which one can hear what it asks the leader for, none if it has
// to hear that from the leader.
func (f *fleet) refer(now clock.Millis, g gateway) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.tree == nil {
		f.tree = f.makeTree()
	}
	if f.tree.Empty() {
		return nil
	}
	useful := map[string]bool{}
	for _, other := range f.gateways {
		useful[other.address] = other.holds && now-other.heard <= referFresh
	}
	var named []string
	for _, address := range f.tree.Parents(fanout.Gateway{Address: g.address, DataCentre: g.dataCentre}) {
		if useful[address] {
			named = append(named, address)
		}
	}
	return named
}

func (f *fleet) makeTree() *fanout.Tree {
	list := make([]fanout.Gateway, 0, len(f.gateways))
	for _, g := range f.gateways {
		list = append(list, fanout.Gateway{Address: g.address, DataCentre: g.dataCentre})
	}
	t := fanout.New(list)
	return &t
}

// knownPart is the part of the gateways of before that a new leader must have heard of before it
// tells of them. Some may have gone with the leader before.
const knownPart = 0.9

// lacks says whether this leader has just begun, and doesn't know yet of most of the gateways that
// one knows. Told so, a gateway of a large fleet took it for a small one: it sent its digests
// to few others, and turned to the leader for news as all of them did. The caller holds the lock.
func (f *fleet) lacks(now clock.Millis, m *toucanhingev1.AttendRequest) bool {
	return m.GetHaveFleet() != 0 && m.GetKnows() > fanout.MaxDirect && now-f.began < gatheringTime &&
		float64(len(f.gateways)) < knownPart*float64(m.GetKnows())
}

// gathers says whether this leader has just begun, and doesn't know the gateways yet.
func (f *fleet) gathers(now clock.Millis) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now-f.began < gatheringTime
}

// large says whether gateways hear from one another.
func (f *fleet) large() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.gateways) > fanout.MaxDirect
}

// expire forgets gateways that fell silent.
func (f *fleet) expire(now clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, g := range f.gateways {
		if now-g.heard > presenceExpiry {
			delete(f.gateways, name)
			f.bump()
		}
	}
}

// announce notes a VM of the core, and says whether it may rest: on a site with a hundred of them
// all those that do nothing would keep the leader busy.
func (f *fleet) announce(now clock.Millis, name, address, identity string) (rests bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rests = !slices.Contains(f.cores, address) && f.reserve(now, address) >= mostReserve
	f.vms[address] = announced{name: name, identity: identity, heard: now, resting: rests}
	return rests
}

// reserve counts the other VMs that stand by and are no members; the caller holds the lock.
func (f *fleet) reserve(now clock.Millis, self string) int {
	count := 0
	for address, v := range f.vms {
		if address != self && !v.resting && now-v.heard <= reserveFresh && !slices.Contains(f.cores, address) {
			count++
		}
	}
	return count
}

func (f *fleet) announced() map[string]announced {
	f.mu.Lock()
	defer f.mu.Unlock()
	vms := make(map[string]announced, len(f.vms))
	for address, v := range f.vms {
		vms[address] = v
	}
	return vms
}

func (f *fleet) bump() {
	f.revision++
	f.carrying, f.tree = nil, nil
	f.changed.Fire()
}

// view is the fleet for a gateway that holds an older revision, nil otherwise; only what changed
// if it reads differences. A new leader tells nothing before it has read the list: gateways keep
// what the one before told, which is at most a moment old.
func (f *fleet) view(now clock.Millis, m *toucanhingev1.AttendRequest, self digest.Peer) *toucanhingev1.FleetView {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known || f.lacks(now, m) {
		return nil
	}
	if f.told.Revision() != f.revision {
		f.told.Apply(f.whole(self))
	}
	return f.told.Since(m.GetHaveFleet(), m.GetReadsDifferences())
}

func (f *fleet) whole(self digest.Peer) *toucanhingev1.FleetView {
	v := &toucanhingev1.FleetView{Revision: f.revision, Runners: f.runners, CoreAddresses: f.cores}
	for _, p := range append(f.peers(), self) {
		v.DigestPeers = append(v.DigestPeers, &toucanhingev1.DigestPeer{Address: p.Address, DataCentre: p.DataCentre, Core: p.Core})
	}
	return v
}

// digestPeers lists the gateways, which take load digests.
func (f *fleet) digestPeers() []digest.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peers()
}

func (f *fleet) peers() []digest.Peer {
	peers := make([]digest.Peer, 0, len(f.gateways)+1)
	for _, g := range f.gateways {
		peers = append(peers, digest.Peer{Address: g.address, DataCentre: g.dataCentre})
	}
	return peers
}

// carriers lists the gateways for calls of items; the list must not be changed.
func (f *fleet) carriers() []carrier.Gateway {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.carrying == nil {
		for _, g := range f.gateways {
			f.carrying = append(f.carrying, carrier.Gateway{Address: g.address, DataCentre: g.dataCentre})
		}
	}
	return f.carrying
}
