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

// checkpoint says up to which entry the state machine's manifest reaches.
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

// readJSON leaves the value alone when the file doesn't exist.
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
		return fmt.Errorf("keep %s: %w", filepath.Base(path), err)
	}
	return nil
}

// checkpointIfDue takes a checkpoint, unless a snapshot of the last one is being
// sent: its files must stay.
func (g *Group) checkpointIfDue() {
	a := &g.applier
	due := a.entries >= g.config.CheckpointEntries || a.bytes >= g.config.CheckpointBytes
	if !due || !a.exporting.TryLock() {
		return
	}
	defer a.exporting.Unlock()
	manifest, err := g.machine.Checkpoint()
	if err != nil {
		g.fail(fmt.Errorf("checkpoint: %w", err))
		return
	}
	point := checkpoint{Index: a.index, Term: a.term, Members: a.members, Manifest: manifest}
	if err := g.keepCheckpoint(point); err != nil {
		g.fail(err)
		return
	}
	g.metrics.checkpoints.Inc()
	g.compact(point.Index)
}

func (g *Group) keepCheckpoint(point checkpoint) error {
	if err := point.write(g.config.Folder); err != nil {
		return err
	}
	g.applier.setPoint(point)
	g.applier.entries, g.applier.bytes = 0, 0
	return nil
}

// compact lets go of what a checkpoint covers, but for some entries that members
// who lag still need.
func (g *Group) compact(index uint64) {
	_ = g.events.Put(g.ctx, consensus.Compact{
		Index: index, RetainEntries: g.config.RetainEntries, RetainBytes: g.config.RetainBytes,
	})
}
