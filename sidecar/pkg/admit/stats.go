package admit

import "toucanhinge.example/common/pkg/clock"

// Stats are running totals since the start.
type Stats struct {
	Started      uint64
	Refused      uint64
	ItemsStarted uint64
	Yields       uint64
	// TokensLost counts tokens that yielding made the engine compute again.
	TokensLost uint64
	// LeftoverMS is slot time that online left, BatchMS what batch used of it;
	// their ratio is the fill. Both in slot milliseconds.
	LeftoverMS  uint64
	BatchMS uint64
}

// Snapshot is the machine's state for reports.
type Snapshot struct {
	Online   int
	Queued   int
	Batch    int
	Waiting  int
	Suspended   int
	ForeignSlots  int
	Capacity int
	Headroom int
	ExpectedWait     clock.Millis
	CloseReason   Reason
	Draining  bool
	Stats    Stats
}

// Snapshot tells the present state.
func (m *Machine) Snapshot(now clock.Millis) Snapshot {
	return Snapshot{
		Online: len(m.online), Queued: m.queue.len(), Batch: len(m.holding),
		Waiting: len(m.waiting), Suspended: len(m.halted),
		ForeignSlots: m.foreign, Capacity: m.capacity(), Headroom: m.Headroom(now),
		ExpectedWait: m.ExpectedWait(), CloseReason: m.closed, Draining: m.leaving, Stats: m.stats,
	}
}

// account adds up slot time since the last step.
func (m *Machine) account(now clock.Millis) {
	if m.stepped > 0 && now > m.stepped {
		span := uint64(now - m.stepped)
		m.stats.LeftoverMS += span * uint64(max(m.capacity()-len(m.online), 0))
		m.stats.BatchMS += span * uint64(len(m.holding))
	}
	m.stepped = max(m.stepped, now)
}
