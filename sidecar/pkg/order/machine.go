// Package order executes the orders of the durable state at one engine: load a
// model, an adapter or a version, or change the role. The fence of an order is the
// version of its configuration entry and only grows.
//
// Some engines refuse an order with an old fence, others ignore the fence. For the
// latter, this package sends one order at a time, never sends a fence below the
// highest known one, and reads the engine's state after every uncertain result.
package order

import (
	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/sidecar/pkg/engine"
)

// Kinds of orders in the engine's API.
const (
	KindModel   = "load_model"
	KindAdapter = "load_adapter"
	KindVersion = "set_version"
	KindRole    = "set_role"
)

// Desired is an order from the durable state.
type Desired struct {
	engine.Order
	// NotBefore is the earliest time to send the order. It limits the load rate of
	// the weight store.
	NotBefore clock.Millis
}

// Event is an input of Machine.Step.
type Event interface{ event() }

// Update brings the newest order for this endpoint.
type Update struct{ Desired Desired }

// ConfigConfirmed means that the configuration is at least as new as the one that a
// quorum had accepted when this process started. Before that, an older order could
// look like the newest one: a restarted process knows only the engine's fence, and
// not every engine reports it.
type ConfigConfirmed struct{}

// ReadResult is the state reported by the engine. Failed means that the read failed.
type ReadResult struct {
	State  engine.State
	Failed bool
}

// SendResult is the engine's answer to an order.
type SendResult struct {
	Fence uint64
	// Current is the fence held by the engine if it refused the order.
	Current uint64
	Refused bool
	// Failed means that the answer was lost. The engine may have executed the order.
	Failed bool
}

// Drained means that no work of this sidecar runs at the engine.
type Drained struct{}

// Tick only advances the time.
type Tick struct{}

func (Update) event()          {}
func (ConfigConfirmed) event() {}
func (ReadResult) event()      {}
func (SendResult) event()      {}
func (Drained) event()         {}
func (Tick) event()            {}

// Verb is the kind of an Action.
type Verb int

// Verbs.
const (
	// Close closes the endpoint for new work. The caller must send Drained once no
	// work runs.
	Close Verb = iota + 1
	// Open opens the endpoint for new work.
	Open
	// Read reads the engine's state. The caller must answer with ReadResult.
	Read
	// Send sends the order to the engine. The caller must answer with SendResult.
	Send
)

// Action is an output of Machine.Step, to be executed by its caller.
type Action struct {
	Verb  Verb
	Order engine.Order
}

// Config configures a Machine.
type Config struct {
	// PollInterval is the interval between reads of an engine that loads or did not
	// answer.
	PollInterval clock.Millis
	// RecheckInterval is the interval between reads of an idle engine. A restarted
	// engine has lost the effect of its orders.
	RecheckInterval clock.Millis
}

type phase int

const (
	// idle waits until pollAt or recheckAt, or for an event.
	idle phase = iota
	// reading waits for the result of a read.
	reading
	// draining waits until no work runs at the engine.
	draining
	// sending waits for the engine's answer to an order.
	sending
)

// Machine is the state machine that decides when to send orders to one engine. It
// does no I/O.
type Machine struct {
	config  Config
	phase   phase
	desired Desired
	// highestFence is the highest fence known for this engine. Orders with a lower
	// fence are never sent.
	highestFence uint64
	// ackedFence is the fence of the last order that the engine accepted.
	ackedFence  uint64
	engineState engine.State
	// pollAt is when to read an engine that loads or did not answer; 0 if no such
	// read is scheduled.
	pollAt clock.Millis
	// recheckAt is when to read an idle engine again.
	recheckAt clock.Millis
	closed    bool
	// configConfirmed is true once an older order can't look like the newest any
	// more, see ConfigConfirmed.
	configConfirmed bool
	// stateKnown is true after the first successful read.
	stateKnown bool
}

// New creates a Machine that reads the engine on its first tick. It starts closed,
// because an engine that loads must get no work.
func New(config Config) *Machine {
	return &Machine{config: config, closed: true}
}

// Fence returns the fence of the engine's order, as last read or accepted.
func (m *Machine) Fence() uint64 {
	return max(m.engineState.Fence, m.ackedFence)
}

// Step applies an event and returns the resulting actions.
func (m *Machine) Step(now clock.Millis, event Event) []Action {
	switch e := event.(type) {
	case Update:
		if e.Desired.Fence > m.desired.Fence {
			m.desired = e.Desired
		}
		return m.decide(now)
	case ConfigConfirmed:
		m.configConfirmed = true
		return m.decide(now)
	case ReadResult:
		return m.applyRead(now, e)
	case SendResult:
		return m.applySend(now, e)
	case Drained:
		return m.applyDrained(now)
	default:
		return m.tick(now)
	}
}

func (m *Machine) read() []Action {
	m.phase = reading
	return []Action{{Verb: Read}}
}

func (m *Machine) tick(now clock.Millis) []Action {
	if m.phase != idle {
		return nil
	}
	if (m.pollAt > 0 && now >= m.pollAt) || now >= m.recheckAt {
		return m.read()
	}
	return m.decide(now)
}

func (m *Machine) applyRead(now clock.Millis, e ReadResult) []Action {
	if m.phase != reading {
		return nil
	}
	m.phase = idle
	if e.Failed {
		m.pollAt = now + m.config.PollInterval
		return nil
	}
	m.pollAt = 0
	m.stateKnown = true
	m.recheckAt = now + m.config.RecheckInterval
	m.engineState = e.State
	m.highestFence = max(m.highestFence, e.State.Fence)
	return m.decide(now)
}

// decide returns the next actions if the machine is idle and knows the engine's
// state.
func (m *Machine) decide(now clock.Millis) []Action {
	if m.phase != idle || m.pollAt > 0 || !m.stateKnown {
		return nil
	}
	if m.engineState.Loading {
		m.pollAt = now + m.config.PollInterval
		return m.close()
	}
	if !m.needsSend() {
		return m.open()
	}
	if now < m.desired.NotBefore {
		return m.open()
	}
	if m.desired.Kind == KindRole {
		return m.send()
	}
	m.phase = draining
	return m.close()
}

// needsSend reports whether the desired order has to be sent. An engine that lost its
// state gets the order again with the same fence, which is not older. An engine that
// does not report fences is compared by its state.
func (m *Machine) needsSend() bool {
	if !m.configConfirmed || m.desired.Fence == 0 ||
		m.desired.Fence < m.highestFence || m.engineState.Fence >= m.desired.Fence {
		return false
	}
	return m.ackedFence != m.desired.Fence || !satisfies(m.engineState, m.desired.Order)
}

// satisfies reports whether the engine's state is the one that the order sets.
func satisfies(s engine.State, o engine.Order) bool {
	switch o.Kind {
	case KindModel:
		return s.Model == o.Model && (o.Version == "" || s.Version == o.Version)
	case KindAdapter:
		return s.Adapter == o.Adapter
	case KindVersion:
		return s.Version == o.Version
	default:
		return s.Role == o.Role
	}
}

func (m *Machine) applyDrained(now clock.Millis) []Action {
	if m.phase != draining {
		return nil
	}
	// A newer order may have arrived during the drain.
	if !m.needsSend() || now < m.desired.NotBefore {
		m.phase = idle
		return m.decide(now)
	}
	return m.send()
}

func (m *Machine) send() []Action {
	m.phase = sending
	m.highestFence = max(m.highestFence, m.desired.Fence)
	return []Action{{Verb: Send, Order: m.desired.Order}}
}

// applySend always leads to a read: an engine that accepted an order may still be
// loading, and after a lost answer only the engine knows its state.
func (m *Machine) applySend(now clock.Millis, e SendResult) []Action {
	if m.phase != sending {
		return nil
	}
	if e.Failed {
		m.phase = idle
		m.pollAt = now + m.config.PollInterval
		return nil
	}
	if e.Refused {
		m.highestFence = max(m.highestFence, e.Current)
	} else {
		m.ackedFence = max(m.ackedFence, e.Fence)
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
