package digest

import (
	"net/netip"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/quota"
)

// AcquireQuota counts one request of a team, or refuses it; see package quota.
func (x *Exchange) AcquireQuota(l quota.Limit) quota.Verdict {
	now, around := x.boot(), quota.Peers{Age: x.Age()}
	x.mu.Lock()
	around.Gateways = x.gateways
	around.Isolated = len(x.all) > 0 && x.hearing.isolated(now, x.relay.sums())
	x.mu.Unlock()
	verdict := x.config.Quota.Admit(now, l, around)
	if verdict.Admitted {
		x.wake()
	}
	return verdict
}

// ReleaseQuota takes a request back that was let in at a moment, by the boot clock, and never ran.
func (x *Exchange) ReleaseQuota(at clock.Millis, team string) {
	x.config.Quota.Release(x.boot(), at, team)
	x.wake()
}

// HasQuota says whether requests of teams are counted here.
func (x *Exchange) HasQuota() bool { return x.config.Quota != nil }

func (x *Exchange) boot() clock.Millis { return x.config.Boot.Now() }

// counting is how long requests were counted here, a span.
func (x *Exchange) counting() uint32 {
	if x.config.Quota == nil {
		return 0
	}
	return uint32(min(max(x.config.Clock.Now()-clock.Millis(x.epoch), 0), mostCounting))
}

// mostCounting is longer than any window.
const mostCounting clock.Millis = 3_600_000

// welcome tells daemons that are new what the others were told before; the caller holds the lock.
func (x *Exchange) welcome(all map[string]netip.AddrPort) {
	for address := range all {
		if _, known := x.all[address]; !known {
			x.config.Quota.Republish(x.boot())
			return
		}
	}
}
