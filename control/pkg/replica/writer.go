package replica

import (
	"time"

	"github.com/go-kit/log/level"

	"toucanhinge.example/control/pkg/consensus"
)

// slowSyncThreshold is the duration of a sync above which it is logged. A replica that syncs for longer than the election
// timeout can't lead or vote meanwhile.
const slowSyncThreshold = 200 * time.Millisecond

// runWriter writes the log: all pending Persists go into one write and one sync. While a
// sync runs, the next batch accumulates.
func (g *Group) runWriter() {
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-g.dropBefore.wake:
			g.dropLogFiles()
		case <-g.persists.wake:
			persists := g.persists.drain()
			if len(persists) == 0 {
				continue
			}
			startedAt := time.Now()
			if err := g.log.Append(persists...); err != nil {
				g.fail(err)
				return
			}
			g.recordSync(persists, time.Since(startedAt))
			g.synced.Store(persists[len(persists)-1].Sequence)
			wake(g.syncedWake)
		}
	}
}

func (g *Group) recordSync(persists []consensus.Persist, took time.Duration) {
	entries := 0
	for _, p := range persists {
		entries += len(p.Entries)
	}
	g.metrics.syncs.Observe(took.Seconds())
	g.metrics.synced.Add(float64(entries))
	if took >= slowSyncThreshold {
		_ = level.Warn(g.logger).Log("event", "slow_sync", "took_ms", took.Milliseconds(), "entries", entries, "writes", len(persists))
	}
}

// dropLogFiles removes old log files. A failure only costs disk space.
func (g *Group) dropLogFiles() {
	for _, index := range g.dropBefore.drain() {
		if err := g.log.DropBefore(index); err != nil {
			_ = level.Warn(g.logger).Log("event", "log_not_dropped", "error", err)
		}
	}
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
