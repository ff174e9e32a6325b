package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"toucanhinge.example/common/pkg/clock"
)

// bypass switches a safeguard off from outside the machine. The oracle must then find a
// violation; otherwise it wouldn't detect a fault of the machine either.
type bypass struct {
	// syncEarly reports data to the machine as synced when it is only written.
	syncEarly bool
	// forgetVote loses the vote, but not the term, in a crash.
	forgetVote bool
	// keepIdentity lets a replica that lost its disk use its old identity.
	keepIdentity bool
}

// sim runs a few machines with simulated disks, clocks and a simulated network. All
// choices come from choose, so that a run can be shrunk or repeated.
type sim struct {
	choose func(n int) int
	// jitter is independent of choose: in a run shrunk to equal choices all replicas
	// would otherwise campaign at the same time for ever.
	jitter  *rand.Rand
	bypass  bypass
	nodes   []*simNode
	network []packet
	cuts    map[[2]string]bool
	// stalledDisk is a node whose disk completes no sync while runWithoutFaults runs.
	stalledDisk *simNode
	nextID      uint64
	lostDisks   int

	// The knowledge of the oracle.
	committed        map[uint64]Entry
	highestCommitted uint64
	leaders          map[uint64]string
	seenEntries      map[Base]seenEntry
	reads            map[uint64]uint64
	violation        string
	counts           counts
}

// counts tracks how often rare events happened, to detect runs that never reach them.
type counts struct {
	committed, leaders, reads, promoted, removed, installed, lostDisks, transferred int
}

func (c *counts) add(o counts) {
	c.committed += o.committed
	c.leaders += o.leaders
	c.reads += o.reads
	c.promoted += o.promoted
	c.removed += o.removed
	c.installed += o.installed
	c.lostDisks += o.lostDisks
	c.transferred += o.transferred
}

type seenEntry struct {
	data         string
	previousTerm uint64
}

// packet is a message, a snapshot or the result of a snapshot.
type packet struct {
	from, to string
	message  *Message
	snapshot *simCheckpoint
	result   *SnapshotSent
	// due is when the packet arrives, 0 if that isn't known yet.
	due clock.Millis
}

type simCheckpoint struct {
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

	state      HardState
	base       Base
	entries    []Entry
	pending    []Persist
	checkpoint simCheckpoint
	// syncing is the number of pending Persists that the running sync covers, which ends at syncEnd.
	syncing int
	syncEnd clock.Millis
	// slowDisk lets each sync take slowSyncTime more.
	slowDisk bool
}

const slowSyncTime = 5_000

const simStart = 1_000_000

func newSim(size, spares int, choose func(n int) int) *sim {
	s := &sim{
		choose: choose, jitter: rand.New(rand.NewPCG(uint64(choose(1000)), 0)), cuts: map[[2]string]bool{}, committed: map[uint64]Entry{},
		leaders: map[uint64]string{}, seenEntries: map[Base]seenEntry{}, reads: map[uint64]uint64{},
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
	if term, ok := l.term(n.checkpoint.index); n.checkpoint.index > 0 && (!ok || term != n.checkpoint.term) {
		n.base, n.entries = Base{Index: n.checkpoint.index, Term: n.checkpoint.term}, nil
	} else if last < n.checkpoint.index {
		s.fail("%s: log ends before its checkpoint", n.name)
	}
	m, err := New(Config{
		Name: n.name, Identity: n.identity, MaxBatchBytes: 16, MaxInflight: 8, MaxInflightBytes: 40,
		Jitter: func(limit clock.Millis) clock.Millis { return clock.Millis(s.jitter.Int64N(int64(limit))) },
	}, Restored{
		State: n.state, Base: n.base, Entries: slices.Clone(n.entries),
		Applied: n.checkpoint.index, AppliedMembers: n.checkpoint.members,
	})
	if err != nil {
		s.fail("%s: %v", n.name, err)
		return
	}
	n.machine, n.applied, n.members = m, n.checkpoint.index, n.checkpoint.members
}

// step passes an event to a running machine and executes its actions.
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
		s.network = append(s.network, packet{from: n.name, to: m.To, message: &m})
	}
	s.checkCommitted(n, actions.Committed)
	s.counts.transferred += len(actions.Transferred)
	s.counts.reads += len(actions.Reads)
	for _, r := range actions.Reads {
		if r.Index < s.reads[r.ID] {
			s.fail("%s: read at %d misses entry %d, which was acknowledged before", n.name, r.Index, s.reads[r.ID])
		}
	}
	if actions.DropBefore > 0 && s.choose(2) == 0 {
		l := entryLog{base: n.base, entries: n.entries}
		l.compact(actions.DropBefore)
		n.base, n.entries = l.base, l.entries
	}
	for _, i := range actions.Snapshots {
		checkpoint := n.checkpoint
		s.network = append(s.network, packet{from: n.name, to: i.To.Name, snapshot: &checkpoint, result: &SnapshotSent{
			Name: i.To.Name, Identity: i.To.Identity, Index: checkpoint.index,
		}})
	}
	s.checkLeader(n)
	if p := actions.Persist; p != nil && s.bypass.syncEarly {
		s.step(n, Synced{Sequence: p.Sequence})
	}
}

// checkCommitted compares committed entries with those that other nodes applied: all
// sequences must be prefixes of one another.
func (s *sim) checkCommitted(n *simNode, entries []Entry) {
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
		s.highestCommitted = max(s.highestCommitted, e.Index)
		n.applied = e.Index
		if e.Kind == EntryMembers {
			n.members, _ = DecodeMembers(e.Data)
		}
	}
}

// checkEntries checks log matching: an index and term identify one content and one
// predecessor.
func (s *sim) checkEntries(n *simNode, p *Persist) {
	for _, e := range p.Entries {
		previousTerm, _ := n.machine.log.term(e.Index - 1)
		entry := seenEntry{data: string(e.Data), previousTerm: previousTerm}
		key := Base{Index: e.Index, Term: e.Term}
		if known, ok := s.seenEntries[key]; ok && known != entry {
			s.fail("%s: two entries at %d in term %d", n.name, e.Index, e.Term)
		}
		s.seenEntries[key] = entry
	}
}

// checkLeader checks election safety, and that a leader has all committed entries.
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
		if term, found := m.log.term(index); !found || term != e.Term {
			s.fail("%s: leads term %d without committed entry %d", n.name, m.state.Term, index)
		}
	}
}

// persist makes the first pending Persists durable.
func (n *simNode) persist(count int) {
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
	n.persist(count)
	s.step(n, Synced{Sequence: sequence})
}

// crash loses Persists that aren't written. Data that is written but not synced may
// survive.
func (s *sim) crash(n *simNode) {
	if n.machine == nil {
		return
	}
	n.persist(s.choose(len(n.pending) + 1))
	n.pending = nil
	n.machine = nil
	if s.bypass.forgetVote {
		n.state.Vote = ""
	}
}

func (s *sim) loseDisk(n *simNode) {
	s.lostDisks++
	s.counts.lostDisks++
	if !s.bypass.keepIdentity {
		n.identity = fmt.Sprintf("%s-disk%d", n.name, s.lostDisks)
	}
	n.machine, n.pending = nil, nil
	n.state, n.base, n.entries, n.checkpoint = HardState{}, Base{}, nil, simCheckpoint{}
	s.restart(n)
}

// deliverPacket passes a packet to its receiver.
func (s *sim) deliverPacket(p packet) {
	n := s.node(p.to)
	if s.cuts[[2]string{p.from, p.to}] || n.machine == nil {
		s.dropPacket(p)
		return
	}
	switch {
	case p.message != nil:
		s.step(n, Received{Message: *p.message})
	case p.snapshot != nil:
		s.install(n, *p.snapshot)
		p.result.Installed = true
		s.network = append(s.network, packet{from: p.to, to: p.from, result: p.result})
	default:
		s.step(n, *p.result)
	}
}

// dropPacket drops a packet. The sender of a snapshot always learns that it failed.
func (s *sim) dropPacket(p packet) {
	if p.snapshot == nil && p.result == nil {
		return
	}
	sender := p.from
	if p.snapshot == nil {
		sender = p.to
	}
	if n := s.node(sender); n.machine != nil {
		failed := *p.result
		failed.Installed = false
		s.step(n, failed)
	}
}

// install makes a snapshot durable. The machine is informed afterwards, unless the
// process crashes in between.
func (s *sim) install(n *simNode, checkpoint simCheckpoint) {
	if checkpoint.index <= n.applied {
		return
	}
	s.counts.installed++
	n.checkpoint = checkpoint
	n.applied, n.members = checkpoint.index, checkpoint.members
	if s.choose(8) == 0 {
		s.crash(n)
		s.restart(n)
		return
	}
	s.step(n, SnapshotInstalled{Index: checkpoint.index, Term: checkpoint.term, Members: checkpoint.members})
}

// checkpoint makes the applied state durable and compacts the log before it.
func (s *sim) checkpoint(n *simNode) {
	if n.machine == nil || n.applied <= n.checkpoint.index {
		return
	}
	term, ok := n.machine.log.term(n.applied)
	l := entryLog{base: n.base, entries: n.entries}
	if _, found := l.term(n.applied); !ok || !found {
		return
	}
	n.checkpoint = simCheckpoint{index: n.applied, term: term, members: n.members}
	s.step(n, Compact{Index: n.applied, RetainEntries: uint64(s.choose(4)), RetainBytes: s.choose(100)})
}

// runWithoutFaults runs all nodes and links that aren't cut for the duration.
func (s *sim) runWithoutFaults(duration clock.Millis) {
	const tick = 10
	for passed := clock.Millis(0); passed < duration && s.violation == ""; passed += tick {
		for _, n := range s.nodes {
			n.clock += tick
			s.step(n, Tick{})
		}
		for range 8 {
			packets := s.network
			s.network = nil
			for _, p := range packets {
				s.deliverPacket(p)
			}
			for _, n := range s.nodes {
				if n != s.stalledDisk {
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

// runWithSlowDisks is runWithoutFaults with disks that take syncTime for each sync, give or take a half.
// A disk runs one sync at a time, which covers what was written before it started.
func (s *sim) runWithSlowDisks(duration, syncTime clock.Millis) {
	const tick = 10
	for passed := clock.Millis(0); passed < duration && s.violation == ""; passed += tick {
		for _, n := range s.nodes {
			n.clock += tick
			s.step(n, Tick{})
			switch {
			case n.syncing > 0 && n.clock >= n.syncEnd:
				s.sync(n, n.syncing)
				n.syncing = 0
			case n.syncing == 0 && len(n.pending) > 0:
				n.syncing = len(n.pending)
				n.syncEnd = n.clock + syncTime/2 + clock.Millis(s.jitter.Int64N(int64(syncTime)))
				if n.slowDisk {
					n.syncEnd += slowSyncTime
				}
			}
		}
		packets := s.network
		s.network = nil
		for _, p := range packets {
			s.deliverPacket(p)
		}
	}
}

// runWithSlowMessages is runWithoutFaults with messages that take delay, give or take a half.
func (s *sim) runWithSlowMessages(duration, delay clock.Millis) {
	const tick = 10
	for passed := clock.Millis(0); passed < duration && s.violation == ""; passed += tick {
		for _, n := range s.nodes {
			n.clock += tick
			s.step(n, Tick{})
			s.sync(n, len(n.pending))
		}
		now, packets := s.nodes[0].clock, s.network
		s.network = nil
		for _, p := range packets {
			if p.due == 0 {
				p.due = now + delay/2 + clock.Millis(s.jitter.Int64N(int64(delay)))
			}
			if p.due > now {
				s.network = append(s.network, p)
				continue
			}
			s.deliverPacket(p)
		}
	}
}
