package consensus

import (
	"sort"

	"toucanhinge.example/common/pkg/clock"
)

// leaderState is the state that only a leader has.
type leaderState struct {
	progress         map[string]*progress
	nextHeartbeat    clock.Millis
	uncommittedBytes int
	readRound        uint64
	reads            []pendingRead
	transfer         leadershipTransfer
	// othersSyncTime is how long a majority of the other members took to sync entries that this
	// replica hasn't synced yet, 0 if there are none.
	othersSyncTime clock.Millis
}

// maxSyncTimeouts is the longest time that a sync may take, in election timeouts, beyond a multiple
// of the time that the other members take.
const maxSyncTimeouts = 4

type progressState int

const (
	// probing sends one append and waits for its response.
	probing progressState = iota
	// replicating sends appends without waiting for responses.
	replicating
	// snapshotting waits until a snapshot is installed or has failed.
	snapshotting
)

// progress is the state of another member as the leader knows it.
type progress struct {
	member Member
	state  progressState
	match  uint64
	next   uint64
	paused bool
	// inflightBytes is the size of the entries that are sent and not acknowledged.
	inflightBytes int
	// heartbeatMatch is the match at the last heartbeat.
	heartbeatMatch uint64
	readRound      uint64
	lastContact    clock.Millis
	// responded is set once the member has responded to this leader.
	responded bool
}

func (m *Machine) becomeLeader() {
	m.role = RoleLeader
	m.leader = m.config.Name
	m.votes = nil
	clear(m.yields)
	m.leaderState = leaderState{progress: map[string]*progress{}, nextHeartbeat: m.now}
	m.updateProgress()
	m.appendEntries(Entry{Index: m.log.last() + 1, Term: m.state.Term, Kind: EntryEmpty})
	m.broadcast()
	m.advanceCommit()
}

func (m *Machine) stopLeading() {
	for _, r := range m.leaderState.reads {
		m.refuse(r.id, ReasonNotLeader)
	}
	if t := m.leaderState.transfer; t.campaignSent {
		m.out.Transferred = append(m.out.Transferred, LeadershipTransferred{ID: t.id})
	} else if t.target != "" {
		m.refuse(t.id, ReasonNoTarget)
	}
	m.leaderState = leaderState{}
}

func (m *Machine) refuse(id uint64, reason Reason) {
	m.out.Refused = append(m.out.Refused, Refused{ID: id, Reason: reason})
}

// updateProgress aligns the progress of the members with the membership.
func (m *Machine) updateProgress() {
	for name, p := range m.leaderState.progress {
		if !m.members().Has(name, p.member.Identity) {
			delete(m.leaderState.progress, name)
		}
	}
	for _, member := range m.members() {
		if member.Name == m.config.Name {
			continue
		}
		p := m.leaderState.progress[member.Name]
		if p == nil {
			p = &progress{next: m.log.last() + 1, lastContact: m.now}
			m.leaderState.progress[member.Name] = p
		}
		p.member = member
	}
}

// forEachPeer visits the other members in the order of the membership. With the order of
// a map, the actions of the machine would differ from run to run.
func (m *Machine) forEachPeer(visit func(*progress)) {
	for _, member := range m.members() {
		if p := m.leaderState.progress[member.Name]; p != nil {
			visit(p)
		}
	}
}

func (m *Machine) tickLeader() {
	if !m.hasQuorumContact() || m.diskStalled() {
		m.becomeFollower(m.state.Term, "")
		return
	}
	m.expireTransfer()
	if m.now >= m.leaderState.nextHeartbeat {
		m.heartbeat()
		m.forEachPeer(m.resend)
	}
}

// resend sends entries again that a member hasn't acknowledged since the last heartbeat.
// The append may have arrived and only its response been lost: heartbeats then find no
// missing entry, and once the in-flight window is full nothing would be sent any more.
func (m *Machine) resend(p *progress) {
	if p.state == replicating && p.match < p.next-1 && p.match == p.heartbeatMatch {
		p.state = probing
		p.next = p.match + 1
		p.inflightBytes = 0
	}
	p.heartbeatMatch = p.match
	if p.state == probing {
		p.paused = false
		m.sendAppend(p)
	}
}

// diskStalled reports whether a sync of this replica's disk takes several election timeouts
// longer than those of a majority of the other members. A leader delivers no entry that it
// hasn't synced, so its callers would wait for this disk. The replica can't win the next
// election either: its pre-vote requests wait for the disk. If the disks of the others are
// as slow, no other replica would be a better leader.
func (m *Machine) diskStalled() bool {
	othersTime := m.leaderState.othersSyncTime
	if othersTime == 0 || len(m.pending) == 0 {
		return false
	}
	return m.now-m.pending[0].since > maxSyncTimeouts*m.config.ElectionTimeout+electionSyncs*othersTime
}

// recordOthersSync records how long the other members took if they have synced entries that this
// replica hasn't.
func (m *Machine) recordOthersSync() {
	switch {
	case m.commit <= m.synced || len(m.pending) == 0:
		m.leaderState.othersSyncTime = 0
	case m.leaderState.othersSyncTime == 0:
		m.leaderState.othersSyncTime = max(m.now-m.pending[0].since, 1)
	}
}

// hasQuorumContact reports whether a majority, including the leader, was last seen within
// the leader timeout. A leader behind a network partition that drops packets silently
// would otherwise keep its callers waiting for hours, although the other members have
// long since elected a new leader.
func (m *Machine) hasQuorumContact() bool {
	live := 0
	if self, ok := m.self(); ok && self.Voter {
		live++
	}
	m.forEachPeer(func(p *progress) {
		if p.member.Voter && m.isLive(p) {
			live++
		}
	})
	return live >= m.members().Quorum()
}

func (m *Machine) heartbeat() {
	m.leaderState.nextHeartbeat = m.now + m.config.HeartbeatInterval
	m.forEachPeer(func(p *progress) {
		index := p.next - 1
		term, ok := m.log.term(index)
		if !ok {
			index, term = 0, 0
		}
		m.send(p.member, Message{
			Kind: KindHeartbeat, Index: index, LogTerm: term,
			Commit: m.commit, Read: m.leaderState.readRound,
		})
	})
}

// isLive reports whether the member was last seen within the leader timeout. The timeout
// grows with the delays of this leader itself.
func (m *Machine) isLive(p *progress) bool {
	limit := m.leaderTimeout.value()
	if !p.responded {
		// The first response takes a message each way, the next ones follow at the pace of the heartbeats.
		limit = maxLeaderTimeoutFactor * m.config.ElectionTimeout
	}
	return m.now-p.lastContact <= limit
}

// inContact reports whether the member has responded to this leader and is live.
func (m *Machine) inContact(p *progress) bool { return p != nil && p.responded && m.isLive(p) }

func (m *Machine) broadcast() {
	m.forEachPeer(m.sendAppend)
}

// sendAppend sends the entries that the member lacks, as far as its state allows.
func (m *Machine) sendAppend(p *progress) {
	for {
		if p.paused || p.state == snapshotting {
			return
		}
		term, ok := m.log.term(p.next - 1)
		if !ok && !m.isLive(p) {
			// The next heartbeat retries.
			p.state, p.paused = probing, true
			return
		}
		if !ok {
			p.state = snapshotting
			m.out.Snapshots = append(m.out.Snapshots, InstallSnapshot{To: p.member})
			return
		}
		entries := m.nextBatch(p)
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
		p.inflightBytes += dataBytes(entries)
	}
}

func dataBytes(entries []Entry) int {
	bytes := 0
	for _, e := range entries {
		bytes += len(e.Data)
	}
	return bytes
}

// nextBatch returns the next entries for a member within the limits of one message and of
// the entries in flight. With more in flight than the network transfers quickly,
// heartbeats would be delayed behind it, and the leader would consider the members lost
// just when it has the most to do.
func (m *Machine) nextBatch(p *progress) []Entry {
	last := min(m.log.last(), p.match+m.config.MaxInflight)
	bytes := 0
	to := p.next
	for ; to <= last; to++ {
		bytes += len(m.log.entries[to-m.log.base.Index-1].Data)
		if bytes > m.config.MaxBatchBytes && to > p.next {
			break
		}
		if p.inflightBytes+bytes > m.config.MaxInflightBytes && p.inflightBytes+int(to-p.next) > 0 {
			break
		}
	}
	return m.log.slice(p.next, to-1)
}

func (m *Machine) onAppendResponse(msg Message) {
	p := m.recordContact(msg)
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
	m.advanceTransfer(p)
	m.sendAppend(p)
}

func (m *Machine) acknowledge(p *progress, index uint64) {
	if index <= p.match {
		return
	}
	if p.match >= m.log.base.Index {
		p.inflightBytes = max(0, p.inflightBytes-dataBytes(m.log.slice(p.match+1, min(index, p.next-1))))
	} else {
		p.inflightBytes = 0
	}
	p.match = index
}

// onReject goes back to the position where the log of the member may agree. A late
// rejection of entries that have since been acknowledged is ignored.
func (m *Machine) onReject(p *progress, msg Message) {
	if p.state == snapshotting || msg.Index <= p.match {
		return
	}
	p.next = max(p.match+1, min(msg.Index, msg.Hint+1))
	p.state = probing
	p.paused = false
	p.inflightBytes = 0
	m.sendAppend(p)
}

func (m *Machine) onHeartbeatResponse(msg Message) {
	p := m.recordContact(msg)
	if p == nil {
		return
	}
	p.readRound = max(p.readRound, msg.Read)
	m.confirmReads()
	if msg.Reject {
		m.onReject(p, msg)
	}
}

// recordContact records the time of a response in the current term and returns the
// progress of the sender.
func (m *Machine) recordContact(msg Message) *progress {
	if m.role != RoleLeader {
		return nil
	}
	p := m.leaderState.progress[msg.From]
	if p != nil {
		p.lastContact, p.responded = m.now, true
	}
	return p
}

// advanceCommit commits entries that a majority has synced. The leader's own log counts
// only as far as it is synced, and only entries of the current term count: an entry of an
// earlier term on a majority can still be replaced.
func (m *Machine) advanceCommit() {
	defer m.recordOthersSync()
	var matches []uint64
	for _, member := range m.members() {
		if !member.Voter {
			continue
		}
		if p := m.leaderState.progress[member.Name]; p != nil {
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
		m.leaderState.uncommittedBytes = max(0, m.leaderState.uncommittedBytes-len(e.Data))
	}
	m.commit = index
	m.broadcastCommit()
	m.startReads()
}

// broadcastCommit lets followers apply entries at once instead of after the next
// heartbeat, because followers forward the configuration to other processes.
func (m *Machine) broadcastCommit() {
	m.forEachPeer(func(p *progress) {
		if p.state != replicating {
			return
		}
		if p.next <= m.log.last() {
			m.sendAppend(p)
			return
		}
		term, _ := m.log.term(p.next - 1)
		m.send(p.member, Message{
			Kind: KindHeartbeat, Index: p.next - 1, LogTerm: term, Commit: m.commit, Read: m.leaderState.readRound,
		})
	})
}

func (m *Machine) onSnapshotSent(e SnapshotSent) {
	p := m.leaderState.progress[e.Name]
	if m.role != RoleLeader || p == nil || p.member.Identity != e.Identity || p.state != snapshotting {
		return
	}
	p.state = probing
	p.inflightBytes = 0
	p.paused = !e.Installed
	if e.Installed {
		p.next = max(p.match, e.Index) + 1
		m.sendAppend(p)
	}
}
