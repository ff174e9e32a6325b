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

// A gateway is told the fleet, then only what changed. An answer that builds on another view
// than its own must not be laid over it: runners that are gone would get requests. It counts
// for nothing, and the gateway asks for the whole.
func TestDifferencesAreLaidOverTheViewTheyBuildOn(t *testing.T) {
	var seen []*toucanhingev1.FleetView
	used := 0
	f := New(Config{
		Publisher: board(), Name: "g", Core: control.New(control.Config{Addresses: []string{"127.0.0.1:9"}, NewHTTP: web.NewClient, FindLeader: control.QueryLeader}),
		Logger: log.NewNopLogger(), OnFleet: func(v *toucanhingev1.FleetView) { seen = append(seen, v) },
		OnUsage: func([]*toucanhingev1.TeamUse, clock.Millis) { used++ },
	})
	tell := func(v *toucanhingev1.FleetView) bool { return f.take(&toucanhingev1.AttendResponse{Fleet: v}) }
	runner := func(id string, slots uint32) *toucanhingev1.Runner {
		return &toucanhingev1.Runner{Id: id, Slots: slots}
	}

	require.True(t, tell(&toucanhingev1.FleetView{
		Revision: 5, Runners: []*toucanhingev1.Runner{runner("a", 1), runner("b", 1), runner("c", 1)}, CoreAddresses: []string{"127.0.0.1:9"},
		DigestPeers: []*toucanhingev1.DigestPeer{{Address: "10.0.0.1:1"}, {Address: "10.0.0.2:1"}},
	}))
	require.True(t, tell(&toucanhingev1.FleetView{
		Revision: 7, Since: 5, Runners: []*toucanhingev1.Runner{runner("b", 2), runner("d", 1)}, GoneRunners: []string{"c"},
		GonePeers: []string{"10.0.0.1:1"}, CoreAddresses: []string{"127.0.0.1:9"},
	}))
	var ids []string
	for _, r := range seen[1].GetRunners() {
		ids = append(ids, r.GetId())
	}
	require.Equal(t, []string{"a", "b", "d"}, ids)
	require.EqualValues(t, 2, seen[1].GetRunners()[1].GetSlots())
	require.Len(t, seen[1].GetDigestPeers(), 1)
	require.EqualValues(t, 7, f.fleet.Revision())

	require.False(t, tell(&toucanhingev1.FleetView{Revision: 9, Since: 6, GoneRunners: []string{"a"}}))
	require.Len(t, seen, 2)
	require.Zero(t, f.fleet.Revision(), "the whole is asked for")
	require.True(t, tell(&toucanhingev1.FleetView{Revision: 9, Runners: []*toucanhingev1.Runner{runner("b", 2)}}))
	require.Len(t, seen[2].GetRunners(), 1)
	require.Equal(t, 1, used, "what the teams have used is taken over only at the start")
}
