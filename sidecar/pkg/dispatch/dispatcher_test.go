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

const waitTimeout = 20 * time.Second

func newDispatcher(size int) *Dispatcher {
	machine := admit.New(admit.Config{Policy: admit.Yield, Slots: 1, QueueLimit: 8, MinSlots: 1, BatchSlots: 1})
	return New(Config{Clock: clock.System(), Machine: machine, Ring: ring.Config{Size: size}})
}

func (d *Dispatcher) submitRequest(deadline clock.Millis, actions chan admit.Action) (admit.ID, bool) {
	id := d.NextID()
	return id, d.SubmitRequest(admit.Arrive{ID: id, Deadline: deadline}, func(a admit.Action) { actions <- a })
}

// When the machine lags and the ring is full, a request must be refused at once instead of
// waiting outside the queue.
func TestFullRingRefusesRequest(t *testing.T) {
	d := newDispatcher(1)
	actions := make(chan admit.Action, 4)
	_, accepted := d.submitRequest(1<<50, actions)
	require.True(t, accepted)
	_, accepted = d.submitRequest(1<<50, actions)
	require.False(t, accepted)
}

// A queued request must be refused at its deadline even if no other event arrives. After
// the dispatcher has stopped, it refuses requests.
func TestQueuedRequestExpiresWithoutEvents(t *testing.T) {
	d := newDispatcher(16)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); d.Run(ctx) }()
	actions := make(chan admit.Action, 4)
	first, _ := d.submitRequest(1<<50, actions)
	require.Equal(t, admit.Action{Verb: admit.Start, ID: first}, <-actions)
	second, _ := d.submitRequest(clock.System().Now()+50, actions)
	select {
	case a := <-actions:
		require.Equal(t, second, a.ID)
		require.Equal(t, admit.Refuse, a.Verb)
		require.Equal(t, admit.ReasonDeadline, a.Reason)
	case <-time.After(waitTimeout):
		t.Fatal("the queued request was not refused")
	}
	d.Submit(admit.Finished{ID: first})
	d.Flush()
	require.Zero(t, d.Snapshot().Online)
	cancel()
	<-done
	_, accepted := d.submitRequest(1<<50, actions)
	require.False(t, accepted)
	d.Submit(admit.Tick{})
	d.Flush()
}

// Guards against a state that is older than an action that was delivered: whoever starts a request must see it counted.
func TestSnapshotIncludesDeliveredActions(t *testing.T) {
	d := newDispatcher(16)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); d.Run(ctx) }()
	online := make(chan int, 1)
	id := d.NextID()
	require.True(t, d.SubmitRequest(admit.Arrive{ID: id, Deadline: 1 << 50}, func(admit.Action) { online <- d.Snapshot().Online }))
	require.Equal(t, 1, <-online)
	cancel()
	<-done
}
