package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/ring"
	"toucanhinge.example/sidecar/pkg/admit"
)

const patience = 20 * time.Second

func dispatcher(size int) *Dispatcher {
	machine := admit.New(admit.Config{Policy: admit.Yield, Slots: 1, QueueLimit: 8, MinSlots: 1, BatchSlots: 1})
	return New(Config{Clock: clock.System(), Machine: machine, Ring: ring.Config{Size: size}})
}

func (d *Dispatcher) ask(deadline clock.Millis, actions chan admit.Action) (admit.ID, bool) {
	id := d.NextID()
	return id, d.SubmitRequest(admit.Arrive{ID: id, Deadline: deadline}, func(a admit.Action) { actions <- a })
}

// The machine's goroutine falls behind. A request that finds the ring full is
// turned away at once instead of waiting unseen.
func TestFullRingRefuses(t *testing.T) {
	d := dispatcher(1)
	actions := make(chan admit.Action, 4)
	_, taken := d.ask(1<<50, actions)
	require.True(t, taken)
	_, taken = d.ask(1<<50, actions)
	require.False(t, taken)
}

// A request waits behind one that never ends. Nothing else happens, yet it hears
// that its deadline passed; then the process stops and takes nothing more.
func TestDeadlineWithoutEvents(t *testing.T) {
	d := dispatcher(16)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); d.Run(ctx) }()
	actions := make(chan admit.Action, 4)
	first, _ := d.ask(1<<50, actions)
	require.Equal(t, admit.Action{Verb: admit.Start, ID: first}, <-actions)
	second, _ := d.ask(clock.System().Now()+50, actions)
	select {
	case a := <-actions:
		require.Equal(t, second, a.ID)
		require.Equal(t, admit.Refuse, a.Verb)
		require.Equal(t, admit.ReasonDeadline, a.Reason)
	case <-time.After(patience):
		t.Fatal("the waiting request heard nothing")
	}
	d.Submit(admit.Finished{ID: first})
	d.Flush()
	require.Zero(t, d.Snapshot().Online)
	cancel()
	<-done
	_, taken := d.ask(1<<50, actions)
	require.False(t, taken)
	d.Submit(admit.Tick{})
	d.Flush()
}
