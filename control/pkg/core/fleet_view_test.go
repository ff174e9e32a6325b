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

// In a fleet of 380 gateways and 600 runners, one runner begins to drain, and the leader has to
// inform all gateways before requests may no longer be sent there. Full views would cost a
// megabyte per change for every 30 gateways, most of it between data centres.
func TestLargeFleetChangeIsSentAsDifference(t *testing.T) {
	const gateways, runners, maxBytes = 380, 600, 1_000
	f, self := newFleet(), digest.Peer{Address: "10.0.9.9:7000", Core: true}
	f.startTerm(0, 3)
	list := func(draining int) []*toucanhingev1.Runner {
		var all []*toucanhingev1.Runner
		for n := range runners {
			all = append(all, &toucanhingev1.Runner{
				Id: fmt.Sprintf("i-%010d", n), Address: fmt.Sprintf("10.0.%d.%d:8000", n/250, n%250), Service: "service", DataCentre: "centre", Slots: 8,
				Leaving: n == draining,
			})
		}
		return all
	}
	for n := range gateways {
		f.recordGateway(fmt.Sprint(n), gateway{address: fmt.Sprintf("10.1.%d.%d:7001", n/250, n%250), dataCentre: "centre"})
	}
	f.setRunners(list(-1))
	first := f.view(0, &toucanhingev1.AttendRequest{ReadsDifferences: true}, self)
	require.Len(t, first.GetRunners(), runners)
	require.Len(t, first.GetDigestPeers(), gateways+1)

	f.setRunners(list(77))
	difference := f.view(0, &toucanhingev1.AttendRequest{HaveFleet: first.GetRevision(), ReadsDifferences: true}, self)
	t.Logf("full view: %d bytes, difference: %d bytes", proto.Size(first), proto.Size(difference))
	require.Less(t, proto.Size(difference), maxBytes)
	require.Len(t, difference.GetRunners(), 1)
	require.True(t, difference.GetRunners()[0].GetLeaving())
	require.Len(t, f.view(0, &toucanhingev1.AttendRequest{HaveFleet: first.GetRevision()}, self).GetRunners(), runners, "a gateway that doesn't support differences receives the full view")
}

// A new leader discovers the gateways of one data centre after the other. If it published an
// incomplete list, gateways would treat the fleet as a small one: each would send its digests to
// the few listed peers, and all of them would subscribe to the leader at once.
func TestNewLeaderWithholdsIncompleteFleet(t *testing.T) {
	const gateways, leaderSince = 100, 10_000
	for _, c := range []struct {
		name  string
		known int
		at    clock.Millis
		have  uint64
		knows uint32
		sent  bool
	}{
		{"few gateways known", 50, leaderSince + 100, 1, gateways, false},
		{"nearly all gateways known", 90, leaderSince + 100, 1, gateways, true},
		{"many gateways removed permanently", 50, leaderSince + gatewayDiscoveryPeriod, 1, gateways, true},
		{"starting gateway has no view", 50, leaderSince + 100, 0, 0, true},
		{"small fleet", 5, leaderSince + 100, 1, fanout.MaxDirect, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet()
			f.startTerm(leaderSince, 3)
			f.setRunners([]*toucanhingev1.Runner{{Id: "r"}})
			for n := range c.known {
				f.recordGateway(fmt.Sprint(n), gateway{address: fmt.Sprintf("10.1.0.%d:7001", n), dataCentre: "centre", lastSeen: c.at})
			}
			v := f.view(c.at, &toucanhingev1.AttendRequest{HaveFleet: c.have, Knows: c.knows, ReadsDifferences: true}, digest.Peer{Address: "self"})
			require.Equal(t, c.sent, v != nil)
		})
	}
}
