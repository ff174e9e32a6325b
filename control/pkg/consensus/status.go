package consensus

// MemberStatus is a member as far as the leader knows.
type MemberStatus struct {
	Member Member
	// Match is the index up to which the member's log is synced.
	Match uint64
	// InContact reports whether the member has responded to this leader, and last did so within the leader timeout.
	InContact bool
}

// Status is a view of the state of a machine.
type Status struct {
	Role    Role
	Term    uint64
	Leader  string
	Commit  uint64
	First   uint64
	Last    uint64
	Synced  uint64
	Members []MemberStatus
	Pending int
}

// Status returns a copy of the current state.
func (m *Machine) Status() Status {
	s := Status{
		Role: m.role, Term: m.state.Term, Leader: m.leader, Commit: m.commit,
		First: m.log.base.Index + 1, Last: m.log.last(), Synced: m.synced, Pending: len(m.pending),
	}
	for _, member := range m.members() {
		status := MemberStatus{Member: member}
		if p := m.leaderState.progress[member.Name]; p != nil {
			status.Match = p.match
			status.InContact = m.inContact(p)
		} else if member.Name == m.config.Name {
			status.Match = m.synced
		}
		s.Members = append(s.Members, status)
	}
	return s
}

// Role returns the current role of the replica.
func (m *Machine) Role() Role { return m.role }

// Leader returns the name of the leader of the current term, or an empty string if it is
// unknown.
func (m *Machine) Leader() string { return m.leader }

// Commit returns the index of the last entry known to be committed.
func (m *Machine) Commit() uint64 { return m.commit }

// Last returns the index of the last entry of the log, synced or not.
func (m *Machine) Last() uint64 { return m.log.last() }

// Members returns the membership in force.
func (m *Machine) Members() Members { return m.members() }
