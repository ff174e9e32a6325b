package consensus

// receive handles a message that is addressed to this identity.
//
// A replica that lost its disk knows neither its votes nor its entries. If it responded
// under its old identity, two leaders could get a majority in one term, or an
// acknowledged entry could be missing from every majority. Therefore only the identity
// named in a request handles it, and a response counts only from an identity in the
// membership. The sender of a request needs no check: a replica that isn't in the
// membership never campaigns, and a follower that lags must accept a leader that was
// added after the follower's latest entry.
func (m *Machine) receive(msg Message) {
	if msg.To != m.config.Name || msg.ToIdentity != m.config.Identity || !msg.wellFormed() {
		return
	}
	if msg.isResponse() && !m.members().Has(msg.From, msg.FromIdentity) {
		return
	}
	switch {
	case msg.Term > m.state.Term:
		if !m.handleHigherTerm(msg) {
			return
		}
	case msg.Term < m.state.Term:
		m.respondToLowerTerm(msg)
		return
	}
	switch msg.Kind {
	case KindPreVote:
		m.onPreVote(msg)
	case KindVote, KindTransferVote:
		m.onVote(msg)
	case KindPreVoteResponse, KindVoteResponse:
		m.onVoteResponse(msg)
	case KindAppend:
		m.onAppend(msg)
	case KindHeartbeat:
		m.onHeartbeat(msg)
	case KindAppendResponse:
		m.onAppendResponse(msg)
	case KindHeartbeatResponse:
		m.onHeartbeatResponse(msg)
	case KindCampaign:
		m.campaign(KindTransferVote)
	}
}

// handleHigherTerm enters the term of the message if necessary, and reports whether the
// message still needs to be handled.
func (m *Machine) handleHigherTerm(msg Message) bool {
	switch msg.Kind {
	case KindPreVote:
		return true
	case KindPreVoteResponse:
		if !msg.Reject {
			return true
		}
	case KindVote:
		if m.hasLiveLeader() {
			return false
		}
	case KindCampaign:
		// Only the leader of this term may transfer its leadership, and this replica
		// doesn't know that leader.
		return false
	}
	leader := ""
	if msg.Kind == KindAppend || msg.Kind == KindHeartbeat {
		leader = msg.From
	}
	m.becomeFollower(msg.Term, leader)
	return true
}

// respondToLowerTerm informs a leader or candidate of an old term about the current term.
func (m *Machine) respondToLowerTerm(msg Message) {
	from := Member{Name: msg.From, Identity: msg.FromIdentity}
	switch msg.Kind {
	case KindAppend:
		m.sendAfterSync(from, Message{Kind: KindAppendResponse, Reject: true, Index: msg.Index, Hint: m.log.last()})
	case KindHeartbeat:
		m.sendAfterSync(from, Message{Kind: KindHeartbeatResponse, Reject: true})
	case KindPreVote:
		m.sendAfterSync(from, Message{Kind: KindPreVoteResponse, Reject: true})
	}
}

// becomeFollower enters the term as a follower.
func (m *Machine) becomeFollower(term uint64, leader string) {
	if m.role == RoleLeader {
		m.stopLeading()
	}
	if term > m.state.Term {
		m.state = HardState{Term: term}
		m.persist()
	}
	m.role = RoleFollower
	m.leader = leader
	// Later entries may change the members, and with them what a majority of the votes is.
	m.votes = nil
	m.forced = false
	m.resetElection()
}

func (m *Machine) onLeaderContact(name string) {
	if m.role != RoleFollower || m.leader != name {
		m.becomeFollower(m.state.Term, name)
	} else {
		m.leaderTimeout.observe(m.now - m.lastLeaderContact)
	}
	m.lastLeaderContact = m.now
	clear(m.yields)
	m.resetElection()
}

func (m *Machine) onAppend(msg Message) {
	m.onLeaderContact(msg.From)
	leader := Member{Name: msg.From, Identity: msg.FromIdentity}
	if msg.Index < m.commit {
		m.sendAfterSync(leader, Message{Kind: KindAppendResponse, Index: m.commit})
		return
	}
	if !m.matches(msg) {
		m.sendAfterSync(leader, Message{Kind: KindAppendResponse, Reject: true, Index: msg.Index, Hint: m.hint(msg)})
		return
	}
	last := msg.Index + uint64(len(msg.Entries))
	m.appendMissing(msg.Entries)
	m.commit = max(m.commit, min(msg.Commit, last))
	m.sendAfterSync(leader, Message{Kind: KindAppendResponse, Index: last})
}

func (m *Machine) onHeartbeat(msg Message) {
	m.onLeaderContact(msg.From)
	response := Message{Kind: KindHeartbeatResponse, Read: msg.Read, Index: msg.Index}
	if msg.Index >= m.commit && !m.matches(msg) {
		response.Reject = true
		response.Hint = m.hint(msg)
	} else {
		m.commit = max(m.commit, min(msg.Commit, msg.Index))
	}
	m.send(Member{Name: msg.From, Identity: msg.FromIdentity}, response)
}

// matches reports whether the log contains the entry that precedes the entries of the
// message.
func (m *Machine) matches(msg Message) bool {
	term, ok := m.log.term(msg.Index)
	return ok && term == msg.LogTerm
}

// hint returns the last entry that may agree with the leader's log. Entries with a higher
// term than the leader's entry at that position can't agree.
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

// appendMissing skips entries that the log already contains: a delayed append must not
// remove entries that a later append of the same leader has added.
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
