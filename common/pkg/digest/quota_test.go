package digest

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/quota"
)

// acquireQuota requests quota for some requests at a daemon and returns how many were admitted.
func (f *fleet) acquireQuota(d *daemon, l quota.Limit, requests int) (admitted int) {
	peers := quota.Peers{Gateways: len(f.addresses), Age: 60}
	for range requests {
		v := d.counter.Admit(f.now, l, peers)
		for v.Wait > 0 {
			f.run(v.Wait)
			v = d.counter.Admit(f.now, l, peers)
		}
		if v.Admitted {
			admitted++
			d.dirty = true
		}
	}
	return admitted
}

// A team sends requests to gateways in all data centres of a large fleet. Every gateway must soon
// count all of them, even if datagrams are lost.
func TestQuotaUsageReachesAllGateways(t *testing.T) {
	for _, c := range []struct {
		name string
		lost float64
		// tolerance is the permitted relative error of a gateway's count.
		tolerance float64
	}{{"no loss", 0, 0.001}, {"loss of one datagram in twenty", 0.05, 0.02}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 5, 12)
			f.run(2 * relayTimeout)
			f.lossRate = c.lost
			l := quota.Limit{Team: "a", Rate: 1_000}
			admitted := 0
			for range 400 {
				admitted += f.acquireQuota(f.any(), l, 1)
				f.run(3)
			}
			f.run(3 * 250)
			require.Equal(t, 400, admitted)
			for _, address := range f.addresses {
				require.InDelta(t, float64(admitted), f.daemons[address].counter.Used(f.now, "a"), c.tolerance*float64(admitted), address)
			}
		})
	}
}

// The relay of a data centre loses power while a team sends four times its limit everywhere.
// Until the next relay is active, the other data centres miss the usage of this one. The excess
// must stay within the overrun margin.
func TestQuotaHoldsWhenRelayFails(t *testing.T) {
	f := newFleet(t, 4, 12)
	f.run(2 * relayTimeout)
	l := quota.Limit{Team: "a", Rate: 50, Burst: 10}
	admitted := 0
	for n := range 1_000 {
		if n == 300 {
			f.daemons["10.0.0.00:1"].down = true
		}
		if d := f.any(); !d.down {
			admitted += f.acquireQuota(d, l, 1)
		}
		f.run(5)
	}
	// One window of five seconds permits 260 requests, and the overrun margin is twenty.
	require.LessOrEqual(t, admitted, 280)
	require.GreaterOrEqual(t, admitted, 234, "at least nine tenths of the limit")
}

// Two daemons on real sockets exchange quota usage within some milliseconds. A third daemon that
// joins later must receive the usage counted before, and released quota must reach all of them.
func TestQuotaUsageIsSentWithDigests(t *testing.T) {
	now := clock.System()
	var list []*Exchange
	for range 3 {
		counter := quota.NewCounter(quota.Config{})
		counter.Restore(now.Now(), nil, 5_000)
		x, err := Listen(Config{
			Address: "127.0.0.1:0", Source: string(rune('a' + len(list))), Clock: now, Boot: now, Logger: log.NewNopLogger(),
			Version: func() uint64 { return 0 }, Quota: counter,
		})
		require.NoError(t, err)
		x.config.Address = x.socket.LocalAddr().String()
		list = append(list, x)
		go x.Run(t.Context())
	}
	peers := func(joined ...*Exchange) {
		var all []Peer
		for _, x := range joined {
			all = append(all, Peer{Address: x.config.Address})
		}
		for _, x := range joined {
			x.SetPeers(all)
		}
	}
	peers(list[0], list[1])
	l := quota.Limit{Team: "a", Rate: 100}
	for range 5 {
		require.True(t, list[0].AcquireQuota(l).Admitted)
	}
	used := func(x *Exchange) float64 { return x.config.Quota.Used(now.Now(), "a") }
	require.Eventually(t, func() bool { return used(list[1]) == 5 }, 5*time.Second, 2*time.Millisecond)
	peers(list...)
	require.Eventually(t, func() bool { return used(list[2]) == 5 }, 5*time.Second, 2*time.Millisecond)
	list[0].ReleaseQuota(now.Now(), "a")
	require.Eventually(t, func() bool { return used(list[2]) == 4 && used(list[1]) == 4 }, 5*time.Second, 2*time.Millisecond)
}

// An idle gateway in an idle fleet must not consider itself isolated, because the core's leader
// keeps sending digests. When the leader stops, the gateway must limit itself to its share of the
// overrun margin.
func TestIdleGatewayIsNotIsolated(t *testing.T) {
	now := clock.System()
	listen := func(name string, core bool) *Exchange {
		counter := quota.NewCounter(quota.Config{Window: 5_000, OverrunRequests: 16})
		counter.Restore(now.Now(), nil, 5_000)
		x, err := Listen(Config{
			Address: "127.0.0.1:0", Source: name, Core: core, Clock: now, Boot: now, Logger: log.NewNopLogger(),
			Version: func() uint64 { return 0 }, Quota: counter,
		})
		require.NoError(t, err)
		x.config.Address = x.socket.LocalAddr().String()
		return x
	}
	leader, gateway := listen("leader", true), listen("gateway", false)
	ctx, stopLeader := context.WithCancel(t.Context())
	go leader.Run(ctx)
	go gateway.Run(t.Context())
	peers := []Peer{{Address: leader.config.Address, Core: true}, {Address: gateway.config.Address}}
	leader.SetPeers(peers)
	gateway.SetPeers(peers)
	l := quota.Limit{Team: "a", Rate: 1_000}
	acquire := func() (admitted int) {
		for range 10 {
			if gateway.AcquireQuota(l).Admitted {
				admitted++
			}
		}
		return admitted
	}
	time.Sleep(2 * isolationTimeout.Duration())
	require.Equal(t, 10, acquire())
	stopLeader()
	time.Sleep(2 * isolationTimeout.Duration())
	require.Zero(t, acquire(), "the gateway has already used its share of the margin")
}
