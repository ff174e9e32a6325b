package digest

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/occupancy"
	"toucanhinge.example/common/pkg/quota"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// daemon is one in a fleet that is played without sockets.
type daemon struct {
	peer     Peer
	table    *occupancy.Table
	relay    *relay
	uses     *quota.Counter
	sequence uint64
	gone     bool
	dirty    bool
	// near counts the bytes that it sent within its data centre.
	near int
}

// fleet plays daemons in data centres; datagrams take a millisecond.
type fleet struct {
	t       *testing.T
	random  *rand.Rand
	now     clock.Millis
	daemons map[string]*daemon
	order   []string
	// lost is the share of datagrams that are lost.
	lost float64
	// far counts the bytes between data centres.
	far int
	way []func()
}

func newFleet(t *testing.T, centres, each int) *fleet {
	t.Helper()
	f := &fleet{t: t, random: rand.New(rand.NewPCG(1, 2)), now: fleetBegan, daemons: map[string]*daemon{}}
	var peers []Peer
	for c := range centres {
		for i := range each {
			peers = append(peers, Peer{Address: fmt.Sprintf("10.%d.0.%02d:1", c, i), DataCentre: fmt.Sprintf("dc-%d", c)})
		}
	}
	for _, p := range peers {
		d := &daemon{peer: p, table: occupancy.New(), relay: newRelay(p.Address, p), uses: quota.NewCounter(quota.Config{OverrunRequests: 20})}
		d.uses.Begin(f.now)
		var others []Peer
		for _, other := range peers {
			if other != p {
				others = append(others, other)
			}
		}
		d.relay.setPeers(f.now, others)
		f.daemons[p.Address] = d
		f.order = append(f.order, p.Address)
	}
	return f
}

func (f *fleet) any() *daemon { return f.daemons[f.order[f.random.IntN(len(f.order))]] }

// run plays some time.
func (f *fleet) run(span clock.Millis) {
	for until := f.now + span; f.now < until; f.now++ {
		way := f.way
		f.way = nil
		for _, arrive := range way {
			arrive()
		}
		for _, address := range f.order {
			d := f.daemons[address]
			if d.gone {
				continue
			}
			d.table.Expire(f.now)
			if f.now%4 == 0 && d.dirty || f.now%occupancy.DigestInterval == 0 {
				f.tell(d)
			}
			if f.now%relayEvery == 0 {
				for _, p := range d.relay.turn(f.now, d.table, f.centreUses(d)) {
					f.send(d, p.to, p.digest)
				}
			}
		}
	}
}

// tell sends a daemon's own work to its data centre.
func (f *fleet) tell(d *daemon) {
	d.dirty = false
	d.sequence++
	f.send(d, addresses(d.relay.near), &toucanhingev1.LoadDigest{
		Source: d.peer.Address, Epoch: 1, Sequence: d.sequence, Loads: d.table.Loads(f.now), NextMs: 50,
		Uses: d.uses.Publish(false), CountingMs: uint32(f.now - fleetBegan),
	})
}

func (f *fleet) centreUses(d *daemon) tellUses {
	return func() ([]*toucanhingev1.TeamUse, uint32) { return d.uses.Publish(true), uint32(f.now - fleetBegan) }
}

// fleetBegan is when all daemons start.
const fleetBegan clock.Millis = 1_000_000

func (f *fleet) send(from *daemon, to []string, message *toucanhingev1.LoadDigest) {
	data, err := proto.Marshal(message)
	require.NoError(f.t, err)
	for _, address := range to {
		other := f.daemons[address]
		if other.peer.DataCentre != from.peer.DataCentre {
			f.far += len(data)
		} else {
			from.near += len(data)
		}
		if other.gone || f.random.Float64() < f.lost {
			continue
		}
		f.way = append(f.way, func() { f.arrive(other, from.peer.Address, message) })
	}
}

func (f *fleet) arrive(d *daemon, from string, message *toucanhingev1.LoadDigest) {
	if message.GetAsks() {
		d.relay.hubs.asked(f.now, from)
		return
	}
	if !message.GetRelays() {
		if d.relay.notice(from, message.GetSource()) {
			d.table.ApplyDigest(f.now, message)
			d.uses.Receive(f.now, message, false)
		}
		return
	}
	summaries, passOn := d.relay.receive(f.now, from, message)
	f.send(d, passOn, message)
	for _, summary := range summaries {
		if summary.GetDataCentre() != d.peer.DataCentre {
			d.table.ApplySummary(f.now, summary)
			d.uses.Receive(f.now, summary, true)
		}
	}
}

// work begins or ends something at a runner drawn by lot.
func (f *fleet) work(d *daemon) {
	id := runnerName(f.random.IntN(fleetRunners))
	own := d.table.Own(id)
	change := occupancy.Load{Online: 1}
	if own.Online > 0 && f.random.IntN(2) == 0 {
		change = occupancy.Load{Online: -1}
	}
	d.table.Add(id, change)
	d.dirty = true
}

// agree requires that all daemons that are there see the same, and the truth.
func (f *fleet) agree() {
	f.t.Helper()
	for r := range fleetRunners {
		id := fmt.Sprintf("i-%08x", r)
		truth := 0
		for _, d := range f.daemons {
			if !d.gone {
				truth += d.table.Own(id).Online
			}
		}
		for _, address := range f.order {
			if d := f.daemons[address]; !d.gone {
				require.Equal(f.t, truth, d.table.Load(id).Online, "%s at %s", id, address)
			}
		}
	}
}

const fleetRunners = 30

func runnerName(n int) string { return fmt.Sprintf("i-%08x", n) }

// Hundreds of gateways in five data centres begin and end requests. A moment after the last
// change all see the same, though only one daemon of each data centre talks to the others.
func TestAllSeeWhatAllHaveUnderWay(t *testing.T) {
	f := newFleet(t, 5, 12)
	f.run(2 * relaySilence)
	for range 500 {
		f.work(f.any())
		f.run(2)
	}
	f.run(4*relayEvery + 4)
	f.agree()
}

// One datagram in ten is lost. What only tells of changes is then missing somewhere, and made
// good by the next whole summary.
func TestLostDatagramsAreMadeGood(t *testing.T) {
	f := newFleet(t, 5, 12)
	f.lost = 0.1
	for range 300 {
		f.work(f.any())
		f.run(2)
	}
	f.lost = 0
	f.run(2*wholeEvery + 4*relayEvery)
	f.agree()
}

// The daemon that relays for a data centre loses power. The next one takes over; until then
// the others see what they saw last, and nobody counts anything twice when the first is back.
func TestTheNextDaemonRelays(t *testing.T) {
	f := newFleet(t, 4, 12)
	f.run(2 * relaySilence)
	first := f.daemons["10.0.0.00:1"]
	require.NotZero(t, first.relay.acts)
	first.gone = true
	worker := f.daemons["10.0.0.07:1"]
	for range 20 {
		f.work(worker)
		f.run(2)
	}
	f.run(relaySilence + 2*signEvery + occupancy.Expiry)
	require.NotZero(t, f.daemons["10.0.0.01:1"].relay.acts)
	f.agree()

	first.gone = false
	f.run(occupancy.Expiry)
	f.work(worker)
	f.run(2*wholeEvery + 4*relayEvery)
	require.NotZero(t, first.relay.acts)
	require.Zero(t, f.daemons["10.0.0.01:1"].relay.acts, "one relays")
	f.agree()
}

// The leader runs items in one data centre, and gateways in all others carry them. They end
// the calls if the leader falls silent, so they must hear that it is there.
func TestADaemonWithItemsIsHeardEverywhere(t *testing.T) {
	f := newFleet(t, 4, 12)
	leader := f.daemons["10.0.0.05:1"]
	began := f.now
	for range 40 {
		leader.dirty = true
		f.run(50)
		for _, d := range f.daemons {
			require.False(t, d != leader && d.table.Overdue(f.now, leader.peer.Address, began), d.peer.Address)
		}
	}
	leader.gone = true
	f.run(occupancy.Expiry)
	for _, d := range f.daemons {
		if !d.gone {
			require.True(t, d.table.Overdue(f.now, leader.peer.Address, began), d.peer.Address)
		}
	}
}

// TestBytesBetweenDataCentres compares with all telling one another, at the load of the large
// deployment in a burst: 1,400 requests a second begin, each for 0.7 s. Sums cost a fifth.
func TestBytesBetweenDataCentres(t *testing.T) {
	f := newFleet(t, 5, 18)
	f.run(1_000)
	f.far = 0
	type request struct {
		at     *daemon
		runner string
	}
	var under []request
	direct := 0
	for n := range 1_000 {
		for range 1 + n%5/3 {
			r := request{f.any(), fmt.Sprintf("i-%08x", f.random.IntN(144))}
			r.at.table.Add(r.runner, occupancy.Load{Online: 1})
			r.at.dirty = true
			under = append(under, r)
			if len(under) > 1_000 {
				ended := under[0]
				under = under[1:]
				ended.at.table.Add(ended.runner, occupancy.Load{Online: -1})
				ended.at.dirty = true
			}
		}
		f.run(1)
		if n%20 > 0 {
			continue
		}
		// Gathered for 20 ms, from each to the 72 in other data centres.
		for _, d := range f.daemons {
			data, err := proto.Marshal(&toucanhingev1.LoadDigest{Source: d.peer.Address, Epoch: 1, Sequence: d.sequence, Loads: d.table.Loads(f.now)})
			require.NoError(t, err)
			direct += len(data) * 72
		}
	}
	t.Logf("%d kB a second by sums, %d kB by digests", f.far/1000, direct/1000)
	require.Less(t, f.far, direct/5)
}

func TestSmallFleetsTellOneAnother(t *testing.T) {
	f := newFleet(t, 3, 6)
	for _, d := range f.daemons {
		require.False(t, d.relay.sums())
		require.True(t, d.relay.notice("10.0.0.01:1", "x"))
	}
	f.run(2 * relaySilence)
	require.Zero(t, f.far)
}
