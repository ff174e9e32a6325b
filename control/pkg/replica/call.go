package replica

import (
	"context"
	"fmt"
	"sync"

	"github.com/pkg/errors"

	"toucanhinge.example/control/pkg/consensus"
)

type outcome struct {
	result any
	err    error
}

// call is a caller that waits for the outcome of its proposal, read or change.
type call struct {
	command  []byte
	canceled <-chan struct{}
	done     chan outcome
	term     uint64
}

func newCall(ctx context.Context, command []byte) *call {
	return &call{command: command, canceled: ctx.Done(), done: make(chan outcome, 1)}
}

func (c *call) isCanceled() bool {
	select {
	case <-c.canceled:
		return true
	default:
		return false
	}
}

func (c *call) complete(result any, err error) {
	select {
	case c.done <- outcome{result: result, err: err}:
	default:
	}
}

// adminRequest is a call that the machine receives as an event of its own.
type adminRequest struct {
	call  *call
	event func(id uint64) consensus.Event
}

// waiters contains the calls whose outcome depends on entries being applied.
type waiters struct {
	mu      sync.Mutex
	byIndex map[uint64]*call
	reads   []pendingRead
	applied uint64
}

type pendingRead struct {
	index uint64
	call  *call
}

func (w *waiters) add(c *call, index, term uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c.term = term
	w.byIndex[index] = c
}

// resolve completes the call that waits for this entry. If the entry of another leader
// has the same index, the command can never be committed any more.
func (w *waiters) resolve(e consensus.Entry, result any) {
	w.mu.Lock()
	c := w.byIndex[e.Index]
	delete(w.byIndex, e.Index)
	w.mu.Unlock()
	switch {
	case c == nil:
	case c.term == e.Term:
		c.complete(result, nil)
	default:
		c.complete(nil, &NotLeaderError{})
	}
}

// addRead completes the call once the index is applied.
func (w *waiters) addRead(c *call, index uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if index <= w.applied {
		c.complete(nil, nil)
		return
	}
	w.reads = append(w.reads, pendingRead{index: index, call: c})
}

func (w *waiters) advance(applied uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.applied = applied
	left := w.reads[:0]
	for _, r := range w.reads {
		if r.index <= applied {
			r.call.complete(nil, nil)
		} else {
			left = append(left, r)
		}
	}
	w.reads = left
}

func (w *waiters) lastApplied() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.applied
}

// failUpTo fails the calls up to the index whose entries aren't applied.
func (w *waiters) failUpTo(upTo uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for index, c := range w.byIndex {
		if index <= upTo {
			c.complete(nil, ErrUnknown)
			delete(w.byIndex, index)
		}
	}
}

// await waits for the outcome. Once the caller stops waiting, or the replica stops, the
// outcome is unknown.
func (g *Group) await(ctx context.Context, c *call) (any, error) {
	select {
	case o := <-c.done:
		return g.countRefusal(o.result, o.err)
	case <-ctx.Done():
		return g.countRefusal(nil, fmt.Errorf("%w: %w", ErrUnknown, ctx.Err()))
	case <-g.ctx.Done():
	}
	select {
	case o := <-c.done:
		return g.countRefusal(o.result, o.err)
	default:
		return g.countRefusal(nil, ErrUnknown)
	}
}

func (g *Group) countRefusal(result any, err error) (any, error) {
	if err != nil {
		g.metrics.refused.WithLabelValues(reasonOf(err)).Inc()
	}
	return result, err
}

func reasonOf(err error) string {
	var refused *RefusedError
	var notLeader *NotLeaderError
	switch {
	case errors.As(err, &refused):
		return string(refused.Reason)
	case errors.As(err, &notLeader):
		return reasonNotLeader
	case errors.Is(err, ErrOverloaded):
		return reasonOverloaded
	case errors.Is(err, ErrStopped):
		return reasonStopped
	default:
		return reasonUnknown
	}
}
