package engine

import (
	"context"
	"sync"
	"time"
)

// crashCode is the exit code of a crash caused by a fault or a poison item.
const crashCode = 3

// idlePollInterval is how long the idle loop sleeps unless a request wakes it.
const idlePollInterval = 50 * time.Millisecond

// sweepInterval is the interval between scans for expired streams.
const sweepInterval = 100 * time.Millisecond

// Engine simulates a model engine. One mutex guards all state; contention is
// negligible at the batch sizes used here.
type Engine struct {
	config      Config
	mu          sync.Mutex
	wake        chan struct{}
	waiting     []*sequence
	running     []*sequence
	streams     map[string]*sequence
	cache       *prefixCache
	events      *cacheEventLog
	ledger      ledger
	faults      Faults
	faultHits   int
	frozenUntil time.Time
	orderState  orderState
	loads       loadHistory
	lastSweep   time.Time
	tokens      int64
	steps       int64
}

// New returns an engine. Run must be called to process requests.
func New(config Config) *Engine {
	config = config.withDefaults()
	e := &Engine{
		config: config, wake: make(chan struct{}, 1), streams: make(map[string]*sequence),
		ledger: ledger{records: make(map[string]*Record)}, faults: config.Faults,
		orderState: orderState{Model: config.Model},
		events:     newCacheEventLog(config.EventLag, config.EventGap, config.Seed),
	}
	e.loads.lag = config.LoadLag
	e.cache = newPrefixCache(config.CacheBlocks,
		func(b uint64) { e.events.add("stored", b, time.Now()) },
		func(b uint64) { e.events.add("evicted", b, time.Now()) })
	return e
}

// Run runs the batching loop until the context is done.
func (e *Engine) Run(ctx context.Context) {
	next := time.Now()
	for ctx.Err() == nil {
		e.waitWhileFrozen(ctx)
		length := e.planStep()
		if length == 0 {
			e.waitForWork(ctx)
			next = time.Now()
			continue
		}
		// Each step is scheduled relative to the previous one, so that late
		// wake-ups of the loop don't accumulate and slow the engine down.
		next = next.Add(length)
		if now := time.Now(); next.Before(now) {
			next = now
		}
		sleep(ctx, time.Until(next))
		e.finishStep()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (e *Engine) waitForWork(ctx context.Context) {
	t := time.NewTimer(idlePollInterval)
	defer t.Stop()
	select {
	case <-e.wake:
	case <-t.C:
	case <-ctx.Done():
	}
}

// waitWhileFrozen blocks while the engine is frozen or until the context is done.
func (e *Engine) waitWhileFrozen(ctx context.Context) {
	e.mu.Lock()
	until := e.frozenUntil
	e.mu.Unlock()
	sleep(ctx, time.Until(until))
}

// planStep admits waiting sequences, spends the prefill chunk and returns the
// duration of the step, or 0 if no sequence runs.
func (e *Engine) planStep() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.evictIdle(now)
	e.admit()
	e.loads.record(e.currentLoad(now), now)
	if len(e.running) == 0 {
		return 0
	}
	e.steps++
	return e.config.Timing.StepDuration(len(e.running), e.spendPrefill(), e.faults.SlowFactor)
}

func (e *Engine) admit() {
	for len(e.running) < e.config.Slots && len(e.waiting) > 0 {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		s.state = stateRunning
		record := e.ledger.recordFor(s.id)
		if !s.admitted {
			s.admitted = true
			record.Runs++
		}
		if s.prefill < 0 {
			s.prefill = max(0, s.promptTokens()-e.cache.hitTokens(s.prompt))
			record.Prefill += s.prefill
		}
		e.running = append(e.running, s)
	}
}

// spendPrefill computes the prompt tokens of running sequences in FIFO order, up to
// one chunk, and returns the number of tokens computed.
func (e *Engine) spendPrefill() int {
	left := prefillChunk
	for _, s := range e.running {
		if s.prefill <= 0 {
			continue
		}
		spent := min(left, s.prefill)
		s.prefill -= spent
		left -= spent
		if s.prefill == 0 {
			e.cache.store(s.prompt)
		}
		if left == 0 {
			break
		}
	}
	return prefillChunk - left
}

// finishStep emits one token for each running sequence whose prefill is complete.
func (e *Engine) finishStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	remaining := e.running[:0]
	for _, s := range e.running {
		if s.state != stateRunning {
			continue
		}
		if s.prefill > 0 {
			remaining = append(remaining, s)
			continue
		}
		e.emitToken(s)
		if s.state == stateRunning {
			remaining = append(remaining, s)
		}
	}
	clear(e.running[len(remaining):])
	e.running = remaining
}

func (e *Engine) emitToken(s *sequence) {
	s.produced++
	e.tokens++
	record := e.ledger.recordFor(s.id)
	record.Tokens++
	if s.produced >= s.maxTokens {
		s.state = stateDone
		s.idleSince = time.Now()
		record.Finished++
	}
	s.notify()
	if e.faults.CrashAfter > 0 {
		e.faults.CrashAfter--
		if e.faults.CrashAfter == 0 {
			e.config.Exit(crashCode)
		}
	}
}

// submit enqueues a new sequence. An older stream with the same id continues in its
// own handler, but the id now refers to the new stream.
func (e *Engine) submit(s *sequence, mark string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	record := e.ledger.recordFor(s.id)
	record.Posts++
	if mark != "" {
		record.Mark = mark
	}
	e.streams[s.id] = s
	e.enqueue(s)
}

func (e *Engine) enqueue(s *sequence) {
	s.state = stateWaiting
	e.waiting = append(e.waiting, s)
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// remove removes a sequence from the slots and the wait queue.
func (e *Engine) remove(s *sequence) {
	e.running = without(e.running, s)
	e.waiting = without(e.waiting, s)
}

func without(all []*sequence, removed *sequence) []*sequence {
	for i, s := range all {
		if s == removed {
			return append(all[:i:i], all[i+1:]...)
		}
	}
	return all
}

func (e *Engine) cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	if !ok || s.ended() {
		return false
	}
	e.remove(s)
	s.state = stateCancelled
	s.idleSince = time.Now()
	e.ledger.recordFor(id).Cancelled = true
	s.notify()
	return true
}

func (e *Engine) suspend(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	if !ok || s.ended() {
		return false
	}
	e.suspendSequence(s)
	return true
}

func (e *Engine) suspendSequence(s *sequence) {
	if s.ended() || s.state == stateSuspended {
		return
	}
	e.remove(s)
	s.state = stateSuspended
	s.idleSince = time.Now()
	e.ledger.recordFor(s.id).Suspended++
	s.notify()
}

// handleDisconnect suspends a stream whose connection broke. The stream retains its
// KV cache for Config.KVRetention. If another handler has resumed the stream, it does nothing.
func (e *Engine) handleDisconnect(s *sequence, owner int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.owner == owner {
		e.suspendSequence(s)
	}
}

// evictIdle deletes ended and suspended streams after Config.KVRetention.
func (e *Engine) evictIdle(now time.Time) {
	if now.Sub(e.lastSweep) < sweepInterval {
		return
	}
	e.lastSweep = now
	for id, s := range e.streams {
		idle := s.state == stateSuspended || s.ended()
		if !idle || now.Sub(s.idleSince) < e.config.KVRetention {
			continue
		}
		if s.state == stateSuspended {
			s.state = stateEvicted
			e.ledger.recordFor(id).Evicted = true
			s.notify()
		}
		delete(e.streams, id)
	}
}

// resume makes the caller the owner of a retained stream. It returns nil if the
// stream is unknown, cancelled or evicted.
func (e *Engine) resume(id string) (s *sequence, owner int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	if !ok || s.state == stateCancelled || s.state == stateEvicted {
		return nil, 0
	}
	s.owner++
	e.ledger.recordFor(id).Resumes++
	if s.state == stateSuspended {
		e.enqueue(s)
	}
	return s, s.owner
}

// progress is a stream's state as seen by one handler. Up to events events may be written.
type progress struct {
	events   int
	produced int
	state    sequenceState
	owned    bool
}

func (e *Engine) progressOf(s *sequence, owner int) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return progress{events: s.events(), produced: s.produced, state: s.state, owned: s.owner == owner}
}
