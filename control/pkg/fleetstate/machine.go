package fleetstate

import (
	"cmp"
	"container/heap"
	"fmt"
	"io"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/fleetconfig"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// MachineConfig describes a machine.
type MachineConfig struct {
	// Fatal is called when a logged command can't be decoded.
	Fatal func(error)
}

// Machine is the state machine of consensus group 0. It guards the state with a lock and
// signals changes to watchers.
type Machine struct {
	config  MachineConfig
	mu      sync.RWMutex
	state   *State
	changed chan struct{}
}

// NewMachine returns a machine with an empty state.
func NewMachine(config MachineConfig) *Machine {
	return &Machine{config: config, state: New(), changed: make(chan struct{})}
}

// Apply executes one logged command. It returns a []any with one result for each step.
func (m *Machine) Apply(_ uint64, data []byte) any {
	command := &toucanhingev1.FleetCommand{}
	if err := proto.Unmarshal(data, command); err != nil {
		m.config.Fatal(fmt.Errorf("decode logged command: %w", err))
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.state.version
	results := make([]any, 0, len(command.GetSteps()))
	for _, step := range command.GetSteps() {
		results = append(results, m.state.Step(clock.Millis(command.GetAtMs()), step))
	}
	if m.state.version != before {
		m.signal()
	}
	return results
}

func (m *Machine) signal() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change of the version.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

// View calls read with the state. read must not modify the state, nor retain any part of
// it except entries, which are never modified in place.
func (m *Machine) View(read func(*State)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	read(m.state)
}

// Checkpoint returns the whole state, encoded as the manifest.
func (m *Machine) Checkpoint() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	manifest, err := proto.Marshal(m.state.Save())
	if err != nil {
		return nil, fmt.Errorf("encode checkpoint: %w", err)
	}
	return manifest, nil
}

// Load restores the state from a manifest; an empty manifest means the empty state.
func (m *Machine) Load(manifest []byte) error {
	snapshot := &toucanhingev1.FleetSnapshot{}
	if err := proto.Unmarshal(manifest, snapshot); err != nil {
		return fmt.Errorf("decode checkpoint: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = Restore(snapshot)
	m.signal()
	return nil
}

// Export writes a manifest, which is the whole state, to w.
func (m *Machine) Export(manifest []byte, w io.Writer) error {
	if _, err := w.Write(manifest); err != nil {
		return fmt.Errorf("send checkpoint: %w", err)
	}
	return nil
}

// Import reads a manifest that Export wrote, and loads it.
func (m *Machine) Import(r io.Reader) ([]byte, error) {
	manifest, err := io.ReadAll(r)
	if err != nil {
		return nil, fmt.Errorf("receive checkpoint: %w", err)
	}
	return manifest, m.Load(manifest)
}

// Save returns the whole state as a snapshot.
func (s *State) Save() *toucanhingev1.FleetSnapshot {
	snapshot := &toucanhingev1.FleetSnapshot{
		NowMs: int64(s.now), Version: s.version, Base: s.base, LastLoadMs: int64(s.lastLoad),
		Entries: s.Entries(toucanhingev1.Kind_KIND_UNSPECIFIED, "", true),
	}
	for _, id := range s.responses.order {
		r := s.responses.byID[id]
		snapshot.Requests = append(snapshot.Requests, &toucanhingev1.RememberedRequest{
			Id: id, AtMs: int64(r.at), Digest: r.fingerprint, Answer: r.response,
		})
	}
	for _, c := range s.claims.byAge {
		snapshot.Claims = append(snapshot.Claims, &toucanhingev1.RememberedClaim{
			Team: c.key.team, RequestId: c.key.request, Token: c.token, DeadlineMs: int64(c.deadline), State: c.state,
		})
	}
	return snapshot
}

// Restore returns the state of a snapshot that Save made.
func Restore(snapshot *toucanhingev1.FleetSnapshot) *State {
	s := New()
	s.now, s.lastLoad = clock.Millis(snapshot.GetNowMs()), clock.Millis(snapshot.GetLastLoadMs())
	s.version, s.base = snapshot.GetVersion(), snapshot.GetBase()
	s.recent = make([]fleetconfig.Key, s.version-s.base)
	for _, e := range snapshot.GetEntries() {
		key := fleetconfig.Key{Kind: e.GetKind(), Name: e.GetName()}
		s.entries[key] = e
		if e.GetVersion() > s.base {
			s.recent[e.GetVersion()-s.base-1] = key
		}
	}
	for _, r := range snapshot.GetRequests() {
		s.responses.add(r.GetId(), cachedResponse{at: clock.Millis(r.GetAtMs()), fingerprint: r.GetDigest(), response: r.GetAnswer()})
	}
	for _, c := range snapshot.GetClaims() {
		key := claimKey{team: c.GetTeam(), request: c.GetRequestId()}
		restored := &claim{key: key, token: c.GetToken(), deadline: clock.Millis(c.GetDeadlineMs()), state: c.GetState()}
		s.claims.byID[key] = restored
		heap.Push(&s.claims.byAge, restored)
	}
	return s
}

// Members returns the members that are not removed, sorted by name.
func (s *State) Members() []*toucanhingev1.Entry {
	list := s.Entries(toucanhingev1.Kind_KIND_MEMBER, "", false)
	slices.SortFunc(list, func(a, b *toucanhingev1.Entry) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return list
}
