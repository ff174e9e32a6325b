package core

import (
	"slices"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/fanout"
)

const (
	// suspectTime is how long a gateway that gave no news is passed over. The leader forgets one
	// that is gone after four seconds; one that was frozen is asked again soon enough.
	suspectTime clock.Millis = 3_000
	// behindTime is the same for one whose news were too old: while there is no leader all are,
	// and a moment after the next one begins none is any more.
	behindTime clock.Millis = 500
	// mostBehind is how far a gateway's news may be behind before another one is asked. Each
	// hears something every 0.4 s. While a leader that lost power is replaced all are behind,
	// by 1.2 s as a rule; if all turned to the next one, it would begin with a crowd.
	mostBehind clock.Millis = 1_500
)

// upstream decides whom this gateway asks for the news of the core: a gateway before it in the
// tree, or the leader. It answers the case that one is frozen, cut off or gone: nothing but its
// answers tells that. It holds no goroutine, socket or clock.
type upstream struct {
	self fanout.Gateway
	tree fanout.Tree
	// suspects are gateways that gave no news, until a moment.
	suspects map[string]clock.Millis
	// referred are the gateways that the leader named last, until all of them failed.
	referred []string
	// inVain says that those which the leader named gave none.
	inVain bool
}

func newUpstream(self fanout.Gateway) *upstream {
	return &upstream{self: self, suspects: map[string]clock.Millis{}}
}

// setTree takes over the present fleet.
func (u *upstream) setTree(t fanout.Tree) { u.tree = t }

// next is the gateway to ask, empty for the leader. To insist tells the leader that those which
// it named don't answer here.
func (u *upstream) next(now clock.Millis) (gateway string, insists bool) {
	for _, list := range [][]string{u.tree.Parents(u.self), u.referred} {
		for _, address := range list {
			if u.suspects[address] <= now {
				return address, false
			}
		}
	}
	return "", u.inVain
}

// refer takes over the gateways that the leader names. It has heard them a moment ago, but those
// that gave no news here meanwhile aren't asked again: the way to them may be cut.
func (u *upstream) refer(now clock.Millis, addresses []string) {
	u.referred = addresses
	u.settle(now)
}

// hasParents says whether there are gateways from which this one could hear.
func (u *upstream) hasParents() bool { return len(u.tree.Parents(u.self)) > 0 }

// failed notes that a gateway gave no news, or some that are too old.
func (u *upstream) failed(now clock.Millis, gateway string, behind bool) {
	span := suspectTime
	if behind {
		span = behindTime
	}
	for address, until := range u.suspects {
		if until <= now {
			delete(u.suspects, address)
		}
	}
	u.suspects[gateway] = now + span
	u.settle(now)
}

// settle gives up on the gateways that the leader named, once all of them failed.
func (u *upstream) settle(now clock.Millis) {
	if len(u.referred) == 0 {
		return
	}
	if slices.ContainsFunc(u.referred, func(address string) bool { return u.suspects[address] <= now }) {
		return
	}
	u.referred, u.inVain = nil, true
}

// heard notes that whoever was asked gave news.
func (u *upstream) heard() { u.inVain = false }
