package engine

import (
	"math/rand/v2"
	"time"
)

// maxCacheEvents limits the number of events retained for queries.
const maxCacheEvents = 4096

// CacheEvent reports that a block was stored in the prefix cache or evicted from it.
type CacheEvent struct {
	Sequence   uint64 `json:"sequence"`
	Kind       string `json:"kind"`
	Block      uint64 `json:"block"`
	recordedAt time.Time
}

// cacheEventLog publishes events with a delay and with gaps: a fraction of the
// events is dropped.
type cacheEventLog struct {
	lag      time.Duration
	gap      float64
	random   *rand.Rand
	next     uint64
	retained []CacheEvent
}

func newCacheEventLog(lag time.Duration, gap float64, seed uint64) *cacheEventLog {
	return &cacheEventLog{lag: lag, gap: gap, random: rand.New(rand.NewPCG(seed, 1))}
}

func (c *cacheEventLog) add(kind string, block uint64, now time.Time) {
	c.next++
	if c.random.Float64() < c.gap {
		return
	}
	c.retained = append(c.retained, CacheEvent{Sequence: c.next, Kind: kind, Block: block, recordedAt: now})
	if len(c.retained) > maxCacheEvents {
		c.retained = c.retained[len(c.retained)-maxCacheEvents:]
	}
}

func (c *cacheEventLog) since(sequence uint64, now time.Time) []CacheEvent {
	found := []CacheEvent{}
	for _, e := range c.retained {
		if e.Sequence > sequence && now.Sub(e.recordedAt) >= c.lag {
			found = append(found, e)
		}
	}
	return found
}
