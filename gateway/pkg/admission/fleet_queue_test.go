package admission

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/contention"
)

// viewOf returns a view of one other gateway with the given waiters.
func viewOf(waiters ...contention.Waiter) contention.View {
	return contention.View{Gateways: 1, Service: contention.Service{Waiting: waiters, WaitingCount: len(waiters)}}
}

func startBy(times ...clock.Millis) []contention.Waiter {
	list := make([]contention.Waiter, 0, len(times))
	for _, at := range times {
		list = append(list, contention.Waiter{StartBy: at, Tie: uint32(at)})
	}
	return list
}

func TestFleetQueueRank(t *testing.T) {
	unlisted := viewOf(startBy(1_100, 1_200)...)
	unlisted.WaitingCount = 12
	for _, c := range []struct {
		name string
		view contention.View
		// own holds the own waiters; the rank of the last one is checked.
		own  []Waiter
		want int
	}{
		{"no other waiters", contention.View{}, []Waiter{{Deadline: 2_000}}, 0},
		{"behind own waiters", contention.View{}, []Waiter{{Deadline: 1_500}, {Deadline: 1_600}, {Deadline: 2_000}}, 2},
		{"between others", viewOf(startBy(1_100, 1_200, 2_500)...), []Waiter{{Deadline: 2_000}}, 2},
		{"has to start earlier by its hold", viewOf(startBy(1_100, 1_200)...), []Waiter{{Deadline: 2_000, Hold: 850}}, 1},
		{"lower priority", viewOf(startBy(2_100, 2_200)...), []Waiter{{Deadline: 2_000, Priority: 1}}, 2},
		{"start time of another one has passed", viewOf(startBy(999, 1_000)...), []Waiter{{Deadline: 2_000}}, 1},
		{"another one over its share", viewOf(contention.Waiter{StartBy: 1_100, OverShare: true}), []Waiter{{Deadline: 2_000}}, 0},
		{"over its share", viewOf(startBy(2_500)...), []Waiter{{Deadline: 2_000, OverShare: true}}, 1},
		{"same start, lower tie", viewOf(contention.Waiter{StartBy: 2_000, Tie: 8}), []Waiter{{Deadline: 2_000, Tie: 7}}, 0},
		{"same start, higher tie", viewOf(contention.Waiter{StartBy: 2_000, Tie: 8}), []Waiter{{Deadline: 2_000, Tie: 9}}, 1},
		{"ten more waiters not listed, the only own one", unlisted, []Waiter{{Deadline: 2_000}}, 2 + 5},
		{"ten more waiters not listed, last of five own ones", unlisted, []Waiter{{Deadline: 1_300}, {Deadline: 1_301}, {Deadline: 1_302}, {Deadline: 1_303}, {Deadline: 2_000}}, 6 + 9},
		{"ten more waiters not listed, before the last listed one", unlisted, []Waiter{{Deadline: 1_150}}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			own, f := &WaitQueue{}, &FleetQueue{}
			id := uint64(0)
			for _, w := range c.own {
				id = own.Enqueue(w)
			}
			f.Observe(1_000, c.view)
			require.Equal(t, c.want, f.Rank(1_000, own, id))
		})
	}
	require.Zero(t, (&FleetQueue{}).Rank(0, &WaitQueue{}, 1), "the request isn't in the queue")
}

// The gateway of the most urgent waiter freezes, and its report stays in the view. A free slot must not stay unused for
// longer than stallTimeout.
func TestFrozenGatewayDoesNotHoldUpWaiters(t *testing.T) {
	own, f := &WaitQueue{}, &FleetQueue{}
	id := own.Enqueue(Waiter{Deadline: 9_000, Tie: 1})
	frozen := viewOf(startBy(8_000)...)
	rank := func(now clock.Millis, free int) int {
		frozen.Age = now
		f.Observe(now, frozen)
		f.Watch(now, free, own)
		return f.Rank(now, own, id)
	}
	require.Equal(t, 1, rank(0, 0))
	require.Equal(t, 1, rank(400, 0), "no slot was free for the other one")
	require.Equal(t, 1, rank(500, 1))
	require.Equal(t, 1, rank(700, 1))
	require.Zero(t, rank(701, 1))
	require.Zero(t, rank(800, 0), "stays passed over while it is reported")

	fresh := viewOf(startBy(8_000, 8_100)...)
	f.Observe(810, fresh)
	f.Watch(810, 1, own)
	require.Equal(t, 1, f.Rank(810, own, id), "another waiter counts")
	f.Observe(820, contention.View{})
	require.Zero(t, f.Rank(820, own, id), "the exchange dropped the expired report")
	f.Observe(8_001, fresh)
	require.Equal(t, 1, f.Rank(8_001, own, id), "the start time of the first one has passed")
}

// A slot that is free only for moments is used by others. Waiters at other gateways must not be passed over then.
func TestWaitersThatLackASlotAreNotPassedOver(t *testing.T) {
	own, f := &WaitQueue{}, &FleetQueue{}
	id := own.Enqueue(Waiter{Deadline: 9_000})
	f.Observe(0, viewOf(startBy(8_000)...))
	for now := clock.Millis(0); now < 2_000; now += 50 {
		f.Watch(now, int(now/50%2), own)
		require.Equal(t, 1, f.Rank(now, own, id))
	}
}

// Guards against gateways that all start the waiters of a flooding team at once, since each passed over those of the
// others while the team was over its share.
func TestWaitersOverTheirShareAreNotPassedOver(t *testing.T) {
	own, f := &WaitQueue{}, &FleetQueue{}
	id := own.Enqueue(Waiter{Deadline: 9_000, OverShare: true})
	waiting := startBy(8_000, 8_100)
	for i := range waiting {
		waiting[i].OverShare = true
	}
	for now := clock.Millis(0); now < 2_000; now += 50 {
		f.Observe(now, viewOf(waiting...))
		f.Watch(now, 5, own)
	}
	require.Equal(t, 2, f.Rank(2_000, own, id))
}

func TestFleetQueueFull(t *testing.T) {
	const slots, gateways = 96, 8
	others := func(count, known int, age clock.Millis) contention.View {
		return contention.View{Gateways: known, Age: age, Service: contention.Service{WaitingCount: count}}
	}
	for _, c := range []struct {
		name string
		// views are observed one after the other, each 100 ms after the one before; now is counted from the last one.
		views []contention.View
		now   clock.Millis
		own   int
		team  string
		want  bool
	}{
		{"no reports: below the equal part", nil, 0, 5, "", false},
		{"no reports: equal part", nil, 0, 6, "", true},
		{"below the limit of the fleet", []contention.View{others(10, 7, 20)}, 0, 85, "", false},
		{"limit of the fleet", []contention.View{others(10, 7, 20)}, 0, 86, "", true},
		{"others use all", []contention.View{others(96, 7, 20)}, 0, 0, "", true},
		{"last report not older than 1 s", []contention.View{others(10, 7, 20), {}}, 880, 85, "", false},
		{"last report older than 1 s: equal part", []contention.View{others(10, 7, 20), {}}, 881, 6, "", true},
		{"waiters of the others expired: last count", []contention.View{others(10, 7, 20), others(0, 7, 201)}, 0, 86, "", true},
		{"others have no waiters any more", []contention.View{others(10, 7, 20), others(0, 7, 20)}, 0, 95, "", false},
		{"clock steps forward by an hour: equal part", []contention.View{others(10, 7, 20)}, 3_600_000, 6, "", true},
		{"team uses half of the queue", []contention.View{others(0, 7, 20)}, 0, 48, "many", true},
		{"team below half of the queue", []contention.View{others(0, 7, 20)}, 0, 47, "many", false},
		{"team uses half of this gateway's part", []contention.View{others(20, 7, 20)}, 0, 40, "many", true},
		{"team uses half of the equal part", []contention.View{others(88, 7, 20)}, 0, 6, "many", true},
		{"team below half of the equal part", []contention.View{others(88, 7, 20)}, 0, 5, "many", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			own, f := &WaitQueue{}, &FleetQueue{}
			now := clock.Millis(10_000)
			for _, v := range c.views {
				now += 100
				f.Observe(now, v)
			}
			for range c.own {
				own.Enqueue(Waiter{Deadline: 20_000, Team: c.team})
			}
			require.Equal(t, c.want, f.Full(now+c.now, own, slots, gateways, c.team, false))
		})
	}
}

// All gateways restart during overload: nothing is known at first, so that they must use equal parts, and the whole
// queue once reports arrive.
func TestRestartedGatewayUsesEqualPart(t *testing.T) {
	own, f := &WaitQueue{}, &FleetQueue{}
	require.False(t, f.Known(5_000))
	for !f.Full(5_000, own, 96, 8, "", false) {
		own.Enqueue(Waiter{Deadline: 9_000})
	}
	require.Equal(t, 6, own.Len())
	f.Observe(5_050, contention.View{Gateways: 1, Age: 10})
	require.True(t, f.Known(5_050))
	require.False(t, f.Full(5_050, own, 96, 8, "", false))
}

// placedWaiter is a waiter at one of several gateways.
type placedWaiter struct {
	gateway int
	id      uint64
	contention.Waiter
}

// drawFleet draws waiters at several gateways, few enough to be listed in all reports, and what each gateway knows if
// all reports are current.
func drawFleet(t *rapid.T) (queues []*WaitQueue, fleets []*FleetQueue, all []placedWaiter) {
	gateways := rapid.IntRange(1, 6).Draw(t, "gateways")
	for range gateways {
		queues, fleets = append(queues, &WaitQueue{}), append(fleets, &FleetQueue{})
	}
	for n := range rapid.IntRange(1, 16).Draw(t, "waiters") {
		at := rapid.IntRange(0, gateways-1).Draw(t, "gateway")
		w := Waiter{
			// Few different times, so that many are equal.
			Deadline: clock.Millis(rapid.IntRange(1, 4).Draw(t, "deadline")) * 1_000, Priority: rapid.Uint32Range(0, 2).Draw(t, "priority"),
			OverShare: rapid.Bool().Draw(t, "over share"), Tie: Tie(fmt.Sprint(at), uint64(n)),
		}
		all = append(all, placedWaiter{at, queues[at].Enqueue(w), w.Contender()})
	}
	slices.SortFunc(all, func(a, b placedWaiter) int {
		if a.Before(b.Waiter) {
			return -1
		}
		return 1
	})
	for g := range gateways {
		view := contention.View{Gateways: gateways - 1}
		for _, w := range all {
			if w.gateway != g {
				view.Waiting = append(view.Waiting, w.Waiter)
				view.WaitingCount++
			}
		}
		fleets[g].Observe(0, view)
	}
	return queues, fleets, all
}

// Within one state, the order is the same at all gateways, the most urgent waiters start as long as slots are free, and
// at most one waiter starts for each free slot.
func TestRapidOneWaiterStartsForEachFreeSlot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queues, fleets, all := drawFleet(t)
		free := rapid.IntRange(0, 20).Draw(t, "free slots")
		started := 0
		for n, w := range all {
			rank := fleets[w.gateway].Rank(0, queues[w.gateway], w.id)
			require.Equal(t, n, rank)
			if MayStart(rank, free, Request{}, Admit) {
				started++
			}
		}
		require.Equal(t, min(free, len(all)), started)
	})
}

// Reports are 5, 50 or 500 ms old: they contain waiters that have left, and lack later ones. While a slot is free, the
// most urgent waiter of a gateway must start after stallTimeout at the latest.
func TestRapidOldReportsDoNotHoldUpWaiters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		age := rapid.SampledFrom([]clock.Millis{5, 50, 500}).Draw(t, "age")
		own, f := &WaitQueue{}, &FleetQueue{}
		id := own.Enqueue(Waiter{Deadline: 5_000})
		const step, interval clock.Millis = 5, 20
		var sent []contention.View
		for now := clock.Millis(0); ; now += step {
			require.LessOrEqual(t, now, stallTimeout+step, "held up")
			if now%interval == 0 {
				// Each report lists other waiters, some of which stay for a while.
				list := startBy()
				for n := range clock.Millis(rapid.IntRange(0, 4).Draw(t, "waiters")) {
					list = append(list, contention.Waiter{StartBy: 3_000 + n, Tie: uint32(n)})
				}
				sent = append(sent, viewOf(list...))
			}
			f.Observe(now, sent[max(int((now-age)/interval), 0)])
			const free = 4
			f.Watch(now, free, own)
			if MayStart(f.Rank(now, own, id), free, Request{}, Admit) {
				return
			}
		}
	})
}

func TestMayStart(t *testing.T) {
	for _, c := range []struct {
		name     string
		rank     int
		free     int
		position int
		verdict  Verdict
		want     bool
	}{
		{"slot for the rank", 1, 2, 0, Admit, true},
		{"all free slots belong to others", 2, 2, 0, Admit, false},
		{"in time in a runner's queue", 3, 0, 1, Admit, true},
		{"would be late", 0, 0, 2, Wait, false},
		{"refused", 0, 1, 2, Refuse, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, MayStart(c.rank, c.free, Request{QueuePosition: c.position}, c.verdict))
		})
	}
}

// A preference for the gateway with the lowest hash would favour its callers whenever start times are equal.
func TestTieFavoursNoGateway(t *testing.T) {
	first := 0
	for n := range uint64(1_000) {
		require.NotEqual(t, Tie("gateway-1", n), Tie("gateway-2", n))
		if cmp.Less(Tie("gateway-1", n), Tie("gateway-2", n+500)) {
			first++
		}
	}
	require.InDelta(t, 500, first, 60)
}

// In a large fleet, reports of several hundred milliseconds are current. A gateway fell back to its equal part whenever the
// oldest of them was older than a second.
func TestFleetQueueIsKnownWhileReportsAreCurrent(t *testing.T) {
	f := &FleetQueue{}
	for now := clock.Millis(10_000); now < 12_000; now += 50 {
		f.Observe(now, contention.View{Gateways: 300, Age: now - 9_500})
		require.True(t, f.Known(now), "oldest report %d ms old", now-9_500)
	}
	f.Observe(12_000, contention.View{})
	require.False(t, f.Known(12_000), "the last report is more than a second old")
}

// With reports that are always older than the expiry of waiters, the last waiters counted for the limit forever.
func TestWaitersOfOldReportsEndToCount(t *testing.T) {
	f := &FleetQueue{}
	f.Observe(1_000, contention.View{Gateways: 300, Age: 400, Service: contention.Service{WaitingCount: 90}})
	for now := clock.Millis(1_050); now <= 3_000; now += 50 {
		f.Observe(now, contention.View{Gateways: 300, Age: 400})
	}
	require.Zero(t, f.Count())
}
