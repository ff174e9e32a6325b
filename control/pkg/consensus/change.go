package consensus

import "toucanhinge.example/common/pkg/clock"

// changeMembers appends a membership that differs by one member, so that every majority
// before the change shares a replica with every majority after it. A second change waits
// until the first is committed, and the first change of a term until an entry of that
// term is committed. Otherwise two leaders could build on different memberships whose
// majorities are disjoint.
func (m *Machine) changeMembers(e ChangeMembers) {
	if m.role != RoleLeader || m.leaderState.transfer.target != "" {
		m.refuse(e.ID, ReasonNotLeader)
		return
	}
	term, _ := m.log.term(m.commit)
	if m.history.currentIndex() > m.commit || term != m.state.Term {
		m.refuse(e.ID, ReasonChangePending)
		return
	}
	members, reason := m.changedMembers(e)
	if reason != "" {
		m.refuse(e.ID, reason)
		return
	}
	if !m.hasMajorityInContact(members) {
		m.refuse(e.ID, ReasonNoLiveMajority)
		return
	}
	entry := Entry{Index: m.log.last() + 1, Term: m.state.Term, Kind: EntryMembers, Data: members.Encode()}
	m.appendEntries(entry)
	m.out.Accepted = append(m.out.Accepted, Accepted{ID: e.ID, Index: entry.Index, Term: entry.Term})
	m.updateProgress()
	m.broadcast()
}

// hasMajorityInContact reports whether a majority of these members' voters is in contact with this leader. A change that takes
// effect without one may never be committed, and the removed voter, which lacks its entry, can't be elected either.
func (m *Machine) hasMajorityInContact(members Members) bool {
	inContact := 0
	for _, member := range members {
		if member.Voter && (member.Name == m.config.Name || m.inContact(m.leaderState.progress[member.Name])) {
			inContact++
		}
	}
	return inContact >= members.Quorum()
}

func (m *Machine) changedMembers(e ChangeMembers) (Members, Reason) {
	current := m.members()
	found, exists := current.Find(e.Member.Name)
	rest := current.without(e.Member.Name)
	switch e.Kind {
	case AddLearner:
		if exists {
			return nil, ReasonMemberExists
		}
		learner := e.Member
		learner.Voter = false
		return append(rest, learner), ""
	case Promote:
		if !exists || found.Voter {
			return nil, ReasonMemberUnknown
		}
		// A learner that lacks entries would count towards a majority as a voter. The
		// loss of one more replica could then lose these entries.
		if m.leaderState.progress[found.Name].match < m.commit {
			return nil, ReasonLearnerLagging
		}
		found.Voter = true
		return append(rest, found), ""
	default:
		if !exists {
			return nil, ReasonMemberUnknown
		}
		if found.Name == m.config.Name {
			return nil, ReasonIsLeader
		}
		return rest, ""
	}
}

// leadershipTransfer is a change of leader that the leader itself initiated.
type leadershipTransfer struct {
	id           uint64
	target       string
	deadline     clock.Millis
	campaignSent bool
}

// startTransfer selects the live voter that lacks the fewest entries, and refuses new
// proposals until that voter leads or an election timeout has passed.
func (m *Machine) startTransfer(id uint64) {
	if m.role != RoleLeader || m.leaderState.transfer.target != "" {
		m.refuse(id, ReasonNotLeader)
		return
	}
	var best *progress
	m.forEachPeer(func(p *progress) {
		if p.member.Voter && m.isLive(p) && (best == nil || p.match > best.match) {
			best = p
		}
	})
	if best == nil {
		m.refuse(id, ReasonNoTarget)
		return
	}
	m.leaderState.transfer = leadershipTransfer{
		id: id, target: best.member.Name, deadline: m.now + m.config.ElectionTimeout,
	}
	m.advanceTransfer(best)
}

// advanceTransfer makes the target campaign once it has the whole log.
func (m *Machine) advanceTransfer(p *progress) {
	t := &m.leaderState.transfer
	if t.target != p.member.Name || t.campaignSent || p.match < m.log.last() {
		return
	}
	t.campaignSent = true
	m.send(p.member, Message{Kind: KindCampaign})
}

func (m *Machine) expireTransfer() {
	t := m.leaderState.transfer
	if t.target != "" && m.now >= t.deadline {
		m.leaderState.transfer = leadershipTransfer{}
		m.refuse(t.id, ReasonNoTarget)
	}
}
