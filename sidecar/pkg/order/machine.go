// Package order carries out the orders of the durable state at one engine: load
// a model, an adapter or a version, or change the role. The number of an order
// is the version of its entry and only grows.
//
// Some engines refuse an order with an old number, others ignore the number.
// The latter are protected here: one order at a time, never an older number
// than one we know of, and reading back after every doubt.
package order

import (
	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/sidecar/pkg/engine"
)

// Kinds of orders as engines write them.
const (
	KindModel   = "load_model"
	KindAdapter = "load_adapter"
	KindVersion = "set_version"
	KindRole    = "set_role"
)

// Desired is an order of the durable state.
type Desired struct {
	engine.Order
	// NotBefore keeps the weight store's rate.
	NotBefore clock.Millis
}

// Event is one thing that happened. Its kinds are the types below.
type Event interface{ event() }

// Update tells the newest order for this endpoint.
type Update struct{ Desired Desired }

// ConfigConfirmed tells that the configuration is at least as new as what a quorum had
// accepted when this process started. Before, an older order could look like
// the newest: a restarted process knows of no numbers but the engine's, and
// not every engine tells them.
type ConfigConfirmed struct{}

// ReadResult is what the engine says it is; Failed when it did not say.
type ReadResult struct {
	State   engine.State
	Failed bool
}

// SendResult is the engine's answer to an order.
type SendResult struct {
	Fence uint64
	// Current is the number that the engine holds, when it refused.
	Current uint64
	Refused bool
	// Failed means that the answer was lost: it may have been carried out.
	Failed bool
}

// Drained tells that nothing of ours runs at the engine.
type Drained struct{}

// Tick lets time pass.
type Tick struct{}

func (Update) event()   {}
func (ConfigConfirmed) event() {}
func (ReadResult) event()    {}
func (SendResult) event()    {}
func (Drained) event() {}
func (Tick) event()    {}

// Verb says what the runtime is to do.
type Verb int

// Verbs.
const (
	// Close keeps new work away; Drained follows once nothing runs.
	Close Verb = iota + 1
	// Open lets work in again.
	Open
	// Read asks the engine what it is; Held follows.
	Read
	// Send gives the engine the order; Sent follows.
	Send
)

// Action is one thing for the runtime to do.
type Action struct {
	Verb  Verb
	Order engine.Order
}

// Config describes a machine.
type Config struct {
	// PollInterval is how long to wait between two readings of an engine that loads or
	// did not answer.
	PollInterval clock.Millis
	// RecheckInterval is how often a resting engine is read: one that restarted has
	// forgotten its orders.
	RecheckInterval clock.Millis
}

type phase int

const (
	// resting has nothing to do until pollAt or recheckAt.
	resting phase = iota
	// reading waits for the engine's answer.
	reading
	// draining waits until nothing runs.
	draining
	// sending waits for the engine's answer to an order.
	sending
)

// Machine decides. It is pure.
type Machine struct {
	config Config
	phase  phase
	wanted Desired
	// highest is the highest number known to exist for this engine; nothing
	// below is ever sent.
	highest uint64
	// acked is the number of the last order that the engine took.
	acked uint64
	held  engine.State
	// pollAt is when to read again; 0 means when there is a reason.
	pollAt clock.Millis
	// recheckAt is when a resting engine is read again.
	recheckAt clock.Millis
	closed    bool
	// started is false until no older order can look like the newest.
	started bool
	// known is false until the engine was read once.
	known bool
}

// New makes a machine that reads the engine on its first tick. It starts closed:
// an engine that loads must get no work.
func New(config Config) *Machine {
	return &Machine{config: config, closed: true}
}

// Fence is the number of the order that the engine holds, as last read.
func (m *Machine) Fence() uint64 {
	return max(m.held.Fence, m.acked)
}

// Step takes one event and returns what to do.
func (m *Machine) Step(now clock.Millis, event Event) []Action {
	switch e := event.(type) {
	case Update:
		if e.Desired.Fence > m.wanted.Fence {
			m.wanted = e.Desired
		}
		return m.decide(now)
	case ConfigConfirmed:
		m.started = true
		return m.decide(now)
	case ReadResult:
		return m.heard(now, e)
	case SendResult:
		return m.sent(now, e)
	case Drained:
		return m.drained(now)
	default:
		return m.tick(now)
	}
}

func (m *Machine) read() []Action {
	m.phase = reading
	return []Action{{Verb: Read}}
}

func (m *Machine) tick(now clock.Millis) []Action {
	if m.phase != resting {
		return nil
	}
	if (m.pollAt > 0 && now >= m.pollAt) || now >= m.recheckAt {
		return m.read()
	}
	return m.decide(now)
}

func (m *Machine) heard(now clock.Millis, e ReadResult) []Action {
	if m.phase != reading {
		return nil
	}
	m.phase = resting
	if e.Failed {
		m.pollAt = now + m.config.PollInterval
		return nil
	}
	m.pollAt = 0
	m.known = true
	m.recheckAt = now + m.config.RecheckInterval
	m.held = e.State
	m.highest = max(m.highest, e.State.Fence)
	return m.decide(now)
}

// decide is called at rest, when what the engine holds is known.
func (m *Machine) decide(now clock.Millis) []Action {
	if m.phase != resting || m.pollAt > 0 || !m.known {
		return nil
	}
	if m.held.Loading {
		m.pollAt = now + m.config.PollInterval
		return m.close()
	}
	if !m.due() {
		return m.open()
	}
	if now < m.wanted.NotBefore {
		return m.open()
	}
	if m.wanted.Kind == KindRole {
		return m.send()
	}
	m.phase = draining
	return m.close()
}

// due says whether the wanted order is still to be given. An engine that lost
// its state gets the same number again, which is not older; an engine that does
// not tell numbers is judged by what it is.
func (m *Machine) due() bool {
	if !m.started || m.wanted.Fence == 0 || m.wanted.Fence < m.highest || m.held.Fence >= m.wanted.Fence {
		return false
	}
	return m.acked != m.wanted.Fence || !fulfils(m.held, m.wanted.Order)
}

// fulfils says whether an engine is what an order asks for.
func fulfils(h engine.State, o engine.Order) bool {
	switch o.Kind {
	case KindModel:
		return h.Model == o.Model && (o.Version == "" || h.Version == o.Version)
	case KindAdapter:
		return h.Adapter == o.Adapter
	case KindVersion:
		return h.Version == o.Version
	default:
		return h.Role == o.Role
	}
}

func (m *Machine) drained(now clock.Millis) []Action {
	if m.phase != draining {
		return nil
	}
	// A newer order may have come while we drained.
	if !m.due() || now < m.wanted.NotBefore {
		m.phase = resting
		return m.decide(now)
	}
	return m.send()
}

func (m *Machine) send() []Action {
	m.phase = sending
	m.highest = max(m.highest, m.wanted.Fence)
	return []Action{{Verb: Send, Order: m.wanted.Order}}
}

// sent always reads back: an engine that took an order may still be loading,
// and after a lost answer only the engine knows.
func (m *Machine) sent(now clock.Millis, e SendResult) []Action {
	if m.phase != sending {
		return nil
	}
	if e.Failed {
		m.phase = resting
		m.pollAt = now + m.config.PollInterval
		return nil
	}
	if e.Refused {
		m.highest = max(m.highest, e.Current)
	} else {
		m.acked = max(m.acked, e.Fence)
	}
	return m.read()
}

func (m *Machine) close() []Action {
	if m.closed {
		return nil
	}
	m.closed = true
	return []Action{{Verb: Close}}
}

func (m *Machine) open() []Action {
	if !m.closed {
		return nil
	}
	m.closed = false
	return []Action{{Verb: Open}}
}
