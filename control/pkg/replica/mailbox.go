package replica

import "sync"

// mailbox passes items from the consensus loop to a goroutine that receives all pending
// items at once. The loop must never wait for a disk, or heartbeats stop, and it must not
// drop items. Therefore a mailbox has no size limit of its own: the entries that the
// consensus machine allows to be uncommitted or in flight limit it.
type mailbox[T any] struct {
	mu    sync.Mutex
	items []T
	wake  chan struct{}
}

func newMailbox[T any]() *mailbox[T] {
	return &mailbox[T]{wake: make(chan struct{}, 1)}
}

func (b *mailbox[T]) put(item T) {
	b.mu.Lock()
	b.items = append(b.items, item)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *mailbox[T]) drain() []T {
	b.mu.Lock()
	defer b.mu.Unlock()
	items := b.items
	b.items = nil
	return items
}
