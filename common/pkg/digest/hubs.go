package digest

import (
	"slices"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/fanout"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// askEvery is how often a daemon that the relay's digests don't reach asks for them, and
	// askedFor how long it is told then.
	askEvery clock.Millis = 300
	askedFor clock.Millis = 1_000
	// mostTold is the number of daemons that the relay tells by itself. More way makes the picture
	// older, and teams' quotas are then passed by a little more.
	mostTold = 32
)

// hubs decides how the relay's digests reach the daemons of a data centre. Sent to each of them,
// they are the product of all requests of the fleet and all gateways of the data centre: with
// 90 of them more than a small VM's link takes. So in a large fleet the relay tells some hubs,
// and each of these passes on to its part of the others what it gets. One whose hub is gone
// asks the relay itself. It holds no goroutine, socket or clock.
type hubs struct {
	self Peer
	tree fanout.Tree
	// first are those whom the relay tells, children those to whom this daemon passes on.
	first    []string
	children []string
	// parent is the hub of this daemon, empty if the relay itself tells it.
	parent string
	// since is when this daemon began to wait for digests, heard when they came last from
	// whom they should, and origin who relayed then.
	since, heard clock.Millis
	origin       string
	askedAt      clock.Millis
	// asking are daemons that asked to be told directly, until a moment.
	asking map[string]clock.Millis
}

func newHubs(self Peer) hubs { return hubs{self: self, asking: map[string]clock.Millis{}} }

// setPeers takes over the daemons of the fleet, and among them those of the own data centre.
func (h *hubs) setPeers(now clock.Millis, peers, near []Peer) {
	if h.since == 0 {
		h.since = now
	}
	h.tree, h.first, h.children, h.parent = fanout.Tree{}, nil, nil, ""
	if len(near) <= mostTold {
		h.first = addresses(near)
		return
	}
	h.tree = treeOf(append(slices.Clone(peers), h.self))
	all := h.tree.Hubs(h.self.DataCentre)
	for _, p := range near {
		if p.Core || slices.Contains(all, p.Address) {
			h.first = append(h.first, p.Address)
		}
	}
	if h.self.Core {
		return
	}
	if !slices.Contains(all, h.self.Address) {
		h.parent = h.hubOf(h.self)
		return
	}
	for _, p := range near {
		if !p.Core && !slices.Contains(all, p.Address) && h.hubOf(p) == h.self.Address {
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

// hubOf is the hub that passes on to a daemon that is none itself.
func (h *hubs) hubOf(p Peer) string {
	return h.tree.Parents(fanout.Gateway{Address: p.Address, DataCentre: p.DataCentre})[0]
}

// told lists whom this daemon, as the relay, has to tell.
func (h *hubs) told(now clock.Millis) []string {
	list := append(slices.Clone(h.first), h.children...)
	for address, until := range h.asking {
		switch {
		case until <= now:
			delete(h.asking, address)
		case !slices.Contains(list, address):
			list = append(list, address)
		}
	}
	return list
}

// receive notes a digest of the own data centre's relay that came from a daemon, and lists to
// whom it has to be passed on.
func (h *hubs) receive(now clock.Millis, from, origin string) []string {
	direct := origin == from
	if from == h.parent || direct && h.parent == "" {
		h.heard, h.origin = now, origin
	}
	if !direct {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(h.children), func(address string) bool { return address == origin })
}

// originOf is the daemon that relays. One of an earlier program doesn't say so, and sends itself.
func originOf(from string, d *toucanhingev1.LoadDigest) string {
	if d.GetOrigin() != "" {
		return d.GetOrigin()
	}
	return from
}

// ask lists whom to ask for the relay's digests now: the one that relayed last, and those that
// relay if it is gone.
func (h *hubs) ask(now clock.Millis, near []Peer) []string {
	if h.tree.Empty() || now-max(h.heard, h.since) <= relaySilence || now-h.askedAt < askEvery {
		return nil
	}
	h.askedAt = now
	list := addresses(near[:min(len(near), 2)])
	if h.origin != "" && !slices.Contains(list, h.origin) {
		list = append(list, h.origin)
	}
	return list
}

// asked notes that a daemon asks to be told.
func (h *hubs) asked(now clock.Millis, from string) { h.asking[from] = now + askedFor }
