package consensus

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
)

// newCalm is a cluster without faults but for those the test makes.
func newCalm(t *testing.T, size, spares int) *sim {
	t.Helper()
	s := newSim(size, spares, rand.New(rand.NewPCG(1, 0)).IntN)
	s.calm(2000)
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

// pass delivers what is on the way from one node to another.
func (s *sim) pass(from, to *simNode) {
	parcels := s.network
	s.network = nil
	for _, p := range parcels {
		if p.from == from.name && p.to == to.name {
			s.transfer(p)
		} else {
			s.network = append(s.network, p)
		}
	}
}

// deliverAll hands over what is on the way and syncs, without letting time pass.
func (s *sim) deliverAll() {
	for range 10 {
		parcels := s.network
		s.network = nil
		for _, p := range parcels {
			s.transfer(p)
		}
		for _, n := range s.nodes {
			s.sync(n, len(n.pending))
		}
	}
}

// Two replicas may each win the pre-vote before either campaigns. The third
// votes for the first, crashes right after the vote was acknowledged, and is
// asked by the second in the same term. If it forgot its vote, both would lead
// that term.
func TestVoteOutlivesACrash(t *testing.T) {
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
			s.lies.forgetVote = sc.forget
			first, second, third := s.nodes[0], s.nodes[1], s.nodes[2]
			for _, n := range []*simNode{first, second} {
				self := Member{Name: n.name, Identity: n.identity}
				s.step(n, Received{Message: n.machine.address(self, Message{Kind: KindCampaign})})
				s.sync(n, len(n.pending))
			}
			s.pass(first, third)
			s.sync(third, len(third.pending))
			s.crash(third)
			s.restart(third)
			s.pass(second, third)
			s.sync(third, len(third.pending))
			s.pass(third, first)
			s.pass(third, second)
			require.Equal(t, sc.violation, s.violation != "", s.violation)
		})
	}
}

// A replica is cut off for a long time and comes back. Without a pre-vote it
// would have raised its term with every election it held alone, and the leader
// that serves everybody would have to step down for it.
func TestReturningReplicaDeposesNobody(t *testing.T) {
	scenarios := []struct {
		name     string
		skipVote bool
	}{
		{name: "with pre-vote"},
		{name: "pre-votes granted by nobody's leave", skipVote: true},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			s := newCalm(t, 3, 0)
			leader, away := s.leader(), s.followers()[0]
			term := leader.machine.state.Term
			s.cutOff(away, true, true)
			for range 40 {
				s.calm(100)
				if sc.skipVote && away.machine.role == RolePreCandidate {
					other := s.followers()[1]
					s.step(away, Received{Message: Message{
						Kind: KindPreVoteResponse, From: other.name, FromIdentity: other.identity,
						To: away.name, ToIdentity: away.identity, Term: away.machine.state.Term + 1,
					}})
				}
			}
			clear(s.cuts)
			s.calm(2000)
			require.Equal(t, sc.skipVote, s.leader().machine.state.Term > term)
			require.Empty(t, s.violation)
		})
	}
}

// A leader can send but hears nobody, or the other way about. Its callers would
// wait for as long as the cut lasts; so it steps down by itself, and where the
// others no longer hear it they elect another one.
func TestCutLeaderStepsDown(t *testing.T) {
	scenarios := []struct {
		name              string
		inbound, outbound bool
		forged            bool
		stays             bool
	}{
		{name: "hears nobody", inbound: true},
		{name: "reaches nobody", outbound: true},
		{name: "neither", inbound: true, outbound: true},
		{name: "check of the quorum deceived", inbound: true, outbound: true, forged: true, stays: true},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			s := newCalm(t, 3, 0)
			old := s.leader()
			other := s.followers()[0]
			s.cutOff(old, sc.inbound, sc.outbound)
			for range 20 {
				s.calm(100)
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

// A removed replica never learns that it was removed. It campaigns for ever, and
// nobody is disturbed.
func TestRemovedReplicaDisturbsNobody(t *testing.T) {
	s := newCalm(t, 4, 0)
	leader, removed := s.leader(), s.followers()[0]
	term := leader.machine.state.Term
	s.cutOff(removed, true, true)
	s.step(leader, ChangeMembers{ID: s.id(), Kind: Remove, Member: Member{Name: removed.name}})
	s.calm(500)
	clear(s.cuts)
	s.calm(5000)
	require.Equal(t, term, leader.machine.state.Term)
	require.Equal(t, RoleLeader, leader.machine.role)
	require.True(t, removed.machine.members().Has(removed.name, removed.identity))
}

// A process is frozen and thawed. The leader that was frozen must not serve
// reads from its old state.
func TestThawedLeaderServesNoOldRead(t *testing.T) {
	s := newCalm(t, 3, 0)
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
	s.reads[id] = s.highest
	old.clock += 2000
	confirmed := s.counts.reads
	s.step(old, ReadIndex{ID: id})
	s.deliverAll()
	require.Equal(t, confirmed, s.counts.reads)
	require.Empty(t, s.violation)
}

// The leader gives its place to another one before a planned stop, without an
// election timeout in between.
func TestHandoverNeedsNoTimeout(t *testing.T) {
	s := newCalm(t, 3, 0)
	old := s.leader()
	term := old.machine.state.Term
	s.step(old, TransferLeadership{ID: s.id()})
	s.deliverAll()
	require.NotEqual(t, old, s.leader())
	require.Equal(t, term+1, s.leader().machine.state.Term)
	require.Equal(t, 1, s.counts.handed)
}

func TestChangesAreRefused(t *testing.T) {
	scenarios := []struct {
		name   string
		change ChangeMembers
		before func(s *sim)
		reason Reason
	}{
		{name: "name taken", change: ChangeMembers{Kind: AddLearner, Member: Member{Name: "n1", Identity: "other"}}, reason: ReasonMemberExists},
		{name: "promote a voter", change: ChangeMembers{Kind: Promote, Member: Member{Name: "n1"}}, reason: ReasonMemberUnknown},
		{name: "remove nobody", change: ChangeMembers{Kind: Remove, Member: Member{Name: "nobody"}}, reason: ReasonMemberUnknown},
		{name: "remove itself", change: ChangeMembers{Kind: Remove}, reason: ReasonIsLeader},
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
				s.network = slicesWithout(s.network, "n9")
				s.deliverAll()
			}, reason: ReasonLearnerBehind,
		},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			s := newCalm(t, 4, 1)
			// n9 is a member that no process stands for.
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

func slicesWithout(parcels []parcel, to string) []parcel {
	var left []parcel
	for _, p := range parcels {
		if p.to != to {
			left = append(left, p)
		}
	}
	return left
}

// Too much uncommitted is refused at once instead of filling the memory while no
// majority answers.
func TestUncommittedIsBounded(t *testing.T) {
	s := newCalm(t, 3, 0)
	l := s.leader()
	l.machine.config.MaxUncommittedBytes = 10
	actions := l.machine.Step(l.clock, Propose{Proposals: []Proposal{
		{ID: 1, Data: make([]byte, 8)}, {ID: 2, Data: make([]byte, 8)},
	}})
	require.Len(t, actions.Accepted, 1)
	require.Equal(t, []Refused{{ID: 2, Reason: ReasonOverloaded}}, actions.Refused)
}

// An identity that the membership doesn't name can't help anybody to a majority.
func TestAnswersOfAnotherIdentityDontCount(t *testing.T) {
	s := newSim(3, 0, func(int) int { return 0 })
	n := s.nodes[0]
	s.step(n, Tick{})
	n.clock += clock.Millis(10_000)
	s.step(n, Tick{})
	require.Equal(t, RolePreCandidate, n.machine.role)
	answer := Message{
		Kind: KindPreVoteResponse, From: "n1", FromIdentity: "n1-disk9",
		To: n.name, ToIdentity: n.identity, Term: n.machine.state.Term + 1,
	}
	s.step(n, Received{Message: answer})
	require.Equal(t, RolePreCandidate, n.machine.role)
	answer.FromIdentity = "n1-disk0"
	s.step(n, Received{Message: answer})
	require.Equal(t, RoleCandidate, n.machine.role)
}

// All replicas lose power; two of three come back, one a moment after the other.
// Until one leads, no caller is served, since nobody can vouch for a routing table.
// Nothing is gained by waiting for a leader that can't be there: the second one
// completes the majority and leads at once.
func TestAMajorityThatIsBackElectsAtOnce(t *testing.T) {
	for seed := range uint64(20) {
		s := newCalm(t, 3, 0)
		s.jitter = rand.New(rand.NewPCG(seed, 1))
		for _, n := range s.nodes {
			s.crash(n)
		}
		s.restart(s.nodes[0])
		s.calm(100)
		require.Nil(t, s.leader())
		s.restart(s.nodes[1])
		waited := 0
		for ; s.leader() == nil && waited < 2_000; waited += 10 {
			s.calm(10)
		}
		require.LessOrEqual(t, waited, 150, "seed %d", seed)
		require.Empty(t, s.violation)
	}
}

// All replicas lose power, one of them with its disk. The other two are back at the
// same moment, and ask at the same moment: each votes for itself, and neither can win.
// They must not wait a whole timeout before they try again.
func TestASplitVoteIsTriedAgainSoon(t *testing.T) {
	for seed := range uint64(20) {
		s := newCalm(t, 3, 0)
		for _, n := range s.nodes {
			s.crash(n)
		}
		for _, n := range s.nodes[:2] {
			s.restart(n)
			self := Member{Name: n.name, Identity: n.identity}
			s.step(n, Received{Message: n.machine.address(self, Message{Kind: KindCampaign, Term: n.machine.state.Term})})
		}
		s.jitter = rand.New(rand.NewPCG(seed, 2))
		waited := 0
		for ; s.leader() == nil && waited < 3_000; waited += 10 {
			s.calm(10)
		}
		require.LessOrEqual(t, waited, 420, "seed %d", seed)
		require.Empty(t, s.violation)
	}
}

// A replica restarts while another one leads: it asks, is told so, and follows.
func TestARestartedReplicaDeposesNobody(t *testing.T) {
	s := newCalm(t, 3, 0)
	term := s.leader().machine.state.Term
	for range 5 {
		away := s.followers()[0]
		s.crash(away)
		s.restart(away)
		s.calm(300)
	}
	require.Equal(t, term, s.leader().machine.state.Term)
	require.Empty(t, s.violation)
}
