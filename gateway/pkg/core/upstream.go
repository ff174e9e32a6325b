package core

import (
	"slices"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/fanout"
)

const (
	// failureBlockDuration is how long a gateway is blocked after a failed call. The leader removes a
	// gateway that is gone after four seconds; one that was frozen for a while is queried again after this time.
	failureBlockDuration clock.Millis = 3_000
	// lagBlockDuration is how long a gateway is blocked because its state lagged. Without a leader all
	// gateways lag, and shortly after the next leader starts none does.
	lagBlockDuration clock.Millis = 500
	// maxLag is the maximum lag of a gateway's state before another one is queried. Each gateway
	// receives an answer every 0.4 s. While a leader that lost power is replaced, all gateways lag by
	// about 1.2 s; if they all queried the next leader, it would start overloaded.
	maxLag clock.Millis = 1_500
)

// upstream selects where this gateway queries updates of the core: a parent in the tree of gateways, or
// the leader. It detects parents that are frozen, unreachable or gone by the results of queries only. It
// uses no goroutine, socket or clock.
type upstream struct {
	self fanout.Gateway
	tree fanout.Tree
	// blockedUntil is the time until which a gateway is blocked after a failure.
	blockedUntil map[string]clock.Millis
	// referrals are the gateways that the leader named last, until all of them have failed.
	referrals  []string
	referredAt clock.Millis
	// referralsOutdated is set if one of them received updates after the leader had named it and lags now. Then the leader
	// has probably gone, and the failures say nothing to the next one.
	referralsOutdated bool
	// referralsFailed is set if all gateways that the leader named failed.
	referralsFailed bool
}

func newUpstream(self fanout.Gateway) *upstream {
	return &upstream{self: self, blockedUntil: map[string]clock.Millis{}}
}

// setTree sets the tree of the current fleet.
func (u *upstream) setTree(t fanout.Tree) { u.tree = t }

// next returns the address of the gateway to query, empty for the leader. insists is set if the query must
// inform the leader that none of the gateways that it named answers.
func (u *upstream) next(now clock.Millis) (gateway string, insists bool) {
	for _, list := range [][]string{u.tree.Parents(u.self), u.referrals} {
		for _, address := range list {
			if u.blockedUntil[address] <= now {
				return address, false
			}
		}
	}
	return "", u.referralsFailed
}

// setReferrals sets the gateways that the leader names. The leader has received calls of them recently,
// but gateways that are blocked here aren't queried: the network to them may be cut.
func (u *upstream) setReferrals(now clock.Millis, addresses []string) {
	u.referrals, u.referredAt, u.referralsOutdated = addresses, now, false
	u.dropFailedReferrals(now)
}

// hasParents reports whether this gateway has parents in the tree.
func (u *upstream) hasParents() bool { return len(u.tree.Parents(u.self)) > 0 }

// recordFailure blocks a gateway whose call failed.
func (u *upstream) recordFailure(now clock.Millis, gateway string) {
	u.block(now, gateway, failureBlockDuration)
}

// recordLag blocks a gateway whose state lags too far. asOf is the time of its last update.
func (u *upstream) recordLag(now clock.Millis, gateway string, asOf clock.Millis) {
	if asOf > u.referredAt && slices.Contains(u.referrals, gateway) {
		u.referralsOutdated = true
	}
	u.block(now, gateway, lagBlockDuration)
}

func (u *upstream) block(now clock.Millis, gateway string, duration clock.Millis) {
	for address, until := range u.blockedUntil {
		if until <= now {
			delete(u.blockedUntil, address)
		}
	}
	u.blockedUntil[gateway] = now + duration
	u.dropFailedReferrals(now)
}

// dropFailedReferrals removes the gateways that the leader named once all of them are blocked.
func (u *upstream) dropFailedReferrals(now clock.Millis) {
	if len(u.referrals) == 0 {
		return
	}
	if slices.ContainsFunc(u.referrals, func(address string) bool { return u.blockedUntil[address] <= now }) {
		return
	}
	u.referrals, u.referralsFailed = nil, !u.referralsOutdated
}

// recordSuccess records that a query returned updates.
func (u *upstream) recordSuccess() { u.referralsFailed = false }
