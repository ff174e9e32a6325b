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

// The leading control is cut off from the other controls without any connection
// being closed, while daemons and operators still reach it. The others elect a
// leader and accept changes; the cut one must neither accept a change nor answer
// a read, since it can't know what was accepted. After the cut it catches up.
func TestLeaderCutOffSilently(t *testing.T) {
	scenarios := []struct {
		name string
		cut  func(f *fleet.Fleet, leader int, faults relay.Faults)
		with relay.Faults
	}{
		{"both ways", (*fleet.Fleet).Isolate, relay.Cut},
		{"bytes lost", (*fleet.Fleet).Isolate, relay.Faults{DropForward: true, DropBackward: true}},
		// The leader still reaches the others, and hears nothing: its heartbeats
		// would keep them from electing another one for as long as the cut lasts.
		{"deaf", deafen, relay.Cut},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			ctx := bounded(t)
			f := start(t, fleet.Config{Controls: 3, Gateways: 1, Sidecars: 1, Relayed: true})
			_, err := f.ApplyLinkChange(ctx, 1)
			require.NoError(t, err)
			old, err := f.Leader(ctx, 0)
			require.NoError(t, err)
			leader := indexOf(f, old)
			s.cut(f, leader, s.with)

			changed, err := othersThan(f, leader).Apply(ctx, f.LinkChange(2))
			require.NoError(t, err)
			requireNoAnswer(ctx, t, f, old)
			s.cut(f, leader, relay.Faults{})
			require.NoError(t, f.WaitForVersion(ctx, changed.GetVersion()))
			rejoined := operator.New(operator.Config{Controls: []string{old.Address}})
			require.Eventually(t, func() bool {
				entries, err := rejoined.Entries(ctx, toucanhingev1.Kind_KIND_LINK, f.LinkChange(2).GetName())
				return err == nil && len(entries) == 1 && entries[0].GetVersion() == changed.GetVersion()
			}, patience, poll)
		})
	}
}

func deafen(f *fleet.Fleet, leader int, faults relay.Faults) {
	for other := range f.Controls {
		if other != leader {
			f.Cut(other, leader, faults)
		}
	}
}

// requireNoAnswer asks a cut-off control for a read and a change; both must stay
// without an answer for as long as its caller waits.
func requireNoAnswer(ctx context.Context, t *testing.T, f *fleet.Fleet, n *fleet.Node) {
	t.Helper()
	direct := operator.New(operator.Config{Controls: []string{n.Address}}).Client().Replica(n.Address).Operators
	for range 3 {
		short, stop := context.WithTimeout(ctx, time.Second)
		_, err := direct.ListEntries(short, connectList(f.LinkChange(2).GetName()))
		require.Error(t, err)
		_, err = direct.Apply(short, connectApply(f.LinkChange(3)))
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

func othersThan(f *fleet.Fleet, cut int) *operator.Operator {
	var addresses []string
	for i, c := range f.Controls {
		if i != cut {
			addresses = append(addresses, c.Address)
		}
	}
	return operator.New(operator.Config{Controls: addresses})
}
