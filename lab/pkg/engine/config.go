package engine

import (
	"net/http"
	"time"
)

// Config is how an engine is built.
type Config struct {
	Name  string
	Model string
	// Slots is how many sequences run at once; the rest waits first in, first out.
	Slots  int
	Timing Timing
	// CacheBlocks bounds the prefix cache.
	CacheBlocks int
	// KVRetention is how long a suspended stream's KV stays.
	KVRetention time.Duration
	// LoadLag is how old the reported load is.
	LoadLag time.Duration
	// EventLag and EventGap make cache events late and lossy (share lost, 0 to 1).
	EventLag time.Duration
	EventGap float64
	// CheckFence refuses orders with an older fencing number.
	CheckFence bool
	// Weights is the weight store's base URL; when empty, loading takes LoadTime.
	Weights  string
	LoadTime time.Duration
	Faults   Faults
	Seed     uint64
	// Exit ends the process on a crash; tests put their own in.
	Exit   func(code int)
	Client *http.Client
}

func (c Config) withDefaults() Config {
	if c.Slots <= 0 {
		c.Slots = 16
	}
	if c.CacheBlocks <= 0 {
		c.CacheBlocks = 4096
	}
	if c.KVRetention <= 0 {
		c.KVRetention = 10 * time.Second
	}
	if c.Exit == nil {
		c.Exit = func(int) {}
	}
	if c.Client == nil {
		c.Client = http.DefaultClient
	}
	return c
}
