package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"toucanhinge.example/common/pkg/clock"
)

// lies switch one safeguard off from outside the machine. The oracle must then
// find a violation, or it proves nothing.
type lies struct {
	// syncEarly tells the machine that data is synced when it is only written.
	syncEarly bool
	// forgetVote loses the vote, but not the term, in a crash.
	forgetVote bool
	// keepIdentity lets a replica that lost its disk go by its old identity.
	keepIdentity bool
}

// sim is a few machines with their disks, clocks and a network in between. All
// choices come from choose, so that a run can be shrunk or repeated.
type sim struct {
	choose func(n int) int
	// jitter is apart from choose: a run shrunk to equal choices would let all
	// replicas campaign at once for ever.
	jitter  *rand.Rand
	lies    lies
	nodes   []*simNode
	network []parcel
	cuts    map[[2]string]bool
	// hangs is a node whose disk syncs nothing in calm times.
	hangs  *simNode
	nextID uint64
	lost   int

	// The oracle's knowledge.
	committed map[uint64]Entry
	highest   uint64
	leaders   map[uint64]string
	seen      map[Base]seenEntry
	reads     map[uint64]uint64
	violation string
	counts    counts
}

// counts tells how often the rarer things happened, so that a run that never
// reaches them is noticed.
type counts struct {
	committed, leaders, reads, promoted, removed, installed, lost, handed int
}

func (c *counts) add(o counts) {
	c.committed += o.committed
	c.leaders += o.leaders
	c.reads += o.reads
	c.promoted += o.promoted
	c.removed += o.removed
	c.installed += o.installed
	c.lost += o.lost
	c.handed += o.handed
}

type seenEntry struct {
	data     string
	previous uint64
}

// parcel is a message, a snapshot, or the news of how a snapshot ended.
type parcel struct {
	from, to string
	message  *Message
	snapshot *simPoint
	sent     *SnapshotSent
}

type simPoint struct {
	index   uint64
	term    uint64
	members Members
}

type simNode struct {
	name     string
	identity string
	machine  *Machine
	clock    clock.Millis
	applied  uint64
	members  Members

	state   HardState
	base    Base
	entries []Entry
	pending []Persist
	point   simPoint
}

const simStart = 1_000_000

func newSim(size, spares int, choose func(n int) int) *sim {
	s := &sim{
		choose: choose, jitter: rand.New(rand.NewPCG(uint64(choose(1000)), 0)), cuts: map[[2]string]bool{}, committed: map[uint64]Entry{},
		leaders: map[uint64]string{}, seen: map[Base]seenEntry{}, reads: map[uint64]uint64{},
	}
	var members Members
	for i := range size + spares {
		n := &simNode{name: fmt.Sprintf("n%d", i), identity: fmt.Sprintf("n%d-disk0", i), clock: simStart}
		s.nodes = append(s.nodes, n)
		if i < size {
			members = append(members, Member{Name: n.name, Identity: n.identity, Voter: true})
		}
	}
	first := Entry{Index: 1, Term: 1, Kind: EntryMembers, Data: members.Encode()}
	for i, n := range s.nodes {
		if i < size {
			n.state = HardState{Term: 1}
			n.entries = []Entry{first}
		}
		s.restart(n)
	}
	return s
}

func (s *sim) node(name string) *simNode {
	for _, n := range s.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (s *sim) fail(format string, arguments ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, arguments...)
	}
}

func (s *sim) restart(n *simNode) {
	last := n.base.Index + uint64(len(n.entries))
	l := entryLog{base: n.base, entries: n.entries}
	if term, ok := l.term(n.point.index); n.point.index > 0 && (!ok || term != n.point.term) {
		n.base, n.entries = Base{Index: n.point.index, Term: n.point.term}, nil
	} else if last < n.point.index {
		s.fail("%s: log ends before its checkpoint", n.name)
	}
	m, err := New(Config{
		Name: n.name, Identity: n.identity, MaxBatchBytes: 16, MaxInflight: 8, MaxInflightBytes: 40,
		Jitter: func(limit clock.Millis) clock.Millis { return clock.Millis(s.jitter.Int64N(int64(limit))) },
	}, Restored{
		State: n.state, Base: n.base, Entries: slices.Clone(n.entries),
		Applied: n.point.index, AppliedMembers: n.point.members,
	})
	if err != nil {
		s.fail("%s: %v", n.name, err)
		return
	}
	n.machine, n.applied, n.members = m, n.point.index, n.point.members
}

// step gives a running machine an event and carries out its actions.
func (s *sim) step(n *simNode, event Event) {
	if n.machine == nil {
		return
	}
	actions := n.machine.Step(n.clock, event)
	if p := actions.Persist; p != nil {
		n.pending = append(n.pending, *p)
		s.checkEntries(n, p)
	}
	for _, m := range actions.Messages {
		s.network = append(s.network, parcel{from: n.name, to: m.To, message: &m})
	}
	s.deliver(n, actions.Committed)
	s.counts.handed += len(actions.Transferred)
	s.counts.reads += len(actions.Reads)
	for _, r := range actions.Reads {
		if r.Index < s.reads[r.ID] {
			s.fail("%s: read at %d misses entry %d, acknowledged before", n.name, r.Index, s.reads[r.ID])
		}
	}
	if actions.DropBefore > 0 && s.choose(2) == 0 {
		l := entryLog{base: n.base, entries: n.entries}
		l.compact(actions.DropBefore)
		n.base, n.entries = l.base, l.entries
	}
	for _, i := range actions.Snapshots {
		point := n.point
		s.network = append(s.network, parcel{from: n.name, to: i.To.Name, snapshot: &point, sent: &SnapshotSent{
			Name: i.To.Name, Identity: i.To.Identity, Index: point.index,
		}})
	}
	s.checkLeader(n)
	if p := actions.Persist; p != nil && s.lies.syncEarly {
		s.step(n, Synced{Sequence: p.Sequence})
	}
}

// deliver checks committed entries against what others applied: all sequences
// must be prefixes of one another.
func (s *sim) deliver(n *simNode, entries []Entry) {
	for _, e := range entries {
		if e.Index != n.applied+1 {
			s.fail("%s: applies entry %d after %d", n.name, e.Index, n.applied)
		}
		known, ok := s.committed[e.Index]
		if ok && (known.Term != e.Term || string(known.Data) != string(e.Data)) {
			s.fail("%s: entry %d was committed in term %d, now in term %d", n.name, e.Index, known.Term, e.Term)
		}
		if !ok {
			s.counts.committed++
		}
		s.committed[e.Index] = e
		s.highest = max(s.highest, e.Index)
		n.applied = e.Index
		if e.Kind == EntryMembers {
			n.members, _ = DecodeMembers(e.Data)
		}
	}
}

// checkEntries is log matching: an index and term name one content and one
// predecessor.
func (s *sim) checkEntries(n *simNode, p *Persist) {
	for _, e := range p.Entries {
		previous, _ := n.machine.log.term(e.Index - 1)
		entry := seenEntry{data: string(e.Data), previous: previous}
		key := Base{Index: e.Index, Term: e.Term}
		if known, ok := s.seen[key]; ok && known != entry {
			s.fail("%s: two entries at %d in term %d", n.name, e.Index, e.Term)
		}
		s.seen[key] = entry
	}
}

// checkLeader is election safety, and that a leader holds all that is committed.
func (s *sim) checkLeader(n *simNode) {
	m := n.machine
	if m.role != RoleLeader {
		return
	}
	known, ok := s.leaders[m.state.Term]
	if ok && known != n.identity {
		s.fail("term %d has two leaders, %s and %s", m.state.Term, known, n.identity)
	}
	if ok {
		return
	}
	s.leaders[m.state.Term] = n.identity
	s.counts.leaders++
	for index, e := range s.committed {
		if index < m.log.base.Index {
			continue
		}
		if term, held := m.log.term(index); !held || term != e.Term {
			s.fail("%s: leads term %d without committed entry %d", n.name, m.state.Term, index)
		}
	}
}

// write makes the first pending persists durable.
func (n *simNode) write(count int) {
	for _, p := range n.pending[:count] {
		n.state = p.State
		if p.Reset != nil {
			n.base, n.entries = *p.Reset, nil
		}
		for _, e := range p.Entries {
			n.entries = append(slices.Clone(n.entries[:e.Index-n.base.Index-1]), e)
		}
	}
	n.pending = n.pending[count:]
}

func (s *sim) sync(n *simNode, count int) {
	if count == 0 || n.machine == nil {
		return
	}
	sequence := n.pending[count-1].Sequence
	n.write(count)
	s.step(n, Synced{Sequence: sequence})
}

// crash loses what isn't written; what is written but not synced may survive.
func (s *sim) crash(n *simNode) {
	if n.machine == nil {
		return
	}
	n.write(s.choose(len(n.pending) + 1))
	n.pending = nil
	n.machine = nil
	if s.lies.forgetVote {
		n.state.Vote = ""
	}
}

func (s *sim) loseDisk(n *simNode) {
	s.lost++
	s.counts.lost++
	if !s.lies.keepIdentity {
		n.identity = fmt.Sprintf("%s-disk%d", n.name, s.lost)
	}
	n.machine, n.pending = nil, nil
	n.state, n.base, n.entries, n.point = HardState{}, Base{}, nil, simPoint{}
	s.restart(n)
}

// transfer takes a parcel to its end.
func (s *sim) transfer(p parcel) {
	n := s.node(p.to)
	if s.cuts[[2]string{p.from, p.to}] || n.machine == nil {
		s.lose(p)
		return
	}
	switch {
	case p.message != nil:
		s.step(n, Received{Message: *p.message})
	case p.snapshot != nil:
		s.install(n, *p.snapshot)
		p.sent.Installed = true
		s.network = append(s.network, parcel{from: p.to, to: p.from, sent: p.sent})
	default:
		s.step(n, *p.sent)
	}
}

// lose drops a parcel. A sender of a snapshot always learns that it failed.
func (s *sim) lose(p parcel) {
	if p.snapshot == nil && p.sent == nil {
		return
	}
	sender := p.from
	if p.snapshot == nil {
		sender = p.to
	}
	if n := s.node(sender); n.machine != nil {
		failed := *p.sent
		failed.Installed = false
		s.step(n, failed)
	}
}

// install makes a snapshot durable; the machine hears of it afterwards, unless
// the process dies in between.
func (s *sim) install(n *simNode, point simPoint) {
	if point.index <= n.applied {
		return
	}
	s.counts.installed++
	n.point = point
	n.applied, n.members = point.index, point.members
	if s.choose(8) == 0 {
		s.crash(n)
		s.restart(n)
		return
	}
	s.step(n, SnapshotInstalled{Index: point.index, Term: point.term, Members: point.members})
}

// checkpoint makes what is applied durable and cuts the log before it.
func (s *sim) checkpoint(n *simNode) {
	if n.machine == nil || n.applied <= n.point.index {
		return
	}
	term, ok := n.machine.log.term(n.applied)
	l := entryLog{base: n.base, entries: n.entries}
	if _, held := l.term(n.applied); !ok || !held {
		return
	}
	n.point = simPoint{index: n.applied, term: term, members: n.members}
	s.step(n, Compact{Index: n.applied, RetainEntries: uint64(s.choose(4)), RetainBytes: s.choose(100)})
}

// calm lets everything that isn't cut work for a while.
func (s *sim) calm(span clock.Millis) {
	const tick = 10
	for passed := clock.Millis(0); passed < span && s.violation == ""; passed += tick {
		for _, n := range s.nodes {
			n.clock += tick
			s.step(n, Tick{})
		}
		for range 8 {
			parcels := s.network
			s.network = nil
			for _, p := range parcels {
				s.transfer(p)
			}
			for _, n := range s.nodes {
				if n != s.hangs {
					s.sync(n, len(n.pending))
				}
			}
		}
	}
}

func (s *sim) leader() *simNode {
	var leader *simNode
	for _, n := range s.nodes {
		if n.machine != nil && n.machine.role == RoleLeader &&
			(leader == nil || n.machine.state.Term > leader.machine.state.Term) {
			leader = n
		}
	}
	return leader
}

func (s *sim) id() uint64 {
	s.nextID++
	return s.nextID
}
