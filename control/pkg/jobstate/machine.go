package jobstate

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
	itemsName   = "items"
	resultsName = "results"
)

// MachineConfig configures a machine.
type MachineConfig struct {
	// Folder is the group's own folder on disk.
	Folder string
	// Fatal is called when a write to a segment fails. The state in memory then
	// stays ahead of the disk, so the process has to stop.
	Fatal func(error)
	// MaxFileBytes is the length at which a new segment file is started; 0 means the default.
	MaxFileBytes int64
}

// Machine combines the state of a consensus group with its segments and a lock.
// Apply, Checkpoint, Load and Import must be called from one goroutine.
type Machine struct {
	config     MachineConfig
	mu         sync.RWMutex
	state      *State
	items      *segment.Store
	results    *segment.Store
	generation string
}

// NewMachine returns a machine. Load must be called before use.
func NewMachine(config MachineConfig) *Machine {
	return &Machine{config: config}
}

// Apply applies one logged command. It returns a []any with one answer per step.
func (m *Machine) Apply(_ uint64, data []byte) any {
	command := &toucanhingev1.JobCommand{}
	if err := proto.Unmarshal(data, command); err != nil {
		m.config.Fatal(fmt.Errorf("decode a logged command: %w", err))
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	answers := make([]any, 0, len(command.GetSteps()))
	for _, step := range command.GetSteps() {
		answers = append(answers, m.state.Step(clock.Millis(command.GetAtMs()), step))
	}
	m.flush()
	return answers
}

func (m *Machine) flush() {
	if err := m.items.Flush(); err != nil {
		m.config.Fatal(err)
	}
	if err := m.results.Flush(); err != nil {
		m.config.Fatal(err)
	}
}

func (m *Machine) appendTo(store *segment.Store, payload []byte) segment.Ref {
	ref, err := store.Append(payload)
	if err != nil {
		m.config.Fatal(err)
	}
	return ref
}

// Checkpoint syncs the segments and returns the manifest, which holds all state in
// memory and the names and lengths of the segments.
func (m *Machine) Checkpoint() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if err := segment.DeleteOtherGenerations(m.config.Folder, m.generation); err != nil {
		return nil, err
	}
	snapshot := m.state.Save()
	snapshot.Folder = m.generation
	var err error
	if snapshot.Items, err = m.items.Checkpoint(); err != nil {
		return nil, fmt.Errorf("checkpoint of the items: %w", err)
	}
	if snapshot.Results, err = m.results.Checkpoint(); err != nil {
		return nil, fmt.Errorf("checkpoint of the results: %w", err)
	}
	manifest, err := proto.Marshal(snapshot)
	if err != nil {
		return nil, fmt.Errorf("encode the checkpoint: %w", err)
	}
	return manifest, nil
}

// Load restores the state of a manifest; nil means the empty state. The caller has
// to apply the log entries after the manifest again.
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
	return segment.DeleteOtherGenerations(m.config.Folder, m.generation)
}

// restore replaces the current state with that of a manifest.
func (m *Machine) restore(snapshot *toucanhingev1.JobSnapshot) error {
	items, results := m.newStores(snapshot.GetFolder())
	if m.generation == snapshot.GetFolder() {
		m.closeStores()
	}
	if err := items.Load(snapshot.GetItems()); err != nil {
		return fmt.Errorf("load the items: %w", err)
	}
	if err := results.Load(snapshot.GetResults()); err != nil {
		return fmt.Errorf("load the results: %w", err)
	}
	m.closeStores()
	m.generation, m.items, m.results = snapshot.GetFolder(), items, results
	m.state = Restore(Config{
		AppendItem:     func(payload []byte) segment.Ref { return m.appendTo(m.items, payload) },
		AppendResult:   func(payload []byte) segment.Ref { return m.appendTo(m.results, payload) },
		AppendIndex:    func(payload []byte) segment.Ref { return m.appendTo(m.results, payload) },
		ReleaseItems:   items.Release,
		ReleaseResults: results.Release,
	}, snapshot)
	return nil
}

func readManifest(manifest []byte) (*toucanhingev1.JobSnapshot, error) {
	snapshot := &toucanhingev1.JobSnapshot{}
	if err := proto.Unmarshal(manifest, snapshot); err != nil {
		return nil, fmt.Errorf("decode the checkpoint: %w", err)
	}
	if snapshot.Folder == "" {
		snapshot.Folder = segment.FirstGeneration
	}
	return snapshot, nil
}

func (m *Machine) newStores(folder string) (items, results *segment.Store) {
	path := filepath.Join(m.config.Folder, folder)
	return segment.New(segment.Config{Folder: path, Name: itemsName, MaxFileBytes: m.config.MaxFileBytes}),
		segment.New(segment.Config{Folder: path, Name: resultsName, MaxFileBytes: m.config.MaxFileBytes})
}

func (m *Machine) closeStores() {
	if m.items != nil {
		m.items.Close()
		m.results.Close()
	}
}

// Export writes a manifest and the segments that it names.
func (m *Machine) Export(manifest []byte, w io.Writer) error {
	snapshot, err := readManifest(manifest)
	if err != nil {
		return err
	}
	if err := segment.SendManifest(w, manifest); err != nil {
		return err
	}
	items, results := m.newStores(snapshot.GetFolder())
	if err := items.Export(snapshot.GetItems(), w); err != nil {
		return fmt.Errorf("export the items: %w", err)
	}
	if err := results.Export(snapshot.GetResults(), w); err != nil {
		return fmt.Errorf("export the results: %w", err)
	}
	return nil
}

// Import replaces the state with one written by Export. The segments are received
// into a new folder and synced. The old folder stays until the next checkpoint, so
// that a crash before the caller has stored the returned manifest loads the old state.
func (m *Machine) Import(r io.Reader) ([]byte, error) {
	manifest, err := segment.ReceiveManifest(r)
	if err != nil {
		return nil, err
	}
	snapshot, err := readManifest(manifest)
	if err != nil {
		return nil, err
	}
	snapshot.Folder = segment.UnusedGeneration(m.config.Folder, m.generation)
	items, results := m.newStores(snapshot.GetFolder())
	if err := items.Import(snapshot.GetItems(), r); err != nil {
		return nil, fmt.Errorf("receive the items: %w", err)
	}
	if err := results.Import(snapshot.GetResults(), r); err != nil {
		return nil, fmt.Errorf("receive the results: %w", err)
	}
	manifest, err = proto.Marshal(snapshot)
	if err != nil {
		return nil, fmt.Errorf("encode the received checkpoint: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.restore(snapshot); err != nil {
		return nil, err
	}
	return manifest, nil
}

// View calls read with the state under a read lock. The function must not retain
// pointers into the state.
func (m *Machine) View(read func(*State)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	read(m.state)
}

// ReadItems returns encoded items in the order of refs.
func (m *Machine) ReadItems(refs []segment.Ref) ([][]byte, error) {
	m.mu.RLock()
	store := m.items
	m.mu.RUnlock()
	return store.ReadMany(refs)
}

// ReadResults returns encoded results in the order of refs.
func (m *Machine) ReadResults(refs []segment.Ref) ([][]byte, error) {
	m.mu.RLock()
	store := m.results
	m.mu.RUnlock()
	return store.ReadMany(refs)
}

// Results returns the decided items of a job in the page that contains the index
// from, starting at that index. Page.Index is always 0.
func (m *Machine) Results(team, id string, from uint64) (Page, error) {
	var page Page
	var err error
	m.View(func(s *State) { page, err = s.Results(team, id, from) })
	if err != nil || page.Index == 0 {
		return page, err
	}
	records, err := m.ReadResults([]segment.Ref{page.Index})
	if err != nil {
		return page, err
	}
	page.Decided, err = readIndex(records[0], from)
	page.Index = 0
	return page, err
}

// Close closes the segments.
func (m *Machine) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closeStores()
}
