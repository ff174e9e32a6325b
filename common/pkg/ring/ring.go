// Package ring provides bounded queues between goroutines. A full ring refuses an offered item at
// once and counts the refusal, so that no backlog is hidden.
package ring

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"
)

// Ring is a bounded first-in first-out queue between goroutines.
type Ring[T any] struct {
	items   chan T
	refused prometheus.Counter
}

// Config configures a Ring.
type Config struct {
	// Size is the capacity; at least 1.
	Size int
	// Refused counts items refused by a full ring; may be nil.
	Refused prometheus.Counter
}

// New returns an empty ring.
func New[T any](config Config) *Ring[T] {
	return &Ring[T]{items: make(chan T, max(config.Size, 1)), refused: config.Refused}
}

// Offer appends an item, or returns false at once if the ring is full.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		if r.refused != nil {
			r.refused.Inc()
		}
		return false
	}
}

// Put appends an item and blocks while the ring is full, so that a slow reader slows down its
// writer. It returns the context's error if the context ends first.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Items returns the receiving channel, for use in a select.
func (r *Ring[T]) Items() <-chan T {
	return r.items
}

// Drain removes and returns up to limit items without blocking.
func (r *Ring[T]) Drain(limit int) []T {
	var drained []T
	for len(drained) < limit {
		select {
		case item := <-r.items:
			drained = append(drained, item)
		default:
			return drained
		}
	}
	return drained
}

// Len returns the number of items in the ring.
func (r *Ring[T]) Len() int {
	return len(r.items)
}
