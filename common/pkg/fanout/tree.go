// Package fanout decides from which process each gateway receives the updates of the core: routing
// tables, the fleet view and the freshness point.
//
// It is designed for hundreds of gateways, a dozen of which stop or start every second. If the
// core's leader sent to each gateway, each of these changes would cost it a message per gateway, so
// its work would grow with the square of the fleet. A leader that is late for a short time would
// also receive requests from all gateways at once. In a large fleet the gateways of a data centre
// therefore form a tree of two levels: its root receives from the leader, a few hubs receive from the
// root, and each other gateway receives from a hub. The leader's work then grows with the number of
// data centres, and that of a gateway with the square root of the gateways in its data centre.
//
// The package holds no goroutine, socket or clock.
package fanout

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

// MaxDirect is the number of gateways up to which all receive from the leader directly. The leader
// can serve these, and a tree would only add delay.
const MaxDirect = 32

// Gateway is a gateway that receives updates.
type Gateway struct {
	// Address is the IP:port at which the gateway accepts calls of other daemons.
	Address    string
	DataCentre string
}

// Tree holds the gateways of each data centre in an order that depends only on their addresses. The
// first gateway is the root, and the next ones are hubs. Adding or removing a gateway changes the
// parents of few others. The zero value has no gateways.
type Tree struct {
	dataCentres map[string][]hashedGateway
}

// hashedGateway is a gateway with the hash that determines its position in the order.
type hashedGateway struct {
	address string
	hash    uint64
}

// New builds the tree of a fleet. It is empty if the fleet has at most MaxDirect gateways.
func New(gateways []Gateway) Tree {
	t := Tree{dataCentres: map[string][]hashedGateway{}}
	if len(gateways) <= MaxDirect {
		return t
	}
	for _, g := range gateways {
		t.dataCentres[g.DataCentre] = append(t.dataCentres[g.DataCentre], hashedGateway{g.Address, hash(g.Address)})
	}
	for _, list := range t.dataCentres {
		slices.SortFunc(list, hashedGateway.compare)
	}
	return t
}

func (g hashedGateway) compare(other hashedGateway) int {
	return cmp.Or(cmp.Compare(g.hash, other.hash), cmp.Compare(g.address, other.address))
}

// Empty reports whether all gateways receive from the leader directly.
func (t Tree) Empty() bool { return len(t.dataCentres) == 0 }

// Parents lists the gateways that a gateway may receive from, the preferred one first. It is empty
// for the root, and for every gateway if the tree is empty. A gateway that isn't in the tree yet
// gets the parents that it will have. All parents precede the gateway in the order, so there is no
// cycle, even between gateways with different views of the fleet.
func (t Tree) Parents(g Gateway) []string {
	list := t.dataCentres[g.DataCentre]
	self := hashedGateway{g.Address, hash(g.Address)}
	position, found := slices.BinarySearchFunc(list, self, hashedGateway.compare)
	if position == 0 {
		return nil
	}
	gateways := len(list)
	if !found {
		gateways++
	}
	hubs := hubCount(gateways)
	if position <= hubs {
		return addresses(list[:min(position, 2)])
	}
	return append(preferredHubs(list[1:hubs+1], g.Address), list[0].address)
}

// Hubs lists the root and the hubs of a data centre; none if the tree is empty.
func (t Tree) Hubs(dataCentre string) []string {
	list := t.dataCentres[dataCentre]
	return addresses(list[:min(len(list), hubCount(len(list))+1)])
}

// hubCount returns the number of hubs for a number of gateways, which is also about the number of
// children of each hub.
func hubCount(gateways int) int { return int(math.Sqrt(float64(gateways))) }

// maxParentHubs is the number of hubs among the parents of a gateway.
const maxParentHubs = 2

// preferredHubs lists the first hubs in the order of a gateway. Each gateway orders the hubs
// differently, so the children of a removed hub spread over all others.
func preferredHubs(hubs []hashedGateway, address string) []string {
	own := slices.Clone(hubs)
	for i, h := range own {
		own[i].hash = hash(h.address + " " + address)
	}
	slices.SortFunc(own, hashedGateway.compare)
	return addresses(own[:min(len(own), maxParentHubs)])
}

func addresses(list []hashedGateway) []string {
	result := make([]string, 0, len(list)+1)
	for _, r := range list {
		result = append(result, r.address)
	}
	return result
}

// hash spreads addresses evenly, even if they differ only in their last digit.
func hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	// The last bytes affect only the low bits of FNV, but the order depends on the high ones.
	sum := h.Sum64()
	sum ^= sum >> 32
	sum *= 0x9e3779b97f4a7c15
	return sum ^ sum>>29
}
