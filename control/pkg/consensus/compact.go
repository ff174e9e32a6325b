package consensus

// lagFactor times RetainBytes is the most that is retained for a member that lags.
const lagFactor = 8

func (m *Machine) compact(e Compact) {
	index := m.compactionIndex(e)
	if index <= m.log.base.Index {
		return
	}
	m.log.compact(index)
	m.history = m.history.compact(index)
	m.out.DropBefore = index
}

// compactionIndex returns the index of the last entry to drop. If the entries that a live
// member is about to be sent were dropped, the member would need a snapshot, and under
// load another one as soon as the first has arrived, without end.
func (m *Machine) compactionIndex(e Compact) uint64 {
	index := min(e.Index, m.delivered)
	needed := index
	m.forEachPeer(func(p *progress) {
		if m.isLive(p) {
			needed = min(needed, p.match)
		}
	})
	retained, bytes := uint64(0), 0
	for index > m.log.base.Index {
		retained++
		bytes += len(m.log.entries[index-m.log.base.Index-1].Data)
		retain := retained <= e.RetainEntries && bytes <= e.RetainBytes
		if !retain && (index <= needed || bytes > lagFactor*e.RetainBytes) {
			break
		}
		index--
	}
	return index
}
