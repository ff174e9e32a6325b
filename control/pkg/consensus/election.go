package consensus

// retryPart is the part of the election timeout within which a lost election is
// tried again. A try takes some 10 ms with the syncs, so two rarely meet again.
const retryPart = 2

// hearsLeader says whether a leader is known to be at work. While it is, votes
// are refused without taking over the asker's term: a replica that was removed
// or cut off would else depose a leader that serves everybody else. The time is
// a heartbeat short of the election timeout: whoever misses the leader first
// would often be refused by one that heard it a moment later, and the election
// would take another timeout.
func (m *Machine) hearsLeader() bool {
	if m.role == RoleLeader {
		return true
	}
	return m.leader != "" && m.now-m.leaderContact < m.patience.span()-m.config.HeartbeatInterval
}

// preCampaign asks whether an election could be won, without entering a new
// term. A replica that was cut off would otherwise come back with a high term
// and force the others into an election.
func (m *Machine) preCampaign() {
	m.resetElection()
	self, ok := m.self()
	if !ok || !self.Voter {
		return
	}
	m.role = RolePreCandidate
	m.leader = ""
	m.votes = map[string]bool{self.Name: true}
	m.askVotes(KindPreVote, m.state.Term+1)
	m.tally()
}

// campaign enters a new term and asks for votes. They go out, and the own vote
// counts, only once the term and vote are synced.
func (m *Machine) campaign(kind Kind) {
	self, ok := m.self()
	if !ok || !self.Voter || m.role == RoleLeader {
		return
	}
	m.state = HardState{Term: m.state.Term + 1, Vote: m.config.Identity}
	m.persist()
	m.role = RoleCandidate
	m.leader = ""
	m.votes = map[string]bool{}
	m.resetElection()
	m.askVotes(kind, m.state.Term)
}

func (m *Machine) askVotes(kind Kind, term uint64) {
	for _, p := range m.members() {
		if p.Voter && p.Name != m.config.Name {
			m.sendSynced(p, Message{Kind: kind, Term: term, Index: m.log.last(), LogTerm: m.log.lastTerm()})
		}
	}
}

func (m *Machine) onPreVote(msg Message) {
	granted := msg.Term > m.state.Term && !m.hearsLeader() && m.upToDate(msg)
	answer := Message{Kind: KindPreVoteResponse, Reject: !granted}
	if granted {
		answer.Term = msg.Term
	}
	m.sendSynced(Member{Name: msg.From, Identity: msg.FromIdentity}, answer)
}

// onVote gives at most one vote in a term, to a log that holds at least what
// this one holds. A learner votes too when it is asked: the asker's log may hold
// a promotion that hasn't arrived here.
func (m *Machine) onVote(msg Message) {
	free := m.state.Vote == "" || m.state.Vote == msg.FromIdentity
	granted := free && m.leader == "" && m.role != RoleLeader && m.upToDate(msg)
	if granted && m.state.Vote == "" {
		m.state.Vote = msg.FromIdentity
		m.persist()
	}
	if granted {
		m.resetElection()
	}
	m.sendSynced(Member{Name: msg.From, Identity: msg.FromIdentity}, Message{Kind: KindVoteResponse, Reject: !granted})
}

func (m *Machine) upToDate(msg Message) bool {
	term := m.log.lastTerm()
	return msg.LogTerm > term || msg.LogTerm == term && msg.Index >= m.log.last()
}

func (m *Machine) onVoteAnswer(msg Message) {
	wanted := KindVoteResponse
	term := m.state.Term
	if m.role == RolePreCandidate {
		wanted = KindPreVoteResponse
		term++
	}
	if msg.Kind == KindVoteResponse && msg.Reject && m.role == RoleCandidate && msg.Term == m.state.Term {
		// Two replicas that come back within some milliseconds of each other, with the
		// third one gone, each vote for themselves. With a whole timeout until the next
		// try, there was no leader for another half second. A refusal that doesn't cost
		// the election does no harm: the one who wins it stops asking.
		m.electionDue = min(m.electionDue, m.now+m.config.Jitter(m.config.ElectionTimeout/retryPart))
		return
	}
	if msg.Kind != wanted || msg.Reject || msg.Term != term || m.votes == nil {
		return
	}
	m.votes[msg.From] = true
	m.tally()
}

func (m *Machine) tally() {
	if m.role == RoleCandidate && m.syncedTerm == m.state.Term {
		m.votes[m.config.Name] = true
	}
	granted := 0
	for _, p := range m.members() {
		if p.Voter && m.votes[p.Name] {
			granted++
		}
	}
	if granted < m.members().Quorum() {
		return
	}
	switch m.role {
	case RolePreCandidate:
		m.campaign(KindVote)
	case RoleCandidate:
		m.lead()
	}
}
