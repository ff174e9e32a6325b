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
	proposalRing = 4096
	readRing     = 4096
	orderRing    = 64
	eventRing    = 64
)

// Group is this process's replica of one group.
type Group struct {
	config  Config
	machine Machine
	logger  log.Logger
	metrics *groupMetrics

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	closed sync.Once

	inbox     *ring.Ring[inboxItem]
	proposals *ring.Ring[*call]
	reads     *ring.Ring[*call]
	orders    *ring.Ring[*order]
	events    *ring.Ring[consensus.Event]

	persists   *mailbox[consensus.Persist]
	dropBefore *mailbox[uint64]
	committed  *mailbox[applyItem]
	synced     atomic.Uint64
	syncedWake chan struct{}

	view    atomic.Pointer[view]
	waiting waiting
	failure atomic.Pointer[error]
	failed  chan struct{}

	// log belongs to the writer, loop to the consensus loop, applier to the
	// applier, once they run.
	log     *disk.Log
	loop    loop
	applier applier
}

// Open restores a replica from its folder and starts it. A damaged log is a
// *disk.DamageError.
func Open(config Config, machine Machine) (*Group, error) {
	config = config.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	g := &Group{
		config: config, machine: machine, ctx: ctx, cancel: cancel,
		logger:     log.With(config.Logger, "group", config.Group),
		metrics:    newMetrics(config.Registerer, config.Group),
		reads:      ring.New[*call](ring.Config{Size: readRing}),
		proposals:  ring.New[*call](ring.Config{Size: proposalRing}),
		orders:     ring.New[*order](ring.Config{Size: orderRing}),
		events:     ring.New[consensus.Event](ring.Config{Size: eventRing}),
		persists:   newMailbox[consensus.Persist](),
		dropBefore: newMailbox[uint64](),
		committed:  newMailbox[applyItem](),
		syncedWake: make(chan struct{}, 1),
		failed:     make(chan struct{}),
	}
	g.inbox = ring.New[inboxItem](ring.Config{
		Size: config.RingSize, Refused: g.metrics.dropped.WithLabelValues(dropInboxFull),
	})
	g.waiting.byIndex = map[uint64]*call{}
	if err := g.restore(); err != nil {
		cancel()
		return nil, fmt.Errorf("open group %d: %w", config.Group, err)
	}
	_ = level.Info(g.logger).Log("event", "replica_opened", "identity", config.Identity,
		"applied", g.waiting.applied, "last", g.loop.core.Last(), "term", g.view.Load().status.Term)
	g.start()
	return g, nil
}

// restore reads the checkpoint and the log, and loads the state machine.
func (g *Group) restore() error {
	if err := removeSpooled(g.config.Folder); err != nil {
		return err
	}
	point, err := readCheckpoint(g.config.Folder)
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
	if content, err = g.matchLog(point, content); err != nil {
		return err
	}
	if err := g.machine.Load(point.Manifest); err != nil {
		return fmt.Errorf("load state: %w", err)
	}
	a := &g.applier
	a.point, a.index, a.term, a.members = point, point.Index, point.Term, point.Members
	g.waiting.applied = point.Index
	return g.restoreLoop(point, content)
}

// matchLog sees to it that the log goes on from the checkpoint. A crash after a
// snapshot was installed, and before the log was begun anew, leaves a log that
// ends before it or differs from it.
func (g *Group) matchLog(point checkpoint, content disk.Content) (disk.Content, error) {
	if point.Index == 0 {
		return content, nil
	}
	if content.Base.Index > point.Index || content.Last() == 0 && content.State.Term == 0 {
		return content, &disk.DamageError{
			File:   checkpointPath(g.config.Folder),
			Reason: fmt.Sprintf("the log begins after entry %d but the state ends with %d", content.Base.Index, point.Index),
		}
	}
	if term, ok := content.Term(point.Index); ok && term == point.Term {
		return content, nil
	}
	base := consensus.Base{Index: point.Index, Term: point.Term}
	if err := g.log.Append(consensus.Persist{State: content.State, Reset: &base}); err != nil {
		return content, fmt.Errorf("begin log after snapshot: %w", err)
	}
	return disk.Content{State: content.State, Base: base}, nil
}

func (g *Group) start() {
	for _, duty := range []func(){g.runLoop, g.write, g.apply} {
		g.done.Add(1)
		go func() {
			defer g.done.Done()
			duty()
		}()
	}
}

// fail stops the replica: it can't keep what it promises any more.
func (g *Group) fail(err error) {
	if g.failure.CompareAndSwap(nil, &err) {
		_ = level.Error(g.logger).Log("event", "replica_stopped", "error", err)
		close(g.failed)
		g.cancel()
	}
}

// Failed is closed when the replica stopped because of its disk; Err tells why.
func (g *Group) Failed() <-chan struct{} { return g.failed }

// Err is nil as long as the replica didn't fail.
func (g *Group) Err() error {
	if err := g.failure.Load(); err != nil {
		return *err
	}
	return nil
}

// Close stops the replica. What waits gets ErrUnknown or ErrStopped. It doesn't
// hand over the leadership first.
func (g *Group) Close() error {
	var err error
	g.closed.Do(func() {
		g.cancel()
		g.done.Wait()
		err = g.log.Close()
	})
	return err
}
