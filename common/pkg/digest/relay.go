package digest

import (
	"cmp"
	"slices"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/occupancy"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// relayPeers is the number of peers from which on data centres tell one another sums.
	// Told by all to all, the digests of hundreds of daemons fill small VMs' processors; among
	// a few, the two hops more make the picture older for little.
	relayPeers = 20
	// relayEvery is how often a relay tells what changed: a picture is then some 20 ms old.
	relayEvery clock.Millis = 8
	// wholeEvery is how often all is told, so that a lost datagram is made good.
	wholeEvery = occupancy.DigestInterval
	// signEvery is the longest pause between signs of a relay to its own data centre.
	signEvery clock.Millis = 100
	// shrinkAfter is how long a smaller number of peers must stand until it counts: a new
	// leader of the core learns of the gateways one after the other.
	shrinkAfter clock.Millis = 5_000
	// relaySilence is the silence of a relay after which the next one takes its place, and
	// after which others tell two daemons of its data centre.
	relaySilence clock.Millis = 300
)

// Peer is a daemon that takes digests.
type Peer struct {
	// Address is IP:port over UDP.
	Address    string
	DataCentre string
	// Core says that it is a VM of the core, which relays only if nobody else does.
	Core bool
}

// before ranks the daemons of a data centre: the first that is there relays.
func (p Peer) before(other Peer) int {
	if p.Core != other.Core {
		if other.Core {
			return -1
		}
		return 1
	}
	return cmp.Compare(p.Address, other.Address)
}

// parcel is a digest for some daemons.
type parcel struct {
	to     []string
	digest *toucanhingev1.LoadDigest
}

// relay decides what a daemon passes on between data centres. In a large fleet daemons
// tell their own work only to those of their data centre. One of these relays: it sums up
// what all of them have under way, tells the relays of the other data centres what changed,
// and passes on to its own what these tell. It holds no goroutine, socket or clock.
type relay struct {
	source string
	self   Peer
	// near are the other daemons of the own data centre by rank, far those of each other one.
	near []Peer
	far  map[string][]Peer
	// all is the number of peers, counted at countedAt.
	all       int
	countedAt clock.Millis
	// heard is when each daemon last gave a sign that it relays, by address.
	heard map[string]clock.Millis
	// since is when this daemon began to wait for such signs, acts since when it relays, or 0.
	since clock.Millis
	acts  clock.Millis
	// nearSources are the names of daemons of the own data centre.
	nearSources map[string]bool
	// told is what the other data centres know of this one.
	told     map[string]*toucanhingev1.RunnerLoad
	sequence uint64
	wholeAt  clock.Millis
	toldAt   clock.Millis
	signAt   clock.Millis
	pending  []*toucanhingev1.LoadDigest
	hubs     hubs
}

func newRelay(source string, self Peer) *relay {
	return &relay{source: source, self: self, heard: map[string]clock.Millis{}, nearSources: map[string]bool{}, hubs: newHubs(self)}
}

// setPeers replaces the other daemons.
func (r *relay) setPeers(now clock.Millis, peers []Peer) {
	r.near, r.far = nil, map[string][]Peer{}
	if len(peers) >= r.all || now-r.countedAt > shrinkAfter {
		r.all, r.countedAt = len(peers), now
	}
	for _, p := range peers {
		if p.DataCentre == r.self.DataCentre {
			r.near = append(r.near, p)
		} else {
			r.far[p.DataCentre] = append(r.far[p.DataCentre], p)
		}
	}
	slices.SortFunc(r.near, Peer.before)
	for _, list := range r.far {
		slices.SortFunc(list, Peer.before)
	}
	r.hubs.setPeers(now, peers, r.near)
	if r.since == 0 {
		r.since = now
	}
}

// sums says whether data centres tell one another sums.
func (r *relay) sums() bool {
	return r.all >= relayPeers && len(r.far) > 0 && r.self.DataCentre != ""
}

// rank is how many daemons of the data centre relay before this one.
func (r *relay) rank() int {
	rank := 0
	for _, p := range r.near {
		if p.before(r.self) < 0 {
			rank++
		}
	}
	return rank
}

// relays says whether this daemon has to relay: all before it have kept silent for as long
// as the ones between would have needed to take over.
func (r *relay) relays(now clock.Millis) bool {
	if !r.sums() || r.since == 0 {
		return false
	}
	rank := r.rank()
	last := r.since
	for _, p := range r.near[:rank] {
		last = max(last, r.heard[p.Address])
	}
	return rank == 0 || now-last > clock.Millis(rank)*relaySilence
}

// receive takes up a relay's digest, and returns the summaries that count here, and to whom the
// digest has to be passed on.
func (r *relay) receive(now clock.Millis, from string, d *toucanhingev1.LoadDigest) (summaries []*toucanhingev1.LoadDigest, passOn []string) {
	origin := originOf(from, d)
	r.heard[origin] = now
	if r.isNear(origin) {
		return d.GetSummaries(), r.hubs.receive(now, from, origin)
	}
	if r.acts > 0 {
		r.pending = append(r.pending, d.GetSummaries()...)
	}
	return d.GetSummaries(), nil
}

func (r *relay) isNear(address string) bool {
	return slices.ContainsFunc(r.near, func(p Peer) bool { return p.Address == address })
}

// notice says whether a daemon's own digest counts here. Where data centres tell one another
// sums, one from another data centre is contained in these already.
func (r *relay) notice(from string, source string) bool {
	if !r.sums() {
		return true
	}
	if !r.isNear(from) {
		return false
	}
	r.nearSources[source] = true
	return true
}

// tellUses lists the counts of teams' requests in the data centre that must still be told, and
// for how long a span, in milliseconds, they were counted.
type tellUses func() (uses []*toucanhingev1.TeamUse, counting uint32)

// turn says what to tell now; it is asked every relayEvery.
func (r *relay) turn(now clock.Millis, table *occupancy.Table, uses tellUses) []parcel {
	if !r.relays(now) {
		if r.acts > 0 {
			table.TrackLocalSum(nil)
		}
		r.acts, r.pending = 0, nil
		return r.ask(now)
	}
	if r.acts == 0 {
		// Others must know a later time of this daemon from an earlier one.
		r.acts, r.sequence, r.told, r.wholeAt = now, 0, nil, 0
		table.TrackLocalSum(func(daemon string) bool { return r.nearSources[daemon] })
	}
	var parcels []parcel
	if summary := r.summary(now, table, uses); summary != nil {
		parcels = append(parcels, parcel{r.farRelays(now), r.wrap(summary)})
	}
	if len(r.pending) > 0 || now-r.signAt >= signEvery {
		parcels = append(parcels, parcel{r.hubs.told(now), r.wrap(r.pending...)})
		r.pending, r.signAt = nil, now
	}
	return parcels
}

// ask asks for the digests of the data centre's relay, if they don't reach this daemon.
func (r *relay) ask(now clock.Millis) []parcel {
	if !r.sums() {
		return nil
	}
	to := r.hubs.ask(now, r.near)
	if len(to) == 0 {
		return nil
	}
	return []parcel{{to, &toucanhingev1.LoadDigest{Source: r.source, Asks: true}}}
}

func (r *relay) wrap(summaries ...*toucanhingev1.LoadDigest) *toucanhingev1.LoadDigest {
	return &toucanhingev1.LoadDigest{Source: r.source, Relays: true, Summaries: summaries, Origin: r.self.Address}
}

// summary is what the other data centres don't know yet, nil if there is nothing.
func (r *relay) summary(now clock.Millis, table *occupancy.Table, tell tellUses) *toucanhingev1.LoadDigest {
	uses, counting := tell()
	presences := table.Presences(now)
	whole := now-r.wholeAt >= wholeEvery
	var loads []*toucanhingev1.RunnerLoad
	if whole {
		r.wholeAt = now
		loads = r.wholeSum(now, table)
	} else {
		loads = r.changes(now, table)
		// Daemons there count on hearing of those that run items.
		if len(loads) == 0 && len(uses) == 0 && (len(presences) == 0 || now-r.toldAt < occupancy.BatchDigestInterval) {
			return nil
		}
	}
	r.toldAt = now
	r.sequence++
	return &toucanhingev1.LoadDigest{
		Source: r.source, Epoch: uint64(r.acts), Sequence: r.sequence, DataCentre: r.self.DataCentre, Partial: !whole,
		Loads: loads, Presences: presences, Uses: uses, CountingMs: counting,
	}
}

// wholeSum lists the whole sum, which the others know then.
func (r *relay) wholeSum(now clock.Millis, table *occupancy.Table) []*toucanhingev1.RunnerLoad {
	loads := table.LocalLoads(now)
	table.PopLocalChanges()
	r.told = make(map[string]*toucanhingev1.RunnerLoad, len(loads))
	for _, l := range loads {
		r.told[l.GetRunner()] = l
	}
	return loads
}

// changes lists what differs from what the others know, with nothing for what is no more.
func (r *relay) changes(now clock.Millis, table *occupancy.Table) []*toucanhingev1.RunnerLoad {
	var changed []*toucanhingev1.RunnerLoad
	for _, runner := range table.PopLocalChanges() {
		before, l := r.told[runner], table.LocalLoad(now, runner)
		switch {
		case l == nil && before == nil || l != nil && before != nil && alike(before, l):
		case l == nil:
			delete(r.told, runner)
			changed = append(changed, &toucanhingev1.RunnerLoad{Runner: runner})
		default:
			r.told[runner] = l
			changed = append(changed, l)
		}
	}
	return changed
}

func alike(a, b *toucanhingev1.RunnerLoad) bool {
	return a.GetOnline() == b.GetOnline() && a.GetBatch() == b.GetBatch() && a.GetSilent() == b.GetSilent() &&
		a.GetForeign() == b.GetForeign()
}

// farRelays lists who relays in each other data centre: the first that was heard lately, else
// the two that should.
func (r *relay) farRelays(now clock.Millis) []string {
	var list []string
	for _, peers := range r.far {
		heard := slices.IndexFunc(peers, func(p Peer) bool {
			at := r.heard[p.Address]
			return at > 0 && now-at <= relaySilence
		})
		if heard >= 0 {
			list = append(list, peers[heard].Address)
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
