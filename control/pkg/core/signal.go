package core

import "sync"

// signal wakes all that wait, each time it fires.
type signal struct {
	mu      sync.Mutex
	waiting chan struct{}
}

func newSignal() *signal { return &signal{waiting: make(chan struct{})} }

// next returns a channel that is closed when the signal fires the next time.
// Take it before looking at what the signal tells of.
func (s *signal) next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting
}

func (s *signal) fire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.waiting)
	s.waiting = make(chan struct{})
}
