package core

import (
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/control"
	"toucanhinge.example/common/pkg/web"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// A gateway receives the complete fleet view, then only differences. Differences to another revision than
// its own must not be applied: runners that are gone would get requests. The gateway must discard them
// and request the complete view.
func TestFleetDifferencesRequireMatchingRevision(t *testing.T) {
	var views []*toucanhingev1.FleetView
	usageCalls := 0
	s := New(Config{
		Publisher: newPublisher(), Name: "g", Core: control.New(control.Config{Addresses: []string{"127.0.0.1:9"}, NewHTTP: web.NewClient, FindLeader: control.QueryLeader}),
		Logger: log.NewNopLogger(), OnFleet: func(v *toucanhingev1.FleetView) { views = append(views, v) },
		OnUsage: func([]*toucanhingev1.TeamUse, clock.Millis) { usageCalls++ },
	})
	apply := func(v *toucanhingev1.FleetView) bool { return s.apply(&toucanhingev1.AttendResponse{Fleet: v}) }
	runner := func(id string, slots uint32) *toucanhingev1.Runner {
		return &toucanhingev1.Runner{Id: id, Slots: slots}
	}

	require.True(t, apply(&toucanhingev1.FleetView{
		Revision: 5, Runners: []*toucanhingev1.Runner{runner("a", 1), runner("b", 1), runner("c", 1)}, CoreAddresses: []string{"127.0.0.1:9"},
		DigestPeers: []*toucanhingev1.DigestPeer{{Address: "10.0.0.1:1"}, {Address: "10.0.0.2:1"}},
	}))
	require.True(t, apply(&toucanhingev1.FleetView{
		Revision: 7, Since: 5, Runners: []*toucanhingev1.Runner{runner("b", 2), runner("d", 1)}, GoneRunners: []string{"c"},
		GonePeers: []string{"10.0.0.1:1"}, CoreAddresses: []string{"127.0.0.1:9"},
	}))
	var ids []string
	for _, r := range views[1].GetRunners() {
		ids = append(ids, r.GetId())
	}
	require.Equal(t, []string{"a", "b", "d"}, ids)
	require.EqualValues(t, 2, views[1].GetRunners()[1].GetSlots())
	require.Len(t, views[1].GetDigestPeers(), 1)
	require.EqualValues(t, 7, s.fleet.Revision())

	require.False(t, apply(&toucanhingev1.FleetView{Revision: 9, Since: 6, GoneRunners: []string{"a"}}))
	require.Len(t, views, 2)
	require.Zero(t, s.fleet.Revision(), "the next query must request the complete view")
	require.True(t, apply(&toucanhingev1.FleetView{Revision: 9, Runners: []*toucanhingev1.Runner{runner("b", 2)}}))
	require.Len(t, views[2].GetRunners(), 1)
	require.Equal(t, 1, usageCalls, "quota usage must be applied only with the first view")
}
