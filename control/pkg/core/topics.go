package core

import "sync"

// topics is a set of named signals. With one signal for all topics, each of some hundred results
// a second would wake hundreds of readers and gateways that wait for other events.
type topics struct {
	mu      sync.Mutex
	waiting map[string]chan struct{}
}

func newTopics() *topics { return &topics{waiting: map[string]chan struct{}{}} }

// next returns a channel that is closed when the topic fires the next time.
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
