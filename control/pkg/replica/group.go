package replica

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/ring"
	"toucanhinge.example/control/pkg/consensus"
	"toucanhinge.example/control/pkg/disk"
)

const (
	proposalRingSize     = 4096
	readRingSize         = 4096
	adminRequestRingSize = 64
	eventRingSize        = 64
)

// Group is this process's replica of one consensus group.
type Group struct {
	config  Config
	machine Machine
	logger  log.Logger
	metrics *groupMetrics

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	closed sync.Once

	inbox         *ring.Ring[inboxItem]
	proposals     *ring.Ring[*call]
	reads         *ring.Ring[*call]
	adminRequests *ring.Ring[*adminRequest]
	events        *ring.Ring[consensus.Event]

	persists   *mailbox[consensus.Persist]
	dropBefore *mailbox[uint64]
	committed  *mailbox[applyItem]
	synced     atomic.Uint64
	syncedWake chan struct{}

	view    atomic.Pointer[view]
	waiters waiters
	failure atomic.Pointer[error]
	failed  chan struct{}

	// After the start, only the writer goroutine uses log, only the consensus loop uses
	// loop, and only the applier goroutine uses applier, except for its locked fields.
	log     *disk.Log
	loop    loop
	applier applier
}

// Open restores a replica from its folder and starts it. The error for a damaged log is a
// *disk.DamageError.
func Open(config Config, machine Machine) (*Group, error) {
	config = config.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	g := &Group{
		config: config, machine: machine, ctx: ctx, cancel: cancel,
		logger:        log.With(config.Logger, "group", config.Group),
		metrics:       newMetrics(config.Registerer, config.Group),
		reads:         ring.New[*call](ring.Config{Size: readRingSize}),
		proposals:     ring.New[*call](ring.Config{Size: proposalRingSize}),
		adminRequests: ring.New[*adminRequest](ring.Config{Size: adminRequestRingSize}),
		events:        ring.New[consensus.Event](ring.Config{Size: eventRingSize}),
		persists:      newMailbox[consensus.Persist](),
		dropBefore:    newMailbox[uint64](),
		committed:     newMailbox[applyItem](),
		syncedWake:    make(chan struct{}, 1),
		failed:        make(chan struct{}),
	}
	g.inbox = ring.New[inboxItem](ring.Config{
		Size: config.RingSize, Refused: g.metrics.dropped.WithLabelValues(dropInboxFull),
	})
	g.waiters.byIndex = map[uint64]*call{}
	if err := g.restore(); err != nil {
		cancel()
		return nil, fmt.Errorf("open group %d: %w", config.Group, err)
	}
	_ = level.Info(g.logger).Log("event", "replica_opened", "identity", config.Identity,
		"applied", g.waiters.applied, "last", g.loop.consensus.Last(), "term", g.view.Load().status.Term)
	g.start()
	return g, nil
}

// restore reads the checkpoint and the log, and loads the state machine.
func (g *Group) restore() error {
	if err := removeSpooledSnapshots(g.config.Folder); err != nil {
		return err
	}
	cp, err := readCheckpoint(g.config.Folder)
	if err != nil {
		return err
	}
	logConfig := g.config.Disk
	logConfig.Folder = filepath.Join(g.config.Folder, "log")
	logConfig.FileBytes = g.config.LogFileBytes
	l, content, err := disk.Open(logConfig)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	g.log = l
	if content, err = g.alignLog(cp, content); err != nil {
		return err
	}
	if err := g.machine.Load(cp.Manifest); err != nil {
		return fmt.Errorf("load state: %w", err)
	}
	a := &g.applier
	a.checkpoint, a.index, a.term, a.members = cp, cp.Index, cp.Term, cp.Members
	g.waiters.applied = cp.Index
	return g.restoreLoop(cp, content)
}

// alignLog makes the log continue from the checkpoint. A crash after a snapshot was
// installed, and before the log was reset, leaves a log that ends before the checkpoint
// or differs from it.
func (g *Group) alignLog(cp checkpoint, content disk.Content) (disk.Content, error) {
	if cp.Index == 0 {
		return content, nil
	}
	if content.Base.Index > cp.Index || content.LastIndex() == 0 && content.State.Term == 0 {
		return content, &disk.DamageError{
			File:   checkpointPath(g.config.Folder),
			Reason: fmt.Sprintf("log starts after entry %d, but the state ends at entry %d", content.Base.Index, cp.Index),
		}
	}
	if term, ok := content.Term(cp.Index); ok && term == cp.Term {
		return content, nil
	}
	base := consensus.Base{Index: cp.Index, Term: cp.Term}
	if err := g.log.Append(consensus.Persist{State: content.State, Reset: &base}); err != nil {
		return content, fmt.Errorf("reset log after snapshot: %w", err)
	}
	return disk.Content{State: content.State, Base: base}, nil
}

func (g *Group) start() {
	for _, task := range []func(){g.runLoop, g.runWriter, g.runApplier} {
		g.done.Add(1)
		go func() {
			defer g.done.Done()
			task()
		}()
	}
}

// fail stops the replica, because it can no longer keep its guarantees.
func (g *Group) fail(err error) {
	if g.failure.CompareAndSwap(nil, &err) {
		_ = level.Error(g.logger).Log("event", "replica_stopped", "error", err)
		close(g.failed)
		g.cancel()
	}
}

// Failed is closed when the replica stopped because its disk failed; Err returns the
// cause.
func (g *Group) Failed() <-chan struct{} { return g.failed }

// Err returns nil unless the replica failed.
func (g *Group) Err() error {
	if err := g.failure.Load(); err != nil {
		return *err
	}
	return nil
}

// Close stops the replica. Pending calls return ErrUnknown or ErrStopped. It doesn't
// transfer the leadership first.
func (g *Group) Close() error {
	var err error
	g.closed.Do(func() {
		g.cancel()
		g.done.Wait()
		err = g.log.Close()
	})
	return err
}
