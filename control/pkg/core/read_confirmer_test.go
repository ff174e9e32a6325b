package core

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// Hundreds of teams read their jobs' results each second. Each read must be confirmed by a
// majority, but a confirmation of its own for each read would overload the leader.
func TestReadsShareConfirmations(t *testing.T) {
	var confirmations atomic.Int32
	r := newReadConfirmer(func(context.Context) error {
		confirmations.Add(1)
		return nil
	})
	var reads sync.WaitGroup
	for range 200 {
		reads.Go(func() { require.NoError(t, r.join(t.Context())) })
	}
	reads.Wait()
	require.LessOrEqual(t, confirmations.Load(), int32(10))
}

// A read arrives while a confirmation is running. That confirmation doesn't cover writes
// acknowledged in between, so the read has to wait for the next one.
func TestReadDoesNotJoinRunningConfirmation(t *testing.T) {
	begun, proceed := make(chan struct{}, 2), make(chan struct{})
	r := newReadConfirmer(func(context.Context) error {
		begun <- struct{}{}
		<-proceed
		return nil
	})
	first, second := make(chan error, 1), make(chan error, 1)
	go func() { first <- r.join(t.Context()) }()
	<-begun
	go func() { second <- r.join(t.Context()) }()
	time.Sleep(2 * minConfirmInterval)
	proceed <- struct{}{}
	require.NoError(t, <-first)
	select {
	case <-second:
		t.Fatal("read confirmed by a confirmation that began before it")
	case <-begun:
	}
	proceed <- struct{}{}
	require.NoError(t, <-second)
}

func TestJoinReturnsConfirmationError(t *testing.T) {
	failed := errors.New("no majority")
	r := newReadConfirmer(func(context.Context) error { return failed })
	require.ErrorIs(t, r.join(t.Context()), failed)
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	r = newReadConfirmer(func(context.Context) error {
		time.Sleep(2 * minConfirmInterval)
		return nil
	})
	require.ErrorIs(t, r.join(canceled), context.Canceled)
}
