package consensus

import "sort"

// updateProgress aligns the progress of the members with the membership.
func (m *Machine) updateProgress() {
	for name, p := range m.leaderState.progress {
		if !m.members().Has(name, p.member.Identity) {
			delete(m.leaderState.progress, name)
		}
	}
	for _, member := range m.members() {
		if member.Name == m.config.Name {
			continue
		}
		p := m.leaderState.progress[member.Name]
		if p == nil {
			p = &progress{next: m.log.last() + 1, lastContact: m.now}
			m.leaderState.progress[member.Name] = p
		}
		p.member = member
	}
}

// resend sends entries again that a member hasn't acknowledged since the last heartbeat.
// The append may have arrived and only its response been lost: heartbeats then find no
// missing entry, and once the in-flight window is full nothing would be sent any more.
func (m *Machine) resend(p *progress) {
	if p.state == replicating && p.match < p.next-1 && p.match == p.heartbeatMatch {
		p.state = probing
		p.next = p.match + 1
		p.inflightBytes = 0
	}
	p.heartbeatMatch = p.match
	if p.state == probing {
		p.paused = false
		m.sendAppend(p)
	}
}

func (m *Machine) broadcast() {
	m.forEachPeer(m.sendAppend)
}

// sendAppend sends the entries that the member lacks, as far as its state allows.
func (m *Machine) sendAppend(p *progress) {
	for {
		if p.paused || p.state == snapshotting {
			return
		}
		term, ok := m.log.term(p.next - 1)
		if !ok && !m.isLive(p) {
			// The next heartbeat retries.
			p.state, p.paused = probing, true
			return
		}
		if !ok {
			p.state = snapshotting
			m.out.Snapshots = append(m.out.Snapshots, InstallSnapshot{To: p.member})
			return
		}
		entries := m.nextBatch(p)
		if len(entries) == 0 && p.state == replicating {
			return
		}
		m.send(p.member, Message{
			Kind: KindAppend, Index: p.next - 1, LogTerm: term, Commit: m.commit, Entries: entries,
		})
		if p.state == probing {
			p.paused = true
			return
		}
		p.next += uint64(len(entries))
		p.inflightBytes += dataBytes(entries)
	}
}

func dataBytes(entries []Entry) int {
	bytes := 0
	for _, e := range entries {
		bytes += len(e.Data)
	}
	return bytes
}

// nextBatch returns the next entries for a member within the limits of one message and of
// the entries in flight. With more in flight than the network transfers quickly,
// heartbeats would be delayed behind it, and the leader would consider the members lost
// just when it has the most to do.
func (m *Machine) nextBatch(p *progress) []Entry {
	last := min(m.log.last(), p.match+m.config.MaxInflight)
	bytes := 0
	to := p.next
	for ; to <= last; to++ {
		bytes += len(m.log.entries[to-m.log.base.Index-1].Data)
		if bytes > m.config.MaxBatchBytes && to > p.next {
			break
		}
		if p.inflightBytes+bytes > m.config.MaxInflightBytes && p.inflightBytes+int(to-p.next) > 0 {
			break
		}
	}
	return m.log.slice(p.next, to-1)
}

func (m *Machine) onAppendResponse(msg Message) {
	p := m.recordContact(msg)
	if p == nil || msg.Index > m.log.last() {
		return
	}
	if msg.Reject {
		m.onReject(p, msg)
		return
	}
	if p.state == snapshotting && msg.Index < m.log.base.Index {
		return
	}
	m.acknowledge(p, msg.Index)
	p.next = max(p.next, p.match+1)
	p.state = replicating
	p.paused = false
	m.advanceCommit()
	m.advanceTransfer(p)
	m.sendAppend(p)
}

func (m *Machine) acknowledge(p *progress, index uint64) {
	if index <= p.match {
		return
	}
	if p.match >= m.log.base.Index {
		p.inflightBytes = max(0, p.inflightBytes-dataBytes(m.log.slice(p.match+1, min(index, p.next-1))))
	} else {
		p.inflightBytes = 0
	}
	p.match = index
}

// onReject goes back to the position where the log of the member may agree. A late
// rejection of entries that have since been acknowledged is ignored.
func (m *Machine) onReject(p *progress, msg Message) {
	if p.state == snapshotting || msg.Index <= p.match {
		return
	}
	p.next = max(p.match+1, min(msg.Index, msg.Hint+1))
	p.state = probing
	p.paused = false
	p.inflightBytes = 0
	m.sendAppend(p)
}

// advanceCommit commits entries that a majority has synced. The leader's own log counts
// only as far as it is synced, and only entries of the current term count: an entry of an
// earlier term on a majority can still be replaced.
func (m *Machine) advanceCommit() {
	defer m.recordOthersSync()
	var matches []uint64
	for _, member := range m.members() {
		if !member.Voter {
			continue
		}
		if p := m.leaderState.progress[member.Name]; p != nil {
			matches = append(matches, p.match)
		} else {
			matches = append(matches, m.synced)
		}
	}
	if len(matches) == 0 {
		return
	}
	sort.Slice(matches, func(i, j int) bool { return matches[i] > matches[j] })
	index := matches[m.members().Quorum()-1]
	if term, ok := m.log.term(index); index <= m.commit || !ok || term != m.state.Term {
		return
	}
	for _, e := range m.log.slice(m.commit+1, index) {
		m.leaderState.uncommittedBytes = max(0, m.leaderState.uncommittedBytes-len(e.Data))
	}
	m.commit = index
	m.broadcastCommit()
	m.startReads()
}

// broadcastCommit lets followers apply entries at once instead of after the next
// heartbeat, because followers forward the configuration to other processes.
func (m *Machine) broadcastCommit() {
	m.forEachPeer(func(p *progress) {
		if p.state != replicating {
			return
		}
		if p.next <= m.log.last() {
			m.sendAppend(p)
			return
		}
		term, _ := m.log.term(p.next - 1)
		m.send(p.member, Message{
			Kind: KindHeartbeat, Index: p.next - 1, LogTerm: term, Commit: m.commit, Read: m.leaderState.readRound,
		})
	})
}

func (m *Machine) onSnapshotSent(e SnapshotSent) {
	p := m.leaderState.progress[e.Name]
	if m.role != RoleLeader || p == nil || p.member.Identity != e.Identity || p.state != snapshotting {
		return
	}
	p.state = probing
	p.inflightBytes = 0
	p.paused = !e.Installed
	if e.Installed {
		p.next = max(p.match, e.Index) + 1
		m.sendAppend(p)
	}
}
