package replica

import (
	"github.com/go-kit/log/level"

	"toucanhinge.example/control/pkg/consensus"
)

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
			if err := g.log.Append(persists...); err != nil {
				g.fail(err)
				return
			}
			g.countSync(persists)
			g.synced.Store(persists[len(persists)-1].Sequence)
			wake(g.syncedWake)
		}
	}
}

func (g *Group) countSync(persists []consensus.Persist) {
	g.metrics.syncs.Inc()
	for _, p := range persists {
		g.metrics.synced.Add(float64(len(p.Entries)))
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
