package group

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/ring"
	"toucanhinge.example/control/pkg/replica"
)

// Limits of batching. Each log entry costs a disk sync on a majority of replicas, at
// any size. While maxInFlight entries are in flight, new steps wait for the next batch.
const (
	ringSteps      = 4096
	maxBatchSteps  = 512
	maxBatchBytes  = 1 << 20
	maxInFlight    = 4
	proposeTimeout = 10 * time.Second
)

var errUnexpectedResult = errors.New("the machine gave no answer of the step's type")

// BatcherConfig configures a batcher.
type BatcherConfig[S any] struct {
	Propose func(ctx context.Context, command []byte) (any, error)
	Encode  func(at clock.Millis, steps []S) ([]byte, error)
	Clock   clock.Clock
	// Refused counts the steps refused because the ring is full; may be nil.
	Refused prometheus.Counter
}

// Batcher combines steps of concurrent calls into shared log entries.
type Batcher[S any] struct {
	config    BatcherConfig[S]
	ring      *ring.Ring[pendingStep[S]]
	inFlight  chan struct{}
	proposals sync.WaitGroup
}

// pendingStep is a step that waits for its result.
type pendingStep[S any] struct {
	step   S
	size   int
	result chan stepResult
}

type stepResult struct {
	value any
	err   error
}

// NewBatcher returns a batcher. Run must be running for Do to return results.
func NewBatcher[S any](config BatcherConfig[S]) *Batcher[S] {
	return &Batcher[S]{
		config:   config,
		ring:     ring.New[pendingStep[S]](ring.Config{Size: ringSteps, Refused: config.Refused}),
		inFlight: make(chan struct{}, maxInFlight),
	}
}

// Do proposes a step of about size bytes and returns the machine's result. The
// errors are those of replica.Group.Propose.
func (b *Batcher[S]) Do(ctx context.Context, step S, size int) (any, error) {
	s := pendingStep[S]{step: step, size: size, result: make(chan stepResult, 1)}
	if !b.ring.Offer(s) {
		return nil, replica.ErrOverloaded
	}
	select {
	case r := <-s.result:
		return r.value, r.err
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", replica.ErrUnknown, ctx.Err())
	}
}

// Run proposes batches until the context ends, then refuses the remaining steps.
func (b *Batcher[S]) Run(ctx context.Context) {
	var leftover *pendingStep[S]
	for {
		first, open := b.next(ctx, leftover)
		if !open {
			break
		}
		b.inFlight <- struct{}{}
		var batch []pendingStep[S]
		batch, leftover = b.collect(first)
		b.proposals.Add(1)
		go b.propose(batch)
	}
	b.proposals.Wait()
	for _, s := range b.ring.Drain(ringSteps) {
		s.result <- stepResult{err: replica.ErrStopped}
	}
}

// next returns the step left over from the last batch, or else waits for a step.
func (b *Batcher[S]) next(ctx context.Context, leftover *pendingStep[S]) (pendingStep[S], bool) {
	if leftover != nil {
		return *leftover, true
	}
	select {
	case s := <-b.ring.Items():
		return s, true
	case <-ctx.Done():
		return pendingStep[S]{}, false
	}
}

// collect returns a batch of first and the steps that wait in the ring, up to the
// limits. A step that exceeds maxBatchBytes is returned as leftover for the next batch.
func (b *Batcher[S]) collect(first pendingStep[S]) (batch []pendingStep[S], leftover *pendingStep[S]) {
	batch = []pendingStep[S]{first}
	size := first.size
	for len(batch) < maxBatchSteps {
		select {
		case s := <-b.ring.Items():
			if size+s.size > maxBatchBytes {
				return batch, &s
			}
			size += s.size
			batch = append(batch, s)
		default:
			return batch, nil
		}
	}
	return batch, nil
}

func (b *Batcher[S]) propose(batch []pendingStep[S]) {
	defer b.proposals.Done()
	defer func() { <-b.inFlight }()
	// The steps belong to several callers, so no caller's context may end the proposal.
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	results, err := b.proposeSteps(ctx, batch)
	for i, s := range batch {
		if err != nil {
			s.result <- stepResult{err: err}
			continue
		}
		s.result <- stepResult{value: results[i]}
	}
}

func (b *Batcher[S]) proposeSteps(ctx context.Context, batch []pendingStep[S]) ([]any, error) {
	steps := make([]S, 0, len(batch))
	for _, s := range batch {
		steps = append(steps, s.step)
	}
	command, err := b.config.Encode(b.config.Clock.Now(), steps)
	if err != nil {
		return nil, fmt.Errorf("encode a command: %w", err)
	}
	result, err := b.config.Propose(ctx, command)
	if err != nil {
		return nil, err
	}
	results, fits := result.([]any)
	if !fits || len(results) != len(batch) {
		return nil, errUnexpectedResult
	}
	return results, nil
}
