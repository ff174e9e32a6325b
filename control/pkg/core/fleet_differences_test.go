package core

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/digest"
	"toucanhinge.example/common/pkg/fanout"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// 380 gateways before 600 runners, of which one begins to leave: the leader has to tell all
// gateways within the moment in which no request may go there any more. Told whole, the list
// is a megabyte a change for every 30 gateways, between data centres for most of them.
func TestAChangeOfALargeFleetIsTold(t *testing.T) {
	const gateways, runners, mostBytes = 380, 600, 1_000
	f, self := newFleet(), digest.Peer{Address: "10.0.9.9:7000", Core: true}
	f.begin(0, 3)
	list := func(leaving int) []*toucanhingev1.Runner {
		var all []*toucanhingev1.Runner
		for n := range runners {
			all = append(all, &toucanhingev1.Runner{
				Id: fmt.Sprintf("i-%010d", n), Address: fmt.Sprintf("10.0.%d.%d:8000", n/250, n%250), Service: "service", DataCentre: "centre", Slots: 8,
				Leaving: n == leaving,
			})
		}
		return all
	}
	for n := range gateways {
		f.attend(fmt.Sprint(n), gateway{address: fmt.Sprintf("10.1.%d.%d:7001", n/250, n%250), dataCentre: "centre"})
	}
	f.setRunners(list(-1))
	first := f.view(0, &toucanhingev1.AttendRequest{ReadsDifferences: true}, self)
	require.Len(t, first.GetRunners(), runners)
	require.Len(t, first.GetDigestPeers(), gateways+1)

	f.setRunners(list(77))
	next := f.view(0, &toucanhingev1.AttendRequest{HaveFleet: first.GetRevision(), ReadsDifferences: true}, self)
	t.Logf("whole %d bytes, differences %d bytes", proto.Size(first), proto.Size(next))
	require.Less(t, proto.Size(next), mostBytes)
	require.Len(t, next.GetRunners(), 1)
	require.True(t, next.GetRunners()[0].GetLeaving())
	require.Len(t, f.view(0, &toucanhingev1.AttendRequest{HaveFleet: first.GetRevision()}, self).GetRunners(), runners, "a gateway of an earlier program gets all")
}

// A leader has just begun and hears of the gateways of one data centre after the other. Told of
// those that it knows so far, gateways took the fleet for a small one: each sent its digests to
// these few, and all of them came to the leader at once for further news.
func TestANewLeaderTellsNothingOfAFleetThatItDoesNotKnow(t *testing.T) {
	const gateways, began = 100, 10_000
	for _, c := range []struct {
		name  string
		known int
		at    clock.Millis
		have  uint64
		knows uint32
		told  bool
	}{
		{"it knows a few", 50, began + 100, 1, gateways, false},
		{"it knows nearly all", 90, began + 100, 1, gateways, true},
		{"many are gone for good", 50, began + gatheringTime, 1, gateways, true},
		{"a gateway that starts needs what there is", 50, began + 100, 0, 0, true},
		{"in a small fleet each comes by itself", 5, began + 100, 1, fanout.MaxDirect, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet()
			f.begin(began, 3)
			f.setRunners([]*toucanhingev1.Runner{{Id: "r"}})
			for n := range c.known {
				f.attend(fmt.Sprint(n), gateway{address: fmt.Sprintf("10.1.0.%d:7001", n), dataCentre: "centre", heard: c.at})
			}
			v := f.view(c.at, &toucanhingev1.AttendRequest{HaveFleet: c.have, Knows: c.knows, ReadsDifferences: true}, digest.Peer{Address: "self"})
			require.Equal(t, c.told, v != nil)
		})
	}
}
