package core

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/fanout"
)

// newUpstreamInTree returns an upstream for a gateway with three parents, and the parents.
func newUpstreamInTree(t *testing.T) (u *upstream, parents []string) {
	t.Helper()
	var list []fanout.Gateway
	for n := range 60 {
		list = append(list, fanout.Gateway{Address: fmt.Sprintf("10.0.0.%d:7720", n), DataCentre: "here"})
	}
	tree := fanout.New(list)
	for _, g := range list {
		if parents := tree.Parents(g); len(parents) == 3 {
			u := newUpstream(g)
			u.setTree(tree)
			return u, parents
		}
	}
	require.Fail(t, "no gateway has three parents")
	return nil, nil
}

// The parent of a gateway stops returning updates. The gateway must query the other parents one after the
// other and then the leader, and the first parent again later.
func TestUpstreamSkipsFailedGateways(t *testing.T) {
	u, parents := newUpstreamInTree(t)
	now := clock.Millis(1_000)
	for _, want := range parents {
		got, _ := u.next(now)
		require.Equal(t, want, got)
		u.recordFailure(now, want)
	}
	got, insists := u.next(now)
	require.Empty(t, got)
	require.False(t, insists, "the leader may name other gateways")
	got, _ = u.next(now + failureBlockDuration)
	require.Equal(t, parents[0], got)
}

// The leader names gateways that called it recently. Gateways that are blocked here must not be queried,
// and once all have failed the leader must answer itself.
func TestUpstreamInsistsWhenReferralsFail(t *testing.T) {
	u, parents := newUpstreamInTree(t)
	now := clock.Millis(1_000)
	for _, p := range parents {
		u.recordFailure(now, p)
	}
	u.setReferrals(now, []string{parents[1], "10.0.1.1:7720"})
	got, _ := u.next(now)
	require.Equal(t, "10.0.1.1:7720", got)
	u.recordFailure(now, got)
	got, insists := u.next(now)
	require.Empty(t, got)
	require.True(t, insists)
	u.setReferrals(now, parents)
	got, insists = u.next(now)
	require.Empty(t, got)
	require.True(t, insists)
	u.recordSuccess()
	_, insists = u.next(now)
	require.False(t, insists)
}

// Guards against a next leader that all gateways ask to answer them itself: the gateways that the last leader named lag
// because it is gone, and the next one hasn't named any.
func TestUpstreamDoesNotInsistWhenReferralsLagWithoutLeader(t *testing.T) {
	u, parents := newUpstreamInTree(t)
	now := clock.Millis(1_000)
	u.setReferrals(now, []string{"10.0.1.1:7720", "10.0.1.2:7720"})
	now += 60_000
	for _, address := range append(parents, "10.0.1.1:7720", "10.0.1.2:7720") {
		u.recordLag(now, address, now-maxLag-1)
	}
	got, insists := u.next(now)
	require.Empty(t, got)
	require.False(t, insists)
	// The next leader names a gateway that has received nothing since: it is of no use.
	u.setReferrals(now, []string{"10.0.1.3:7720"})
	u.recordLag(now+100, "10.0.1.3:7720", now-maxLag)
	_, insists = u.next(now + 100)
	require.True(t, insists)
}

// A gateway that starts has no fleet view, and must query the gateways that the leader names.
func TestUpstreamUsesReferralsWithoutFleet(t *testing.T) {
	u := newUpstream(fanout.Gateway{Address: "10.0.0.1:7720", DataCentre: "here"})
	got, insists := u.next(1_000)
	require.Empty(t, got)
	require.False(t, insists)
	u.setReferrals(1_000, []string{"10.0.0.2:7720"})
	got, _ = u.next(1_000)
	require.Equal(t, "10.0.0.2:7720", got)
	u.recordSuccess()
	got, _ = u.next(1_000)
	require.Equal(t, "10.0.0.2:7720", got)
	other, parents := newUpstreamInTree(t)
	u.tree, u.self = other.tree, other.self
	got, _ = u.next(1_000)
	require.Equal(t, parents[0], got, "with a fleet view it must query its parent")
}

// All parents of a gateway fail, and the leader names another gateway, which answers. The gateway must
// continue with that one: a gateway that queried the leader after each answer was referred back and forth
// some thousand times a second.
func TestUpstreamKeepsWorkingReferral(t *testing.T) {
	u, parents := newUpstreamInTree(t)
	for _, p := range parents {
		u.recordFailure(1_000, p)
	}
	u.setReferrals(1_000, []string{"10.0.1.1:7720"})
	for range 3 {
		got, _ := u.next(1_500)
		require.Equal(t, "10.0.1.1:7720", got)
		u.recordSuccess()
	}
	got, _ := u.next(1_000 + failureBlockDuration)
	require.Equal(t, parents[0], got)
}

// Without a leader the state of all gateways lags. Once there is a leader, the gateway must query its
// parents again soon: if all gateways queried the leader for seconds, it would be overloaded at once.
func TestUpstreamRetriesLaggingGatewaySoon(t *testing.T) {
	u, parents := newUpstreamInTree(t)
	now := clock.Millis(1_000)
	for _, p := range parents {
		u.recordLag(now, p, now-maxLag-1)
	}
	got, _ := u.next(now)
	require.Empty(t, got)
	got, _ = u.next(now + lagBlockDuration)
	require.Equal(t, parents[0], got)
}
