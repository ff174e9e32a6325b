package failure

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/lab/pkg/fleet"
	"toucanhinge.example/lab/pkg/operator"
	"toucanhinge.example/lab/pkg/relay"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// The leader is isolated from the other control VMs without any connection being closed,
// while daemons and operators still reach it. The other VMs elect a leader and accept
// changes. The isolated leader must neither accept a change nor answer a read, since it
// can't know which changes were accepted. After the partition it must catch up.
func TestIsolatedLeaderAnswersNoRequests(t *testing.T) {
	scenarios := []struct {
		name   string
		cut    func(f *fleet.Fleet, leader int, faults relay.Faults)
		faults relay.Faults
	}{
		{"both ways", (*fleet.Fleet).Isolate, relay.Cut},
		{"bytes lost", (*fleet.Fleet).Isolate, relay.Faults{DropForward: true, DropBackward: true}},
		// The leader still sends to the other VMs but receives nothing. If it did not step down,
		// its heartbeats would prevent an election for as long as the partition lasts.
		{"incoming only", cutIncoming, relay.Cut},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			ctx := testContext(t)
			f := startFleet(t, fleet.Config{Controls: 3, Gateways: 1, Sidecars: 1, Relayed: true})
			_, err := f.ApplyLinkChange(ctx, 1)
			require.NoError(t, err)
			old, err := f.Leader(ctx, 0)
			require.NoError(t, err)
			leader := indexOf(f, old)
			s.cut(f, leader, s.faults)

			changed, err := operatorWithout(f, leader).Apply(ctx, f.LinkChange(2))
			require.NoError(t, err)
			requireRequestsFail(ctx, t, f, old)
			s.cut(f, leader, relay.Faults{})
			require.NoError(t, f.WaitForVersion(ctx, changed.GetVersion()))
			rejoined := operator.New(operator.Config{Controls: []string{old.Address}})
			require.Eventually(t, func() bool {
				entries, err := rejoined.Entries(ctx, toucanhingev1.Kind_KIND_LINK, f.LinkChange(2).GetName())
				return err == nil && len(entries) == 1 && entries[0].GetVersion() == changed.GetVersion()
			}, waitTimeout, pollInterval)
		})
	}
}

// cutIncoming applies faults to the traffic from the other control VMs to the leader.
func cutIncoming(f *fleet.Fleet, leader int, faults relay.Faults) {
	for other := range f.Controls {
		if other != leader {
			f.Cut(other, leader, faults)
		}
	}
}

// requireRequestsFail sends a read and a change to an isolated control VM. Both must fail
// within the timeout of the caller.
func requireRequestsFail(ctx context.Context, t *testing.T, f *fleet.Fleet, n *fleet.Node) {
	t.Helper()
	direct := operator.New(operator.Config{Controls: []string{n.Address}}).Client().Replica(n.Address).Operators
	for range 3 {
		short, stop := context.WithTimeout(ctx, time.Second)
		_, err := direct.ListEntries(short, listLinkRequest(f.LinkChange(2).GetName()))
		require.Error(t, err)
		_, err = direct.Apply(short, applyRequest(f.LinkChange(3)))
		require.Error(t, err)
		stop()
	}
}

func indexOf(f *fleet.Fleet, n *fleet.Node) int {
	for i, c := range f.Controls {
		if c == n {
			return i
		}
	}
	return -1
}

// operatorWithout returns an operator that reaches all control VMs except one.
func operatorWithout(f *fleet.Fleet, cut int) *operator.Operator {
	var addresses []string
	for i, c := range f.Controls {
		if i != cut {
			addresses = append(addresses, c.Address)
		}
	}
	return operator.New(operator.Config{Controls: addresses})
}
