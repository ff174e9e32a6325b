package consensus

// lagFactor is how many times KeepBytes may be kept for a member that lags.
const lagFactor = 8

func (m *Machine) compact(e Compact) {
	index := m.keepAfter(e)
	if index <= m.log.base.Index {
		return
	}
	m.log.compact(index)
	m.history = m.history.compact(index)
	m.out.DropBefore = index
}

// keepAfter picks the last entry to drop. Dropping what a live member is about to
// be sent would make it need a snapshot, and under load another one as soon as
// the first has arrived, for ever.
func (m *Machine) keepAfter(e Compact) uint64 {
	index := min(e.Index, m.delivered)
	needed := index
	m.others(func(p *progress) {
		if m.isLive(p) {
			needed = min(needed, p.match)
		}
	})
	kept, bytes := uint64(0), 0
	for index > m.log.base.Index {
		kept++
		bytes += len(m.log.entries[index-m.log.base.Index-1].Data)
		wanted := kept <= e.RetainEntries && bytes <= e.RetainBytes
		if !wanted && (index <= needed || bytes > lagFactor*e.RetainBytes) {
			break
		}
		index--
	}
	return index
}
