package intake

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const testLimit = 4 << 20

func newTestMemory() *Memory {
	return NewMemory(MemoryConfig{Limit: testLimit, Logger: log.NewNopLogger(), Registerer: prometheus.NewRegistry()})
}

// makeSlow makes a request look as if its phase had begun earlier.
func (h *Hold) makeSlow() {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.since -= slowAfter
}

// readerOf returns a request that gives its memory back as soon as it is told to.
func readerOf(m *Memory) *Hold {
	var h *Hold
	h = m.Open(func(Phase) { go h.Close() })
	return h
}

// Guards against callers with unended bodies who keep others from being read.
func TestSlowRequestsGiveWay(t *testing.T) {
	const large = 1 << 20
	for _, c := range []struct {
		name string
		// before are the bytes of requests that are there, slow and phase apply to them.
		before []int64
		slow   bool
		phase  Phase
		bytes  int64
		want   error
	}{
		{"room for all", []int64{large}, true, Reading, large, nil},
		{"slow bodies are evicted", []int64{large, large, large}, true, Reading, large, nil},
		{"bodies that have just begun stay", []int64{large, large, large}, false, Reading, large, ErrMemoryFull},
		{"complete bodies stay", []int64{large, large, large}, true, Serving, large, ErrMemoryFull},
		{"answers that are read slowly are evicted", []int64{large, large, large}, true, Writing, large, nil},
		{"answers that were just begun stay", []int64{large, large, large}, false, Writing, large, ErrMemoryFull},
		{"large bodies leave room for small ones", []int64{large, large, large}, false, Reading, maxSmallBytes, nil},
		{"a single large body may exceed the limit", nil, false, Reading, 2 * testLimit, nil},
		{"beside another large one it may not", []int64{large}, false, Reading, testLimit, ErrMemoryFull},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newTestMemory()
			for _, bytes := range c.before {
				h := readerOf(m)
				require.NoError(t, h.Grow(context.Background(), bytes))
				if c.phase != Reading {
					require.NoError(t, h.EndReading())
				}
				if c.phase == Writing {
					h.BeginWriting()
				}
				if c.slow {
					h.makeSlow()
				}
			}
			require.ErrorIs(t, readerOf(m).Grow(context.Background(), c.bytes), c.want)
		})
	}
}

// Guards against an evicted request that is run although others have its memory.
func TestEvictedRequestIsNotCompleted(t *testing.T) {
	m := newTestMemory()
	evicted := make(chan struct{})
	h := m.Open(func(Phase) { close(evicted) })
	require.NoError(t, h.Grow(context.Background(), 2<<20))
	h.makeSlow()
	result := make(chan error, 1)
	go func() { result <- readerOf(m).Grow(context.Background(), 2<<20) }()
	<-evicted
	require.ErrorIs(t, h.EndReading(), ErrEvicted)
	require.ErrorIs(t, h.Grow(context.Background(), 1), ErrEvicted)
	h.Close()
	require.NoError(t, <-result)
}

// Guards against a wait without an end for a request that doesn't give its memory back.
func TestWaitForEvictedRequestIsBounded(t *testing.T) {
	m := newTestMemory()
	h := m.Open(func(Phase) {})
	require.NoError(t, h.Grow(context.Background(), 3<<20))
	h.makeSlow()
	start := time.Now()
	require.ErrorIs(t, readerOf(m).Grow(context.Background(), 2<<20), ErrMemoryFull)
	require.GreaterOrEqual(t, time.Since(start), evictionTimeout)
}

// The memory in use is what the open requests hold, and above the limit only by one large request.
func TestRapidMemoryStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTestMemory()
		held := map[*Hold]int64{}
		var open []*Hold
		pick := func() *Hold {
			if len(open) == 0 {
				return nil
			}
			return rapid.SampledFrom(open).Draw(t, "request")
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(*rapid.T) {
				h := m.Open(func(Phase) {})
				open, held[h] = append(open, h), 0
			},
			"take": func(t *rapid.T) {
				h := pick()
				if h == nil {
					return
				}
				bytes := rapid.Int64Range(1, testLimit).Draw(t, "bytes")
				if freed, err := h.take(bytes); freed == nil && err == nil {
					held[h] += bytes
				}
			},
			"shrink": func(t *rapid.T) {
				if h := pick(); h != nil && held[h] > 0 {
					bytes := rapid.Int64Range(1, held[h]).Draw(t, "bytes")
					h.Shrink(bytes)
					held[h] -= bytes
				}
			},
			"end reading": func(*rapid.T) {
				if h := pick(); h != nil {
					require.Equal(t, h.evicted, h.EndReading() != nil)
				}
			},
			"age": func(*rapid.T) {
				if h := pick(); h != nil {
					h.makeSlow()
				}
			},
			"close": func(*rapid.T) {
				if h := pick(); h != nil {
					h.Close()
					open = slices.DeleteFunc(open, func(other *Hold) bool { return other == h })
					delete(held, h)
				}
			},
			"": func(t *rapid.T) {
				sum, largest := int64(0), int64(0)
				for _, bytes := range held {
					sum += bytes
					largest = max(largest, bytes)
				}
				require.Equal(t, sum, m.used)
				require.LessOrEqual(t, sum-largest, int64(testLimit))
			},
		})
	})
}
