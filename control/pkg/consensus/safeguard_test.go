package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The fuzz tests reach these states too rarely to detect a missing safeguard, so
// each safeguard has a test of its own.

// received returns the event for a message from one node to another.
func received(from, to *simNode, m Message) Received {
	m.From, m.FromIdentity = from.name, from.identity
	m.To, m.ToIdentity = to.name, to.identity
	return Received{Message: m}
}

// A replica that lost its disk receives vote requests, appends and heartbeats under its
// old identity. It must not respond.
func TestRequestToOtherIdentityIgnored(t *testing.T) {
	s := newSim(3, 0, func(int) int { return 0 })
	sender, receiver := s.nodes[0], s.nodes[1]
	for _, kind := range []Kind{KindPreVote, KindVote, KindTransferVote, KindAppend, KindHeartbeat} {
		r := received(sender, receiver, Message{Kind: kind, Term: 9, Index: 1, LogTerm: 1})
		r.Message.ToIdentity = "n1-disk8"
		require.Equal(t, Actions{}, receiver.machine.Step(receiver.clock, r))
	}
}

// The only voter crashes right after it entered a new term, before the term is synced. If
// it had led at once, it would lead the same term again with other entries.
func TestOwnVoteCountsOnlyAfterSync(t *testing.T) {
	s := newSim(1, 0, func(int) int { return 0 })
	n := s.nodes[0]
	s.step(n, received(n, n, Message{Kind: KindHeartbeat, Term: 5}))
	n.clock += 10_000
	s.step(n, Tick{})
	s.sync(n, 1)
	require.Equal(t, RoleCandidate, n.machine.role)
	s.sync(n, len(n.pending))
	require.Equal(t, RoleLeader, n.machine.role)
}

// newLeader elects the first node in term 3 with a log whose last entry has term 2, and
// delivers none of its messages.
func newLeader(t *testing.T) (s *sim, leader, other *simNode) {
	t.Helper()
	s = newSim(3, 0, func(int) int { return 0 })
	leader, other = s.nodes[0], s.nodes[1]
	leader.state.Term = 2
	leader.entries = append(leader.entries, Entry{Index: 2, Term: 2, Kind: EntryCommand, Data: []byte("old")})
	s.restart(leader)
	s.step(leader, received(leader, leader, Message{Kind: KindCampaign, Term: 2}))
	s.sync(leader, len(leader.pending))
	s.step(leader, received(other, leader, Message{Kind: KindVoteResponse, Term: 3}))
	s.sync(leader, len(leader.pending))
	require.Equal(t, RoleLeader, leader.machine.role)
	return s, leader, other
}

// An entry of an earlier term is on a majority. A replica with a later entry of another
// term could still be elected and replace it, so it isn't committed until an entry of the
// leader's own term is.
func TestCommitCountsOnlyCurrentTerm(t *testing.T) {
	s, leader, other := newLeader(t)
	s.step(leader, received(other, leader, Message{Kind: KindAppendResponse, Term: 3, Index: 2}))
	require.Zero(t, leader.machine.commit)
	s.step(leader, received(other, leader, Message{Kind: KindAppendResponse, Term: 3, Index: 3}))
	require.Equal(t, uint64(3), leader.machine.commit)
}

// Two leaders of different terms could each start a change from the same membership and
// end with disjoint majorities. A leader therefore commits an entry of its own term
// first.
func TestMembershipChangeWaitsForCurrentTermCommit(t *testing.T) {
	s, leader, other := newLeader(t)
	leader.machine.commit = 2
	change := ChangeMembers{ID: 1, Kind: Remove, Member: Member{Name: other.name}}
	s.step(leader, received(s.nodes[2], leader, Message{Kind: KindHeartbeatResponse, Term: 3}))
	actions := leader.machine.Step(leader.clock, change)
	require.Equal(t, []Refused{{ID: 1, Reason: ReasonChangePending}}, actions.Refused)
	s.step(leader, received(other, leader, Message{Kind: KindAppendResponse, Term: 3, Index: 3}))
	require.Len(t, leader.machine.Step(leader.clock, change).Accepted, 1)
}

// A read that began before the new leader committed an entry of its own term must wait:
// the commit index may lag behind entries that the previous leader acknowledged.
func TestReadWaitsForCurrentTermCommit(t *testing.T) {
	s, leader, other := newLeader(t)
	s.step(leader, ReadIndex{ID: 7})
	s.step(leader, received(other, leader, Message{Kind: KindHeartbeatResponse, Term: 3, Read: 1}))
	require.Zero(t, s.counts.reads)
	s.step(leader, received(other, leader, Message{Kind: KindAppendResponse, Term: 3, Index: 3}))
	s.step(leader, received(other, leader, Message{Kind: KindHeartbeatResponse, Term: 3, Read: 1}))
	require.Equal(t, 1, s.counts.reads)
}

func TestVoteGranting(t *testing.T) {
	scenarios := []struct {
		name        string
		kind        Kind
		leaderAlive bool
		index       uint64
		logTerm     uint64
		granted     bool
		term        uint64
	}{
		{name: "log is as long", kind: KindVote, index: 2, logTerm: 2, granted: true, term: 5},
		{name: "log is shorter", kind: KindVote, index: 1, logTerm: 2, term: 5},
		{name: "log is longer but its term is older", kind: KindVote, index: 9, logTerm: 1, term: 5},
		{name: "leader is alive", kind: KindVote, leaderAlive: true, index: 2, logTerm: 2, term: 2},
		{name: "leadership transfer", kind: KindTransferVote, leaderAlive: true, index: 2, logTerm: 2, granted: true, term: 5},
		{name: "pre-vote while leader is alive", kind: KindPreVote, leaderAlive: true, index: 2, logTerm: 2, term: 2},
		{name: "pre-vote", kind: KindPreVote, index: 2, logTerm: 2, granted: true, term: 2},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			s := newSim(3, 0, func(int) int { return 0 })
			n, candidate, leader := s.nodes[0], s.nodes[1], s.nodes[2]
			n.state.Term = 2
			n.entries = append(n.entries, Entry{Index: 2, Term: 2, Kind: EntryCommand})
			s.restart(n)
			if sc.leaderAlive {
				s.step(n, received(leader, n, Message{Kind: KindHeartbeat, Term: 2, Index: 2, LogTerm: 2}))
			}
			s.network = nil
			s.step(n, received(candidate, n, Message{Kind: sc.kind, Term: 5, Index: sc.index, LogTerm: sc.logTerm}))
			s.sync(n, len(n.pending))
			granted := len(s.network) == 1 && !s.network[0].message.Reject
			require.Equal(t, sc.granted, granted)
			require.Equal(t, sc.term, n.machine.state.Term)
		})
	}
}

// A faulty follower acknowledges entries that don't exist. The leader would consider it
// ahead and send it a snapshot.
func TestAppendResponseBeyondLogIgnored(t *testing.T) {
	_, leader, other := newLeader(t)
	actions := leader.machine.Step(leader.clock, received(other, leader, Message{Kind: KindAppendResponse, Term: 3, Index: 9}))
	require.Equal(t, Actions{}, actions)
}

// The disk of the leader stalls without an error. The leader still receives messages from
// all others and would lead for ever while its callers wait. Another replica with a
// working disk must become the leader, and the old leader must not disturb it.
func TestLeaderWithStalledDiskStepsDown(t *testing.T) {
	s := newFaultlessSim(t, 3, 0)
	old := s.leader()
	s.stalledDisk = old
	s.step(old, Propose{Proposals: []Proposal{{ID: s.id(), Data: []byte("x")}}})
	s.runWithoutFaults(4000)
	leader := s.leader()
	require.NotEqual(t, old.name, leader.name)
	term := leader.machine.state.Term
	s.runWithoutFaults(4000)
	require.Equal(t, term, s.leader().machine.state.Term)
	require.Equal(t, RoleFollower, old.machine.role)
	s.stalledDisk = nil
	s.runWithoutFaults(2000)
	require.Equal(t, s.highestCommitted, old.applied)
	require.Empty(t, s.violation)
}
