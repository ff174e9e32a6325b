package replica

import (
	"sync"

	"github.com/go-kit/log/level"

	"toucanhinge.example/control/pkg/consensus"
)

// applyItem is a list of committed entries, or a snapshot to install.
type applyItem struct {
	entries  []consensus.Entry
	snapshot *spooledSnapshot
}

// applier is the state of the applying goroutine. checkpoint is the latest checkpoint,
// which goroutines that send snapshots read too.
type applier struct {
	index   uint64
	term    uint64
	members consensus.Members
	entries uint64
	bytes   int

	mu         sync.Mutex
	checkpoint checkpoint
	// exportMu is held for reading while a snapshot is sent.
	exportMu sync.RWMutex
}

func (a *applier) setCheckpoint(cp checkpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.checkpoint = cp
}

func (a *applier) latestCheckpoint() checkpoint {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.checkpoint
}

func (g *Group) runApplier() {
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-g.committed.wake:
			for _, item := range g.committed.drain() {
				if item.snapshot != nil {
					g.installSnapshot(item.snapshot)
					continue
				}
				g.applyEntries(item.entries)
			}
			g.checkpointIfDue()
		}
	}
}

func (g *Group) applyEntries(entries []consensus.Entry) {
	a := &g.applier
	for _, e := range entries {
		if e.Index <= a.index {
			continue
		}
		g.waiters.resolve(e, g.applyEntry(e))
		a.index, a.term = e.Index, e.Term
		a.entries++
		a.bytes += len(e.Data)
		g.metrics.applied.Inc()
	}
	g.waiters.advance(a.index)
}

func (g *Group) applyEntry(e consensus.Entry) any {
	switch e.Kind {
	case consensus.EntryCommand:
		return g.machine.Apply(e.Index, e.Data)
	case consensus.EntryMembers:
		members, err := consensus.DecodeMembers(e.Data)
		if err != nil {
			_ = level.Error(g.logger).Log("event", "members_unreadable", "index", e.Index, "error", err)
			return nil
		}
		g.applier.members = members
	}
	return nil
}
