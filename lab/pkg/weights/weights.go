// Package weights simulates the rate-limited weight store. All fetches share one rate, so
// many concurrent fetches slow each other down.
package weights

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	chunkBytes = 64 << 10
	// defaultSize is the default size of the weights of each model, and the default rate per second.
	defaultSize = 4 << 20
)

// Config configures a Store.
type Config struct {
	// BytesPerSecond is the rate that all fetches share.
	BytesPerSecond int64
	// Size is the size in bytes of the weights of each model.
	Size int64
}

// Store is a simulated weight store.
type Store struct {
	config Config
	mu     sync.Mutex
	// nextFree is the time from which the shared rate has unreserved capacity.
	nextFree time.Time
	active   int
	peak     int
	total    int
}

// New returns a Store.
func New(config Config) *Store {
	if config.Size <= 0 {
		config.Size = defaultSize
	}
	if config.BytesPerSecond <= 0 {
		config.BytesPerSecond = defaultSize
	}
	return &Store{config: config}
}

// Handler serves GET /weights/NAME and GET /ledger.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{name}", s.handleFetch)
	mux.HandleFunc("GET /ledger", s.handleLedger)
	return mux
}

func (s *Store) handleFetch(w http.ResponseWriter, r *http.Request) {
	s.startFetch()
	defer s.endFetch()
	w.Header().Set("Content-Length", strconv.FormatInt(s.config.Size, 10))
	chunk := make([]byte, chunkBytes)
	for remaining := s.config.Size; remaining > 0; {
		n := min(remaining, chunkBytes)
		time.Sleep(s.reserve(n))
		if _, err := w.Write(chunk[:n]); err != nil || r.Context().Err() != nil {
			return
		}
		remaining -= n
	}
}

// reserve reserves n bytes of the shared rate and returns the time to wait before sending them.
func (s *Store) reserve(n int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.nextFree.Before(now) {
		s.nextFree = now
	}
	wait := s.nextFree.Sub(now)
	s.nextFree = s.nextFree.Add(time.Duration(float64(n) / float64(s.config.BytesPerSecond) * float64(time.Second)))
	return wait
}

func (s *Store) startFetch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
	s.total++
	s.peak = max(s.peak, s.active)
}

func (s *Store) endFetch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

func (s *Store) handleLedger(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(`{"fetches":` + strconv.Itoa(s.total) + `,"peak":` + strconv.Itoa(s.peak) + "}\n"))
}
