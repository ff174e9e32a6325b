// Package signal wakes all that wait for one thing.
package signal

import "sync"

// Signal wakes all that wait, each time it fires. It is safe for concurrent use.
type Signal struct {
	mu      sync.Mutex
	waiting chan struct{}
}

// New makes a signal.
func New() *Signal { return &Signal{waiting: make(chan struct{})} }

// Next returns a channel that is closed when the signal fires the next time.
// Take it before looking at what the signal tells of.
func (s *Signal) Next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting
}

// Fire wakes all that wait.
func (s *Signal) Fire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.waiting)
	s.waiting = make(chan struct{})
}
