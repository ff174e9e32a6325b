package core

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// minConfirmInterval is the minimum time between two confirmations of reads. Each confirmation
// sends a request to all members of the group, so confirming each of hundreds of reads a
// second on its own would cost some thousand messages a second. Teams poll for results twice
// a second.
const minConfirmInterval = 25 * time.Millisecond

// readConfirmer lets concurrent reads share one confirmation by a majority. A read joins only
// a confirmation that begins after it, so that it sees all writes acknowledged before it.
type readConfirmer struct {
	read func(ctx context.Context) error

	mu sync.Mutex
	// next is the confirmation that hasn't begun yet.
	next    *confirmation
	running bool
}

type confirmation struct {
	done chan struct{}
	err  error
}

func newReadConfirmer(read func(ctx context.Context) error) *readConfirmer {
	return &readConfirmer{read: read}
}

// join waits until a confirmation that begins after the call is done, or the context ends.
func (r *readConfirmer) join(ctx context.Context) error {
	r.mu.Lock()
	if r.next == nil {
		r.next = &confirmation{done: make(chan struct{})}
	}
	joined := r.next
	if !r.running {
		r.running = true
		go r.run()
	}
	r.mu.Unlock()
	select {
	case <-joined.done:
		return joined.err
	case <-ctx.Done():
		return fmt.Errorf("wait for a confirmation: %w", ctx.Err())
	}
}

// run performs confirmations until no read waits.
func (r *readConfirmer) run() {
	for {
		r.mu.Lock()
		current := r.next
		r.next = nil
		if current == nil {
			r.running = false
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		began := time.Now()
		current.err = r.confirm()
		close(current.done)
		if remaining := minConfirmInterval - time.Since(began); remaining > 0 {
			time.Sleep(remaining)
		}
	}
}

func (r *readConfirmer) confirm() error {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	return r.read(ctx)
}
