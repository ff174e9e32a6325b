package digest

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/occupancy"
	"toucanhinge.example/common/pkg/quota"
)

// perSecond is the number of requests that begin in a fleet for each gateway, a second.
const perSecond = 2

// play lets requests begin and end all over the fleet for a second, and returns what the
// busiest daemon sent within its data centre, in bytes.
func (f *fleet) play(t *testing.T) (busiest int) {
	t.Helper()
	for _, d := range f.daemons {
		d.near = 0
	}
	works := 2 * perSecond * len(f.order)
	for n := range 1_000 {
		for range works*(n+1)/1_000 - works*n/1_000 {
			f.work(f.any())
		}
		f.run(1)
	}
	for _, d := range f.daemons {
		busiest = max(busiest, d.near)
	}
	return busiest
}

// The relay of a data centre told each of its gateways of all requests of the fleet: twice the
// fleet was four times the bytes, which a small VM's link didn't take, and the next one relayed
// in its place, again and again. Over hubs it is less than three times as many.
func TestWhatARelayTellsDoesNotGrowLikeTheSquare(t *testing.T) {
	single, double := newFleet(t, 2, 45), newFleet(t, 2, 90)
	single.run(2 * relaySilence)
	double.run(2 * relaySilence)
	one, two := single.play(t), double.play(t)
	t.Logf("busiest daemon: %d kB a second with 45 gateways in a data centre, %d with 90", one/1000, two/1000)
	require.Less(t, float64(two), 3.2*float64(one))
}

func TestAllSeeWhatAllHaveUnderWayOverHubs(t *testing.T) {
	f := newFleet(t, 2, 40)
	f.run(2 * relaySilence)
	for range 300 {
		f.work(f.any())
		f.run(2)
	}
	f.run(4*relayEvery + 6)
	f.agree()
}

// A hub is gone, and nobody has said so yet. Those to whom it passed on ask the relay, and see
// what is under way elsewhere after half a second.
func TestWhoseHubIsGoneAsksTheRelay(t *testing.T) {
	f := newFleet(t, 2, 40)
	f.run(2 * relaySilence)
	var hub *daemon
	for _, address := range f.order {
		d := f.daemons[address]
		if d.relay.acts == 0 && len(d.relay.hubs.children) > 0 {
			hub = d
			break
		}
	}
	require.NotNil(t, hub)
	hub.gone = true
	worker := f.daemons[f.order[0]]
	if worker.peer.DataCentre == hub.peer.DataCentre {
		worker = f.daemons[f.order[len(f.order)-1]]
	}
	for range 20 {
		f.work(worker)
		f.run(2)
	}
	f.run(relaySilence + 2*signEvery + 2*relayEvery)
	for _, child := range hub.relay.hubs.children {
		for r := range fleetRunners {
			id := runnerName(r)
			require.Equal(t, worker.table.Own(id).Online, f.daemons[child].table.Load(id).Online-hub.table.Own(id).Online, "%s at %s", id, child)
		}
	}
	// It stays so until the hub is known to be gone.
	for range 500 {
		f.work(worker)
		f.run(4)
	}
	f.run(2*wholeEvery + 4*relayEvery)
	f.agree()
}

// The relay itself is gone: its hubs hear of the next one.
func TestTheNextRelayTellsTheHubs(t *testing.T) {
	f := newFleet(t, 2, 40)
	f.run(2 * relaySilence)
	first := f.daemons[f.order[0]]
	require.NotZero(t, first.relay.acts)
	first.gone = true
	worker := f.daemons[f.order[len(f.order)-1]]
	for range 20 {
		f.work(worker)
		f.run(2)
	}
	f.run(relaySilence + 2*signEvery + occupancy.Expiry)
	f.agree()
}

// A team sends four times its limit everywhere while the relay of a data centre is gone: the
// longer way costs no more than the margin bears.
func TestAQuotaOutlivesItsRelayOverHubs(t *testing.T) {
	f := newFleet(t, 2, 40)
	f.run(2 * relaySilence)
	l := quota.Limit{Team: "a", Rate: 50, Burst: 10}
	let := 0
	for n := range 1_000 {
		if n == 300 {
			f.daemons[f.order[0]].gone = true
		}
		if d := f.any(); !d.gone {
			let += f.ask(d, l, 1)
		}
		f.run(5)
	}
	require.LessOrEqual(t, let, 280)
}

// A daemon that has just started, or whom the relay doesn't know yet, isn't left without a
// picture of the others.
func TestWhoHearsNothingAsks(t *testing.T) {
	f := newFleet(t, 2, 40)
	leaf := f.daemons[f.order[3]].relay
	for _, address := range f.order {
		if r := f.daemons[address].relay; r.hubs.parent != "" {
			leaf = r
			break
		}
	}
	now := clock.Millis(2_000_000)
	require.NotEmpty(t, leaf.hubs.ask(now, leaf.near))
	require.Empty(t, leaf.hubs.ask(now+askEvery-1, leaf.near), "not more often than needed")
	leaf.hubs.receive(now+askEvery, leaf.hubs.parent, leaf.near[0].Address)
	require.Empty(t, leaf.hubs.ask(now+2*askEvery, leaf.near))
	require.NotEmpty(t, leaf.hubs.ask(now+askEvery+relaySilence+1, leaf.near))
}
