package consensus

import (
	"sort"

	"toucanhinge.example/common/pkg/clock"
)

// leading is what only a leader keeps.
type leading struct {
	progress     map[string]*progress
	heartbeatDue clock.Millis
	uncommitted  int
	round        uint64
	reads        []pendingRead
	handover     handover
}

// hangTimeouts is how many election timeouts a sync may take.
const hangTimeouts = 4

type progressState int

const (
	// probing sends one append and waits for its answer.
	probing progressState = iota
	// replicating sends appends without waiting.
	replicating
	// snapshotting waits for a snapshot to arrive.
	snapshotting
)

// progress is what the leader knows of another member.
type progress struct {
	member Member
	state  progressState
	match  uint64
	next   uint64
	paused bool
	// bytes is how much of the entries is sent and not answered.
	bytes int
	// retried is the match at the last heartbeat.
	retried uint64
	round   uint64
	contact clock.Millis
}

func (m *Machine) lead() {
	m.role = RoleLeader
	m.leader = m.config.Name
	m.votes = nil
	m.leading = leading{progress: map[string]*progress{}, heartbeatDue: m.now}
	m.updateProgress()
	m.appendEntries(Entry{Index: m.log.last() + 1, Term: m.state.Term, Kind: EntryEmpty})
	m.broadcast()
	m.advanceCommit()
}

func (m *Machine) stopLeading() {
	for _, r := range m.leading.reads {
		m.refuse(r.id, ReasonNotLeader)
	}
	if h := m.leading.handover; h.told {
		m.out.Transferred = append(m.out.Transferred, LeadershipTransferred{ID: h.id})
	} else if h.target != "" {
		m.refuse(h.id, ReasonNoTarget)
	}
	m.leading = leading{}
}

func (m *Machine) refuse(id uint64, reason Reason) {
	m.out.Refused = append(m.out.Refused, Refused{ID: id, Reason: reason})
}

// updateProgress follows the membership.
func (m *Machine) updateProgress() {
	for name, p := range m.leading.progress {
		if !m.members().Has(name, p.member.Identity) {
			delete(m.leading.progress, name)
		}
	}
	for _, member := range m.members() {
		if member.Name == m.config.Name {
			continue
		}
		p := m.leading.progress[member.Name]
		if p == nil {
			p = &progress{next: m.log.last() + 1, contact: m.now}
			m.leading.progress[member.Name] = p
		}
		p.member = member
	}
}

// others walks over the other members in the membership's order: a map's order
// would make the machine's actions differ from run to run.
func (m *Machine) others(visit func(*progress)) {
	for _, member := range m.members() {
		if p := m.leading.progress[member.Name]; p != nil {
			visit(p)
		}
	}
}

func (m *Machine) tickLeader() {
	if !m.hasQuorumContact() || m.diskHangs() {
		m.follow(m.state.Term, "")
		return
	}
	m.tickHandover()
	if m.now >= m.leading.heartbeatDue {
		m.heartbeat()
		m.others(m.retry)
	}
}

// retry sends again what a member hasn't answered for a heartbeat. The append may
// have arrived and only its answer be lost: then heartbeats find nothing missing,
// and once the window is full nothing would be sent any more.
func (m *Machine) retry(p *progress) {
	if p.state == replicating && p.match < p.next-1 && p.match == p.retried {
		p.state = probing
		p.next = p.match + 1
		p.bytes = 0
	}
	p.retried = p.match
	if p.state == probing {
		p.paused = false
		m.sendAppend(p)
	}
}

// diskHangs says that the own disk hasn't synced for several election timeouts. A
// leader delivers nothing that it hasn't synced, so its callers would wait for a
// disk while the others have a majority of working ones. It can't win the next
// election either: its pre-votes wait for the disk.
func (m *Machine) diskHangs() bool {
	return len(m.pending) > 0 && m.now-m.pending[0].since > hangTimeouts*m.config.ElectionTimeout
}

// hasQuorumContact is false once a majority has been silent for an election
// timeout. A leader behind a silent cut would else keep its callers waiting for
// hours while the others have long elected another one.
func (m *Machine) hasQuorumContact() bool {
	heard := 0
	if self, ok := m.self(); ok && self.Voter {
		heard++
	}
	m.others(func(p *progress) {
		if p.member.Voter && m.isLive(p) {
			heard++
		}
	})
	return heard >= m.members().Quorum()
}

func (m *Machine) heartbeat() {
	m.leading.heartbeatDue = m.now + m.config.HeartbeatInterval
	m.others(func(p *progress) {
		index := p.next - 1
		term, ok := m.log.term(index)
		if !ok {
			index, term = 0, 0
		}
		m.send(p.member, Message{
			Kind: KindHeartbeat, Index: index, LogTerm: term,
			Commit: m.commit, Read: m.leading.round,
		})
	})
}

// isLive says whether a member was heard from within an election timeout, or within as long
// as this leader's own delays explain.
func (m *Machine) isLive(p *progress) bool {
	return m.now-p.contact <= m.patience.span()
}

func (m *Machine) broadcast() {
	m.others(m.sendAppend)
}

// sendAppend sends what the member lacks, as far as its state allows.
func (m *Machine) sendAppend(p *progress) {
	for {
		if p.paused || p.state == snapshotting {
			return
		}
		term, ok := m.log.term(p.next - 1)
		if !ok && !m.isLive(p) {
			// The next heartbeat tries again.
			p.state, p.paused = probing, true
			return
		}
		if !ok {
			p.state = snapshotting
			m.out.Snapshots = append(m.out.Snapshots, InstallSnapshot{To: p.member})
			return
		}
		entries := m.batch(p)
		if len(entries) == 0 && p.state == replicating {
			return
		}
		m.send(p.member, Message{
			Kind: KindAppend, Index: p.next - 1, LogTerm: term, Commit: m.commit, Entries: entries,
		})
		if p.state == probing {
			p.paused = true
			return
		}
		p.next += uint64(len(entries))
		p.bytes += dataBytes(entries)
	}
}

func dataBytes(entries []Entry) int {
	bytes := 0
	for _, e := range entries {
		bytes += len(e.Data)
	}
	return bytes
}

// batch picks the next entries for a member within the bounds of one message and
// of what may be on the way. More on the way than the network carries in a
// moment would keep heartbeats behind it, and the leader would take the members
// for lost just when it has the most to do.
func (m *Machine) batch(p *progress) []Entry {
	last := min(m.log.last(), p.match+m.config.MaxInflight)
	bytes := 0
	to := p.next
	for ; to <= last; to++ {
		bytes += len(m.log.entries[to-m.log.base.Index-1].Data)
		if bytes > m.config.MaxBatchBytes && to > p.next {
			break
		}
		if p.bytes+bytes > m.config.MaxInflightBytes && p.bytes+int(to-p.next) > 0 {
			break
		}
	}
	return m.log.slice(p.next, to-1)
}

func (m *Machine) onAppendAnswer(msg Message) {
	p := m.contact(msg)
	if p == nil || msg.Index > m.log.last() {
		return
	}
	if msg.Reject {
		m.onReject(p, msg)
		return
	}
	if p.state == snapshotting && msg.Index < m.log.base.Index {
		return
	}
	m.acknowledge(p, msg.Index)
	p.next = max(p.next, p.match+1)
	p.state = replicating
	p.paused = false
	m.advanceCommit()
	m.advanceHandover(p)
	m.sendAppend(p)
}

func (m *Machine) acknowledge(p *progress, index uint64) {
	if index <= p.match {
		return
	}
	if p.match >= m.log.base.Index {
		p.bytes = max(0, p.bytes-dataBytes(m.log.slice(p.match+1, min(index, p.next-1))))
	} else {
		p.bytes = 0
	}
	p.match = index
}

// onReject goes back to where the member's log may agree. A late reject of what
// has since been acknowledged is passed over.
func (m *Machine) onReject(p *progress, msg Message) {
	if p.state == snapshotting || msg.Index <= p.match {
		return
	}
	p.next = max(p.match+1, min(msg.Index, msg.Hint+1))
	p.state = probing
	p.paused = false
	p.bytes = 0
	m.sendAppend(p)
}

func (m *Machine) onHeartbeatAnswer(msg Message) {
	p := m.contact(msg)
	if p == nil {
		return
	}
	p.round = max(p.round, msg.Read)
	m.confirmReads()
	if msg.Reject {
		m.onReject(p, msg)
	}
}

// contact notes a sign of life in the own term and returns the sender's
// progress.
func (m *Machine) contact(msg Message) *progress {
	if m.role != RoleLeader {
		return nil
	}
	p := m.leading.progress[msg.From]
	if p != nil {
		p.contact = m.now
	}
	return p
}

// advanceCommit commits what a majority has synced. The own log counts only as
// far as it is synced, and only entries of the own term are counted: an older
// one on a majority can still be replaced.
func (m *Machine) advanceCommit() {
	var matches []uint64
	for _, member := range m.members() {
		if !member.Voter {
			continue
		}
		if p := m.leading.progress[member.Name]; p != nil {
			matches = append(matches, p.match)
		} else {
			matches = append(matches, m.synced)
		}
	}
	if len(matches) == 0 {
		return
	}
	sort.Slice(matches, func(i, j int) bool { return matches[i] > matches[j] })
	index := matches[m.members().Quorum()-1]
	if term, ok := m.log.term(index); index <= m.commit || !ok || term != m.state.Term {
		return
	}
	for _, e := range m.log.slice(m.commit+1, index) {
		m.leading.uncommitted = max(0, m.leading.uncommitted-len(e.Data))
	}
	m.commit = index
	m.tellCommit()
	m.startReads()
}

// tellCommit lets followers apply at once instead of with the next heartbeat:
// configuration spreads through them.
func (m *Machine) tellCommit() {
	m.others(func(p *progress) {
		if p.state != replicating {
			return
		}
		if p.next <= m.log.last() {
			m.sendAppend(p)
			return
		}
		term, _ := m.log.term(p.next - 1)
		m.send(p.member, Message{
			Kind: KindHeartbeat, Index: p.next - 1, LogTerm: term, Commit: m.commit, Read: m.leading.round,
		})
	})
}

func (m *Machine) onSnapshotSent(e SnapshotSent) {
	p := m.leading.progress[e.Name]
	if m.role != RoleLeader || p == nil || p.member.Identity != e.Identity || p.state != snapshotting {
		return
	}
	p.state = probing
	p.bytes = 0
	p.paused = !e.Installed
	if e.Installed {
		p.next = max(p.match, e.Index) + 1
		m.sendAppend(p)
	}
}
