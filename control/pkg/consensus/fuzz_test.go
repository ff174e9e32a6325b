package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/seed"
)

// TestMain sets the seed and the length of the fuzzing unless flags set them.
func TestMain(m *testing.M) {
	seed.Main(m, 7, seed.Length{Checks: 150, Steps: 400})
}

// any returns a random node.
func (s *sim) any() *simNode { return s.nodes[s.choose(len(s.nodes))] }

// faults returns the single events that may happen at any time.
func (s *sim) faults() map[string]func() {
	return map[string]func(){
		"deliver":           s.deliverAny,
		"deliver2":          s.deliverAny,
		"deliver3":          s.deliverAny,
		"double":            s.duplicateAny,
		"drop":              s.dropAny,
		"sync":              func() { n := s.any(); s.sync(n, s.choose(len(n.pending)+1)) },
		"sync2":             func() { n := s.any(); s.sync(n, len(n.pending)) },
		"tick":              func() { n := s.any(); n.clock += clock.Millis(s.choose(200)); s.step(n, Tick{}) },
		"jump":              func() { n := s.any(); n.clock += clock.Millis(s.choose(4000) - 2000) },
		"crash":             func() { s.crash(s.any()) },
		"restart":           s.restartAny,
		"restart2":          s.restartAny,
		"lose disk":         s.loseAnyDisk,
		"cut":               func() { s.cuts[[2]string{s.any().name, s.any().name}] = true },
		"heal":              func() { clear(s.cuts) },
		"calm":              func() { s.runWithoutFaults(clock.Millis(s.choose(600))) },
		"calm2":             func() { s.runWithoutFaults(clock.Millis(s.choose(1500))) },
		"steps":             s.runRandomSteps,
		"steps2":            s.runRandomSteps,
		"steps3":            s.runRandomSteps,
		"propose":           s.proposeAny,
		"propose2":          s.proposeAny,
		"read":              s.readAny,
		"change":            s.changeAny,
		"repair":            s.repair,
		"graceful transfer": func() { s.step(s.any(), TransferLeadership{ID: s.id()}) },
		"checkpoint":        func() { s.checkpoint(s.any()) },
	}
}

// runRandomSteps lets the replicas run in random order, one step at a time, while one of
// them may have a stalled disk and one may be isolated. Small faults in between reveal
// responses that are sent before the data they confirm is durable.
func (s *sim) runRandomSteps() {
	stalled, partitioned := s.any(), s.any()
	isolated := s.choose(3) == 0
	for range s.choose(150) {
		n := s.any()
		switch s.choose(8) {
		case 0:
			n.clock += clock.Millis(s.choose(60))
			s.step(n, Tick{})
		case 1, 2:
			if n != stalled {
				s.sync(n, s.choose(len(n.pending)+1))
			}
		case 3:
			if s.choose(6) == 0 {
				s.proposeAny()
			}
		default:
			p, ok := s.removePacket()
			if ok && isolated && (p.from == partitioned.name || p.to == partitioned.name) {
				s.dropPacket(p)
			} else if ok {
				s.deliverPacket(p)
			}
		}
	}
	if s.choose(4) == 0 {
		s.crash(stalled)
		s.restart(stalled)
	}
}

func (s *sim) removePacket() (packet, bool) {
	if len(s.network) == 0 {
		return packet{}, false
	}
	i := s.choose(len(s.network))
	p := s.network[i]
	s.network = append(s.network[:i:i], s.network[i+1:]...)
	return p, true
}

func (s *sim) deliverAny() {
	if p, ok := s.removePacket(); ok {
		s.deliverPacket(p)
	}
}

func (s *sim) duplicateAny() {
	if len(s.network) > 0 {
		if p := s.network[s.choose(len(s.network))]; p.message != nil {
			s.network = append(s.network, p)
		}
	}
}

func (s *sim) dropAny() {
	if p, ok := s.removePacket(); ok {
		s.dropPacket(p)
	}
}

func (s *sim) restartAny() {
	if n := s.any(); n.machine == nil {
		s.restart(n)
	}
}

func (s *sim) loseAnyDisk() {
	if s.lostDisks < 3 && s.choose(6) == 0 {
		s.loseDisk(s.any())
	}
}

func (s *sim) proposeAny() {
	n := s.any()
	if l := s.leader(); l != nil && s.choose(4) > 0 {
		n = l
	}
	var proposals []Proposal
	for range s.choose(4) + 1 {
		id := s.id()
		proposals = append(proposals, Proposal{ID: id, Data: fmt.Appendf(nil, "command-%d", id)})
	}
	s.step(n, Propose{Proposals: proposals})
}

func (s *sim) readAny() {
	n := s.any()
	if l := s.leader(); l != nil && s.choose(2) == 0 {
		n = l
	}
	id := s.id()
	s.reads[id] = s.highestCommitted
	s.step(n, ReadIndex{ID: id})
}

func (s *sim) changeAny() {
	n, other := s.any(), s.any()
	s.step(n, ChangeMembers{
		ID: s.id(), Kind: ChangeKind(s.choose(3) + 1),
		Member: Member{Name: other.name, Identity: other.identity},
	})
}

// repair acts like an operator: a member whose disk is lost is removed, added as a
// learner and promoted.
func (s *sim) repair() {
	l := s.leader()
	if l == nil {
		return
	}
	for _, n := range s.nodes {
		m, ok := l.machine.members().Find(n.name)
		change := ChangeMembers{ID: s.id(), Member: Member{Name: n.name, Identity: n.identity}}
		switch {
		case !ok:
			change.Kind = AddLearner
		case m.Identity != n.identity:
			change.Kind = Remove
		case !m.Voter:
			change.Kind = Promote
		default:
			continue
		}
		s.step(l, change)
		s.checkChange(l, n, change)
		return
	}
}

// checkChange checks that only a replica that has synced all committed entries becomes a
// voter.
func (s *sim) checkChange(l, n *simNode, change ChangeMembers) {
	m, found := l.machine.members().Find(n.name)
	if change.Kind == Remove && !found {
		s.counts.removed++
	}
	if change.Kind != Promote || !m.Voter || s.bypass != (bypass{}) {
		return
	}
	s.counts.promoted++
	if last := n.base.Index + uint64(len(n.entries)); max(last, n.checkpoint.index) < s.highestCommitted {
		s.fail("%s became a voter with only %d of %d entries", n.name, last, s.highestCommitted)
	}
}

// checkRecovery ends a run: all faults end, and the group must then work again.
func (s *sim) checkRecovery() {
	clear(s.cuts)
	for _, n := range s.nodes {
		if n.machine == nil {
			s.restart(n)
		}
	}
	s.runWithoutFaults(8000)
	if !s.quorumSurvives() || s.violation != "" {
		return
	}
	l := s.leader()
	if l == nil {
		s.fail("no leader after all faults ended")
		return
	}
	before := s.highestCommitted
	id := s.id()
	s.reads[id] = before
	s.step(l, Propose{Proposals: []Proposal{{ID: s.id(), Data: []byte("last")}}})
	s.runWithoutFaults(3000)
	if s.violation == "" && s.highestCommitted == before {
		s.fail("no entry is committed after all faults ended")
	}
	for _, m := range l.machine.members() {
		if n := s.node(m.Name); n.identity == m.Identity && n.applied < s.highestCommitted && s.violation == "" {
			s.fail("%s applied only %d of %d entries after all faults ended", n.name, n.applied, s.highestCommitted)
		}
	}
}

// quorumSurvives reports whether a majority of every known membership still has its
// disks.
func (s *sim) quorumSurvives() bool {
	known := false
	for _, n := range s.nodes {
		members := n.machine.members()
		known = known || len(members) > 0
		alive := 0
		for _, m := range members {
			if m.Voter && s.node(m.Name).identity == m.Identity {
				alive++
			}
		}
		if len(members) > 0 && alive < members.Quorum() {
			return false
		}
	}
	return known
}

// Replicas crash at any step, also between write and sync, lose disks, are partitioned in one
// direction and see their clocks jump. Messages are lost, duplicated and reordered, and
// operators change members. An entry that one replica applied must never be missing or
// different on another.
func TestFuzzConsensus(t *testing.T) {
	var all counts
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 5).Draw(t, "replicas")
		s := newSim(size, rapid.IntRange(0, 1).Draw(t, "spares"), func(n int) int {
			return rapid.IntRange(0, n-1).Draw(t, "choice")
		})
		actions := map[string]func(*rapid.T){"": func(t *rapid.T) {
			if s.violation != "" {
				t.Fatal(s.violation)
			}
		}}
		for name, fault := range s.faults() {
			actions[name] = func(*rapid.T) { fault() }
		}
		s.runWithoutFaults(1500)
		t.Repeat(actions)
		s.checkRecovery()
		if s.violation != "" {
			t.Fatal(s.violation)
		}
		all.add(s.counts)
	})
	t.Logf("%+v", all)
	for _, count := range []int{
		all.committed, all.leaders, all.reads, all.promoted, all.removed, all.installed, all.lostDisks, all.transferred,
	} {
		require.Positive(t, count, "some kinds of event never happened: %+v", all)
	}
}

// findViolation runs seeds until the oracle finds a violation.
func findViolation(seeds uint64, b bypass) (violation string, seed uint64) {
	for seed = 1; seed <= seeds; seed++ {
		r := rand.New(rand.NewPCG(seed, 0))
		s := newSim(3, 0, r.IntN)
		s.bypass = b
		var names []string
		faults := s.faults()
		for name := range faults {
			names = append(names, name)
		}
		slices.Sort(names)
		for step := 0; step < 600 && s.violation == ""; step++ {
			faults[names[r.IntN(len(names))]]()
		}
		if s.violation != "" {
			return s.violation, seed
		}
	}
	return "", 0
}

// With a safeguard switched off, a crash or a lost disk undoes an acknowledgement: two
// replicas lead one term, or an acknowledged entry is lost. The oracle must detect that.
// With all safeguards on, the same runs pass.
func TestOracleDetectsDisabledSafeguards(t *testing.T) {
	const seeds = 400
	scenarios := []struct {
		name   string
		bypass bypass
	}{
		{name: "acknowledged before it is synced", bypass: bypass{syncEarly: true}},
		{name: "lost disk with its old identity", bypass: bypass{keepIdentity: true}},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			violation, seed := findViolation(seeds, sc.bypass)
			t.Logf("seed %d: %s", seed, violation)
			require.NotEmpty(t, violation)
			unaltered, _ := findViolation(seed, bypass{})
			require.Empty(t, unaltered)
		})
	}
}

// A faulty peer sends arbitrary messages. They may delay the machine, but it must neither
// panic nor replace committed entries.
func TestFuzzInvalidMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(3, 0, rand.New(rand.NewPCG(1, 0)).IntN)
		s.runWithoutFaults(1500)
		s.step(s.leader(), Propose{Proposals: []Proposal{{Data: []byte("a")}, {Data: []byte("b")}}})
		s.runWithoutFaults(500)
		n := s.any()
		small := rapid.Uint64Range(0, 12)
		for range 30 {
			from := s.nodes[rapid.IntRange(0, 2).Draw(t, "from")]
			m := Message{
				Kind: Kind(rapid.IntRange(0, 13).Draw(t, "kind")), Term: small.Draw(t, "term"),
				Index: small.Draw(t, "index"), LogTerm: small.Draw(t, "log term"), Commit: small.Draw(t, "commit"),
				Read: small.Draw(t, "read"), Reject: rapid.Bool().Draw(t, "reject"), Hint: small.Draw(t, "hint"),
			}
			if rapid.Bool().Draw(t, "fits") {
				m.Term = max(m.Term, n.machine.state.Term)
				m.Index = rapid.Uint64Range(0, n.machine.log.last()).Draw(t, "fitting index")
				m.LogTerm, _ = n.machine.log.term(m.Index)
			}
			if rapid.Bool().Draw(t, "now") {
				m.Term = n.machine.state.Term
			}
			for range rapid.IntRange(0, 3).Draw(t, "entries") {
				m.Entries = append(m.Entries, Entry{
					Index: small.Draw(t, "entry"), Term: small.Draw(t, "entry term"),
					Kind: EntryKind(rapid.IntRange(0, 4).Draw(t, "entry kind")), Data: []byte("garbage"),
				})
			}
			if rapid.Bool().Draw(t, "in order") {
				for i := range m.Entries {
					m.Entries[i].Index, m.Entries[i].Term = m.Index+uint64(i)+1, m.Term
				}
			}
			before := n.machine.log.slice(1, n.machine.commit)
			n.machine.Step(n.clock, received(from, n, m))
			n.machine.Step(n.clock, Synced{Sequence: n.machine.sequence})
			n.machine.Step(n.clock, Propose{Proposals: []Proposal{{Data: []byte("c")}}})
			for _, e := range before {
				term, ok := n.machine.log.term(e.Index)
				if !ok || term != e.Term {
					t.Fatalf("committed entry %d is replaced", e.Index)
				}
			}
		}
	})
}
