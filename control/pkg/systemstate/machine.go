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
	// segmentBytes is the length of a segment file. A file is deleted when its last record is
	// released, so it has to be small compared to a VM's disk of some hundred MB.
	segmentBytes = 8 << 20
)

// MachineConfig configures a Machine.
type MachineConfig struct {
	// Folder is the folder on disk that is reserved for this group.
	Folder string
	// Fatal is called if a logged command can't be decoded or a write to a segment fails. After
	// a failed write the state in memory stays ahead of the disk, so the process has to stop.
	Fatal func(error)
	// Notify is called for each change by a command, in the goroutine that applies commands. It may be nil.
	Notify func(Change)
}

// Machine is the replicated state machine of a consensus group: the state with its segments,
// guarded by a lock. Apply, Checkpoint, Load and Import must be called from one goroutine.
type Machine struct {
	config  MachineConfig
	mu      sync.RWMutex
	state   *State
	records *segment.Store
	folder  string
}

// NewMachine returns a machine without state. Load must be called before use.
func NewMachine(config MachineConfig) *Machine {
	return &Machine{config: config}
}

// Apply applies one logged command. It returns a []any with one outcome per step.
func (m *Machine) Apply(_ uint64, data []byte) any {
	command := &toucanhingev1.SystemCommand{}
	if err := proto.Unmarshal(data, command); err != nil {
		m.config.Fatal(fmt.Errorf("decode a logged command: %w", err))
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	outcomes := make([]any, 0, len(command.GetSteps()))
	for _, step := range command.GetSteps() {
		outcomes = append(outcomes, m.state.Step(clock.Millis(command.GetAtMs()), step))
	}
	if err := m.records.Flush(); err != nil {
		m.config.Fatal(err)
	}
	return outcomes
}

// Checkpoint syncs the segments and returns the manifest, which holds the state in memory and the
// names and lengths of the segments.
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
		return nil, fmt.Errorf("checkpoint the records: %w", err)
	}
	snapshot.Segments = segments
	return encode(snapshot), nil
}

// Load replaces the state by that of a manifest; nil means the empty state. Log entries after the
// manifest have to be applied again.
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

// restore replaces the current state by that of a manifest. The caller holds the lock.
func (m *Machine) restore(snapshot *toucanhingev1.SystemSnapshot) error {
	records := m.newStore(snapshot.GetFolder())
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

func (m *Machine) newStore(folder string) *segment.Store {
	return segment.New(segment.Config{Folder: filepath.Join(m.config.Folder, folder), Name: recordsName, MaxFileBytes: segmentBytes})
}

// Export writes a manifest and the segments that it names to w.
func (m *Machine) Export(manifest []byte, w io.Writer) error {
	snapshot, err := readManifest(manifest)
	if err != nil {
		return err
	}
	if err := segment.SendManifest(w, manifest); err != nil {
		return err
	}
	if err := m.newStore(snapshot.GetFolder()).Export(snapshot.GetSegments(), w); err != nil {
		return fmt.Errorf("export the records: %w", err)
	}
	return nil
}

// Import replaces the state by an export. It syncs the received segments in a new folder. The old
// folder stays until the next checkpoint, because after a crash before the caller has stored the
// returned manifest, the old state is loaded again.
func (m *Machine) Import(r io.Reader) ([]byte, error) {
	manifest, err := segment.ReceiveManifest(r)
	if err != nil {
		return nil, err
	}
	snapshot, err := readManifest(manifest)
	if err != nil {
		return nil, err
	}
	snapshot.Folder = segment.UnusedGeneration(m.config.Folder, m.folder)
	if err := m.newStore(snapshot.GetFolder()).Import(snapshot.GetSegments(), r); err != nil {
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

// View calls read with the state under a read lock. read must not retain references to the state.
func (m *Machine) View(read func(*State)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	read(m.state)
}

// Record returns a stored record.
func (m *Machine) Record(ref segment.Ref) ([]byte, error) {
	m.mu.RLock()
	records := m.records
	m.mu.RUnlock()
	return records.Read(ref)
}

// Length returns the length of stored records, in bytes.
func (m *Machine) Length(refs ...segment.Ref) (int64, error) {
	m.mu.RLock()
	records := m.records
	m.mu.RUnlock()
	sum := int64(0)
	for _, ref := range refs {
		length, err := records.Length(ref)
		if err != nil {
			return 0, err
		}
		sum += length
	}
	return sum, nil
}

// StoredBytes returns the size of all stored records, in bytes.
func (m *Machine) StoredBytes() int64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.records == nil {
		return 0
	}
	return m.records.Size()
}

// Text returns an item's text, joined from its parts.
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
