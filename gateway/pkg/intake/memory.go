package intake

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/logs"
)

const (
	// maxSmallBytes is the most that a small request holds.
	maxSmallBytes = 64 << 10
	// largePart is the part of the memory that large requests may hold together, so that small ones find some.
	largePart = 0.75
	// slowAfter is the time after which a request whose body is still being read, or whose answer is still being written,
	// may lose its memory to another one. A body of the largest size arrives within that time.
	slowAfter clock.Millis = 2_000
	// evictionTimeout limits the wait for the memory of requests that were evicted, which their readers give back at once.
	evictionTimeout = 500 * time.Millisecond
)

var (
	// ErrMemoryFull means that the other requests hold too much memory, and that none of them is slow.
	ErrMemoryFull = errors.New("the memory for requests is used up")
	// ErrEvicted means that a request's caller was too slow, and that others need its memory.
	ErrEvicted = errors.New("the caller of the request was too slow")
)

// MemoryConfig holds the settings and dependencies of a Memory.
type MemoryConfig struct {
	// Limit is the memory that requests may hold together, in bytes; 0 for no limit.
	Limit      int64
	Logger     log.Logger
	Registerer prometheus.Registerer
}

// Memory limits the memory that the callers' requests hold together. A limit on each body is not enough: callers may
// send as many as there are connections, and leave all of them unended.
type Memory struct {
	config  MemoryConfig
	started time.Time
	evicted prometheus.Counter

	mu    sync.Mutex
	holds map[*Hold]bool
	used  int64
	// freed is closed and replaced when memory is given back.
	freed chan struct{}
}

// Phase is what a request is waiting for.
type Phase string

const (
	// Reading requests wait for their caller, who may be slow.
	Reading Phase = "reading"
	// Writing requests wait for their caller to read the answer.
	Writing Phase = "writing"
	// Serving requests wait for the system. They aren't evicted.
	Serving Phase = "serving"
)

// Hold is the memory of one request.
type Hold struct {
	memory *Memory
	// stop ends the reading or the writing of the request at once.
	stop func(Phase)

	// The following fields are guarded by the lock of the Memory.
	bytes int64
	phase Phase
	// since is when the phase began.
	since   clock.Millis
	evicted bool
	closed  bool
}

// NewMemory returns a Memory without requests.
func NewMemory(config MemoryConfig) *Memory {
	m := &Memory{config: config, started: time.Now(), holds: map[*Hold]bool{}, freed: make(chan struct{})}
	factory := promauto.With(config.Registerer)
	m.evicted = factory.NewCounter(prometheus.CounterOpts{
		Name: "toucanhinge_caller_requests_evicted_total", Help: "Requests whose callers were too slow and that lost their memory to others.",
	})
	factory.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "toucanhinge_caller_memory_bytes", Help: "Memory that the callers' requests hold.",
	}, func() float64 {
		m.mu.Lock()
		defer m.mu.Unlock()
		return float64(m.used)
	})
	return m
}

// now returns the time since the start. It doesn't follow changes of the time of day.
func (m *Memory) now() clock.Millis { return clock.Millis(time.Since(m.started).Milliseconds()) }

// Open returns the hold of a request that is about to be read. stop is called with the request's phase, from another
// goroutine, if the request must give its memory back.
func (m *Memory) Open(stop func(Phase)) *Hold {
	h := &Hold{memory: m, stop: stop, phase: Reading, since: m.now()}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holds[h] = true
	return h
}

// Grow takes more bytes. It fails with ErrMemoryFull or ErrEvicted; the request then has to be refused.
func (h *Hold) Grow(ctx context.Context, bytes int64) error {
	freed, err := h.take(bytes)
	if freed == nil {
		return err
	}
	timer := time.NewTimer(evictionTimeout)
	defer timer.Stop()
	for freed != nil {
		select {
		case <-freed:
		case <-timer.C:
			return ErrMemoryFull
		case <-ctx.Done():
			return ErrMemoryFull
		}
		freed, err = h.take(bytes)
	}
	return err
}

// take takes bytes, or evicts slow requests. In the second case, it returns a channel that is closed when memory has
// been given back.
func (h *Hold) take(bytes int64) (freed <-chan struct{}, err error) {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.evicted || h.closed {
		return nil, ErrEvicted
	}
	missing := m.missing(h, bytes)
	if missing <= 0 {
		h.bytes += bytes
		m.used += bytes
		return nil, nil
	}
	victims, enough := m.victims(m.now(), h, missing)
	if !enough {
		return nil, ErrMemoryFull
	}
	for _, v := range victims {
		v.evicted = true
		m.evicted.Inc()
		level.Info(m.config.Logger).Log(logs.KeyEvent, "request-evicted", "phase", v.phase, "bytes", v.bytes, "age-ms", m.now()-v.since, "used", m.used)
		v.stop(v.phase)
	}
	return m.freed, nil
}

// missing returns how much memory has to be given back before a request can take bytes. A large request that no other
// large one stands beside always gets them: otherwise a body of a size that the operator allows could never be served.
func (m *Memory) missing(h *Hold, bytes int64) int64 {
	limit := m.config.Limit
	if limit == 0 {
		return 0
	}
	if h.bytes+bytes <= maxSmallBytes {
		return m.used + bytes - limit
	}
	large := int64(0)
	for other := range m.holds {
		if other != h && other.bytes > maxSmallBytes {
			large += other.bytes
		}
	}
	if large == 0 {
		return 0
	}
	largeLimit := int64(largePart * float64(limit))
	return max(m.used+bytes-limit, large+h.bytes+bytes-largeLimit)
}

// victims returns the slow requests that have to give their memory back to free the missing bytes, those with the most
// bytes and time first; enough is false if they don't suffice. Requests that were evicted earlier count as well.
func (m *Memory) victims(now clock.Millis, h *Hold, missing int64) (victims []*Hold, enough bool) {
	var slow []*Hold
	for other := range m.holds {
		switch {
		case other == h || other.phase == Serving:
		case other.evicted:
			missing -= other.bytes
		case now-other.since >= slowAfter:
			slow = append(slow, other)
		}
	}
	cost := func(h *Hold) int64 { return h.bytes * int64(now-h.since) }
	slices.SortFunc(slow, func(a, b *Hold) int { return cmp.Compare(cost(b), cost(a)) })
	for _, other := range slow {
		if missing <= 0 {
			break
		}
		victims = append(victims, other)
		missing -= other.bytes
	}
	return victims, missing <= 0
}

// Fits reports whether one request may hold that many bytes at all.
func (m *Memory) Fits(bytes int64) bool {
	return m.config.Limit == 0 || bytes <= int64(largePart*float64(m.config.Limit))
}

// Shrink gives bytes back.
func (h *Hold) Shrink(bytes int64) {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	h.bytes -= bytes
	m.release(bytes)
}

// EndReading records that the request is read completely, so that it isn't evicted any more. It fails with ErrEvicted if
// it has been.
func (h *Hold) EndReading() error {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	if h.evicted {
		return ErrEvicted
	}
	h.phase = Serving
	return nil
}

// BeginWriting records that the answer is being written from memory, so that the request is evicted if its caller is slow
// to read.
func (h *Hold) BeginWriting() {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.phase, h.since = Writing, h.memory.now()
}

// Close gives all bytes back and takes no more. It may be called again.
func (h *Hold) Close() {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.holds, h)
	h.closed = true
	bytes := h.bytes
	h.bytes = 0
	m.release(bytes)
}

// release counts bytes as free. The caller holds the lock.
func (m *Memory) release(bytes int64) {
	if bytes == 0 {
		return
	}
	m.used -= bytes
	close(m.freed)
	m.freed = make(chan struct{})
}
