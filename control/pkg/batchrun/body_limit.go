package batchrun

import (
	"context"

	"golang.org/x/sync/semaphore"
)

// bodyLimit limits the requests of the items that run at the same time. Their bodies are held until their calls end, in
// the leader's memory and in messages to gateways; items with the largest bodies in all slots of a fleet would exceed it.
type bodyLimit struct {
	// limit is in bytes, 0 for no limit.
	limit int64
	free  *semaphore.Weighted
}

func newBodyLimit(limit int64) *bodyLimit {
	return &bodyLimit{limit: limit, free: semaphore.NewWeighted(limit)}
}

// acquire waits until an item's request of that length may be held. It reports false if the context ends before.
func (l *bodyLimit) acquire(ctx context.Context, length int64) bool {
	return l.limit == 0 || l.free.Acquire(ctx, min(length, l.limit)) == nil
}

func (l *bodyLimit) release(length int64) {
	if l.limit > 0 {
		l.free.Release(min(length, l.limit))
	}
}
