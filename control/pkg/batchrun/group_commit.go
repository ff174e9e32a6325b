package batchrun

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// commitDelay is how long a step waits for others that are logged by the same command. A command is a
	// round trip to every member of the core. For a leader that logged each of a hundred results a
	// second by itself, replication and read confirmations with their HTTP/2 took a third of its CPU
	// time. Teams read results only twice a second, so the delay doesn't matter to them.
	commitDelay = 20 * time.Millisecond
	// maxStepsPerCommand limits the steps of one command.
	maxStepsPerCommand = 64
)

var errResultCount = errors.New("the number of results differs from the number of steps in the command")

// groupCommit logs steps on items. Steps that arrive within commitDelay share one command.
type groupCommit struct {
	propose func(ctx context.Context, steps ...*toucanhingev1.SystemStep) ([]any, error)

	mu      sync.Mutex
	pending []*pendingStep
}

// pendingStep is a step that waits to be logged. done is closed when result and err are set.
type pendingStep struct {
	ctx    context.Context
	step   *toucanhingev1.SystemStep
	done   chan struct{}
	result any
	err    error
}

// log logs a step and returns its result.
func (g *groupCommit) log(ctx context.Context, step *toucanhingev1.SystemStep) (any, error) {
	entry := &pendingStep{ctx: ctx, step: step, done: make(chan struct{})}
	g.mu.Lock()
	g.pending = append(g.pending, entry)
	first := len(g.pending) == 1
	g.mu.Unlock()
	if first {
		time.AfterFunc(commitDelay, g.flush)
	}
	<-entry.done
	return entry.result, entry.err
}

func (g *groupCommit) flush() {
	g.mu.Lock()
	pending := g.pending
	g.pending = nil
	g.mu.Unlock()
	for len(pending) > 0 {
		part := pending[:min(len(pending), maxStepsPerCommand)]
		pending = pending[len(part):]
		g.proposeSteps(part)
	}
}

// proposeSteps logs the entries' steps by one command. All entries carry the same context, which lasts
// while this process leads.
func (g *groupCommit) proposeSteps(entries []*pendingStep) {
	steps := make([]*toucanhingev1.SystemStep, 0, len(entries))
	for _, e := range entries {
		steps = append(steps, e.step)
	}
	results, err := g.propose(entries[0].ctx, steps...)
	if err == nil && len(results) != len(entries) {
		err = errResultCount
	}
	for i, e := range entries {
		if e.err = err; err == nil {
			e.result = results[i]
		}
		close(e.done)
	}
}
