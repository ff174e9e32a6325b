package consensus

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
)

// newFaultlessSim returns a cluster with a leader. It has no faults except those that the
// test injects.
// Guards against a leader that removes a voter while another one is lost: no majority of the rest could ever commit that,
// and the removed voter couldn't be elected without it.
func TestChangeThatLeavesNoLiveMajorityIsRefused(t *testing.T) {
	s := newFaultlessSim(t, 3, 1)
	leader, lost, sound := s.leader(), s.followers()[0], s.followers()[1]
	s.step(leader, ChangeMembers{ID: s.id(), Kind: AddLearner, Member: Member{Name: "n3", Identity: "n3-disk0"}})
	s.cutOff(lost, true, true)
	s.runWithoutFaults(1000)
	require.Equal(t, RoleLeader, leader.machine.Role())
	last := leader.machine.Last()
	for _, change := range []ChangeMembers{
		{ID: s.id(), Kind: Remove, Member: Member{Name: sound.name}},
		{ID: s.id(), Kind: Promote, Member: Member{Name: "n3"}},
		{ID: s.id(), Kind: Remove, Member: Member{Name: lost.name}},
	} {
		s.step(leader, change)
		s.runWithoutFaults(1000)
		require.Equal(t, RoleLeader, leader.machine.Role())
		require.Equal(t, leader.machine.Last(), leader.machine.Commit(), "no entry may wait for a majority that is lost")
	}
	require.Equal(t, last+2, leader.machine.Last(), "the learner was promoted and the lost voter removed")
	require.True(t, leader.machine.Members().Has(sound.name, sound.identity))
	require.False(t, leader.machine.Members().Has(lost.name, lost.identity))
}

func newFaultlessSim(t *testing.T, size, spares int) *sim {
	t.Helper()
	s := newSim(size, spares, rand.New(rand.NewPCG(1, 0)).IntN)
	s.runWithoutFaults(2000)
	require.NotNil(t, s.leader())
	return s
}

func (s *sim) followers() []*simNode {
	var followers []*simNode
	for _, n := range s.nodes {
		if n != s.leader() {
			followers = append(followers, n)
		}
	}
	return followers
}

func (s *sim) cutOff(n *simNode, inbound, outbound bool) {
	for _, other := range s.nodes {
		if inbound {
			s.cuts[[2]string{other.name, n.name}] = true
		}
		if outbound {
			s.cuts[[2]string{n.name, other.name}] = true
		}
	}
}

// deliverBetween delivers the packets in flight from one node to another.
func (s *sim) deliverBetween(from, to *simNode) {
	packets := s.network
	s.network = nil
	for _, p := range packets {
		if p.from == from.name && p.to == to.name {
			s.deliverPacket(p)
		} else {
			s.network = append(s.network, p)
		}
	}
}

// deliverAll delivers the packets in flight and syncs all disks, without advancing the
// time.
func (s *sim) deliverAll() {
	for range 10 {
		packets := s.network
		s.network = nil
		for _, p := range packets {
			s.deliverPacket(p)
		}
		for _, n := range s.nodes {
			s.sync(n, len(n.pending))
		}
	}
}

// Two replicas may both win the pre-vote before either campaigns. The third replica votes
// for the first, crashes right after the vote was acknowledged, and receives a request
// from the second in the same term. If it forgot its vote, both would lead that term.
func TestVoteSurvivesCrash(t *testing.T) {
	scenarios := []struct {
		name      string
		forget    bool
		violation bool
	}{
		{name: "vote kept"},
		{name: "vote forgotten", forget: true, violation: true},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			s := newSim(3, 0, func(int) int { return 0 })
			s.bypass.forgetVote = sc.forget
			first, second, third := s.nodes[0], s.nodes[1], s.nodes[2]
			for _, n := range []*simNode{first, second} {
				self := Member{Name: n.name, Identity: n.identity}
				s.step(n, Received{Message: n.machine.withHeader(self, Message{Kind: KindCampaign})})
				s.sync(n, len(n.pending))
			}
			s.deliverBetween(first, third)
			s.sync(third, len(third.pending))
			s.crash(third)
			s.restart(third)
			s.deliverBetween(second, third)
			s.sync(third, len(third.pending))
			s.deliverBetween(third, first)
			s.deliverBetween(third, second)
			require.Equal(t, sc.violation, s.violation != "", s.violation)
		})
	}
}

// A replica is partitioned for a long time and returns. Without a pre-vote it would have
// raised its term with every election it started alone, and the working leader would have to
// step down.
func TestPreVoteKeepsLeaderWhenReplicaReturns(t *testing.T) {
	scenarios := []struct {
		name        string
		skipPreVote bool
	}{
		{name: "with pre-vote"},
		{name: "with forged pre-vote responses", skipPreVote: true},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			s := newFaultlessSim(t, 3, 0)
			leader, isolated := s.leader(), s.followers()[0]
			term := leader.machine.state.Term
			s.cutOff(isolated, true, true)
			for range 40 {
				s.runWithoutFaults(100)
				if sc.skipPreVote && isolated.machine.role == RolePreCandidate {
					other := s.followers()[1]
					s.step(isolated, Received{Message: Message{
						Kind: KindPreVoteResponse, From: other.name, FromIdentity: other.identity,
						To: isolated.name, ToIdentity: isolated.identity, Term: isolated.machine.state.Term + 1,
					}})
				}
			}
			clear(s.cuts)
			s.runWithoutFaults(2000)
			require.Equal(t, sc.skipPreVote, s.leader().machine.state.Term > term)
			require.Empty(t, s.violation)
		})
	}
}

// A leader can send but not receive, or the other way round. Its callers would wait as
// long as the partition lasts, so the leader steps down by itself. If the other replicas
// no longer receive its heartbeats, they elect a new leader.
func TestPartitionedLeaderStepsDown(t *testing.T) {
	scenarios := []struct {
		name              string
		inbound, outbound bool
		forged            bool
		stays             bool
	}{
		{name: "receives nothing", inbound: true},
		{name: "sends nothing", outbound: true},
		{name: "neither sends nor receives", inbound: true, outbound: true},
		{name: "forged heartbeat responses", inbound: true, outbound: true, forged: true, stays: true},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			s := newFaultlessSim(t, 3, 0)
			old := s.leader()
			other := s.followers()[0]
			s.cutOff(old, sc.inbound, sc.outbound)
			for range 20 {
				s.runWithoutFaults(100)
				if sc.forged {
					s.step(old, Received{Message: Message{
						Kind: KindHeartbeatResponse, From: other.name, FromIdentity: other.identity,
						To: old.name, ToIdentity: old.identity, Term: old.machine.state.Term,
					}})
				}
			}
			require.Equal(t, sc.stays, old.machine.role == RoleLeader)
			require.NotEqual(t, old, s.leader())
			require.Empty(t, s.violation)
		})
	}
}

// A removed replica isn't informed that it was removed. It campaigns for ever and must not
// disturb the leader.
func TestRemovedReplicaDoesNotDisturbLeader(t *testing.T) {
	s := newFaultlessSim(t, 4, 0)
	leader, removed := s.leader(), s.followers()[0]
	term := leader.machine.state.Term
	s.cutOff(removed, true, true)
	s.step(leader, ChangeMembers{ID: s.id(), Kind: Remove, Member: Member{Name: removed.name}})
	s.runWithoutFaults(500)
	clear(s.cuts)
	s.runWithoutFaults(5000)
	require.Equal(t, term, leader.machine.state.Term)
	require.Equal(t, RoleLeader, leader.machine.role)
	require.True(t, removed.machine.members().Has(removed.name, removed.identity))
}

// A process is frozen and resumed. A leader that was frozen must not serve reads from its
// old state.
func TestResumedLeaderServesNoStaleRead(t *testing.T) {
	s := newFaultlessSim(t, 3, 0)
	old := s.leader()
	s.cutOff(old, true, true)
	others := s.followers()
	for range 200 {
		for _, n := range others {
			n.clock += 10
			s.step(n, Tick{})
		}
		s.deliverAll()
	}
	leader := s.leader()
	require.NotEqual(t, old, leader)
	s.step(leader, Propose{Proposals: []Proposal{{ID: s.id(), Data: []byte("new")}}})
	s.deliverAll()
	clear(s.cuts)
	id := s.id()
	s.reads[id] = s.highestCommitted
	old.clock += 2000
	confirmed := s.counts.reads
	s.step(old, ReadIndex{ID: id})
	s.deliverAll()
	require.Equal(t, confirmed, s.counts.reads)
	require.Empty(t, s.violation)
}

// The leader transfers its leadership before a planned stop, without an election timeout
// in between.
func TestLeadershipTransferWithoutElectionTimeout(t *testing.T) {
	s := newFaultlessSim(t, 3, 0)
	old := s.leader()
	term := old.machine.state.Term
	s.step(old, TransferLeadership{ID: s.id()})
	s.deliverAll()
	require.NotEqual(t, old, s.leader())
	require.Equal(t, term+1, s.leader().machine.state.Term)
	require.Equal(t, 1, s.counts.transferred)
}

func TestMembershipChangeRefused(t *testing.T) {
	scenarios := []struct {
		name   string
		change ChangeMembers
		before func(s *sim)
		reason Reason
	}{
		{name: "name already in use", change: ChangeMembers{Kind: AddLearner, Member: Member{Name: "n1", Identity: "other"}}, reason: ReasonMemberExists},
		{name: "promote a voter", change: ChangeMembers{Kind: Promote, Member: Member{Name: "n1"}}, reason: ReasonMemberUnknown},
		{name: "remove unknown member", change: ChangeMembers{Kind: Remove, Member: Member{Name: "nobody"}}, reason: ReasonMemberUnknown},
		{name: "remove the leader", change: ChangeMembers{Kind: Remove}, reason: ReasonIsLeader},
		{
			name: "second before the first is committed", change: ChangeMembers{Kind: Remove, Member: Member{Name: "n3"}},
			before: func(s *sim) {
				s.step(s.leader(), ChangeMembers{ID: s.id(), Kind: AddLearner, Member: Member{Name: "n4", Identity: "n4-disk0"}})
			}, reason: ReasonChangePending,
		},
		{
			name: "learner without the log", change: ChangeMembers{Kind: Promote, Member: Member{Name: "n9"}},
			before: func(s *sim) {
				s.step(s.leader(), ChangeMembers{ID: s.id(), Kind: AddLearner, Member: Member{Name: "n9", Identity: "n9-disk0"}})
				s.network = withoutPacketsTo(s.network, "n9")
				s.deliverAll()
			}, reason: ReasonLearnerLagging,
		},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			s := newFaultlessSim(t, 4, 1)
			// n9 is a member without a process.
			s.nodes = append(s.nodes, &simNode{name: "n9", identity: "n9-disk0", clock: simStart})
			if sc.before != nil {
				sc.before(s)
			}
			l := s.leader()
			change := sc.change
			change.ID = s.id()
			if change.Member.Name == "" {
				change.Member.Name = l.name
			}
			if change.Member.Name == l.name && sc.reason != ReasonIsLeader {
				change.Member.Name = "n2"
			}
			actions := l.machine.Step(l.clock, change)
			require.Equal(t, []Refused{{ID: change.ID, Reason: sc.reason}}, actions.Refused)
			require.Nil(t, actions.Persist)
		})
	}
}

func withoutPacketsTo(packets []packet, to string) []packet {
	var left []packet
	for _, p := range packets {
		if p.to != to {
			left = append(left, p)
		}
	}
	return left
}

// Proposals beyond the limit of uncommitted bytes are refused at once instead of filling
// the memory while no majority responds.
func TestUncommittedBytesAreBounded(t *testing.T) {
	s := newFaultlessSim(t, 3, 0)
	l := s.leader()
	l.machine.config.MaxUncommittedBytes = 10
	actions := l.machine.Step(l.clock, Propose{Proposals: []Proposal{
		{ID: 1, Data: make([]byte, 8)}, {ID: 2, Data: make([]byte, 8)},
	}})
	require.Len(t, actions.Accepted, 1)
	require.Equal(t, []Refused{{ID: 2, Reason: ReasonOverloaded}}, actions.Refused)
}

// A response from an identity that isn't in the membership must not count towards a
// majority.
func TestResponseFromUnknownIdentityIgnored(t *testing.T) {
	s := newSim(3, 0, func(int) int { return 0 })
	n := s.nodes[0]
	s.step(n, Tick{})
	n.clock += clock.Millis(10_000)
	s.step(n, Tick{})
	require.Equal(t, RolePreCandidate, n.machine.role)
	response := Message{
		Kind: KindPreVoteResponse, From: "n1", FromIdentity: "n1-disk9",
		To: n.name, ToIdentity: n.identity, Term: n.machine.state.Term + 1,
	}
	s.step(n, Received{Message: response})
	require.Equal(t, RolePreCandidate, n.machine.role)
	response.FromIdentity = "n1-disk0"
	s.step(n, Received{Message: response})
	require.Equal(t, RoleCandidate, n.machine.role)
}

// All replicas lose power, and two of three restart, one shortly after the other. No
// caller is served without a leader, which confirms the routing table. The second
// replica completes the majority and must lead at once, without waiting for a leader that
// can't exist.
func TestRestartedMajorityElectsLeaderAtOnce(t *testing.T) {
	for seed := range uint64(20) {
		s := newFaultlessSim(t, 3, 0)
		s.jitter = rand.New(rand.NewPCG(seed, 1))
		for _, n := range s.nodes {
			s.crash(n)
		}
		s.restart(s.nodes[0])
		s.runWithoutFaults(100)
		require.Nil(t, s.leader())
		s.restart(s.nodes[1])
		waited := 0
		for ; s.leader() == nil && waited < 2_000; waited += 10 {
			s.runWithoutFaults(10)
		}
		require.LessOrEqual(t, waited, 150, "seed %d", seed)
		require.Empty(t, s.violation)
	}
}

// All replicas lose power, and one of them loses its disk. The other two return and
// request votes at the same time: each votes for itself, and neither can win. They must
// not wait a whole timeout before they retry.
func TestSplitVoteRetriedBeforeTimeout(t *testing.T) {
	for seed := range uint64(20) {
		s := newFaultlessSim(t, 3, 0)
		for _, n := range s.nodes {
			s.crash(n)
		}
		for _, n := range s.nodes[:2] {
			s.restart(n)
			self := Member{Name: n.name, Identity: n.identity}
			s.step(n, Received{Message: n.machine.withHeader(self, Message{Kind: KindCampaign, Term: n.machine.state.Term})})
		}
		s.jitter = rand.New(rand.NewPCG(seed, 2))
		waited := 0
		for ; s.leader() == nil && waited < 3_000; waited += 10 {
			s.runWithoutFaults(10)
		}
		require.LessOrEqual(t, waited, 420, "seed %d", seed)
		require.Empty(t, s.violation)
	}
}

// A replica restarts while another one leads: its pre-vote requests are refused, and it
// follows.
func TestRestartedReplicaDoesNotDeposeLeader(t *testing.T) {
	s := newFaultlessSim(t, 3, 0)
	term := s.leader().machine.state.Term
	for range 5 {
		restarted := s.followers()[0]
		s.crash(restarted)
		s.restart(restarted)
		s.runWithoutFaults(300)
	}
	require.Equal(t, term, s.leader().machine.state.Term)
	require.Empty(t, s.violation)
}
