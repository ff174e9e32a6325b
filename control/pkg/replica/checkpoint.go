package replica

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"toucanhinge.example/control/pkg/consensus"
	"toucanhinge.example/control/pkg/disk"
)

// checkpoint is a manifest of the state machine, with the last entry that it covers and
// the membership as of that entry.
type checkpoint struct {
	Index    uint64            `json:"index"`
	Term     uint64            `json:"term"`
	Members  consensus.Members `json:"members"`
	Manifest []byte            `json:"manifest"`
}

func checkpointPath(folder string) string { return filepath.Join(folder, "checkpoint") }

func readCheckpoint(folder string) (checkpoint, error) {
	var c checkpoint
	return c, readJSON(checkpointPath(folder), &c)
}

func (c checkpoint) write(folder string) error {
	return writeJSON(checkpointPath(folder), c)
}

// readJSON leaves the value unchanged if the file doesn't exist.
func readJSON(path string, value any) error {
	data, err := disk.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("read %s: %w", filepath.Base(path), err)
	}
	if err := json.Unmarshal(data, value); err != nil {
		return fmt.Errorf("decode %s: %w", path, err)
	}
	return nil
}

func writeJSON(path string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode %s: %w", path, err)
	}
	if err := disk.WriteFile(path, data); err != nil {
		return fmt.Errorf("store %s: %w", filepath.Base(path), err)
	}
	return nil
}

// checkpointIfDue takes a checkpoint after enough entries, unless a snapshot of the
// latest checkpoint is being sent: its files must remain.
func (g *Group) checkpointIfDue() {
	a := &g.applier
	due := a.entries >= g.config.CheckpointEntries || a.bytes >= g.config.CheckpointBytes
	if !due || !a.exportMu.TryLock() {
		return
	}
	defer a.exportMu.Unlock()
	manifest, err := g.machine.Checkpoint()
	if err != nil {
		g.fail(fmt.Errorf("checkpoint: %w", err))
		return
	}
	cp := checkpoint{Index: a.index, Term: a.term, Members: a.members, Manifest: manifest}
	if err := g.storeCheckpoint(cp); err != nil {
		g.fail(err)
		return
	}
	g.metrics.checkpoints.Inc()
	g.compact(cp.Index)
}

func (g *Group) storeCheckpoint(cp checkpoint) error {
	if err := cp.write(g.config.Folder); err != nil {
		return err
	}
	g.applier.setCheckpoint(cp)
	g.applier.entries, g.applier.bytes = 0, 0
	return nil
}

// compact drops the entries that a checkpoint covers, except some that lagging members
// still need.
func (g *Group) compact(index uint64) {
	_ = g.events.Put(g.ctx, consensus.Compact{
		Index: index, RetainEntries: g.config.RetainEntries, RetainBytes: g.config.RetainBytes,
	})
}
