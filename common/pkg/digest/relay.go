package digest

import (
	"cmp"
	"slices"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/occupancy"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// minRelayPeers is the number of peers from which data centres exchange summaries. Digests
	// sent from each of hundreds of daemons to all others overload the processors of small VMs.
	// In a small fleet the two additional hops would only make the counts older.
	minRelayPeers = 20
	// relayInterval is the interval at which a relay sends changes. Counts of other data centres
	// are then about 20 ms old.
	relayInterval clock.Millis = 8
	// fullSummaryInterval is the interval between full summaries, which make up for lost
	// datagrams.
	fullSummaryInterval = occupancy.DigestInterval
	// heartbeatInterval is the maximum interval between digests of a relay to its own data centre.
	heartbeatInterval clock.Millis = 100
	// shrinkDelay is the time after which a lower number of peers applies. A new leader of the
	// core learns of the gateways one by one, so its first peer lists are incomplete.
	shrinkDelay clock.Millis = 5_000
	// relayTimeout is the time without a digest of a relay after which the next daemon takes the
	// role, and after which other data centres send to two daemons of its data centre.
	relayTimeout clock.Millis = 300
)

// Peer is a daemon that receives digests.
type Peer struct {
	// Address is the IP:port for UDP.
	Address    string
	DataCentre string
	// Core is set for a VM of the core, which relays only if no gateway does.
	Core bool
}

// compare orders the daemons of a data centre by precedence: the first live one is the relay.
func (p Peer) compare(other Peer) int {
	if p.Core != other.Core {
		if other.Core {
			return -1
		}
		return 1
	}
	return cmp.Compare(p.Address, other.Address)
}

// outbound is a digest with its recipients.
type outbound struct {
	to     []string
	digest *toucanhingev1.LoadDigest
}

// relay decides what a daemon forwards between data centres. In a large fleet daemons send their
// load only within their data centre, and one daemon of each data centre is its relay. The relay
// sums up the load of its data centre, sends changes to the relays of the other data centres and
// forwards their summaries within its own. relay holds no goroutine, socket or clock.
type relay struct {
	source string
	self   Peer
	// local holds the other daemons of the own data centre by precedence, remote those of each
	// other data centre.
	local  []Peer
	remote map[string][]Peer
	// peerCount is the number of peers, as of countedAt.
	peerCount int
	countedAt clock.Millis
	// lastSeen is the time of the last relay digest of each daemon, by address.
	lastSeen map[string]clock.Millis
	// waitingSince is when this daemon started to wait for relay digests. activeSince is when it
	// became the relay, or 0.
	waitingSince clock.Millis
	activeSince  clock.Millis
	// localSources holds the names of the daemons of the own data centre.
	localSources map[string]bool
	// published is the load of this data centre that the others have received.
	published   map[string]*toucanhingev1.RunnerLoad
	sequence    uint64
	fullAt      clock.Millis
	publishedAt clock.Millis
	heartbeatAt clock.Millis
	pending     []*toucanhingev1.LoadDigest
	hubs        hubs
	contention  relayedContention
}

func newRelay(source string, self Peer) *relay {
	return &relay{
		source: source, self: self, lastSeen: map[string]clock.Millis{}, localSources: map[string]bool{}, hubs: newHubs(self),
	}
}

// setPeers replaces the other daemons.
func (r *relay) setPeers(now clock.Millis, peers []Peer) {
	r.local, r.remote = nil, map[string][]Peer{}
	if len(peers) >= r.peerCount || now-r.countedAt > shrinkDelay {
		r.peerCount, r.countedAt = len(peers), now
	}
	for _, p := range peers {
		if p.DataCentre == r.self.DataCentre {
			r.local = append(r.local, p)
		} else {
			r.remote[p.DataCentre] = append(r.remote[p.DataCentre], p)
		}
	}
	slices.SortFunc(r.local, Peer.compare)
	for _, list := range r.remote {
		slices.SortFunc(list, Peer.compare)
	}
	r.hubs.setPeers(now, peers, r.local)
	if r.waitingSince == 0 {
		r.waitingSince = now
	}
}

// usesSummaries reports whether data centres exchange summaries instead of single digests.
func (r *relay) usesSummaries() bool {
	return r.peerCount >= minRelayPeers && len(r.remote) > 0 && r.self.DataCentre != ""
}

// precedence returns the number of daemons in the data centre that take the relay role before
// this one.
func (r *relay) precedence() int {
	earlier := 0
	for _, p := range r.local {
		if p.compare(r.self) < 0 {
			earlier++
		}
	}
	return earlier
}

// shouldRelay reports whether this daemon has to be the relay. It has to if no daemon ahead of it
// has sent a relay digest for so long that each of them could have taken the role.
func (r *relay) shouldRelay(now clock.Millis) bool {
	if !r.usesSummaries() || r.waitingSince == 0 {
		return false
	}
	earlier := r.precedence()
	last := r.waitingSince
	for _, p := range r.local[:earlier] {
		last = max(last, r.lastSeen[p.Address])
	}
	return earlier == 0 || now-last > clock.Millis(earlier)*relayTimeout
}

// receive records a digest of a relay. It returns the summaries to apply and the daemons to
// forward the digest to.
func (r *relay) receive(
	now clock.Millis, from string, d *toucanhingev1.LoadDigest,
) (summaries []*toucanhingev1.LoadDigest, forwardTo []string) {
	origin := originOf(from, d)
	r.lastSeen[origin] = now
	if r.isLocal(origin) {
		return d.GetSummaries(), r.hubs.receive(now, from, origin)
	}
	if r.activeSince > 0 {
		r.pending = append(r.pending, d.GetSummaries()...)
	}
	return d.GetSummaries(), nil
}

func (r *relay) isLocal(address string) bool {
	return slices.ContainsFunc(r.local, func(p Peer) bool { return p.Address == address })
}

// acceptsDigest reports whether to apply a daemon's own digest, and records its sender. With
// summaries, the load of a daemon in another data centre is already part of a summary.
func (r *relay) acceptsDigest(from string, source string) bool {
	if !r.usesSummaries() {
		return true
	}
	if !r.isLocal(from) {
		return false
	}
	r.localSources[source] = true
	return true
}

// usageFunc returns the quota usage in the data centre that is still to be sent, and the time in
// milliseconds over which it was counted.
type usageFunc func() (usage []*toucanhingev1.TeamUse, countingMs uint32)

// step returns the digests to send now. It is called every relayInterval while this daemon is the
// relay, else every heartbeatInterval.
func (r *relay) step(now clock.Millis, table *occupancy.Table, usage usageFunc) []outbound {
	if !r.shouldRelay(now) {
		if r.activeSince > 0 {
			table.TrackLocalSum(nil)
		}
		r.activeSince, r.pending = 0, nil
		return r.queryRelay(now)
	}
	if r.activeSince == 0 {
		// activeSince is sent as the epoch, so that others can distinguish two periods as relay.
		r.activeSince, r.sequence, r.published, r.fullAt = now, 0, nil, 0
		r.contention.begin(now)
		table.TrackLocalSum(func(daemon string) bool { return r.localSources[daemon] })
	}
	var messages []outbound
	if summary := r.summary(now, table, usage); summary != nil {
		messages = append(messages, outbound{r.remoteRelays(now), r.wrap(summary)})
	}
	if len(r.pending) > 0 || now-r.heartbeatAt >= heartbeatInterval {
		messages = append(messages, outbound{r.hubs.recipients(now), r.wrap(r.pending...)})
		r.pending, r.heartbeatAt = nil, now
	}
	return messages
}

// queryRelay requests the digests of the data centre's relay if they don't reach this daemon.
func (r *relay) queryRelay(now clock.Millis) []outbound {
	if !r.usesSummaries() {
		return nil
	}
	to := r.hubs.queryTargets(now, r.local)
	if len(to) == 0 {
		return nil
	}
	return []outbound{{to, &toucanhingev1.LoadDigest{Source: r.source, Asks: true}}}
}

func (r *relay) wrap(summaries ...*toucanhingev1.LoadDigest) *toucanhingev1.LoadDigest {
	return &toucanhingev1.LoadDigest{Source: r.source, Relays: true, Summaries: summaries, Origin: r.self.Address}
}

// summary returns the changes that the other data centres haven't received yet, nil for none.
func (r *relay) summary(now clock.Millis, table *occupancy.Table, usageOf usageFunc) *toucanhingev1.LoadDigest {
	usage, countingMs := usageOf()
	presences := table.Presences(now)
	report := r.contention.next(now, r.waitingSince)
	full := now-r.fullAt >= fullSummaryInterval
	var loads []*toucanhingev1.RunnerLoad
	if full {
		r.fullAt = now
		loads = r.fullSummary(now, table)
	} else {
		loads = r.changes(now, table)
	}
	loads = table.AddLocalPaces(now, table.AddLocalContacts(now, loads), full)
	if !full {
		// Daemons of other data centres expect to see the daemons that run items regularly.
		if len(loads) == 0 && len(usage) == 0 && report == nil && (len(presences) == 0 || now-r.publishedAt < occupancy.BatchDigestInterval) {
			return nil
		}
	}
	r.publishedAt = now
	r.sequence++
	return &toucanhingev1.LoadDigest{
		Source: r.source, Epoch: uint64(r.activeSince), Sequence: r.sequence, DataCentre: r.self.DataCentre, Partial: !full,
		Loads: loads, Presences: presences, Uses: usage, CountingMs: countingMs,
		Contention: report,
	}
}

// fullSummary lists the load of the data centre and records all of it as published.
func (r *relay) fullSummary(now clock.Millis, table *occupancy.Table) []*toucanhingev1.RunnerLoad {
	loads := table.LocalLoads(now)
	table.PopLocalChanges()
	r.published = make(map[string]*toucanhingev1.RunnerLoad, len(loads))
	for _, l := range loads {
		r.published[l.GetRunner()] = l
	}
	return loads
}

// changes lists the runners whose load differs from the published one. A runner without load is
// listed with zero counts.
func (r *relay) changes(now clock.Millis, table *occupancy.Table) []*toucanhingev1.RunnerLoad {
	var changed []*toucanhingev1.RunnerLoad
	for _, runner := range table.PopLocalChanges() {
		old, current := r.published[runner], table.LocalLoad(now, runner)
		switch {
		case current == nil && old == nil || current != nil && old != nil && sameLoad(old, current):
		case current == nil:
			delete(r.published, runner)
			changed = append(changed, &toucanhingev1.RunnerLoad{Runner: runner})
		default:
			r.published[runner] = current
			changed = append(changed, current)
		}
	}
	return changed
}

func sameLoad(a, b *toucanhingev1.RunnerLoad) bool {
	return a.GetOnline() == b.GetOnline() && a.GetBatch() == b.GetBatch() && a.GetSilent() == b.GetSilent() &&
		a.GetForeign() == b.GetForeign()
}

// remoteRelays lists the relays of the other data centres. For a data centre without a recent
// relay digest these are the first two daemons by precedence.
func (r *relay) remoteRelays(now clock.Millis) []string {
	var list []string
	for _, peers := range r.remote {
		live := slices.IndexFunc(peers, func(p Peer) bool {
			at := r.lastSeen[p.Address]
			return at > 0 && now-at <= relayTimeout
		})
		if live >= 0 {
			list = append(list, peers[live].Address)
			continue
		}
		list = append(list, addresses(peers[:min(len(peers), 2)])...)
	}
	return list
}

func addresses(peers []Peer) []string {
	list := make([]string, 0, len(peers))
	for _, p := range peers {
		list = append(list, p.Address)
	}
	return list
}
