package consensus

// receive takes a message that is meant for this identity.
//
// A replica whose disk was lost knows neither its votes nor its entries. If it
// answered for the old identity, two leaders could get a majority in one term,
// or an acknowledged entry would be missing from every majority. So questions
// are answered only under the identity they name, and answers count only from an
// identity that the membership names. The asker's identity needs no check: a
// replica that the membership doesn't name never campaigns, and a follower that
// lags must accept a leader that was added after its own latest entry.
func (m *Machine) receive(msg Message) {
	if msg.To != m.config.Name || msg.ToIdentity != m.config.Identity || !msg.wellFormed() {
		return
	}
	if msg.isAnswer() && !m.members().Has(msg.From, msg.FromIdentity) {
		return
	}
	switch {
	case msg.Term > m.state.Term:
		if !m.takeHigherTerm(msg) {
			return
		}
	case msg.Term < m.state.Term:
		m.answerLowerTerm(msg)
		return
	}
	switch msg.Kind {
	case KindPreVote:
		m.onPreVote(msg)
	case KindVote, KindTransferVote:
		m.onVote(msg)
	case KindPreVoteResponse, KindVoteResponse:
		m.onVoteAnswer(msg)
	case KindAppend:
		m.onAppend(msg)
	case KindHeartbeat:
		m.onHeartbeat(msg)
	case KindAppendResponse:
		m.onAppendAnswer(msg)
	case KindHeartbeatResponse:
		m.onHeartbeatAnswer(msg)
	case KindCampaign:
		m.campaign(KindTransferVote)
	}
}

// takeHigherTerm enters the message's term where it must, and says whether the
// message is to be handled.
func (m *Machine) takeHigherTerm(msg Message) bool {
	switch msg.Kind {
	case KindPreVote:
		return true
	case KindPreVoteResponse:
		if !msg.Reject {
			return true
		}
	case KindVote:
		if m.hearsLeader() {
			return false
		}
	case KindCampaign:
		// Only the leader of this term may hand over, and it isn't known here.
		return false
	}
	leader := ""
	if msg.Kind == KindAppend || msg.Kind == KindHeartbeat {
		leader = msg.From
	}
	m.follow(msg.Term, leader)
	return true
}

// answerLowerTerm lets a leader or candidate of an old term learn the new one.
func (m *Machine) answerLowerTerm(msg Message) {
	from := Member{Name: msg.From, Identity: msg.FromIdentity}
	switch msg.Kind {
	case KindAppend:
		m.sendSynced(from, Message{Kind: KindAppendResponse, Reject: true, Index: msg.Index, Hint: m.log.last()})
	case KindHeartbeat:
		m.sendSynced(from, Message{Kind: KindHeartbeatResponse, Reject: true})
	case KindPreVote:
		m.sendSynced(from, Message{Kind: KindPreVoteResponse, Reject: true})
	}
}

// follow enters a term as a follower.
func (m *Machine) follow(term uint64, leader string) {
	if m.role == RoleLeader {
		m.stopLeading()
	}
	if term > m.state.Term {
		m.state = HardState{Term: term}
		m.persist()
	}
	m.role = RoleFollower
	m.leader = leader
	m.forced = false
	m.resetElection()
}

func (m *Machine) heardLeader(name string) {
	if m.role != RoleFollower || m.leader != name {
		m.follow(m.state.Term, name)
	} else {
		m.patience.note(m.now - m.leaderContact)
	}
	m.leaderContact = m.now
	m.resetElection()
}

func (m *Machine) onAppend(msg Message) {
	m.heardLeader(msg.From)
	leader := Member{Name: msg.From, Identity: msg.FromIdentity}
	if msg.Index < m.commit {
		m.sendSynced(leader, Message{Kind: KindAppendResponse, Index: m.commit})
		return
	}
	if !m.matches(msg) {
		m.sendSynced(leader, Message{Kind: KindAppendResponse, Reject: true, Index: msg.Index, Hint: m.hint(msg)})
		return
	}
	last := msg.Index + uint64(len(msg.Entries))
	m.appendMissing(msg.Entries)
	m.commit = max(m.commit, min(msg.Commit, last))
	m.sendSynced(leader, Message{Kind: KindAppendResponse, Index: last})
}

func (m *Machine) onHeartbeat(msg Message) {
	m.heardLeader(msg.From)
	answer := Message{Kind: KindHeartbeatResponse, Read: msg.Read, Index: msg.Index}
	if msg.Index >= m.commit && !m.matches(msg) {
		answer.Reject = true
		answer.Hint = m.hint(msg)
	} else {
		m.commit = max(m.commit, min(msg.Commit, msg.Index))
	}
	m.send(Member{Name: msg.From, Identity: msg.FromIdentity}, answer)
}

// matches says whether the log holds the entry that the message builds on.
func (m *Machine) matches(msg Message) bool {
	term, ok := m.log.term(msg.Index)
	return ok && term == msg.LogTerm
}

// hint names the last entry that may agree with the leader's log: entries of
// terms above the leader's at that place can't.
func (m *Machine) hint(msg Message) uint64 {
	hint := min(m.log.last(), msg.Index)
	if hint == msg.Index && hint > 0 {
		hint--
	}
	for hint > m.commit {
		term, _ := m.log.term(hint)
		if term <= msg.LogTerm {
			break
		}
		hint--
	}
	return hint
}

// appendMissing skips what the log holds already: a delayed append must not cut
// off entries that a later one of the same leader has added.
func (m *Machine) appendMissing(entries []Entry) {
	for i, e := range entries {
		if term, ok := m.log.term(e.Index); ok && term == e.Term {
			continue
		}
		m.appendEntries(entries[i:]...)
		return
	}
}

func (m *Machine) onSnapshotInstalled(e SnapshotInstalled) {
	if e.Index <= m.delivered {
		return
	}
	m.commit = max(m.commit, e.Index)
	m.delivered = e.Index
	if term, ok := m.log.term(e.Index); ok && term == e.Term {
		return
	}
	base := Base{Index: e.Index, Term: e.Term}
	m.log.reset(base)
	m.history = memberHistory{{index: e.Index, members: e.Members}}
	m.synced = min(m.synced, e.Index)
	for i := range m.pending {
		m.pending[i].last = min(m.pending[i].last, e.Index)
	}
	m.persist().Reset = &base
}
