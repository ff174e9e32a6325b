package probe

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
)

var errDown = errors.New("down")

// The engine answers, misses two polls, misses three, and answers again. It
// counts as unhealthy after three misses in a row; one answer mends it.
func TestHealth(t *testing.T) {
	var mu sync.Mutex
	var seen []bool
	answers := make(chan error)
	p := New(Config{
		Clock: clock.System(), Logger: log.NewNopLogger(), Interval: time.Millisecond, FailureThreshold: 3,
		Poll:    func(context.Context) (Report, error) { return Report{}, <-answers },
		OnForeignSlots: func(int) {},
		OnHealth: func(healthy bool) {
			mu.Lock()
			defer mu.Unlock()
			seen = append(seen, healthy)
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); p.Run(ctx) }()
	states := func(wants ...bool) {
		t.Helper()
		require.Eventually(t, func() bool {
			mu.Lock()
			defer mu.Unlock()
			return len(seen) == len(wants) && (len(seen) == 0 || seen[len(seen)-1] == wants[len(wants)-1])
		}, 20*time.Second, time.Millisecond)
	}
	states()
	answers <- nil
	states(true)
	for _, err := range []error{errDown, errDown, nil, errDown, errDown} {
		answers <- err
	}
	states(true)
	answers <- errDown
	states(true, false)
	answers <- nil
	states(true, false, true)
	cancel()
	go func() { answers <- errDown }()
	<-done
}

// The sidecar stops at the moment of a poll. It must not ask the engine once more: a
// poll that nobody answers would hold up the stop, and did so in a test for ever.
func TestNoPollAfterTheEnd(t *testing.T) {
	polls := 0
	p := New(Config{
		Clock: clock.System(), Logger: log.NewNopLogger(), Interval: time.Nanosecond, FailureThreshold: 3,
		Poll:    func(context.Context) (Report, error) { polls++; return Report{}, nil },
		OnForeignSlots: func(int) {}, OnHealth: func(bool) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	p.Run(ctx)
	require.Zero(t, polls)
}

// A call found nobody at the engine's port. It counts as unhealthy at once, long
// before the next poll: until then, items would be leased and handed back in a
// loop.
func TestSuspicion(t *testing.T) {
	states := make(chan bool, 4)
	p := New(Config{
		Clock: clock.System(), Logger: log.NewNopLogger(), Interval: time.Hour, FailureThreshold: 3,
		Poll:    func(context.Context) (Report, error) { return Report{}, nil },
		OnForeignSlots: func(int) {},
		OnHealth:  func(healthy bool) { states <- healthy },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); p.Run(ctx) }()
	next := func() bool {
		select {
		case healthy := <-states:
			return healthy
		case <-time.After(20 * time.Second):
			t.Fatal("no change of health")
			return false
		}
	}
	require.True(t, next())
	p.ReportUnreachable()
	require.False(t, next())
	cancel()
	<-done
}

// Load of others shows up as slots that are not ours; what we have in flight at
// the moment of the report does not.
func TestForeignLoad(t *testing.T) {
	foreign := make(chan int, 1)
	now := clock.Millis(10_000)
	p := New(Config{
		Clock: clock.FromFunc(func() clock.Millis { return now }), Logger: log.NewNopLogger(), FailureThreshold: 1,
		Poll:    func(context.Context) (Report, error) { return Report{InFlight: 5, AsOf: 9_900}, nil },
		OnForeignSlots: func(slots int) { foreign <- slots },
		OnHealth:  func(bool) {},
	})
	p.RecordOwn(9_000, 3)
	p.poll(context.Background())
	require.Equal(t, 2, <-foreign)
}
