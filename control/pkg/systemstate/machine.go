package systemstate

import (
	"fmt"
	"io"
	"path/filepath"
	"sync"

	"google.golang.org/protobuf/proto"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/control/pkg/segment"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	recordsName = "records"
	// rollBytes is the length of a segment file. A file goes when its last
	// record does, so it is small against a VM's disk of some hundred MB.
	rollBytes = 8 << 20
)

// MachineConfig describes a machine.
type MachineConfig struct {
	// Folder is the group's own folder on disk.
	Folder string
	// Fatal is told of a failed write to a segment. The state in memory is then
	// ahead of the disk for good, so the process has to stop.
	Fatal func(error)
	// Notify is told what a command changed, in the applier's goroutine.
	Notify func(Change)
}

// Machine is the state with its segments and a lock, as a consensus group
// drives it. Apply, Checkpoint, Load and Import belong to one goroutine.
type Machine struct {
	config  MachineConfig
	mu      sync.RWMutex
	state   *State
	records *segment.Store
	folder  string
}

// NewMachine makes a machine; call Load before use.
func NewMachine(config MachineConfig) *Machine {
	return &Machine{config: config}
}

// Apply carries out one logged command. The answer is a []any, one for each step.
func (m *Machine) Apply(_ uint64, data []byte) any {
	command := &toucanhingev1.SystemCommand{}
	if err := proto.Unmarshal(data, command); err != nil {
		m.config.Fatal(fmt.Errorf("a logged command can't be read: %w", err))
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	answers := make([]any, 0, len(command.GetSteps()))
	for _, step := range command.GetSteps() {
		answers = append(answers, m.state.Step(clock.Millis(command.GetAtMs()), step))
	}
	if err := m.records.Flush(); err != nil {
		m.config.Fatal(err)
	}
	return answers
}

// Checkpoint syncs the segments and returns the manifest: all state in memory,
// and the segments' names and lengths.
func (m *Machine) Checkpoint() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if err := segment.DeleteOtherGenerations(m.config.Folder, m.folder); err != nil {
		return nil, err
	}
	snapshot := m.state.Save()
	snapshot.Folder = m.folder
	segments, err := m.records.Checkpoint()
	if err != nil {
		return nil, fmt.Errorf("checkpoint of the records: %w", err)
	}
	snapshot.Segments = segments
	return encode(snapshot), nil
}

// Load goes back to a manifest; nil means the empty state. What the log holds
// after the manifest has to be applied again.
func (m *Machine) Load(manifest []byte) error {
	snapshot, err := readManifest(manifest)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.restore(snapshot); err != nil {
		return err
	}
	return segment.DeleteOtherGenerations(m.config.Folder, m.folder)
}

// restore puts the state of a manifest in place of the present one.
func (m *Machine) restore(snapshot *toucanhingev1.SystemSnapshot) error {
	records := m.store(snapshot.GetFolder())
	if m.folder == snapshot.GetFolder() && m.records != nil {
		m.records.Close()
	}
	if err := records.Load(snapshot.GetSegments()); err != nil {
		return fmt.Errorf("load the records: %w", err)
	}
	state, err := Restore(Config{Append: m.append, Release: records.Release, Notify: m.config.Notify}, snapshot)
	if err != nil {
		return err
	}
	if m.records != nil {
		m.records.Close()
	}
	m.folder, m.records, m.state = snapshot.GetFolder(), records, state
	return nil
}

func (m *Machine) append(payload []byte) segment.Ref {
	ref, err := m.records.Append(payload)
	if err != nil {
		m.config.Fatal(err)
	}
	return ref
}

func readManifest(manifest []byte) (*toucanhingev1.SystemSnapshot, error) {
	snapshot := &toucanhingev1.SystemSnapshot{}
	if err := proto.Unmarshal(manifest, snapshot); err != nil {
		return nil, fmt.Errorf("decode the checkpoint: %w", err)
	}
	if snapshot.Folder == "" {
		snapshot.Folder = segment.FirstGeneration
	}
	return snapshot, nil
}

func (m *Machine) store(folder string) *segment.Store {
	return segment.New(segment.Config{Folder: filepath.Join(m.config.Folder, folder), Name: recordsName, Roll: rollBytes})
}

// Export ships a manifest and the segments that it names.
func (m *Machine) Export(manifest []byte, w io.Writer) error {
	snapshot, err := readManifest(manifest)
	if err != nil {
		return err
	}
	if err := segment.SendManifest(w, manifest); err != nil {
		return err
	}
	if err := m.store(snapshot.GetFolder()).Export(snapshot.GetSegments(), w); err != nil {
		return fmt.Errorf("ship the records: %w", err)
	}
	return nil
}

// Import replaces the state by what Export shipped, received into a folder of
// its own and synced. The old folder stays until the next checkpoint: a crash
// before the caller has noted the returned manifest loads the old one again.
func (m *Machine) Import(r io.Reader) ([]byte, error) {
	manifest, err := segment.ReceiveManifest(r)
	if err != nil {
		return nil, err
	}
	snapshot, err := readManifest(manifest)
	if err != nil {
		return nil, err
	}
	snapshot.Folder = segment.FreeGeneration(m.config.Folder, m.folder)
	if err := m.store(snapshot.GetFolder()).Import(snapshot.GetSegments(), r); err != nil {
		return nil, fmt.Errorf("receive the records: %w", err)
	}
	m.mu.Lock()
	err = m.restore(snapshot)
	m.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if m.config.Notify != nil {
		m.config.Notify(Change{Kind: Reloaded})
	}
	return encode(snapshot), nil
}

// View runs a reader on the state; it must not keep what it points to.
func (m *Machine) View(read func(*State)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	read(m.state)
}

// Record returns a kept record.
func (m *Machine) Record(ref segment.Ref) ([]byte, error) {
	m.mu.RLock()
	records := m.records
	m.mu.RUnlock()
	return records.Read(ref)
}

// Text puts an item's text together from its parts.
func (m *Machine) Text(parts []segment.Ref) ([]byte, error) {
	var text []byte
	for _, ref := range parts {
		part, err := m.Record(ref)
		if err != nil {
			return nil, err
		}
		text = append(text, part...)
	}
	return text, nil
}

// Item returns an item's request.
func (m *Machine) Item(ref segment.Ref) (*toucanhingev1.JobItem, error) {
	data, err := m.Record(ref)
	if err != nil {
		return nil, err
	}
	item := &toucanhingev1.JobItem{}
	if err := proto.Unmarshal(data, item); err != nil {
		return nil, fmt.Errorf("decode an item: %w", err)
	}
	return item, nil
}

// Close closes the segments.
func (m *Machine) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.records != nil {
		m.records.Close()
	}
}
