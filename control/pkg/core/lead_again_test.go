package core

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/digest"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// A VM leads, another one takes over for some seconds, and the first one leads again.
// Meanwhile a runner began to leave. The list of the earlier time still shows it at work,
// so items would be sent there, past the time in which it takes new work.
func TestAnEarlierListOfRunnersIsForgotten(t *testing.T) {
	f := newFleet()
	f.begin(0, 4)
	f.setRunners([]*toucanhingev1.Runner{{Id: "stays"}, {Id: "leaves-meanwhile"}})
	require.Len(t, f.list(), 2)

	f.begin(0, 8)
	require.Empty(t, f.list(), "no item is sent anywhere before the list is read")
	require.Nil(t, f.view(0, &toucanhingev1.AttendRequest{ReadsDifferences: true}, digest.Peer{Address: "self"}), "gateways keep what the leader before told")

	require.True(t, f.setRunners([]*toucanhingev1.Runner{{Id: "stays"}, {Id: "leaves-meanwhile", Leaving: true}}))
	require.Len(t, f.view(0, &toucanhingev1.AttendRequest{ReadsDifferences: true}, digest.Peer{Address: "self"}).GetRunners(), 2)
}
