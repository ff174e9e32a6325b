package core

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/fanout"
)

// treeFor makes a tree in which a gateway has three parents, and lists them.
func treeFor(t *testing.T) (u *upstream, parents []string) {
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
	require.Fail(t, "all are hubs")
	return nil, nil
}

// The gateway from which this one hears gives no news any more; the next ones take its place one
// after the other, at last the leader. Later the first is asked again.
func TestWhoGivesNoNewsIsPassedOver(t *testing.T) {
	u, parents := treeFor(t)
	now := clock.Millis(1_000)
	for _, want := range parents {
		got, _ := u.next(now)
		require.Equal(t, want, got)
		u.failed(now, want, false)
	}
	got, insists := u.next(now)
	require.Empty(t, got)
	require.False(t, insists, "the leader may know of others")
	got, _ = u.next(now + suspectTime)
	require.Equal(t, parents[0], got)
}

// The leader names gateways that it has just heard. Those that gave no news here a moment ago
// aren't asked again, and once all have failed the leader must answer itself.
func TestTheLeaderNamesOthersOnce(t *testing.T) {
	u, parents := treeFor(t)
	now := clock.Millis(1_000)
	for _, p := range parents {
		u.failed(now, p, false)
	}
	u.refer(now, []string{parents[1], "10.0.1.1:7720"})
	got, _ := u.next(now)
	require.Equal(t, "10.0.1.1:7720", got)
	u.failed(now, got, false)
	got, insists := u.next(now)
	require.Empty(t, got)
	require.True(t, insists)
	u.refer(now, parents)
	got, insists = u.next(now)
	require.Empty(t, got)
	require.True(t, insists)
	u.heard()
	_, insists = u.next(now)
	require.False(t, insists)
}

// A gateway that starts knows no fleet, and is told whom to ask.
func TestAGatewayThatStartsAsksWhomTheLeaderNames(t *testing.T) {
	u := newUpstream(fanout.Gateway{Address: "10.0.0.1:7720", DataCentre: "here"})
	got, insists := u.next(1_000)
	require.Empty(t, got)
	require.False(t, insists)
	u.refer(1_000, []string{"10.0.0.2:7720"})
	got, _ = u.next(1_000)
	require.Equal(t, "10.0.0.2:7720", got)
	u.heard()
	got, _ = u.next(1_000)
	require.Equal(t, "10.0.0.2:7720", got)
	other, parents := treeFor(t)
	u.tree, u.self = other.tree, other.self
	got, _ = u.next(1_000)
	require.Equal(t, parents[0], got, "it knows the fleet by now")
}

// All parents of a gateway gave no news, and the leader names another one, which does. The
// gateway goes on hearing that one: asking the leader after each answer, it was sent back and
// forth some thousand times a second.
func TestAGatewayStaysWhereItWasSent(t *testing.T) {
	u, parents := treeFor(t)
	for _, p := range parents {
		u.failed(1_000, p, false)
	}
	u.refer(1_000, []string{"10.0.1.1:7720"})
	for range 3 {
		got, _ := u.next(1_500)
		require.Equal(t, "10.0.1.1:7720", got)
		u.heard()
	}
	got, _ := u.next(1_000 + suspectTime)
	require.Equal(t, parents[0], got)
}

// With no leader the news of all are too old. Once there is one again, the gateway hears from
// its parents at once: if all turned to the leader for seconds, it would be late from the start.
func TestWhoseNewsWereOldIsAskedAgainSoon(t *testing.T) {
	u, parents := treeFor(t)
	now := clock.Millis(1_000)
	for _, p := range parents {
		u.failed(now, p, true)
	}
	got, _ := u.next(now)
	require.Empty(t, got)
	got, _ = u.next(now + behindTime)
	require.Equal(t, parents[0], got)
}
