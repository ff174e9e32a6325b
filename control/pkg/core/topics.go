package core

import "sync"

// topics are signals by name. With one signal for all, each of some hundred results a second
// woke all of the hundreds of readers and gateways that waited for something else.
type topics struct {
	mu      sync.Mutex
	waiting map[string]chan struct{}
}

func newTopics() *topics { return &topics{waiting: map[string]chan struct{}{}} }

// next returns a channel that is closed when the topic's signal fires the next time.
func (t *topics) next(topic string) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waiting[topic] == nil {
		t.waiting[topic] = make(chan struct{})
	}
	return t.waiting[topic]
}

func (t *topics) fire(topic string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if waiting := t.waiting[topic]; waiting != nil {
		close(waiting)
		delete(t.waiting, topic)
	}
}

func (t *topics) fireAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, waiting := range t.waiting {
		close(waiting)
	}
	clear(t.waiting)
}
