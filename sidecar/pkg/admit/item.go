package admit

import (
	"math"

	"toucanhinge.example/common/pkg/clock"
)

// slowYield is the time of a yield, milliseconds, from which on the whole of the
// recent burst is kept free. It is about one step of an engine.
const slowYield = 10

type itemState int

const (
	itemWaiting itemState = iota + 1
	itemRunning
	itemSuspending
	itemSuspended
	itemStopping
)

// item is a batch item that this process has leased.
type item struct {
	id      ID
	state   itemState
	prefill int
	// prefilling is true until its first token.
	prefilling bool
	// asked is when it was told to suspend.
	asked clock.Millis
}

func (m *Machine) offer(e Offer) {
	if _, known := m.items[e.ID]; known {
		return
	}
	if m.leaving || m.closed != "" {
		m.act(Return, e.ID, m.shutReason(), 0)
		return
	}
	i := &item{id: e.ID, state: itemWaiting, prefill: e.PrefillTokens}
	m.items[e.ID] = i
	m.waiting = append(m.waiting, i)
}

func (m *Machine) shutReason() Reason {
	if m.leaving {
		return ReasonLeaving
	}
	return m.closed
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
		m.prefill -= i.prefill
	}
}

// forget drops an item that ended, wherever it stood.
func (m *Machine) forget(i *item) {
	delete(m.items, i.id)
	m.leaveSlot(i)
	m.waiting = without(m.waiting, i)
	m.halted = without(m.halted, i)
}

func (m *Machine) leaveSlot(i *item) {
	m.endPrefill(i)
	if i.state == itemSuspending {
		m.suspending--
	}
	m.holding = without(m.holding, i)
}

func without(list []*item, gone *item) []*item {
	for n, i := range list {
		if i == gone {
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

// stopItem ends an item that holds a slot, or hands it back when it holds none.
func (m *Machine) stopItem(i *item, reason Reason) {
	switch i.state {
	case itemRunning, itemSuspending:
		if i.state == itemSuspending {
			m.suspending--
		}
		i.state = itemStopping
		m.act(Stop, i.id, reason, 0)
	case itemWaiting, itemSuspended:
		m.forget(i)
		m.act(Return, i.id, reason, 0)
	case itemStopping:
	}
}

func (m *Machine) returnItems() {
	reason := m.shutReason()
	held := make([]*item, 0, len(m.items))
	held = append(held, m.waiting...)
	held = append(held, m.halted...)
	held = append(held, m.holding...)
	for _, i := range held {
		m.stopItem(i, reason)
	}
}

func (m *Machine) suspended(now clock.Millis, e Suspended) {
	i, found := m.items[e.ID]
	if !found || (i.state != itemSuspending && i.state != itemStopping) {
		return
	}
	if i.state == itemStopping {
		m.forget(i)
		m.act(Return, i.id, ReasonWithdrawn, 0)
		return
	}
	m.yield = smoothed(m.yield, float64(now-i.asked))
	m.leaveSlot(i)
	i.state = itemSuspended
	m.halted = append(m.halted, i)
}

// yieldSlots takes batch items out of the slots that online requests wait for,
// or that others now use. The newest go first: the older ones are nearer to
// their end, and a stream in its prefill has the least to lose.
func (m *Machine) yieldSlots(now clock.Millis) {
	if m.config.Policy != Yield {
		return
	}
	excess := m.used() - m.suspending + m.queue.len() - m.capacity()
	for n := len(m.holding) - 1; n >= 0 && excess > 0; n-- {
		i := m.holding[n]
		if i.state == itemStopping {
			excess--
			continue
		}
		if i.state != itemRunning {
			continue
		}
		i.state = itemSuspending
		i.asked = now
		m.suspending++
		excess--
		m.stats.Yields++
		m.act(Suspend, i.id, "", 0)
	}
}

// fillSlots gives batch what online leaves; a request that waits means that
// nothing is left, and a closed or leaving endpoint holds no items. Suspended items go first: they
// hold KV cache, and their lease has run longest.
func (m *Machine) fillSlots(now clock.Millis) {
	room := m.batchRoom(now)
	for ; room > 0 && len(m.halted) > 0; room-- {
		i := m.halted[0]
		m.halted = m.halted[1:]
		i.state = itemRunning
		m.holding = append(m.holding, i)
		m.act(Resume, i.id, "", 0)
	}
	for ; room > 0 && len(m.waiting) > 0; room-- {
		i := m.waiting[0]
		if !m.prefillFits(i) {
			return
		}
		m.waiting = m.waiting[1:]
		m.prefill += i.prefill
		i.prefilling = true
		i.state = itemRunning
		m.holding = append(m.holding, i)
		m.stats.ItemsStarted++
		m.act(Start, i.id, "", 0)
	}
}

// batchRoom is how many more items may take a slot now.
func (m *Machine) batchRoom(now clock.Millis) int {
	switch m.config.Policy {
	case Naive:
		return len(m.waiting) + len(m.halted)
	case Fixed:
		return min(m.config.BatchSlots-len(m.holding), m.capacity()-m.used())
	}
	free := m.capacity() - m.used() - m.Headroom(now)
	return min(free, m.config.BatchSlots-len(m.holding))
}

// Headroom is how many slots batch leaves free, so that a burst like the recent
// ones finds slots without waiting for a yield. As far as yields are quick, it is
// of no use and only costs batch, so it grows with the measured time of a yield.
// It gates only the start of items: suspending one to restore the headroom would
// make every arrival a yield.
func (m *Machine) Headroom(now clock.Millis) int {
	cost := min(m.yield/slowYield, 1)
	wanted := m.bursts.decayed(now) * cost * float64(100-m.weight) / 100
	return max(min(int(math.Round(wanted)), m.capacity()-1), 0)
}

// prefillFits bounds the prompt tokens of batch that are in prefill at once:
// they lengthen every step that online streams share. One item may always go,
// or a long one could never run. While an online prompt is in prefill none goes,
// as its first token would wait for both; weight 100 does without.
func (m *Machine) prefillFits(i *item) bool {
	if m.config.Policy != Yield {
		return true
	}
	if m.weight < 100 && m.onlinePrefill() {
		return false
	}
	budget := m.config.MaxPrefillTokens
	if len(m.online) > 0 {
		budget = budget * m.weight / 100
	}
	return m.prefill == 0 || m.prefill+i.prefill <= budget
}

func (m *Machine) onlinePrefill() bool {
	for _, r := range m.online {
		if r.prefilling {
			return true
		}
	}
	return false
}
