package consensus

import "toucanhinge.example/common/pkg/clock"

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
