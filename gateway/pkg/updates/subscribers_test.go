package updates

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

// The leader removes a gateway of which it has seen nothing for four seconds. Other daemons then send it
// no digests, and it gets no items. Reporting every subscriber in each call would cost the leader as much
// work as a call of each gateway.
func TestSubscribersAreReportedAtIntervals(t *testing.T) {
	var s subscribers
	s.record("g", "10.0.0.1:1", 1_000, true)
	require.Equal(t, []string{"g"}, names(s.report(1_000, false)))
	require.Empty(t, s.report(1_001, false))
	require.Equal(t, []string{"g"}, names(s.report(1_002, true)), "a new receiver must get all subscribers")
	s.record("g", "10.0.0.1:1", 1_400, true)
	require.Empty(t, s.report(1_400, false))
	again := s.report(1_002+reportInterval, false)
	require.Len(t, again, 1)
	require.EqualValues(t, 1_002+reportInterval-1_400, again[0].GetAgeMs())
	s.record("g", "10.0.0.2:1", 1_800, true)
	require.Equal(t, []string{"g"}, names(s.report(1_801, false)), "a new address must be reported at once")
	s.record("g", "10.0.0.2:1", 1_802, false)
	require.False(t, s.report(1_802, false)[0].GetHolds(), "a lost fleet view must be reported at once")
	require.Empty(t, s.report(1_803+subscriberExpiry, true), "a subscriber that stopped calling must expire")
}

func TestOlderReportKeepsLastSeen(t *testing.T) {
	var s subscribers
	s.record("g", "10.0.0.1:1", 2_000, true)
	s.record("g", "10.0.0.1:1", 1_000, true)
	require.Zero(t, s.report(2_000, true)[0].GetAgeMs())
	require.Equal(t, clock.Millis(2_000), s.byName["g"].lastSeen)
}
