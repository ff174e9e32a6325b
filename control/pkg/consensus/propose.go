package consensus

func (m *Machine) propose(proposals []Proposal) {
	appended := make([]Entry, 0, len(proposals))
	for _, p := range proposals {
		if reason, ok := m.mayPropose(p); !ok {
			m.refuse(p.ID, reason)
			continue
		}
		e := Entry{
			Index: m.log.last() + uint64(len(appended)) + 1, Term: m.state.Term,
			Kind: EntryCommand, Data: p.Data,
		}
		m.leaderState.uncommittedBytes += len(p.Data)
		appended = append(appended, e)
		m.out.Accepted = append(m.out.Accepted, Accepted{ID: p.ID, Index: e.Index, Term: e.Term})
	}
	if len(appended) == 0 {
		return
	}
	m.appendEntries(appended...)
	m.broadcast()
}

func (m *Machine) mayPropose(p Proposal) (Reason, bool) {
	if m.role != RoleLeader || m.leaderState.transfer.target != "" {
		return ReasonNotLeader, false
	}
	uncommitted := m.leaderState.uncommittedBytes
	if uncommitted > 0 && uncommitted+len(p.Data) > m.config.MaxUncommittedBytes {
		return ReasonOverloaded, false
	}
	return "", true
}

// pendingRead is a read that waits for a majority to respond to a heartbeat of its round.
type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// readIndex starts a read. A leader that was deposed without knowing it would respond
// with an old state, so a majority must confirm, after the read began, that it still
// follows this leader.
func (m *Machine) readIndex(id uint64) {
	if m.role != RoleLeader {
		m.refuse(id, ReasonNotLeader)
		return
	}
	m.leaderState.reads = append(m.leaderState.reads, pendingRead{id: id})
	m.startReads()
}

// startReads assigns a read index and a round to waiting reads. Until an entry of the
// current term is committed, the commit index may lag behind entries that an earlier
// leader acknowledged.
func (m *Machine) startReads() {
	if term, ok := m.log.term(m.commit); !ok || term != m.state.Term {
		return
	}
	started := false
	for i := range m.leaderState.reads {
		r := &m.leaderState.reads[i]
		if r.round != 0 {
			continue
		}
		if !started {
			m.leaderState.readRound++
			started = true
		}
		r.index, r.round = m.commit, m.leaderState.readRound
	}
	if started {
		m.heartbeat()
		m.confirmReads()
	}
}

func (m *Machine) confirmReads() {
	confirmed := 0
	for _, r := range m.leaderState.reads {
		if r.round == 0 || !m.roundConfirmed(r.round) {
			break
		}
		m.out.Reads = append(m.out.Reads, ReadConfirmed{ID: r.id, Index: r.index})
		confirmed++
	}
	m.leaderState.reads = m.leaderState.reads[confirmed:]
}

func (m *Machine) roundConfirmed(round uint64) bool {
	confirmed := 0
	if self, ok := m.self(); ok && self.Voter {
		confirmed++
	}
	m.forEachPeer(func(p *progress) {
		if p.member.Voter && p.readRound >= round {
			confirmed++
		}
	})
	return confirmed >= m.members().Quorum()
}
