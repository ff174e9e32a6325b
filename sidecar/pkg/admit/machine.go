package admit

import (
	"math"

	"toucanhinge.example/common/pkg/clock"
)

// minRetryAfter is the shortest RetryAfter of a refusal.
const minRetryAfter = clock.Millis(50)

// smoothingFactor is the weight of the newest sample in a moving average.
const smoothingFactor = 0.1

// Machine is the admission state machine of one endpoint.
type Machine struct {
	config         Config
	queue          queue
	online         map[ID]*request
	items          map[ID]*item
	waitingItems   []*item
	suspendedItems []*item
	activeItems    []*item
	// suspendingCount is the number of active items in itemSuspending.
	suspendingCount int
	prefillTokens   int
	foreignSlots    int
	batchWeight     int
	closeReason     Reason
	draining        bool
	bursts          burst
	// serviceTime is the average time that an online request holds its slot, in
	// milliseconds.
	serviceTime float64
	// yieldTime is the average time from Suspend to Suspended, in milliseconds.
	yieldTime float64
	stats     Stats
	lastStep  clock.Millis
	actions   []Action
}

// request is an online request that holds a slot.
type request struct {
	startedAt clock.Millis
	stopping  bool
	// prefilling is true until the first token of the answer.
	prefilling bool
}

// New creates a Machine with an open gate.
func New(config Config) *Machine {
	return &Machine{
		config:      config,
		queue:       newQueue(config.QueueLimit),
		online:      map[ID]*request{},
		items:       map[ID]*item{},
		batchWeight: config.BatchWeight,
		bursts:      burst{window: config.BurstWindow, halfLife: config.BurstHalfLife},
	}
}

// Step applies an event and returns the resulting actions in order. The slice is
// reused by the next call.
func (m *Machine) Step(now clock.Millis, event Event) []Action {
	m.addSlotTime(now)
	m.actions = m.actions[:0]
	m.apply(now, event)
	m.expire(now)
	m.startOnline(now)
	m.yieldSlots(now)
	m.fillSlots(now)
	return m.actions
}

func (m *Machine) apply(now clock.Millis, event Event) {
	switch e := event.(type) {
	case Arrive:
		m.arrive(now, e)
	case Cancel:
		m.cancel(e.ID)
	case FirstToken:
		m.firstToken(e.ID)
	case Finished:
		m.finish(now, e)
	case Offer:
		m.offer(e)
	case Withdraw:
		m.withdraw(e.ID)
	case Suspended:
		m.confirmSuspended(now, e)
	case TokensLost:
		m.stats.TokensLost += uint64(max(e.Count, 0))
	case ForeignLoad:
		m.foreignSlots = max(0, e.Slots)
	case Gate:
		m.setGate(e)
	case Drain:
		m.draining = true
		m.returnItems()
	case DrainEnd:
		m.refuseQueue(ReasonLeaving)
	case SetBatchWeight:
		m.batchWeight = min(max(e.Weight, 0), 100)
	}
}

func (m *Machine) emit(verb Verb, id ID, reason Reason, retry clock.Millis) {
	m.actions = append(m.actions, Action{Verb: verb, ID: id, Reason: reason, RetryAfter: retry})
}

func (m *Machine) refuse(id ID, reason Reason, retry clock.Millis) {
	m.stats.Refused++
	m.emit(Refuse, id, reason, max(retry, minRetryAfter))
}

// capacity returns how many slots this sidecar may use now.
func (m *Machine) capacity() int {
	return max(m.config.Slots-m.foreignSlots, min(m.config.MinSlots, m.config.Slots))
}

// onlineCapacity returns how many slots online requests may use.
func (m *Machine) onlineCapacity() int {
	if m.config.Policy == Fixed {
		return max(m.capacity()-m.config.BatchSlots, 1)
	}
	return m.capacity()
}

func (m *Machine) used() int {
	return len(m.online) + len(m.activeItems)
}

func (m *Machine) arrive(now clock.Millis, e Arrive) {
	if _, running := m.online[e.ID]; running || m.queue.contains(e.ID) {
		m.refuse(e.ID, ReasonDuplicate, 0)
		return
	}
	if m.draining {
		m.refuse(e.ID, ReasonLeaving, 0)
		return
	}
	if m.closeReason != "" {
		m.refuse(e.ID, m.closeReason, 0)
		return
	}
	m.bursts.record(now)
	if now >= e.Deadline || m.cannotMeetDeadline(now, e) {
		m.refuse(e.ID, ReasonDeadline, m.ExpectedWait())
		return
	}
	evicted, added := m.queue.add(waiter{Arrive: e, enqueuedAt: now})
	if !added {
		m.refuse(e.ID, ReasonQueueFull, m.ExpectedWait())
		return
	}
	if evicted != 0 {
		m.refuse(evicted, ReasonQueueFull, m.ExpectedWait())
	}
}

// cannotMeetDeadline reports whether a request that has to wait would miss its
// deadline. A request that finds a free slot always runs: if a measured service time
// that is too long refused it, no request would run any more and the measured time
// could never decrease again.
func (m *Machine) cannotMeetDeadline(now clock.Millis, e Arrive) bool {
	if m.config.Policy == Naive || len(m.online)+m.queue.len() < m.onlineCapacity() {
		return false
	}
	ahead := m.queue.countBefore(e.Deadline)
	return now+m.queueWait(ahead)+clock.Millis(m.serviceTime) > e.Deadline
}

// queueWait returns the expected wait with the given number of requests ahead in the
// queue.
func (m *Machine) queueWait(ahead int) clock.Millis {
	rate := float64(max(m.onlineCapacity(), 1))
	return clock.Millis(math.Ceil(m.serviceTime * float64(ahead+1) / rate))
}

// ExpectedWait returns the expected wait of a new online request.
func (m *Machine) ExpectedWait() clock.Millis {
	if len(m.online)+m.queue.len() < m.onlineCapacity() {
		return 0
	}
	return m.queueWait(m.queue.len())
}

func (m *Machine) cancel(id ID) {
	if m.queue.remove(id) {
		m.refuse(id, ReasonCancelled, 0)
		return
	}
	r, running := m.online[id]
	if running && !r.stopping {
		r.stopping = true
		m.emit(Stop, id, ReasonCancelled, 0)
	}
}

func (m *Machine) finish(now clock.Millis, e Finished) {
	if r, online := m.online[e.ID]; online {
		delete(m.online, e.ID)
		if e.Complete {
			m.serviceTime = ewma(m.serviceTime, float64(now-r.startedAt))
		}
		return
	}
	if i, found := m.items[e.ID]; found {
		m.dropItem(i)
	}
}

// ewma adds a sample to an exponentially weighted moving average.
func ewma(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + smoothingFactor*(sample-mean)
}

// expire refuses queued requests whose deadline has passed, so that their callers
// get a prompt answer and no slot is wasted on them.
func (m *Machine) expire(now clock.Millis) {
	for {
		first, found := m.queue.first()
		if !found || now < first.Deadline {
			return
		}
		m.queue.remove(first.ID)
		m.refuse(first.ID, ReasonDeadline, m.ExpectedWait())
	}
}

func (m *Machine) startOnline(now clock.Millis) {
	if m.closeReason != "" {
		return
	}
	for m.queue.len() > 0 && m.canStartOnline() {
		w := m.queue.pop(m.needsFairness())
		if m.tooLateToStart(now, w) {
			m.refuse(w.ID, ReasonDeadline, m.ExpectedWait())
			continue
		}
		m.online[w.ID] = &request{startedAt: now, prefilling: true}
		m.stats.Started++
		m.emit(Start, w.ID, "", 0)
	}
}

// tooLateToStart reports whether a request that has waited would miss its deadline
// even if it started now. A request that did not wait always starts, see
// cannotMeetDeadline.
func (m *Machine) tooLateToStart(now clock.Millis, w waiter) bool {
	return w.enqueuedAt < now && m.config.Policy != Naive && now+clock.Millis(m.serviceTime/2) >= w.Deadline
}

func (m *Machine) canStartOnline() bool {
	switch m.config.Policy {
	case Naive:
		return true
	case Fixed:
		return len(m.online) < m.onlineCapacity()
	default:
		return m.used() < m.capacity()
	}
}

// needsFairness reports whether the queue is long enough to need fair queueing, which
// keeps one team from starving the others. Shorter queues are served strictly by
// earliest deadline.
func (m *Machine) needsFairness() bool {
	return m.queue.len() > m.onlineCapacity()
}

func (m *Machine) setGate(e Gate) {
	if e.Open {
		m.closeReason = ""
		return
	}
	m.closeReason = e.Reason
	m.refuseQueue(e.Reason)
	m.returnItems()
}

func (m *Machine) refuseQueue(reason Reason) {
	for {
		first, found := m.queue.first()
		if !found {
			return
		}
		m.queue.remove(first.ID)
		m.refuse(first.ID, reason, 0)
	}
}
