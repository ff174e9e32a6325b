package core

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/digest"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Guards against a new leader that answers all gateways itself, or from its last term, because it was elected a moment before
// its tasks as the leader begin.
func TestTermThatHasNotBegunIsNotAnswered(t *testing.T) {
	f := newFleet()
	require.True(t, f.discoveringGateways(60_000, 4))
	f.startTerm(60_000, 4)
	require.True(t, f.hasBegun(4))
	require.False(t, f.discoveringGateways(60_000+gatewayDiscoveryPeriod, 4))
	require.True(t, f.discoveringGateways(60_000+gatewayDiscoveryPeriod, 8))
	require.False(t, f.hasBegun(8))
}

// A VM leads, another one leads for some seconds, and the first one leads again. A runner has
// begun to drain between the two terms of the first VM. The list from its earlier term doesn't
// show that, so items would be sent to the runner after it stopped accepting new work.
func TestNewTermDropsEarlierRunnerList(t *testing.T) {
	f := newFleet()
	f.startTerm(0, 4)
	f.setRunners([]*toucanhingev1.Runner{{Id: "stays"}, {Id: "leaves-meanwhile"}})
	require.Len(t, f.currentRunners(), 2)

	f.startTerm(0, 8)
	require.Empty(t, f.currentRunners(), "no items may be sent before the list is read")
	require.Nil(t, f.view(0, &toucanhingev1.AttendRequest{ReadsDifferences: true}, digest.Peer{Address: "self"}), "gateways keep the previous leader's view")

	require.True(t, f.setRunners([]*toucanhingev1.Runner{{Id: "stays"}, {Id: "leaves-meanwhile", Leaving: true}}))
	require.Len(t, f.view(0, &toucanhingev1.AttendRequest{ReadsDifferences: true}, digest.Peer{Address: "self"}).GetRunners(), 2)
}
