package admit

import (
	"math"

	"toucanhinge.example/common/pkg/clock"
)

// fullHeadroomYieldTime is the yield time in milliseconds from which on headroom is
// left for the whole recent burst. It is about one step of an engine.
const fullHeadroomYieldTime = 10

type itemState int

const (
	itemWaiting itemState = iota + 1
	itemRunning
	itemSuspending
	itemSuspended
	itemStopping
)

// item is a batch item leased by this process.
type item struct {
	id            ID
	state         itemState
	prefillTokens int
	// prefilling is true from the start of the item until its first token.
	prefilling bool
	// suspendRequestedAt is when the last Suspend was sent.
	suspendRequestedAt clock.Millis
}

func (m *Machine) offer(e Offer) {
	if _, known := m.items[e.ID]; known {
		return
	}
	if m.draining || m.closeReason != "" {
		m.emit(Return, e.ID, m.refusalReason(), 0)
		return
	}
	i := &item{id: e.ID, state: itemWaiting, prefillTokens: e.PrefillTokens}
	m.items[e.ID] = i
	m.waitingItems = append(m.waitingItems, i)
}

func (m *Machine) refusalReason() Reason {
	if m.draining {
		return ReasonLeaving
	}
	return m.closeReason
}

func (m *Machine) firstToken(id ID) {
	if r, found := m.online[id]; found {
		r.prefilling = false
		return
	}
	if i, found := m.items[id]; found {
		m.endPrefill(i)
	}
}

func (m *Machine) endPrefill(i *item) {
	if i.prefilling {
		i.prefilling = false
		m.prefillTokens -= i.prefillTokens
	}
}

// dropItem removes an ended item from all lists and releases its slot, if any.
func (m *Machine) dropItem(i *item) {
	delete(m.items, i.id)
	m.releaseSlot(i)
	m.waitingItems = removeFrom(m.waitingItems, i)
	m.suspendedItems = removeFrom(m.suspendedItems, i)
}

func (m *Machine) releaseSlot(i *item) {
	m.endPrefill(i)
	if i.state == itemSuspending {
		m.suspendingCount--
	}
	m.activeItems = removeFrom(m.activeItems, i)
}

func removeFrom(list []*item, target *item) []*item {
	for n, i := range list {
		if i == target {
			return append(list[:n], list[n+1:]...)
		}
	}
	return list
}

func (m *Machine) withdraw(id ID) {
	i, found := m.items[id]
	if !found {
		return
	}
	m.stopItem(i, ReasonWithdrawn)
}

// stopItem stops an item that holds a slot, or returns an item without a slot to control.
func (m *Machine) stopItem(i *item, reason Reason) {
	switch i.state {
	case itemRunning, itemSuspending:
		if i.state == itemSuspending {
			m.suspendingCount--
		}
		i.state = itemStopping
		m.emit(Stop, i.id, reason, 0)
	case itemWaiting, itemSuspended:
		m.dropItem(i)
		m.emit(Return, i.id, reason, 0)
	case itemStopping:
	}
}

func (m *Machine) returnItems() {
	reason := m.refusalReason()
	items := make([]*item, 0, len(m.items))
	items = append(items, m.waitingItems...)
	items = append(items, m.suspendedItems...)
	items = append(items, m.activeItems...)
	for _, i := range items {
		m.stopItem(i, reason)
	}
}

func (m *Machine) confirmSuspended(now clock.Millis, e Suspended) {
	i, found := m.items[e.ID]
	if !found || (i.state != itemSuspending && i.state != itemStopping) {
		return
	}
	if i.state == itemStopping {
		m.dropItem(i)
		m.emit(Return, i.id, ReasonWithdrawn, 0)
		return
	}
	m.yieldTime = ewma(m.yieldTime, float64(now-i.suspendRequestedAt))
	m.releaseSlot(i)
	i.state = itemSuspended
	m.suspendedItems = append(m.suspendedItems, i)
}

// yieldSlots suspends batch items if online requests wait for their slots or foreign
// load now uses them. The newest items are suspended first: older items are closer
// to their end, and an item in prefill loses the least work.
func (m *Machine) yieldSlots(now clock.Millis) {
	if m.config.Policy != Yield {
		return
	}
	excess := m.used() - m.suspendingCount + m.queue.len() - m.capacity()
	for n := len(m.activeItems) - 1; n >= 0 && excess > 0; n-- {
		i := m.activeItems[n]
		if i.state == itemStopping {
			excess--
			continue
		}
		if i.state != itemRunning {
			continue
		}
		i.state = itemSuspending
		i.suspendRequestedAt = now
		m.suspendingCount++
		excess--
		m.stats.Yields++
		m.emit(Suspend, i.id, "", 0)
	}
}

// fillSlots starts batch items in the slots that online requests leave free. A
// queued request means that there is no free slot, and a closed or draining endpoint
// has no items. Suspended items are resumed first: they hold KV cache, and their
// leases are the oldest.
func (m *Machine) fillSlots(now clock.Millis) {
	free := m.freeBatchSlots(now)
	for ; free > 0 && len(m.suspendedItems) > 0; free-- {
		i := m.suspendedItems[0]
		m.suspendedItems = m.suspendedItems[1:]
		i.state = itemRunning
		m.activeItems = append(m.activeItems, i)
		m.emit(Resume, i.id, "", 0)
	}
	for ; free > 0 && len(m.waitingItems) > 0; free-- {
		i := m.waitingItems[0]
		if !m.prefillFits(i) {
			return
		}
		m.waitingItems = m.waitingItems[1:]
		m.prefillTokens += i.prefillTokens
		i.prefilling = true
		i.state = itemRunning
		m.activeItems = append(m.activeItems, i)
		m.stats.ItemsStarted++
		m.emit(Start, i.id, "", 0)
	}
}

// freeBatchSlots returns how many more batch items may start now.
func (m *Machine) freeBatchSlots(now clock.Millis) int {
	switch m.config.Policy {
	case Naive:
		return len(m.waitingItems) + len(m.suspendedItems)
	case Fixed:
		return min(m.config.BatchSlots-len(m.activeItems), m.capacity()-m.used())
	}
	free := m.capacity() - m.used() - m.Headroom(now)
	return min(free, m.config.BatchSlots-len(m.activeItems))
}

// Headroom returns how many slots batch leaves free, so that a burst like the recent
// ones finds free slots without waiting for yields. Quick yields make headroom
// useless and it only costs batch throughput, so it grows with the measured yield
// time. It limits only the start of items: suspending items to restore the headroom
// would turn every arrival into a yield.
func (m *Machine) Headroom(now clock.Millis) int {
	cost := min(m.yieldTime/fullHeadroomYieldTime, 1)
	slots := m.bursts.decayed(now) * cost * float64(100-m.batchWeight) / 100
	return max(min(int(math.Round(slots)), m.capacity()-1), 0)
}

// prefillFits reports whether the prefill budget allows i to start. The budget bounds
// the batch prompt tokens in prefill, because they lengthen every engine step that
// online streams share. A single item may exceed the budget, or a long item could
// never run. While an online prompt is in prefill no item starts, because it would
// delay the first token of the online request; batch weight 100 ignores that.
func (m *Machine) prefillFits(i *item) bool {
	if m.config.Policy != Yield {
		return true
	}
	if m.batchWeight < 100 && m.hasOnlinePrefill() {
		return false
	}
	budget := m.config.MaxPrefillTokens
	if len(m.online) > 0 {
		budget = budget * m.batchWeight / 100
	}
	return m.prefillTokens == 0 || m.prefillTokens+i.prefillTokens <= budget
}

func (m *Machine) hasOnlinePrefill() bool {
	for _, r := range m.online {
		if r.prefilling {
			return true
		}
	}
	return false
}
