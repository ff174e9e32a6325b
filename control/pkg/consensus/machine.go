package consensus

import (
	"fmt"
	"sort"

	"toucanhinge.example/common/pkg/clock"
)

// Role is the current role of a replica.
type Role string

const (
	// RoleFollower follows a leader or waits for one.
	RoleFollower Role = "follower"
	// RolePreCandidate has sent pre-vote requests to find out if it could win an election.
	RolePreCandidate Role = "precandidate"
	// RoleCandidate requests votes in a new term.
	RoleCandidate Role = "candidate"
	// RoleLeader accepts proposals.
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
	// synced is the last entry that is durable on this replica, syncedTerm the last
	// durable term.
	synced     uint64
	syncedTerm uint64

	electionDeadline  clock.Millis
	lastLeaderContact clock.Millis
	leaderTimeout     leaderTimeout
	// syncTime is how long the last sync of this replica's disk took.
	syncTime clock.Millis
	// electionInProgress is set if this replica waits for the end of an election.
	electionInProgress bool
	// measurement is the sequence of the last Persist that only measured the disk.
	measurement uint64
	// deferred is set if this replica postponed its own election for another replica since it last
	// requested pre-votes.
	deferred bool
	// yields counts how often this replica has given up its pre-votes for others since the last leader.
	yields   map[string]int
	lastTick clock.Millis
	votes    map[string]bool
	preVotes map[string]bool
	forced   bool

	leaderState leaderState
	out         Actions
}

// pendingPersist is a Persist that isn't synced yet, with the messages that may be sent
// only after the sync.
type pendingPersist struct {
	sequence uint64
	since    clock.Millis
	last     uint64
	term     uint64
	messages []Message
}

// New creates a machine from the state found on disk. A replica without any members is
// passive: it neither campaigns nor votes until a leader sends it the log.
func New(config Config, restored Restored) (*Machine, error) {
	m := &Machine{
		config:     config.withDefaults(),
		role:       RoleFollower,
		state:      restored.State,
		log:        entryLog{base: restored.Base, entries: restored.Entries},
		commit:     restored.Applied,
		syncedTerm: restored.State.Term,
		yields:     map[string]int{},
	}
	m.leaderTimeout.electionTimeout = m.config.ElectionTimeout
	m.synced = m.log.last()
	m.delivered = m.commit
	if restored.Applied < restored.Base.Index || restored.Applied > m.synced {
		return nil, fmt.Errorf("restored state covers entry %d, but the log contains entries %d to %d",
			restored.Applied, restored.Base.Index+1, m.synced)
	}
	if len(restored.AppliedMembers) > 0 {
		m.history = memberHistory{{index: restored.Applied, members: restored.AppliedMembers}}
	}
	for _, e := range restored.Entries {
		if e.Index > restored.Applied {
			if err := m.recordMembers(e); err != nil {
				return nil, err
			}
		}
	}
	return m, nil
}

// Step sets the time, handles one event and returns the resulting actions. If the clock
// goes backwards, the machine keeps its latest time.
func (m *Machine) Step(now clock.Millis, event Event) Actions {
	if m.electionDeadline == 0 {
		m.now = now
		m.resetElection()
		if len(m.members()) > 0 {
			m.electionDeadline = now + m.config.Jitter(m.config.MaxFirstElectionDelay)
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
		m.startTransfer(e.ID)
	case ChangeMembers:
		m.changeMembers(e)
	case SnapshotSent:
		m.onSnapshotSent(e)
	case SnapshotInstalled:
		m.onSnapshotInstalled(e)
	case FormGroup:
		m.formGroup(e.Members)
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
		if m.lastTick > 0 {
			m.leaderTimeout.observe(m.now - m.lastTick)
		}
		m.lastTick = m.now
		m.tickLeader()
		return
	}
	if m.electionDue() {
		m.startPreVote()
		return
	}
	m.measureDisk()
}

func (m *Machine) resetElection() {
	m.electionDeadline = m.now + m.leaderTimeout.value() + m.config.Jitter(m.config.ElectionTimeout)
	m.electionInProgress = false
}

// persist returns the Persist of this step with the current hard state. Messages sent
// with sendAfterSync from now on wait for it.
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

// appendEntries adds entries to the log. They replace existing entries from the first
// one's index on.
func (m *Machine) appendEntries(entries ...Entry) {
	first := entries[0].Index
	if first <= m.log.last() {
		m.truncate(first)
	}
	m.log.append(entries...)
	for _, e := range entries {
		if err := m.recordMembers(e); err != nil {
			panic(fmt.Sprintf("append entry %d: %v", e.Index, err))
		}
	}
	p := m.persist()
	p.Entries = append(p.Entries, entries...)
}

func (m *Machine) truncate(index uint64) {
	if index <= m.commit {
		panic(fmt.Sprintf("truncate log: entry %d is already committed", index))
	}
	m.log.truncate(index)
	m.history = m.history.truncate(index)
	m.synced = min(m.synced, index-1)
	for i := range m.pending {
		m.pending[i].last = min(m.pending[i].last, index-1)
	}
}

func (m *Machine) recordMembers(e Entry) error {
	if e.Kind != EntryMembers {
		return nil
	}
	members, err := DecodeMembers(e.Data)
	if err != nil {
		return fmt.Errorf("read membership from entry %d: %w", e.Index, err)
	}
	m.history = append(m.history, membership{index: e.Index, members: members})
	return nil
}

func (m *Machine) onSynced(sequence uint64) {
	done := sort.Search(len(m.pending), func(i int) bool { return m.pending[i].sequence > sequence })
	for _, p := range m.pending[:done] {
		m.synced = max(m.synced, p.last)
		m.syncedTerm = max(m.syncedTerm, p.term)
		m.out.Messages = append(m.out.Messages, p.messages...)
	}
	m.recordSyncs(m.pending[:done])
	m.pending = append([]pendingPersist(nil), m.pending[done:]...)
	switch m.role {
	case RoleCandidate, RolePreCandidate:
		m.tallyVotes()
	case RoleLeader:
		m.advanceCommit()
	}
}

// deliver returns committed entries to the caller. They must also be synced on this
// replica, so that after a crash the state machine is never ahead of the log on the same
// disk.
func (m *Machine) deliver() {
	to := min(m.commit, m.synced)
	if to <= m.delivered {
		return
	}
	m.out.Committed = m.log.slice(m.delivered+1, to)
	m.delivered = to
}

// withHeader sets sender and receiver, and the current term unless the message has a
// term.
func (m *Machine) withHeader(to Member, msg Message) Message {
	msg.From, msg.FromIdentity = m.config.Name, m.config.Identity
	msg.To, msg.ToIdentity = to.Name, to.Identity
	if msg.Term == 0 {
		msg.Term = m.state.Term
	}
	return msg
}

// send sends a message at once. The message must not depend on a pending sync of this
// disk.
func (m *Machine) send(to Member, msg Message) {
	m.out.Messages = append(m.out.Messages, m.withHeader(to, msg))
}

// sendAfterSync withholds a message until everything persisted before is durable. A
// response sent earlier would count towards a majority that a crash undoes: an
// acknowledged entry would be lost, or two leaders would share a term. It is enough to
// wait for the latest Persist, since they sync in order.
func (m *Machine) sendAfterSync(to Member, msg Message) {
	if len(m.pending) == 0 {
		m.send(to, msg)
		return
	}
	last := &m.pending[len(m.pending)-1]
	last.messages = append(last.messages, m.withHeader(to, msg))
}

func (m *Machine) members() Members { return m.history.current() }

func (m *Machine) self() (Member, bool) {
	self, ok := m.members().Find(m.config.Name)
	return self, ok && self.Identity == m.config.Identity
}

func (m *Machine) formGroup(members Members) {
	if m.log.last() > 0 || len(m.members()) > 0 {
		return
	}
	m.state.Term = max(m.state.Term, 1)
	m.appendEntries(Entry{Index: 1, Term: 1, Kind: EntryMembers, Data: members.Encode()})
	m.commit = 1
}
