package replica

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"toucanhinge.example/control/pkg/consensus"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	chunkBytes   = 256 << 10
	spoolPattern = "snapshot-*"
	// chunkTimeout is the longest time between two chunks of a snapshot.
	chunkTimeout = 10 * time.Second
	// snapshotRetryDelay is the delay after a failed snapshot. Otherwise a peer that
	// can't install it would be sent one snapshot after another.
	snapshotRetryDelay = time.Second

	outcomeSent      = "sent"
	outcomeFailed    = "failed"
	outcomeInstalled = "installed"
	outcomeRejected  = "rejected"
)

var (
	errTruncated    = errors.New("the snapshot ended early")
	errNotInstalled = errors.New("peer did not install the snapshot")
)

// sendSnapshot sends the latest checkpoint in a goroutine of its own and reports the
// result to the machine.
func (g *Group) sendSnapshot(to consensus.Member) {
	address := g.addressOf(to.Name)
	term := g.loop.consensus.Status().Term
	g.done.Add(1)
	go func() {
		defer g.done.Done()
		index, err := g.exportTo(address, term)
		outcome := outcomeSent
		if err != nil {
			outcome = outcomeFailed
			_ = level.Warn(g.logger).Log("event", "snapshot_failed", "peer", to.Name, "index", index, "error", err)
			g.sleep(snapshotRetryDelay)
		}
		g.metrics.snapshots.WithLabelValues(outcome).Inc()
		_ = g.events.Put(g.ctx, consensus.SnapshotSent{
			Name: to.Name, Identity: to.Identity, Index: index, Installed: err == nil,
		})
	}()
}

// exportTo sends the latest checkpoint and returns its index. It holds exportMu, which
// prevents new checkpoints, so the files of this checkpoint and the log after it remain.
func (g *Group) exportTo(address string, term uint64) (uint64, error) {
	g.applier.exportMu.RLock()
	defer g.applier.exportMu.RUnlock()
	cp := g.applier.latestCheckpoint()
	return cp.Index, g.streamSnapshot(address, term, cp)
}

func (g *Group) sleep(duration time.Duration) {
	select {
	case <-g.ctx.Done():
	case <-time.After(duration):
	}
}

func (g *Group) streamSnapshot(address string, term uint64, cp checkpoint) error {
	ctx, cancel := context.WithCancel(g.ctx)
	defer cancel()
	httpClient := g.config.Client()
	defer httpClient.CloseIdleConnections()
	stream := newClient(httpClient, address).InstallSnapshot(ctx)
	w := &chunkWriter{
		stream: stream, stallTimer: time.AfterFunc(chunkTimeout, cancel),
		header: &toucanhingev1.SnapshotChunk{
			From: g.config.Name, Group: g.config.Group, Term: term,
			Index: cp.Index, IndexTerm: cp.Term, Members: cp.Members.Encode(),
		},
	}
	defer w.stallTimer.Stop()
	buffered := bufio.NewWriterSize(w, chunkBytes)
	err := g.machine.Export(cp.Manifest, buffered)
	if err == nil {
		err = buffered.Flush()
	}
	if err == nil {
		err = w.send(nil, true)
	}
	if err != nil {
		cancel()
		return fmt.Errorf("export snapshot: %w", err)
	}
	w.stallTimer.Stop()
	response, err := stream.CloseAndReceive()
	if err != nil {
		return fmt.Errorf("receive response: %w", err)
	}
	if !response.Msg.GetInstalled() {
		return errNotInstalled
	}
	return nil
}

// chunkWriter sends the output of an export. The first chunk carries the header.
type chunkWriter struct {
	stream     *connect.ClientStreamForClient[toucanhingev1.SnapshotChunk, toucanhingev1.InstallSnapshotResponse]
	header     *toucanhingev1.SnapshotChunk
	stallTimer *time.Timer
}

// Write sends data in chunks.
func (w *chunkWriter) Write(data []byte) (int, error) {
	written := 0
	for len(data) > written {
		part := data[written:min(len(data), written+chunkBytes)]
		if err := w.send(part, false); err != nil {
			return written, err
		}
		written += len(part)
	}
	return written, nil
}

func (w *chunkWriter) send(data []byte, last bool) error {
	w.stallTimer.Reset(chunkTimeout)
	chunk := w.header
	w.header = &toucanhingev1.SnapshotChunk{}
	chunk.Data, chunk.Last = data, last
	if err := w.stream.Send(chunk); err != nil {
		return fmt.Errorf("send chunk: %w", err)
	}
	return nil
}

// spooledSnapshot is a complete snapshot in a file that waits for the applier.
type spooledSnapshot struct {
	path   string
	header *toucanhingev1.SnapshotChunk
	done   chan error
}

// receiveSnapshot first spools a snapshot to a file: the state must not depend on a
// stream that may end early, and the applier can apply entries until the file is complete.
func (g *Group) receiveSnapshot(ctx context.Context, header *toucanhingev1.SnapshotChunk, stream *connect.ClientStream[toucanhingev1.SnapshotChunk]) error {
	file, err := os.CreateTemp(g.config.Folder, spoolPattern)
	if err != nil {
		return fmt.Errorf("make snapshot file: %w", err)
	}
	defer func() { _ = os.Remove(file.Name()) }()
	err = spool(file, header, stream)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fmt.Errorf("spool snapshot: %w", err)
	}
	item := &spooledSnapshot{path: file.Name(), header: header, done: make(chan error, 1)}
	g.committed.put(applyItem{snapshot: item})
	select {
	case err := <-item.done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("wait for the state to be taken over: %w", ctx.Err())
	case <-g.ctx.Done():
		return ErrStopped
	}
}

// removeSpooledSnapshots removes files that a crash left behind.
func removeSpooledSnapshots(folder string) error {
	paths, err := filepath.Glob(filepath.Join(folder, spoolPattern))
	if err != nil {
		return fmt.Errorf("find spooled snapshots: %w", err)
	}
	for _, path := range paths {
		if err := os.Remove(path); err != nil {
			return fmt.Errorf("remove spooled snapshot: %w", err)
		}
	}
	return nil
}

func spool(w io.Writer, header *toucanhingev1.SnapshotChunk, stream *connect.ClientStream[toucanhingev1.SnapshotChunk]) error {
	chunk := header
	for {
		if _, err := w.Write(chunk.GetData()); err != nil {
			return fmt.Errorf("write: %w", err)
		}
		if chunk.GetLast() {
			return nil
		}
		if !stream.Receive() {
			if err := stream.Err(); err != nil {
				return fmt.Errorf("receive: %w", err)
			}
			return errTruncated
		}
		chunk = stream.Msg()
	}
}

// installSnapshot installs a spooled snapshot, in the applier goroutine. The order
// matters: first the state is durable, then the checkpoint refers to it, then the log is
// reset. After a crash in between, alignLog repairs the log.
func (g *Group) installSnapshot(item *spooledSnapshot) {
	a := &g.applier
	if item.header.GetIndex() <= a.index {
		item.done <- nil
		return
	}
	cp, err := g.importSnapshot(item)
	if err != nil {
		g.metrics.snapshots.WithLabelValues(outcomeRejected).Inc()
		item.done <- err
		return
	}
	if err := g.storeCheckpoint(cp); err != nil {
		g.fail(err)
		return
	}
	a.index, a.term, a.members = cp.Index, cp.Term, cp.Members
	g.waiters.failUpTo(cp.Index)
	g.waiters.advance(cp.Index)
	g.metrics.snapshots.WithLabelValues(outcomeInstalled).Inc()
	_ = level.Info(g.logger).Log("event", "snapshot_installed", "index", cp.Index, "from", item.header.GetFrom())
	item.done <- g.events.Put(g.ctx, consensus.SnapshotInstalled{Index: cp.Index, Term: cp.Term, Members: cp.Members})
}

func (g *Group) importSnapshot(item *spooledSnapshot) (checkpoint, error) {
	header := item.header
	members, err := consensus.DecodeMembers(header.GetMembers())
	if err != nil {
		return checkpoint{}, fmt.Errorf("snapshot: %w", err)
	}
	file, err := os.Open(filepath.Clean(item.path))
	if err != nil {
		return checkpoint{}, fmt.Errorf("open snapshot: %w", err)
	}
	defer func() { _ = file.Close() }()
	manifest, err := g.machine.Import(bufio.NewReaderSize(file, chunkBytes))
	if err != nil {
		return checkpoint{}, fmt.Errorf("import snapshot: %w", err)
	}
	return checkpoint{Index: header.GetIndex(), Term: header.GetIndexTerm(), Members: members, Manifest: manifest}, nil
}
