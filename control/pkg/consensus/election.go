package consensus

// retryDivisor divides the election timeout. A lost election is retried within the
// result. An attempt takes some 10 ms with the syncs, so two attempts rarely collide
// again.
const retryDivisor = 2

// maxYields is how often a replica gives up its pre-votes for the same other replica until there is a leader. The time for
// which it does so doubles. Afterwards the other replica is probably unable to receive responses.
const maxYields = 2

// hasLiveLeader reports whether a leader is known to be alive. While it is, vote requests
// are refused without entering their term: a replica that was removed or partitioned could
// otherwise depose a leader that serves all other replicas. The limit is one heartbeat
// interval below the leader timeout: the first replica to miss the leader would otherwise
// often be refused by a replica that received a heartbeat slightly later, and the
// election would take another timeout.
func (m *Machine) hasLiveLeader() bool {
	if m.role == RoleLeader {
		return true
	}
	return m.leader != "" && m.now-m.lastLeaderContact < m.leaderTimeout.value()-m.config.HeartbeatInterval
}

// startPreVote queries whether an election could be won, without entering a new term. A
// partitioned replica would otherwise return with a high term and force the others
// into an election.
func (m *Machine) startPreVote() {
	m.resetElection()
	m.deferred = false
	self, ok := m.self()
	if !ok || !self.Voter {
		return
	}
	m.role = RolePreCandidate
	m.leader = ""
	m.preVotes = map[string]bool{self.Name: true}
	m.requestVotes(KindPreVote, m.state.Term+1)
	m.tallyPreVotes()
}

// campaign enters a new term and requests votes. The requests are sent, and the replica's
// own vote counts, only once the term and the vote are synced.
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
	m.requestVotes(kind, m.state.Term)
}

func (m *Machine) requestVotes(kind Kind, term uint64) {
	for _, p := range m.members() {
		if p.Voter && p.Name != m.config.Name {
			m.sendAfterSync(p, Message{Kind: kind, Term: term, Index: m.log.last(), LogTerm: m.log.lastTerm()})
		}
	}
}

func (m *Machine) onPreVote(msg Message) {
	from := Member{Name: msg.From, Identity: msg.FromIdentity}
	if msg.Term <= m.state.Term || m.hasLiveLeader() || !m.upToDate(msg) {
		// The other replica enters the term of a rejection, so the term must be durable: a
		// candidate with a slow disk would otherwise interrupt the elections of the others.
		m.sendAfterSync(from, Message{Kind: KindPreVoteResponse, Reject: true})
		return
	}
	m.deferElection()
	m.yieldTo(msg.From)
	m.send(from, Message{Kind: KindPreVoteResponse, Term: msg.Term})
}

// yieldTo gives up this replica's pre-votes for another replica that requests some at the same time. Of two such replicas
// one would otherwise have to begin earlier than the other by the time that messages take, or the votes are split.
func (m *Machine) yieldTo(name string) {
	if m.role != RolePreCandidate || name > m.config.Name || m.yields[name] >= maxYields {
		return
	}
	m.yields[name]++
	m.role = RoleFollower
	m.electionDeadline = m.now + m.config.ElectionTimeout<<m.yields[name] + m.config.Jitter(m.config.ElectionTimeout)
}

// deferElection lets the replica that received a pre-vote campaign alone for the time that syncs take. Its vote
// requests wait for a sync of its disk; a second candidate in that time would split the votes. A replica defers its
// election only once: if no leader results, the other replica may be unable to receive responses.
func (m *Machine) deferElection() {
	if !m.deferred {
		m.deferred, m.electionInProgress = true, true
	}
}

// onVote grants at most one vote per term, to a candidate whose log is at least as
// complete as the log of this replica. A learner also votes on request: the candidate's
// log may contain a promotion that hasn't arrived here.
func (m *Machine) onVote(msg Message) {
	canVote := m.state.Vote == "" || m.state.Vote == msg.FromIdentity
	granted := canVote && m.leader == "" && m.role != RoleLeader && m.upToDate(msg)
	if granted && m.state.Vote == "" {
		m.state.Vote = msg.FromIdentity
		m.persist()
	}
	if granted {
		m.resetElection()
	}
	m.sendAfterSync(
		Member{Name: msg.From, Identity: msg.FromIdentity}, Message{Kind: KindVoteResponse, Reject: !granted},
	)
}

func (m *Machine) upToDate(msg Message) bool {
	term := m.log.lastTerm()
	return msg.LogTerm > term || msg.LogTerm == term && msg.Index >= m.log.last()
}

func (m *Machine) onVoteResponse(msg Message) {
	if msg.Kind == KindVoteResponse {
		m.onTermVote(msg)
		return
	}
	if m.role != RolePreCandidate || msg.Reject || msg.Term != m.state.Term+1 {
		return
	}
	m.preVotes[msg.From] = true
	m.tallyPreVotes()
}

// onTermVote counts a vote of this term. It counts also if this replica has given up its candidacy and queries the next term:
// while messages take longer than a candidate waits, all votes come too late.
func (m *Machine) onTermVote(msg Message) {
	if msg.Term != m.state.Term || !m.isCandidate() {
		return
	}
	if msg.Reject {
		// Two replicas that restart within some milliseconds of each other, while the third
		// one is down, each vote for themselves. A whole timeout before the next attempt
		// would leave the group without a leader for another half second. If the candidate
		// wins despite this rejection, the shorter deadline does no harm: a leader sends no
		// vote requests.
		if m.role == RoleCandidate {
			m.electionDeadline = min(m.electionDeadline, m.now+m.config.Jitter(m.config.ElectionTimeout/retryDivisor+m.electionSyncTime()))
		}
		return
	}
	m.votes[msg.From] = true
	m.tallyVotes()
}

// tallyPreVotes starts an election if a majority would vote for this replica.
func (m *Machine) tallyPreVotes() {
	if m.role == RolePreCandidate && m.hasMajority(m.preVotes) {
		m.campaign(KindVote)
	}
}

// tallyVotes makes this replica the leader if a majority voted for it. Its own vote counts once it is synced.
func (m *Machine) tallyVotes() {
	if !m.isCandidate() {
		return
	}
	if m.syncedTerm == m.state.Term {
		m.votes[m.config.Name] = true
	}
	if m.hasMajority(m.votes) {
		m.becomeLeader()
	}
}

// isCandidate reports whether votes of this term may make this replica the leader. A replica that led this term, or that
// restarted in it, has no votes.
func (m *Machine) isCandidate() bool {
	waits := m.role == RoleCandidate || m.role == RolePreCandidate
	return waits && m.votes != nil && m.state.Vote == m.config.Identity
}

func (m *Machine) hasMajority(votes map[string]bool) bool {
	granted := 0
	for _, p := range m.members() {
		if p.Voter && votes[p.Name] {
			granted++
		}
	}
	return granted >= m.members().Quorum()
}
