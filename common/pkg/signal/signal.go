// Package signal wakes all goroutines that wait for an event.
package signal

import "sync"

// Signal wakes all waiting goroutines each time it fires. It is safe for concurrent use.
type Signal struct {
	mu      sync.Mutex
	waiting chan struct{}
}

// New returns a signal.
func New() *Signal { return &Signal{waiting: make(chan struct{})} }

// Next returns a channel that is closed when the signal fires the next time. Call Next before
// reading the state that the signal announces, so that no change is missed.
func (s *Signal) Next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting
}

// Fire wakes all waiting goroutines.
func (s *Signal) Fire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.waiting)
	s.waiting = make(chan struct{})
}
