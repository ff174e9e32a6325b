package admit

import "toucanhinge.example/common/pkg/clock"

// Stats holds totals since the start of the process.
type Stats struct {
	Started      uint64
	Refused      uint64
	ItemsStarted uint64
	Yields       uint64
	// TokensLost counts tokens that the engine computed again because of yields.
	TokensLost uint64
	// LeftoverMS is the slot time not used by online requests, BatchMS the part
	// of it used by batch items, both in slot milliseconds. BatchMS / LeftoverMS
	// is the batch fill ratio.
	LeftoverMS uint64
	BatchMS    uint64
}

// Snapshot is the state of a Machine as shown in load reports and metrics.
type Snapshot struct {
	Online       int
	Queued       int
	Batch        int
	Waiting      int
	Suspended    int
	ForeignSlots int
	Capacity     int
	Headroom     int
	ExpectedWait clock.Millis
	CloseReason  Reason
	Draining     bool
	Stats        Stats
}

// Snapshot returns the current state.
func (m *Machine) Snapshot(now clock.Millis) Snapshot {
	return Snapshot{
		Online: len(m.online), Queued: m.queue.len(), Batch: len(m.activeItems),
		Waiting: len(m.waitingItems), Suspended: len(m.suspendedItems),
		ForeignSlots: m.foreignSlots, Capacity: m.capacity(), Headroom: m.Headroom(now),
		ExpectedWait: m.ExpectedWait(), CloseReason: m.closeReason, Draining: m.draining, Stats: m.stats,
	}
}

// addSlotTime adds the slot time since the last step to the totals.
func (m *Machine) addSlotTime(now clock.Millis) {
	if m.lastStep > 0 && now > m.lastStep {
		elapsed := uint64(now - m.lastStep)
		m.stats.LeftoverMS += elapsed * uint64(max(m.capacity()-len(m.online), 0))
		m.stats.BatchMS += elapsed * uint64(len(m.activeItems))
	}
	m.lastStep = max(m.lastStep, now)
}
