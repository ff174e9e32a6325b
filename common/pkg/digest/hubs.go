package digest

import (
	"slices"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/fanout"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// queryInterval is the interval at which a daemon that receives no relay digests requests
	// them, and directDuration how long the relay then sends to it directly.
	queryInterval  clock.Millis = 300
	directDuration clock.Millis = 1_000
	// maxDirect is the number of daemons up to which the relay sends to all of them directly.
	// A hop over a hub makes the counts older, and teams then exceed their quotas a little more.
	maxDirect = 32
)

// hubs decides how the relay's digests reach the daemons of a data centre. If the relay sent to
// all of them, its traffic would be the product of the fleet's request rate and the gateways of
// the data centre: with 90 gateways that exceeds the link of a small VM. In a large fleet the
// relay therefore sends to a few hubs, and each hub forwards to its share of the other daemons. A
// daemon whose hub has failed queries the relay. hubs holds no goroutine, socket or clock.
type hubs struct {
	self Peer
	tree fanout.Tree
	// direct lists the daemons that the relay sends to, children those that this daemon
	// forwards to.
	direct   []string
	children []string
	// parent is the hub of this daemon, empty if the relay sends to it directly.
	parent string
	// waitingSince is when this daemon started to wait for relay digests, receivedAt when the
	// last one arrived from the expected sender, and origin the relay that sent it.
	waitingSince, receivedAt clock.Millis
	origin                   string
	queriedAt                clock.Millis
	// directUntil holds the daemons that requested direct sending, with the time it ends.
	directUntil map[string]clock.Millis
}

func newHubs(self Peer) hubs { return hubs{self: self, directUntil: map[string]clock.Millis{}} }

// setPeers replaces the other daemons of the fleet. local holds those of the own data centre.
func (h *hubs) setPeers(now clock.Millis, peers, local []Peer) {
	if h.waitingSince == 0 {
		h.waitingSince = now
	}
	h.tree, h.direct, h.children, h.parent = fanout.Tree{}, nil, nil, ""
	if len(local) <= maxDirect {
		h.direct = addresses(local)
		return
	}
	h.tree = treeOf(append(slices.Clone(peers), h.self))
	hubAddresses := h.tree.Hubs(h.self.DataCentre)
	for _, p := range local {
		if p.Core || slices.Contains(hubAddresses, p.Address) {
			h.direct = append(h.direct, p.Address)
		}
	}
	if h.self.Core {
		return
	}
	if !slices.Contains(hubAddresses, h.self.Address) {
		h.parent = h.hubOf(h.self)
		return
	}
	for _, p := range local {
		if !p.Core && !slices.Contains(hubAddresses, p.Address) && h.hubOf(p) == h.self.Address {
			h.children = append(h.children, p.Address)
		}
	}
}

func treeOf(peers []Peer) fanout.Tree {
	list := make([]fanout.Gateway, 0, len(peers))
	for _, p := range peers {
		if !p.Core {
			list = append(list, fanout.Gateway{Address: p.Address, DataCentre: p.DataCentre})
		}
	}
	return fanout.New(list)
}

// hubOf returns the hub that forwards to a daemon that is not a hub itself.
func (h *hubs) hubOf(p Peer) string {
	return h.tree.Parents(fanout.Gateway{Address: p.Address, DataCentre: p.DataCentre})[0]
}

// recipients lists the daemons that this daemon, as the relay, has to send to.
func (h *hubs) recipients(now clock.Millis) []string {
	list := append(slices.Clone(h.direct), h.children...)
	for address, until := range h.directUntil {
		switch {
		case until <= now:
			delete(h.directUntil, address)
		case !slices.Contains(list, address):
			list = append(list, address)
		}
	}
	return list
}

// receive records a digest of the own data centre's relay that arrived from a daemon, and lists
// the daemons to forward it to.
func (h *hubs) receive(now clock.Millis, from, origin string) []string {
	direct := origin == from
	if from == h.parent || direct && h.parent == "" {
		h.receivedAt, h.origin = now, origin
	}
	if !direct {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(h.children), func(address string) bool { return address == origin })
}

// originOf returns the relay that a digest comes from. Relays of earlier versions don't set the
// origin and send to all daemons themselves.
func originOf(from string, d *toucanhingev1.LoadDigest) string {
	if d.GetOrigin() != "" {
		return d.GetOrigin()
	}
	return from
}

// queryTargets lists the daemons to request relay digests from now, none if they arrive: the last
// known relay and the daemons that succeed it.
func (h *hubs) queryTargets(now clock.Millis, local []Peer) []string {
	if h.tree.Empty() || now-max(h.receivedAt, h.waitingSince) <= relayTimeout || now-h.queriedAt < queryInterval {
		return nil
	}
	h.queriedAt = now
	list := addresses(local[:min(len(local), 2)])
	if h.origin != "" && !slices.Contains(list, h.origin) {
		list = append(list, h.origin)
	}
	return list
}

// recordQuery records that a daemon requested direct sending.
func (h *hubs) recordQuery(now clock.Millis, from string) { h.directUntil[from] = now + directDuration }
