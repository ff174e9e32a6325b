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

// The engine becomes unhealthy after three consecutive failed polls, and healthy again
// after one successful poll.
func TestUnhealthyAfterConsecutiveFailedPolls(t *testing.T) {
	var mu sync.Mutex
	var reported []bool
	answers := make(chan error)
	p := New(Config{
		Clock: clock.System(), Logger: log.NewNopLogger(), Interval: time.Millisecond, FailureThreshold: 3,
		Poll:           func(context.Context) (Report, error) { return Report{}, <-answers },
		OnForeignSlots: func(int) {},
		OnHealth: func(healthy bool) {
			mu.Lock()
			defer mu.Unlock()
			reported = append(reported, healthy)
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); p.Run(ctx) }()
	requireReported := func(want ...bool) {
		t.Helper()
		require.Eventually(t, func() bool {
			mu.Lock()
			defer mu.Unlock()
			return len(reported) == len(want) && (len(reported) == 0 || reported[len(reported)-1] == want[len(want)-1])
		}, 20*time.Second, time.Millisecond)
	}
	requireReported()
	answers <- nil
	requireReported(true)
	for _, err := range []error{errDown, errDown, nil, errDown, errDown} {
		answers <- err
	}
	requireReported(true)
	answers <- errDown
	requireReported(true, false)
	answers <- nil
	requireReported(true, false, true)
	cancel()
	go func() { answers <- errDown }()
	<-done
}

// When a tick and the cancellation coincide, the probe must not poll again. A poll without
// an answer would block the stop forever.
func TestNoPollAfterCancellation(t *testing.T) {
	polls := 0
	p := New(Config{
		Clock: clock.System(), Logger: log.NewNopLogger(), Interval: time.Nanosecond, FailureThreshold: 3,
		Poll:           func(context.Context) (Report, error) { polls++; return Report{}, nil },
		OnForeignSlots: func(int) {}, OnHealth: func(bool) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	p.Run(ctx)
	require.Zero(t, polls)
}

// A failed connection to the engine makes it unhealthy at once, long before the next poll.
// Until then, items would be leased and returned in a loop.
func TestUnreachableEngineIsUnhealthyAtOnce(t *testing.T) {
	states := make(chan bool, 4)
	p := New(Config{
		Clock: clock.System(), Logger: log.NewNopLogger(), Interval: time.Hour, FailureThreshold: 3,
		Poll:           func(context.Context) (Report, error) { return Report{}, nil },
		OnForeignSlots: func(int) {},
		OnHealth:       func(healthy bool) { states <- healthy },
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

// Load of other clients is reported as foreign slots. This sidecar's requests that were in
// flight at the time of the report are not counted.
func TestForeignSlotsExcludeOwnRequests(t *testing.T) {
	foreign := make(chan int, 1)
	now := clock.Millis(10_000)
	p := New(Config{
		Clock: clock.FromFunc(func() clock.Millis { return now }), Logger: log.NewNopLogger(), FailureThreshold: 1,
		Poll:           func(context.Context) (Report, error) { return Report{InFlight: 5, AsOf: 9_900}, nil },
		OnForeignSlots: func(slots int) { foreign <- slots },
		OnHealth:       func(bool) {},
	})
	p.RecordOwnCount(9_000, 3)
	p.poll(context.Background())
	require.Equal(t, 2, <-foreign)
}
