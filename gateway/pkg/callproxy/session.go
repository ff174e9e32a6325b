package callproxy

import (
	"context"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// defaultFlushInterval is how long events are buffered until the calling daemon requests another interval. No
	// caller waits for single events of an item, and each message costs both ends some 50 us of CPU time. Buffered
	// events are lost if the VM of either end fails.
	defaultFlushInterval = 500 * time.Millisecond
	// urgentDelay is how long urgent events wait for others: when a burst begins, all items of this gateway are
	// preempted within some milliseconds.
	urgentDelay = 3 * time.Millisecond
)

type stream = connect.BidiStream[toucanhingev1.CarryCommands, toucanhingev1.CarryEvents]

// session is a daemon's session with this gateway and the calls that it requested.
type session struct {
	// urgent signals that there are urgent events to send. It has capacity one.
	urgent chan struct{}

	// intervals holds a new flush interval. It has capacity one.
	intervals chan time.Duration

	mu    sync.Mutex
	calls map[uint64]*call
	// flushInterval is how long events are buffered.
	flushInterval time.Duration
}

func newSession() *session {
	return &session{urgent: make(chan struct{}, 1), intervals: make(chan time.Duration, 1), calls: map[uint64]*call{}, flushInterval: defaultFlushInterval}
}

// setFlushInterval sets how long events are buffered. A zero interval leaves it unchanged.
func (s *session) setFlushInterval(interval time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if interval == 0 || interval == s.flushInterval {
		return
	}
	s.flushInterval = interval
	// The new interval replaces one that wasn't applied yet.
	select {
	case <-s.intervals:
	default:
	}
	s.intervals <- interval
}

func (s *session) wake() {
	select {
	case s.urgent <- struct{}{}:
	default:
	}
}

func (s *session) add(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[c.number] = c
}

// release ends the given calls early.
func (s *session) release(cause error, numbers ...uint64) (ended int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, number := range numbers {
		if c := s.calls[number]; c != nil {
			c.cancel(cause)
			ended++
		}
	}
	return ended
}

// cancelMatching ends the calls that match a predicate, and counts each call once.
func (s *session) cancelMatching(cause error, count prometheus.Counter, match func(c *call) bool) (ended int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.calls {
		// An ended call stays in the map until its end was sent.
		if c.ended || !match(c) {
			continue
		}
		c.ended = true
		// The counter is increased first, so that the metrics include the call once the runner sees its connection
		// closed.
		count.Inc()
		c.cancel(cause)
		ended++
	}
	return ended
}

// collect returns the events to send and the number of calls. It removes ended calls.
func (s *session) collect(all bool) (events []*toucanhingev1.CarryEvent, calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls = len(s.calls)
	for number, c := range s.calls {
		event := c.collect(all)
		if event == nil {
			continue
		}
		events = append(events, event)
		if event.GetEnd() != nil {
			delete(s.calls, number)
		}
	}
	return events, calls
}

// sendEvents sends the events of calls until the context ends. If there are calls without events, it sends empty
// messages as keepalives.
func (s *session) sendEvents(ctx context.Context, out *stream) error {
	ticker := time.NewTicker(defaultFlushInterval)
	defer ticker.Stop()
	for {
		all := false
		select {
		case <-ctx.Done():
			return nil
		case interval := <-s.intervals:
			ticker.Reset(interval)
			continue
		case <-s.urgent:
			time.Sleep(urgentDelay)
		case <-ticker.C:
			all = true
		}
		events, calls := s.collect(all)
		if len(events) == 0 && (!all || calls == 0) {
			continue
		}
		if err := out.Send(&toucanhingev1.CarryEvents{Events: events}); err != nil {
			return fmt.Errorf("send call events: %w", err)
		}
	}
}
