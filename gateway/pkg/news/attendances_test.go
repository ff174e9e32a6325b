package news

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

func names(list []*toucanhingev1.Attendance) []string {
	var texts []string
	for _, a := range list {
		texts = append(texts, a.GetName())
	}
	return texts
}

// The leader forgets a gateway of which it hears nothing for four seconds, and other daemons
// with it: they tell it nothing more, and it gets no items. What is passed on all the time costs
// the leader a call's work for each gateway again.
func TestWhoIsThereIsPassedOnNowAndThen(t *testing.T) {
	var a attendances
	a.note("g", "10.0.0.1:1", 1_000, true)
	require.Equal(t, []string{"g"}, names(a.pass(1_000, false)))
	require.Empty(t, a.pass(1_001, false))
	require.Equal(t, []string{"g"}, names(a.pass(1_002, true)), "whoever hears it for the first time is told of all")
	a.note("g", "10.0.0.1:1", 1_400, true)
	require.Empty(t, a.pass(1_400, false))
	again := a.pass(1_002+passEvery, false)
	require.Len(t, again, 1)
	require.EqualValues(t, 1_002+passEvery-1_400, again[0].GetAgeMs())
	a.note("g", "10.0.0.2:1", 1_800, true)
	require.Equal(t, []string{"g"}, names(a.pass(1_801, false)), "a new address is told at once")
	a.note("g", "10.0.0.2:1", 1_802, false)
	require.False(t, a.pass(1_802, false)[0].GetHolds(), "that it has lost its fleet, too")
	require.Empty(t, a.pass(1_803+attendExpiry, true), "one that fell silent is forgotten")
}

func TestAnOlderWordDoesNotMakeAGatewayOlder(t *testing.T) {
	var a attendances
	a.note("g", "10.0.0.1:1", 2_000, true)
	a.note("g", "10.0.0.1:1", 1_000, true)
	require.Zero(t, a.pass(2_000, true)[0].GetAgeMs())
	require.Equal(t, clock.Millis(2_000), a.byName["g"].heard)
}
