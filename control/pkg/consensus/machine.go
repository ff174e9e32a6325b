package consensus

import (
	"fmt"
	"sort"

	"toucanhinge.example/common/pkg/clock"
)

// Role is what a replica is at the moment.
type Role string

const (
	// RoleFollower follows a leader, or waits for one.
	RoleFollower Role = "follower"
	// RolePreCandidate asks whether it could win an election.
	RolePreCandidate Role = "precandidate"
	// RoleCandidate asks for votes in a term of its own.
	RoleCandidate Role = "candidate"
	// RoleLeader takes proposals.
	RoleLeader Role = "leader"
)

// Machine is one replica of one group. It isn't safe for concurrent use.
type Machine struct {
	config Config
	now    clock.Millis
	role   Role
	state  HardState
	leader string

	log       entryLog
	history   memberHistory
	commit    uint64
	delivered uint64

	pending  []pendingPersist
	sequence uint64
	// synced is the last entry that is durable here, syncedTerm the term.
	synced     uint64
	syncedTerm uint64

	electionDue   clock.Millis
	leaderContact clock.Millis
	patience      patience
	ticked        clock.Millis
	votes         map[string]bool
	forced        bool

	leading leading
	out     Actions
}

// pendingPersist is a Persist that isn't synced, with the messages that may only
// go out once it is.
type pendingPersist struct {
	sequence uint64
	since    clock.Millis
	last     uint64
	term     uint64
	after    []Message
}

// New starts a machine from what the disk held. A replica without any members
// is passive: it neither campaigns nor votes until a leader sends it the log.
func New(config Config, restored Restored) (*Machine, error) {
	m := &Machine{
		config:     config.withDefaults(),
		role:       RoleFollower,
		state:      restored.State,
		log:        entryLog{base: restored.Base, entries: restored.Entries},
		commit:     restored.Applied,
		syncedTerm: restored.State.Term,
	}
	m.patience.timeout = m.config.ElectionTimeout
	m.synced = m.log.last()
	m.delivered = m.commit
	if restored.Applied < restored.Base.Index || restored.Applied > m.synced {
		return nil, fmt.Errorf("state covers entry %d but the log goes from %d to %d",
			restored.Applied, restored.Base.Index+1, m.synced)
	}
	if len(restored.AppliedMembers) > 0 {
		m.history = memberHistory{{index: restored.Applied, members: restored.AppliedMembers}}
	}
	for _, e := range restored.Entries {
		if e.Index > restored.Applied {
			if err := m.noteMembers(e); err != nil {
				return nil, err
			}
		}
	}
	return m, nil
}

// Step tells the machine the time and one event, and returns
// what is to be done. A clock that goes backwards is taken to stand still.
func (m *Machine) Step(now clock.Millis, event Event) Actions {
	if m.electionDue == 0 {
		m.now = now
		m.resetElection()
		if len(m.members()) > 0 {
			m.electionDue = now + m.config.Jitter(m.config.MaxFirstElectionDelay)
		}
	}
	m.now = max(m.now, now)
	switch e := event.(type) {
	case Tick:
		m.tick()
	case Received:
		m.receive(e.Message)
	case Propose:
		m.propose(e.Proposals)
	case ReadIndex:
		m.readIndex(e.ID)
	case Synced:
		m.onSynced(e.Sequence)
	case TransferLeadership:
		m.startHandover(e.ID)
	case ChangeMembers:
		m.changeMembers(e)
	case SnapshotSent:
		m.onSnapshotSent(e)
	case SnapshotInstalled:
		m.onSnapshotInstalled(e)
	case FormGroup:
		m.form(e.Members)
	case Compact:
		m.compact(e)
	}
	m.deliver()
	out := m.out
	m.out = Actions{}
	return out
}

func (m *Machine) tick() {
	if m.role == RoleLeader {
		if m.ticked > 0 {
			m.patience.note(m.now - m.ticked)
		}
		m.ticked = m.now
		m.tickLeader()
		return
	}
	if m.now >= m.electionDue {
		m.preCampaign()
	}
}

func (m *Machine) resetElection() {
	m.electionDue = m.now + m.patience.span() + m.config.Jitter(m.config.ElectionTimeout)
}

// persist returns this step's Persist with the current hard state, and makes
// everything sent from now on wait for it.
func (m *Machine) persist() *Persist {
	if m.out.Persist == nil {
		m.sequence++
		m.out.Persist = &Persist{Sequence: m.sequence}
		m.pending = append(m.pending, pendingPersist{sequence: m.sequence, since: m.now})
	}
	m.out.Persist.State = m.state
	p := &m.pending[len(m.pending)-1]
	p.term = m.state.Term
	p.last = m.log.last()
	return m.out.Persist
}

// appendEntries adds entries to the log, replacing those from the first one's
// index on.
func (m *Machine) appendEntries(entries ...Entry) {
	first := entries[0].Index
	if first <= m.log.last() {
		m.truncate(first)
	}
	m.log.append(entries...)
	for _, e := range entries {
		if err := m.noteMembers(e); err != nil {
			panic(fmt.Sprintf("entry %d of the log: %v", e.Index, err))
		}
	}
	p := m.persist()
	p.Entries = append(p.Entries, entries...)
}

func (m *Machine) truncate(index uint64) {
	if index <= m.commit {
		panic(fmt.Sprintf("entry %d is committed and can't be replaced", index))
	}
	m.log.truncate(index)
	m.history = m.history.truncate(index)
	m.synced = min(m.synced, index-1)
	for i := range m.pending {
		m.pending[i].last = min(m.pending[i].last, index-1)
	}
}

func (m *Machine) noteMembers(e Entry) error {
	if e.Kind != EntryMembers {
		return nil
	}
	members, err := DecodeMembers(e.Data)
	if err != nil {
		return fmt.Errorf("members of entry %d: %w", e.Index, err)
	}
	m.history = append(m.history, membership{index: e.Index, members: members})
	return nil
}

func (m *Machine) onSynced(sequence uint64) {
	done := sort.Search(len(m.pending), func(i int) bool { return m.pending[i].sequence > sequence })
	for _, p := range m.pending[:done] {
		m.synced = max(m.synced, p.last)
		m.syncedTerm = max(m.syncedTerm, p.term)
		m.out.Messages = append(m.out.Messages, p.after...)
	}
	m.pending = append([]pendingPersist(nil), m.pending[done:]...)
	switch m.role {
	case RoleCandidate:
		m.tally()
	case RoleLeader:
		m.advanceCommit()
	}
}

// deliver hands out committed entries. They must be synced here too, so that the
// state machine never knows more than the log beside it after a crash.
func (m *Machine) deliver() {
	to := min(m.commit, m.synced)
	if to <= m.delivered {
		return
	}
	m.out.Committed = m.log.slice(m.delivered+1, to)
	m.delivered = to
}

// address fills in both ends and the term.
func (m *Machine) address(to Member, msg Message) Message {
	msg.From, msg.FromIdentity = m.config.Name, m.config.Identity
	msg.To, msg.ToIdentity = to.Name, to.Identity
	if msg.Term == 0 {
		msg.Term = m.state.Term
	}
	return msg
}

// send lets a message go at once: it promises nothing about this disk.
func (m *Machine) send(to Member, msg Message) {
	m.out.Messages = append(m.out.Messages, m.address(to, msg))
}

// sendSynced holds a message back until all that was persisted before is
// durable. An answer sent earlier counts towards a majority that a crash takes
// back: an acknowledged entry is lost, or two leaders share a term. Waiting for
// the latest Persist is enough since they sync in order.
func (m *Machine) sendSynced(to Member, msg Message) {
	if len(m.pending) == 0 {
		m.send(to, msg)
		return
	}
	last := &m.pending[len(m.pending)-1]
	last.after = append(last.after, m.address(to, msg))
}

func (m *Machine) members() Members { return m.history.current() }

func (m *Machine) self() (Member, bool) {
	self, ok := m.members().Find(m.config.Name)
	return self, ok && self.Identity == m.config.Identity
}

func (m *Machine) form(members Members) {
	if m.log.last() > 0 || len(m.members()) > 0 {
		return
	}
	m.state.Term = max(m.state.Term, 1)
	m.appendEntries(Entry{Index: 1, Term: 1, Kind: EntryMembers, Data: members.Encode()})
	m.commit = 1
}
