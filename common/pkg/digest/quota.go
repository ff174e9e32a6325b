package digest

import (
	"net/netip"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/quota"
)

// AcquireQuota counts one request of a team, or refuses it if the quota is used up; see package
// quota.
func (x *Exchange) AcquireQuota(l quota.Limit) quota.Verdict {
	now, surroundings := x.bootNow(), quota.Peers{Age: x.Age()}
	x.mu.Lock()
	surroundings.Gateways = x.gateways
	surroundings.Isolated = len(x.all) > 0 && x.isolation.isolated(now, x.relay.usesSummaries())
	if x.relay.usesSummaries() {
		// While a data centre's relay is frozen or replaced, each gateway may admit only its share of
		// what is left. Otherwise all data centres would use up the same rest of a quota at once.
		surroundings.Age = max(surroundings.Age, x.isolation.silence(now))
	}
	x.mu.Unlock()
	verdict := x.config.Quota.Admit(now, l, surroundings)
	if verdict.Admitted {
		x.wake()
	}
	return verdict
}

// ReleaseQuota releases the quota of a request that was admitted at the given time of the boot
// clock and never ran.
func (x *Exchange) ReleaseQuota(at clock.Millis, team string) {
	x.config.Quota.Release(x.bootNow(), at, team)
	x.wake()
}

// HasQuota reports whether this daemon counts the requests of teams.
func (x *Exchange) HasQuota() bool { return x.config.Quota != nil }

func (x *Exchange) bootNow() clock.Millis { return x.config.Boot.Now() }

// countingMs is the time over which this daemon has counted requests, in milliseconds.
func (x *Exchange) countingMs() uint32 {
	if x.config.Quota == nil {
		return 0
	}
	return uint32(min(max(x.config.Clock.Now()-clock.Millis(x.epoch), 0), maxCounting))
}

// maxCounting limits the reported counting time. It is longer than any quota window.
const maxCounting clock.Millis = 3_600_000

// resendUsage schedules the complete quota usage to be sent again if there are new peers. The
// caller holds the lock.
func (x *Exchange) resendUsage(peers map[string]netip.AddrPort) {
	for address := range peers {
		if _, known := x.all[address]; !known {
			x.config.Quota.Republish(x.bootNow())
			return
		}
	}
}
