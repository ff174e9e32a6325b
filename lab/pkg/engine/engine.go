package engine

import (
	"context"
	"sync"
	"time"
)

// crashCode is the exit code of a crash on command or by a poison item.
const crashCode = 3

// idleWait is how long an idle loop sleeps unless a request wakes it.
const idleWait = 50 * time.Millisecond

// sweepEvery is how often kept streams are looked through for old ones.
const sweepEvery = 100 * time.Millisecond

// Engine is the stand-in. One mutex guards all: at these sizes it isn't felt.
type Engine struct {
	config  Config
	mu      sync.Mutex
	wake    chan struct{}
	waiting []*sequence
	running []*sequence
	streams map[string]*sequence
	cache   *prefixCache
	events  *cacheEvents
	ledger  ledger
	faults  Faults
	hits    int
	frozen  time.Time
	order   orderState
	loads   loadHistory
	swept   time.Time
	tokens  int64
	steps   int64
}

// New builds an engine; Run drives it.
func New(config Config) *Engine {
	config = config.withDefaults()
	e := &Engine{
		config: config, wake: make(chan struct{}, 1), streams: make(map[string]*sequence),
		ledger: ledger{records: make(map[string]*Record)}, faults: config.Faults,
		order:  orderState{Model: config.Model},
		events: newCacheEvents(config.EventLag, config.EventGap, config.Seed),
	}
	e.loads.lag = config.LoadLag
	e.cache = newPrefixCache(config.CacheBlocks,
		func(b uint64) { e.events.add("stored", b, time.Now()) },
		func(b uint64) { e.events.add("evicted", b, time.Now()) })
	return e
}

// Run is the batching loop. It ends with the context.
func (e *Engine) Run(ctx context.Context) {
	next := time.Now()
	for ctx.Err() == nil {
		e.thaw(ctx)
		length := e.plan()
		if length == 0 {
			e.idle(ctx)
			next = time.Now()
			continue
		}
		// Steps are scheduled one after the other, so that a late wake of the
		// loop doesn't add up to a slower engine.
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

func (e *Engine) idle(ctx context.Context) {
	t := time.NewTimer(idleWait)
	defer t.Stop()
	select {
	case <-e.wake:
	case <-t.C:
	case <-ctx.Done():
	}
}

// thaw holds the loop while the engine is frozen.
func (e *Engine) thaw(ctx context.Context) {
	e.mu.Lock()
	until := e.frozen
	e.mu.Unlock()
	sleep(ctx, time.Until(until))
}

// plan admits what waits, spends the prefill chunk and says how long this step
// takes; 0 when nothing runs.
func (e *Engine) plan() time.Duration {
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
		record := e.ledger.of(s.id)
		if !s.ran {
			s.ran = true
			record.Runs++
		}
		if s.prefill < 0 {
			s.prefill = max(0, s.promptTokens()-e.cache.hit(s.prompt))
			record.Prefill += s.prefill
		}
		e.running = append(e.running, s)
	}
}

// spendPrefill computes prompt tokens first in, first out within one chunk.
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

// finishStep gives each sequence whose prefill is done its token.
func (e *Engine) finishStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	kept := e.running[:0]
	for _, s := range e.running {
		if s.state != stateRunning {
			continue
		}
		if s.prefill > 0 {
			kept = append(kept, s)
			continue
		}
		e.produce(s)
		if s.state == stateRunning {
			kept = append(kept, s)
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
}

func (e *Engine) produce(s *sequence) {
	s.produced++
	e.tokens++
	record := e.ledger.of(s.id)
	record.Tokens++
	if s.produced >= s.most {
		s.state = stateDone
		s.idleAt = time.Now()
		record.Finished++
	}
	s.wake()
	if e.faults.CrashAfter > 0 {
		e.faults.CrashAfter--
		if e.faults.CrashAfter == 0 {
			e.config.Exit(crashCode)
		}
	}
}

// submit queues a new sequence. An older stream of the same id stays with its
// own handler, but the id now names the new one.
func (e *Engine) submit(s *sequence, mark string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	record := e.ledger.of(s.id)
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

// drop takes a sequence out of the slots and the queue.
func (e *Engine) drop(s *sequence) {
	e.running = without(e.running, s)
	e.waiting = without(e.waiting, s)
}

func without(all []*sequence, gone *sequence) []*sequence {
	for i, s := range all {
		if s == gone {
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
	e.drop(s)
	s.state = stateCancelled
	s.idleAt = time.Now()
	e.ledger.of(id).Cancelled = true
	s.wake()
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
	e.drop(s)
	s.state = stateSuspended
	s.idleAt = time.Now()
	e.ledger.of(s.id).Suspended++
	s.wake()
}

// abandon is called by a handler whose connection broke: the stream keeps its
// KV for a while, unless another handler has taken it over.
func (e *Engine) abandon(s *sequence, owner int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.owner == owner {
		e.suspendSequence(s)
	}
}

// evictIdle forgets ended streams and the KV of suspended ones after a while.
func (e *Engine) evictIdle(now time.Time) {
	if now.Sub(e.swept) < sweepEvery {
		return
	}
	e.swept = now
	for id, s := range e.streams {
		idle := s.state == stateSuspended || s.ended()
		if !idle || now.Sub(s.idleAt) < e.config.KVRetention {
			continue
		}
		if s.state == stateSuspended {
			s.state = stateEvicted
			e.ledger.of(id).Evicted = true
			s.wake()
		}
		delete(e.streams, id)
	}
}

// resume takes over a kept stream; nil when it isn't known any more.
func (e *Engine) resume(id string) (s *sequence, owner int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	if !ok || s.state == stateCancelled || s.state == stateEvicted {
		return nil, 0
	}
	s.owner++
	e.ledger.of(id).Resumes++
	if s.state == stateSuspended {
		e.enqueue(s)
	}
	return s, s.owner
}

// progress is what a handler may write now.
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
