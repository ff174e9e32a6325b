// Package fanout decides from whom each gateway hears the news of the core: routing tables, the
// fleet, and that what it knows is confirmed.
//
// The load that it answers: hundreds of gateways, a dozen of which are stopped or started every
// second. Told by the leader of the core one by one, each change costs it a message to each of
// them, so that its work grows with the square of the fleet; and a leader that is late for a
// moment has all of them at its door at once. So in a large fleet the gateways of a data centre
// form a tree of two levels. Its root hears the leader, a few hubs hear the root, and each other
// gateway hears a hub. The leader's work then follows the number of data centres, and that of
// a gateway the square root of those in its own.
//
// It holds no goroutine, socket or clock.
package fanout

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

// MaxDirect is the number of gateways up to which all hear the leader itself: so few are no
// load, and a tree would only add ways.
const MaxDirect = 32

// Gateway is one that hears news.
type Gateway struct {
	// Address is where it takes calls of own daemons, IP:port.
	Address    string
	DataCentre string
}

// Tree has the gateways of each data centre in an order that depends on nothing but their
// addresses. The first is the root and the next ones are hubs. Whoever comes or goes
// changes the parents of few others. The zero value has no gateways.
type Tree struct {
	centres map[string][]ranked
}

type ranked struct {
	address string
	rank    uint64
}

// New orders the gateways; a fleet that is small enough to do without gives an empty tree.
func New(gateways []Gateway) Tree {
	t := Tree{centres: map[string][]ranked{}}
	if len(gateways) <= MaxDirect {
		return t
	}
	for _, g := range gateways {
		t.centres[g.DataCentre] = append(t.centres[g.DataCentre], ranked{g.Address, hash(g.Address)})
	}
	for _, list := range t.centres {
		slices.SortFunc(list, ranked.before)
	}
	return t
}

func (r ranked) before(other ranked) int {
	return cmp.Or(cmp.Compare(r.rank, other.rank), cmp.Compare(r.address, other.address))
}

// Empty says whether all gateways hear the leader itself.
func (t Tree) Empty() bool { return len(t.centres) == 0 }

// Parents lists from whom a gateway may hear, the best first: none for the root, and for all if
// the tree is empty. A gateway that isn't in the tree yet gets those that it will have. All of
// them stand before the gateway in the order. So there is no circle, whatever gateways
// with different views of the fleet choose.
func (t Tree) Parents(g Gateway) []string {
	list := t.centres[g.DataCentre]
	self := ranked{g.Address, hash(g.Address)}
	before, found := slices.BinarySearchFunc(list, self, ranked.before)
	if before == 0 {
		return nil
	}
	gateways := len(list)
	if !found {
		gateways++
	}
	hubs := hubsOf(gateways)
	if before <= hubs {
		return addresses(list[:min(before, 2)])
	}
	return append(nearest(list[1:hubs+1], g.Address), list[0].address)
}

// Hubs lists the root and the hubs of a data centre; none if the tree is empty.
func (t Tree) Hubs(dataCentre string) []string {
	list := t.centres[dataCentre]
	return addresses(list[:min(len(list), hubsOf(len(list))+1)])
}

// hubsOf is how many hubs so many gateways have: as many as each of these then has children.
func hubsOf(gateways int) int { return int(math.Sqrt(float64(gateways))) }

// choices is the number of hubs that a gateway may hear.
const choices = 2

// nearest lists the hubs that rank first for a gateway. Each gateway has its own ranking, so a
// hub that goes leaves its children to all the others.
func nearest(hubs []ranked, address string) []string {
	own := slices.Clone(hubs)
	for i, h := range own {
		own[i].rank = hash(h.address + " " + address)
	}
	slices.SortFunc(own, ranked.before)
	return addresses(own[:min(len(own), choices)])
}

func addresses(list []ranked) []string {
	texts := make([]string, 0, len(list)+1)
	for _, r := range list {
		texts = append(texts, r.address)
	}
	return texts
}

// hash spreads addresses that differ in their last digit only.
func hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	// FNV leaves the last bytes in the low bits; the order goes by the high ones.
	sum := h.Sum64()
	sum ^= sum >> 32
	sum *= 0x9e3779b97f4a7c15
	return sum ^ sum>>29
}
