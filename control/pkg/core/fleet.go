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
	"toucanhinge.example/control/pkg/callproxy"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// presenceExpiry is how long after it was last seen a gateway is removed. In a large fleet
	// up to two seconds pass until the leader next receives a report of the gateway.
	presenceExpiry clock.Millis = 4_000
	// maxReferralAge is how recently a gateway must have been seen to be named to others.
	maxReferralAge clock.Millis = 2_000
	// maxReserve is the number of VMs outside the group that announce themselves continuously:
	// twice the members needed to tolerate two losses. Other VMs are idle between announcements.
	maxReserve = 12
	// maxReserveAge is how long a VM counts as part of the reserve after its last announcement.
	maxReserveAge clock.Millis = 1_500
	// idleInterval is the time between two announcements of an idle VM. It is shorter than
	// unresponsiveAfter, after which the VM would be replaced.
	idleInterval clock.Millis = 2_000
)

// fleet is the leader's view of the running daemons and runners. It isn't durable: a new
// leader rebuilds it within a second.
type fleet struct {
	changed *signal.Signal

	mu       sync.Mutex
	revision uint64
	// term is this VM's current or last term as the leader, and leaderSince is when it began.
	term        uint64
	leaderSince clock.Millis
	// runnersKnown reports whether the list of runners was read since then.
	runnersKnown bool
	runners      []*toucanhingev1.Runner
	gateways     map[string]gateway
	// proxies caches the gateways for proxied calls of batch items, nil after a change.
	proxies []callproxy.Gateway
	// tree caches the fan-out tree of the gateways, nil after a change.
	tree *fanout.Tree
	// vms are the control VMs that announced themselves, by address.
	vms           map[string]announcedVM
	coreAddresses []string
	// views logs the published views, from which differences are computed.
	views fleetview.ChangeLog
}

// gateway is a gateway as the leader last saw it.
type gateway struct {
	address    string
	dataCentre string
	lastSeen   clock.Millis
	// hasFleet reports whether the gateway has a fleet view, so that others can subscribe to it.
	hasFleet bool
}

// announcedVM is a control VM that announced itself.
type announcedVM struct {
	name     string
	identity string
	lastSeen clock.Millis
	// idle reports whether the VM was requested to announce itself less often.
	idle bool
}

func newFleet() *fleet {
	return &fleet{changed: signal.New(), gateways: map[string]gateway{}, vms: map[string]announcedVM{}}
}

// startTerm resets the fleet at the start of a leader's term. Its revisions are higher than those
// of all earlier terms. The state of an earlier term of this VM is dropped, because runners may
// have begun to drain since: a VM that led again after six seconds sent items to such runners
// until it had read the list 200 ms later.
func (f *fleet) startTerm(now clock.Millis, term uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.term, f.leaderSince = term, now
	f.revision = term << 32
	f.runnersKnown = false
	f.runners = nil
	f.gateways = map[string]gateway{}
	f.proxies, f.tree = nil, nil
	f.vms = map[string]announcedVM{}
	f.views = fleetview.ChangeLog{}
}

func (f *fleet) currentRunners() []*toucanhingev1.Runner {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runners
}

// restartedRunners returns the IDs of the runners whose start time differs in a new list.
func (f *fleet) restartedRunners(runners []*toucanhingev1.Runner) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	startTimes := make(map[string]int64, len(f.runners))
	for _, r := range f.runners {
		startTimes[r.GetId()] = r.GetBornMs()
	}
	var ids []string
	for _, r := range runners {
		if before, known := startTimes[r.GetId()]; known && before != r.GetBornMs() {
			ids = append(ids, r.GetId())
		}
	}
	return ids
}

// setRunners applies a new list of runners and reports whether it differs from the previous one.
func (f *fleet) setRunners(runners []*toucanhingev1.Runner) bool {
	slices.SortFunc(runners, func(a, b *toucanhingev1.Runner) int { return strings.Compare(a.GetId(), b.GetId()) })
	f.mu.Lock()
	defer f.mu.Unlock()
	same := func(a, b *toucanhingev1.Runner) bool { return proto.Equal(a, b) }
	if f.runnersKnown && slices.EqualFunc(f.runners, runners, same) {
		return false
	}
	f.runnersKnown = true
	f.runners = runners
	f.startRevision()
	return true
}

func (f *fleet) setCoreAddresses(addresses []string) {
	slices.Sort(addresses)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !slices.Equal(f.coreAddresses, addresses) {
		f.coreAddresses = addresses
		f.startRevision()
	}
}

// recordGateway records that a gateway was seen.
func (f *fleet) recordGateway(name string, g gateway) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before, known := f.gateways[name]
	g.lastSeen = max(g.lastSeen, before.lastSeen)
	f.gateways[name] = g
	if !known || before.address != g.address {
		f.startRevision()
	}
}

// referrals returns the addresses of gateways to which a gateway can subscribe instead of the
// leader, none if it has to subscribe to the leader.
func (f *fleet) referrals(now clock.Millis, g gateway) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.tree == nil {
		f.tree = f.buildTree()
	}
	if f.tree.Empty() {
		return nil
	}
	usable := map[string]bool{}
	for _, other := range f.gateways {
		usable[other.address] = other.hasFleet && now-other.lastSeen <= maxReferralAge
	}
	var addresses []string
	for _, address := range f.tree.Parents(fanout.Gateway{Address: g.address, DataCentre: g.dataCentre}) {
		if usable[address] {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

func (f *fleet) buildTree() *fanout.Tree {
	list := make([]fanout.Gateway, 0, len(f.gateways))
	for _, g := range f.gateways {
		list = append(list, fanout.Gateway{Address: g.address, DataCentre: g.dataCentre})
	}
	t := fanout.New(list)
	return &t
}

// minKnownShare is the share of the previous leader's gateways that a new leader must have seen
// before it publishes its view. It is below 1 because some gateways may have stopped together
// with the previous leader.
const minKnownShare = 0.9

// lacksGateways reports whether this leader's term has just begun and it knows less than
// minKnownShare of the gateways that the calling gateway knows. An incomplete view made the
// gateways of a large fleet treat it as a small one: they sent their digests to few peers, and
// all of them subscribed to the leader. The caller holds the lock.
func (f *fleet) lacksGateways(now clock.Millis, m *toucanhingev1.AttendRequest) bool {
	return m.GetHaveFleet() != 0 && m.GetKnows() > fanout.MaxDirect && now-f.leaderSince < gatewayDiscoveryPeriod &&
		float64(len(f.gateways)) < minKnownShare*float64(m.GetKnows())
}

// discoveringGateways reports whether this leader's term has just begun, or is about to, so that it may not know all
// gateways.
func (f *fleet) discoveringGateways(now clock.Millis, term uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.term != term || now-f.leaderSince < gatewayDiscoveryPeriod
}

// hasBegun reports whether what is known here belongs to this VM's given term as the leader.
func (f *fleet) hasBegun(term uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.term == term
}

// isLarge reports whether the fleet is so large that gateways subscribe to one another.
func (f *fleet) isLarge() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.gateways) > fanout.MaxDirect
}

// expireGateways removes gateways that were last seen more than presenceExpiry ago.
func (f *fleet) expireGateways(now clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, g := range f.gateways {
		if now-g.lastSeen > presenceExpiry {
			delete(f.gateways, name)
			f.startRevision()
		}
	}
}

// recordAnnouncement records the announcement of a control VM and reports whether the VM should
// be idle: in a deployment with a hundred of them, idle VMs would otherwise keep the leader busy.
func (f *fleet) recordAnnouncement(now clock.Millis, name, address, identity string) (idle bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	idle = !slices.Contains(f.coreAddresses, address) && f.reserveSize(now, address) >= maxReserve
	f.vms[address] = announcedVM{name: name, identity: identity, lastSeen: now, idle: idle}
	return idle
}

// reserveSize counts the VMs other than exclude that are neither members nor idle and announced
// themselves recently. The caller holds the lock.
func (f *fleet) reserveSize(now clock.Millis, exclude string) int {
	count := 0
	for address, v := range f.vms {
		if address != exclude && !v.idle && now-v.lastSeen <= maxReserveAge && !slices.Contains(f.coreAddresses, address) {
			count++
		}
	}
	return count
}

// announcedVMs returns a copy of the control VMs that announced themselves, by address.
func (f *fleet) announcedVMs() map[string]announcedVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	vms := make(map[string]announcedVM, len(f.vms))
	for address, v := range f.vms {
		vms[address] = v
	}
	return vms
}

// startRevision starts a new revision. The caller holds the lock.
func (f *fleet) startRevision() {
	f.revision++
	f.proxies, f.tree = nil, nil
	f.changed.Fire()
}

// view returns the fleet view for a gateway with an older revision, nil otherwise. Gateways that
// support it receive only the differences. A new leader returns nothing before it has read the
// list of runners: gateways keep the previous leader's view, which is only slightly older.
func (f *fleet) view(now clock.Millis, m *toucanhingev1.AttendRequest, self digest.Peer) *toucanhingev1.FleetView {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.runnersKnown || f.lacksGateways(now, m) {
		return nil
	}
	if f.views.Revision() != f.revision {
		f.views.Apply(f.fullView(self))
	}
	return f.views.Since(m.GetHaveFleet(), m.GetReadsDifferences())
}

func (f *fleet) fullView(self digest.Peer) *toucanhingev1.FleetView {
	v := &toucanhingev1.FleetView{Revision: f.revision, Runners: f.runners, CoreAddresses: f.coreAddresses}
	for _, p := range append(f.peers(), self) {
		v.DigestPeers = append(v.DigestPeers, &toucanhingev1.DigestPeer{Address: p.Address, DataCentre: p.DataCentre, Core: p.Core})
	}
	return v
}

// digestPeers returns the gateways as receivers of load digests.
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

// proxyGateways returns the gateways for proxied calls of batch items. The result must not be modified.
func (f *fleet) proxyGateways() []callproxy.Gateway {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.proxies == nil {
		for _, g := range f.gateways {
			f.proxies = append(f.proxies, callproxy.Gateway{Address: g.address, DataCentre: g.dataCentre})
		}
	}
	return f.proxies
}
