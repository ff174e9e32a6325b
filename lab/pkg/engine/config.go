package engine

import (
	"net/http"
	"time"
)

// Config configures an Engine.
type Config struct {
	Name  string
	Model string
	// Slots is the maximum number of concurrent sequences. Further sequences wait in FIFO order.
	Slots  int
	Timing Timing
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// KVRetention is how long the KV cache of a suspended stream is retained.
	KVRetention time.Duration
	// LoadLag is the age of the reported load.
	LoadLag time.Duration
	// EventLag delays cache events. EventGap is the fraction of events dropped, from 0 to 1.
	EventLag time.Duration
	EventGap float64
	// CheckFence makes the engine refuse orders with an older fencing token.
	CheckFence bool
	// Weights is the base URL of the weight store. If it is empty, a load takes LoadTime.
	Weights  string
	LoadTime time.Duration
	Faults   Faults
	Seed     uint64
	// Exit terminates the process on a crash. Tests replace it.
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
