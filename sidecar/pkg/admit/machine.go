package admit

import (
	"math"

	"toucanhinge.example/common/pkg/clock"
)

// leastRetry is the shortest wait that a refusal asks for.
const leastRetry = clock.Millis(50)

// newestWeight is the weight of the newest measure in a running mean.
const newestWeight = 0.1

// Machine is the decision machine of one endpoint.
type Machine struct {
	config  Config
	queue   queue
	online  map[ID]*request
	items   map[ID]*item
	waiting []*item
	halted  []*item
	holding []*item
	// suspending counts items of holding that are on their way out.
	suspending int
	prefill    int
	foreign    int
	weight     int
	closed     Reason
	leaving    bool
	bursts     burst
	// service is the measured time of an online answer in its slot, milliseconds.
	service float64
	// yield is the measured time from a suspension to its confirmation, milliseconds.
	yield   float64
	stats   Stats
	stepped clock.Millis
	actions []Action
}

// request is an online request in its slot.
type request struct {
	started  clock.Millis
	stopping bool
	// prefilling is true until its first token.
	prefilling bool
}

// New makes a machine with an open gate.
func New(config Config) *Machine {
	return &Machine{
		config: config,
		queue:  newQueue(config.QueueLimit),
		online: map[ID]*request{},
		items:  map[ID]*item{},
		weight: config.BatchWeight,
		bursts: burst{window: config.BurstWindow, halfLife: config.BurstHalfLife},
	}
}

// Step takes one event and returns what to do, in order. The slice is reused
// by the next step.
func (m *Machine) Step(now clock.Millis, event Event) []Action {
	m.account(now)
	m.actions = m.actions[:0]
	m.take(now, event)
	m.expire(now)
	m.startOnline(now)
	m.yieldSlots(now)
	m.fillSlots(now)
	return m.actions
}

func (m *Machine) take(now clock.Millis, event Event) {
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
		m.suspended(now, e)
	case TokensLost:
		m.stats.TokensLost += uint64(max(e.Count, 0))
	case ForeignLoad:
		m.foreign = max(0, e.Slots)
	case Gate:
		m.gate(e)
	case Drain:
		m.leaving = true
		m.returnItems()
	case DrainEnd:
		m.refuseQueue(ReasonLeaving)
	case SetBatchWeight:
		m.weight = min(max(e.Weight, 0), 100)
	}
}

func (m *Machine) act(verb Verb, id ID, reason Reason, retry clock.Millis) {
	m.actions = append(m.actions, Action{Verb: verb, ID: id, Reason: reason, RetryAfter: retry})
}

func (m *Machine) refuse(id ID, reason Reason, retry clock.Millis) {
	m.stats.Refused++
	m.act(Refuse, id, reason, max(retry, leastRetry))
}

// capacity is how many slots are ours now.
func (m *Machine) capacity() int {
	return max(m.config.Slots-m.foreign, min(m.config.MinSlots, m.config.Slots))
}

// onlineCapacity is how many of them online may use.
func (m *Machine) onlineCapacity() int {
	if m.config.Policy == Fixed {
		return max(m.capacity()-m.config.BatchSlots, 1)
	}
	return m.capacity()
}

func (m *Machine) used() int {
	return len(m.online) + len(m.holding)
}

func (m *Machine) arrive(now clock.Millis, e Arrive) {
	if _, running := m.online[e.ID]; running || m.queue.has(e.ID) {
		m.refuse(e.ID, ReasonDuplicate, 0)
		return
	}
	if m.leaving {
		m.refuse(e.ID, ReasonLeaving, 0)
		return
	}
	if m.closed != "" {
		m.refuse(e.ID, m.closed, 0)
		return
	}
	m.bursts.arrive(now)
	if now >= e.Deadline || m.late(now, e) {
		m.refuse(e.ID, ReasonDeadline, m.ExpectedWait())
		return
	}
	evicted, taken := m.queue.add(waiter{Arrive: e, since: now})
	if !taken {
		m.refuse(e.ID, ReasonQueueFull, m.ExpectedWait())
		return
	}
	if evicted != 0 {
		m.refuse(evicted, ReasonQueueFull, m.ExpectedWait())
	}
}

// late says that a request which has to wait can't be answered in time. One
// that finds a free slot is never late: were it refused because of a measured
// service time that has grown too long, nothing would run any more and the
// measure could never come down again.
func (m *Machine) late(now clock.Millis, e Arrive) bool {
	if m.config.Policy == Naive || len(m.online)+m.queue.len() < m.onlineCapacity() {
		return false
	}
	ahead := m.queue.before(e.Deadline)
	return now+m.waitBehind(ahead)+clock.Millis(m.service) > e.Deadline
}

// waitBehind is the expected wait with so many requests ahead in the queue.
func (m *Machine) waitBehind(ahead int) clock.Millis {
	rate := float64(max(m.onlineCapacity(), 1))
	return clock.Millis(math.Ceil(m.service * float64(ahead+1) / rate))
}

// ExpectedWait is the expected wait of a new online request.
func (m *Machine) ExpectedWait() clock.Millis {
	if len(m.online)+m.queue.len() < m.onlineCapacity() {
		return 0
	}
	return m.waitBehind(m.queue.len())
}

func (m *Machine) cancel(id ID) {
	if m.queue.remove(id) {
		m.refuse(id, ReasonCancelled, 0)
		return
	}
	r, running := m.online[id]
	if running && !r.stopping {
		r.stopping = true
		m.act(Stop, id, ReasonCancelled, 0)
	}
}

func (m *Machine) finish(now clock.Millis, e Finished) {
	if r, online := m.online[e.ID]; online {
		delete(m.online, e.ID)
		if e.Complete {
			m.service = smoothed(m.service, float64(now-r.started))
		}
		return
	}
	if i, found := m.items[e.ID]; found {
		m.forget(i)
	}
}

// smoothed takes a new measure into a running mean.
func smoothed(mean, measure float64) float64 {
	if mean == 0 {
		return measure
	}
	return mean + newestWeight*(measure-mean)
}

// expire refuses what can't be in time any more, so that its caller hears at
// once and no slot is spent on it.
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
	if m.closed != "" {
		return
	}
	for m.queue.len() > 0 && m.onlineMayStart() {
		w := m.queue.next(m.fair())
		if m.hopeless(now, w) {
			m.refuse(w.ID, ReasonDeadline, m.ExpectedWait())
			continue
		}
		m.online[w.ID] = &request{started: now, prefilling: true}
		m.stats.Started++
		m.act(Start, w.ID, "", 0)
	}
}

// hopeless says that a request that has waited can't be answered in time even
// if it starts now. One that did not wait always starts, see late.
func (m *Machine) hopeless(now clock.Millis, w waiter) bool {
	return w.since < now && m.config.Policy != Naive && now+clock.Millis(m.service/2) >= w.Deadline
}

func (m *Machine) onlineMayStart() bool {
	switch m.config.Policy {
	case Naive:
		return true
	case Fixed:
		return len(m.online) < m.onlineCapacity()
	default:
		return m.used() < m.capacity()
	}
}

// fair says whether the queue is long enough that teams must be kept from
// crowding each other out; below that, strictly the earliest deadline goes first.
func (m *Machine) fair() bool {
	return m.queue.len() > m.onlineCapacity()
}

func (m *Machine) gate(e Gate) {
	if e.Open {
		m.closed = ""
		return
	}
	m.closed = e.Reason
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
