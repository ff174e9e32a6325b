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

// TestMain fixes the seed and the length of the fuzzing unless flags give them.
func TestMain(m *testing.M) {
	seed.Main(m, 7, seed.Length{Checks: 150, Steps: 400})
}

// any picks a node.
func (s *sim) any() *simNode { return s.nodes[s.choose(len(s.nodes))] }

// faults are the single things that may happen at any moment.
func (s *sim) faults() map[string]func() {
	return map[string]func(){
		"deliver":    s.deliverAny,
		"deliver2":   s.deliverAny,
		"deliver3":   s.deliverAny,
		"double":     s.doubleAny,
		"drop":       s.dropAny,
		"sync":       func() { n := s.any(); s.sync(n, s.choose(len(n.pending)+1)) },
		"sync2":      func() { n := s.any(); s.sync(n, len(n.pending)) },
		"tick":       func() { n := s.any(); n.clock += clock.Millis(s.choose(200)); s.step(n, Tick{}) },
		"jump":       func() { n := s.any(); n.clock += clock.Millis(s.choose(4000) - 2000) },
		"crash":      func() { s.crash(s.any()) },
		"restart":    s.restartAny,
		"restart2":   s.restartAny,
		"lose disk":  s.loseAnyDisk,
		"cut":        func() { s.cuts[[2]string{s.any().name, s.any().name}] = true },
		"heal":       func() { clear(s.cuts) },
		"calm":       func() { s.calm(clock.Millis(s.choose(600))) },
		"calm2":      func() { s.calm(clock.Millis(s.choose(1500))) },
		"storm":      s.storm,
		"storm2":     s.storm,
		"storm3":     s.storm,
		"propose":    s.proposeAny,
		"propose2":   s.proposeAny,
		"read":       s.readAny,
		"change":     s.changeAny,
		"repair":     s.repair,
		"handover":   func() { s.step(s.any(), TransferLeadership{ID: s.id()}) },
		"checkpoint": func() { s.checkpoint(s.any()) },
	}
}

// storm lets the replicas work in any order, one step at a time, while one of
// them may have a disk that hangs and one may be cut off. Small faults in between
// are what finds a promise that was made too early.
func (s *sim) storm() {
	hangs, away := s.any(), s.any()
	isolated := s.choose(3) == 0
	for range s.choose(150) {
		n := s.any()
		switch s.choose(8) {
		case 0:
			n.clock += clock.Millis(s.choose(60))
			s.step(n, Tick{})
		case 1, 2:
			if n != hangs {
				s.sync(n, s.choose(len(n.pending)+1))
			}
		case 3:
			if s.choose(6) == 0 {
				s.proposeAny()
			}
		default:
			p, ok := s.takeParcel()
			if ok && isolated && (p.from == away.name || p.to == away.name) {
				s.lose(p)
			} else if ok {
				s.transfer(p)
			}
		}
	}
	if s.choose(4) == 0 {
		s.crash(hangs)
		s.restart(hangs)
	}
}

func (s *sim) takeParcel() (parcel, bool) {
	if len(s.network) == 0 {
		return parcel{}, false
	}
	i := s.choose(len(s.network))
	p := s.network[i]
	s.network = append(s.network[:i:i], s.network[i+1:]...)
	return p, true
}

func (s *sim) deliverAny() {
	if p, ok := s.takeParcel(); ok {
		s.transfer(p)
	}
}

func (s *sim) doubleAny() {
	if len(s.network) > 0 {
		if p := s.network[s.choose(len(s.network))]; p.message != nil {
			s.network = append(s.network, p)
		}
	}
}

func (s *sim) dropAny() {
	if p, ok := s.takeParcel(); ok {
		s.lose(p)
	}
}

func (s *sim) restartAny() {
	if n := s.any(); n.machine == nil {
		s.restart(n)
	}
}

func (s *sim) loseAnyDisk() {
	if s.lost < 3 && s.choose(6) == 0 {
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
	s.reads[id] = s.highest
	s.step(n, ReadIndex{ID: id})
}

func (s *sim) changeAny() {
	n, other := s.any(), s.any()
	s.step(n, ChangeMembers{
		ID: s.id(), Kind: ChangeKind(s.choose(3) + 1),
		Member: Member{Name: other.name, Identity: other.identity},
	})
}

// repair does what an operator would: a member whose disk is gone is removed,
// added as a learner and promoted.
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

// checkChange sees that a voter is made only of a replica that holds, synced,
// everything that is committed.
func (s *sim) checkChange(l, n *simNode, change ChangeMembers) {
	m, held := l.machine.members().Find(n.name)
	if change.Kind == Remove && !held {
		s.counts.removed++
	}
	if change.Kind != Promote || !m.Voter || s.lies != (lies{}) {
		return
	}
	s.counts.promoted++
	if last := n.base.Index + uint64(len(n.entries)); max(last, n.point.index) < s.highest {
		s.fail("%s became a voter with %d of %d entries", n.name, last, s.highest)
	}
}

// settle ends a run: all works again, and then the group must too.
func (s *sim) settle() {
	clear(s.cuts)
	for _, n := range s.nodes {
		if n.machine == nil {
			s.restart(n)
		}
	}
	s.calm(8000)
	if !s.mustWork() || s.violation != "" {
		return
	}
	l := s.leader()
	if l == nil {
		s.fail("no leader though all works")
		return
	}
	before := s.highest
	id := s.id()
	s.reads[id] = before
	s.step(l, Propose{Proposals: []Proposal{{ID: s.id(), Data: []byte("last")}}})
	s.calm(3000)
	if s.violation == "" && s.highest == before {
		s.fail("nothing is committed though all works")
	}
	for _, m := range l.machine.members() {
		if n := s.node(m.Name); n.identity == m.Identity && n.applied < s.highest && s.violation == "" {
			s.fail("%s stays at %d of %d though all works", n.name, n.applied, s.highest)
		}
	}
}

// mustWork says whether every view of the membership has a majority left whose
// disks weren't lost.
func (s *sim) mustWork() bool {
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

// Replicas crash at any step, also between write and sync, lose disks, are cut
// off in one direction and see their clocks jump, while messages are lost,
// doubled and reordered and operators change members. Whatever happens, nothing
// that one replica applied is ever missing or different on another.
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
		s.calm(1500)
		t.Repeat(actions)
		s.settle()
		if s.violation != "" {
			t.Fatal(s.violation)
		}
		all.add(s.counts)
	})
	t.Logf("%+v", all)
	for _, count := range []int{
		all.committed, all.leaders, all.reads, all.promoted, all.removed, all.installed, all.lost, all.handed,
	} {
		require.Positive(t, count, "the runs don't reach everything: %+v", all)
	}
}

// hunt runs seeds until the oracle finds a violation.
func hunt(seeds uint64, l lies) (violation string, seed uint64) {
	for seed = 1; seed <= seeds; seed++ {
		r := rand.New(rand.NewPCG(seed, 0))
		s := newSim(3, 0, r.IntN)
		s.lies = l
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

// With a safeguard switched off, a crash or a lost disk takes back what was
// promised: two replicas lead one term, or an acknowledged entry is gone. The
// oracle must see that; with all safeguards on the same runs pass.
func TestOracleSeesMissingSafeguards(t *testing.T) {
	const seeds = 400
	scenarios := []struct {
		name string
		lies lies
	}{
		{name: "acknowledged before it is synced", lies: lies{syncEarly: true}},
		{name: "lost disk goes by its old identity", lies: lies{keepIdentity: true}},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			violation, seed := hunt(seeds, sc.lies)
			t.Logf("seed %d: %s", seed, violation)
			require.NotEmpty(t, violation)
			honest, _ := hunt(seed, lies{})
			require.Empty(t, honest)
		})
	}
}

// A broken peer sends anything at all. The machine may lose time over it, but it
// must not fall over, nor replace what is committed.
func TestFuzzGarbage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(3, 0, rand.New(rand.NewPCG(1, 0)).IntN)
		s.calm(1500)
		s.step(s.leader(), Propose{Proposals: []Proposal{{Data: []byte("a")}, {Data: []byte("b")}}})
		s.calm(500)
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
			n.machine.Step(n.clock, request(from, n, m))
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
