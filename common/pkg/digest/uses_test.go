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

// ask lets a team's requests in at a daemon, as many of some as fit.
func (f *fleet) ask(d *daemon, l quota.Limit, requests int) (let int) {
	around := quota.Peers{Gateways: len(f.order), Age: 60}
	for range requests {
		v := d.uses.Admit(f.now, l, around)
		for v.Wait > 0 {
			f.run(v.Wait)
			v = d.uses.Admit(f.now, l, around)
		}
		if v.Admitted {
			let++
			d.dirty = true
		}
	}
	return let
}

// A team's requests come to gateways in all data centres of a large fleet. A moment later each
// gateway knows of all of them, also where datagrams were lost, though only one daemon of each
// data centre talks to the others.
func TestAllKnowWhatTeamsHaveUsed(t *testing.T) {
	for _, c := range []struct {
		name string
		lost float64
		// within is the part by which a gateway may be off.
		within float64
	}{{"nothing is lost", 0, 0.001}, {"one datagram in twenty is lost", 0.05, 0.02}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 5, 12)
			f.run(2 * relaySilence)
			f.lost = c.lost
			l := quota.Limit{Team: "a", Rate: 1_000}
			let := 0
			for range 400 {
				let += f.ask(f.any(), l, 1)
				f.run(3)
			}
			f.run(3 * 250)
			require.Equal(t, 400, let)
			for _, address := range f.order {
				require.InDelta(t, float64(let), f.daemons[address].uses.Used(f.now, "a"), c.within*float64(let), address)
			}
		})
	}
}

// The relay of a data centre loses power while a team sends four times its limit everywhere.
// Until the next one takes over, the others don't hear of what is let in there; the margin
// bears that.
func TestAQuotaOutlivesItsRelay(t *testing.T) {
	f := newFleet(t, 4, 12)
	f.run(2 * relaySilence)
	l := quota.Limit{Team: "a", Rate: 50, Burst: 10}
	let := 0
	for n := range 1_000 {
		if n == 300 {
			f.daemons["10.0.0.00:1"].gone = true
		}
		if d := f.any(); !d.gone {
			let += f.ask(d, l, 1)
		}
		f.run(5)
	}
	// One window of five seconds: 260 requests, a margin of twenty.
	require.LessOrEqual(t, let, 280)
	require.GreaterOrEqual(t, let, 234, "nine tenths of the limit")
}

// Two daemons on real sockets. What one lets in, the other knows within some milliseconds; a
// third one that comes later is told what was counted before.
func TestUsesTravelWithDigests(t *testing.T) {
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
	peers := func(known ...*Exchange) {
		var all []Peer
		for _, x := range known {
			all = append(all, Peer{Address: x.config.Address})
		}
		for _, x := range known {
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

// A gateway that nobody calls in a quiet fleet still hears the core's leader, and so knows that
// it isn't cut off; one that hears nobody for half a second does not.
func TestAQuietFleetIsNoIsolation(t *testing.T) {
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
	ctx, cut := context.WithCancel(t.Context())
	go leader.Run(ctx)
	go gateway.Run(t.Context())
	peers := []Peer{{Address: leader.config.Address, Core: true}, {Address: gateway.config.Address}}
	leader.SetPeers(peers)
	gateway.SetPeers(peers)
	l := quota.Limit{Team: "a", Rate: 1_000}
	ask := func() (let int) {
		for range 10 {
			if gateway.AcquireQuota(l).Admitted {
				let++
			}
		}
		return let
	}
	time.Sleep(2 * isolatedAfter.Duration())
	require.Equal(t, 10, ask())
	cut()
	time.Sleep(2 * isolatedAfter.Duration())
	require.Zero(t, ask(), "it has used its part of the margin already")
}
