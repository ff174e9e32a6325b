package attempt

import (
	"toucanhinge.example/common/pkg/clock"
)

// reorderWindow is the maximum number of frames buffered until an earlier one arrives. Frames travel on one
// ordered stream, so a gap is a fault near the source and is filled at once or never.
const reorderWindow = 64

// Config describes one request.
type Config struct {
	Request  string
	Deadline clock.Millis
	// Idempotent is true when the request may be run again after an unknown outcome.
	Idempotent bool
	// Buffered is true when the answer is buffered until it is complete.
	Buffered bool
	// Resumable is true when a broken answer can be resumed: a model's stream of a single text.
	Resumable bool
	// Model is true for a model service, whose status of 500 and above is a
	// failure of the engine; a plain service's status is its answer.
	Model bool
	// MaxAttempts is the maximum number of attempts, including the first.
	MaxAttempts uint32
	// Spend takes one retry from the gateway's budget.
	Spend func(Cause) bool
}

type phase uint8

const (
	phaseNew phase = iota
	phaseChoosing
	phaseRunning
	phaseEnded
)

// Machine is the state machine of one request. It is not safe for concurrent use.
type Machine struct {
	config  Config
	phase   phase
	attempt uint32
	// endpoint is the endpoint of the running attempt.
	endpoint string
	// tried lists the endpoints of all attempts.
	tried []string
	// next is the expected sequence number in the numbering of this endpoint's answer.
	next uint64
	// received counts data frames of the running attempt.
	received uint64
	// answerStarted is true once the running attempt has returned part of an answer.
	answerStarted bool
	// delivered is true once part of the answer was delivered to the caller.
	delivered bool
	// mayHaveRun is true once an attempt may have run, whatever later attempts report.
	mayHaveRun bool
	// resuming is true while the running attempt resumes the answer at the same endpoint.
	resuming   bool
	textLost   bool
	outOfOrder []Frame
	pendingEnd *Frame
	// lastRefusal is returned to the caller when no further attempt is possible.
	lastRefusal Frame
}

// New returns the machine of one request.
func New(config Config) *Machine {
	return &Machine{config: config}
}

// Tried returns the endpoints that must not be chosen again.
func (m *Machine) Tried() []string {
	return m.tried
}

// Ended reports whether the request has ended.
func (m *Machine) Ended() bool {
	return m.phase == phaseEnded
}

// MayHaveRun reports whether any attempt may have been run.
func (m *Machine) MayHaveRun() bool {
	return m.mayHaveRun
}

// Step handles one event and appends the resulting actions to actions.
func (m *Machine) Step(now clock.Millis, event Event, actions []Action) []Action {
	if m.phase == phaseEnded {
		if event.Kind == EventFrame {
			return append(actions, Action{Kind: ActionDropped, Reason: DropLate})
		}
		return actions
	}
	switch event.Kind {
	case EventStart:
		m.phase = phaseChoosing
		return append(actions, Action{Kind: ActionChoose})
	case EventChosen:
		return m.handleChosen(now, event, actions)
	case EventNoEndpoint:
		return m.handleNoEndpoint(event, actions)
	case EventFrame:
		return m.handleFrame(now, event.Frame, actions)
	case EventBroken:
		if m.phase != phaseRunning || event.Attempt != m.attempt {
			return actions
		}
		return m.handleBroken(now, event, actions)
	case EventPartSent:
		m.delivered = true
		return actions
	case EventTextLost:
		m.textLost = true
		return actions
	case EventExpired:
		return m.handleExpired(actions)
	case EventCallerGone:
		return m.handleCallerGone(actions)
	}
	return actions
}

func (m *Machine) handleChosen(now clock.Millis, event Event, actions []Action) []Action {
	if m.phase != phaseChoosing {
		return actions
	}
	// The process may have been frozen since the endpoint was chosen. Sending after the deadline
	// would run a request that the caller has given up.
	if now >= m.config.Deadline {
		return m.handleExpired(actions)
	}
	m.endpoint = event.Endpoint
	m.tried = append(m.tried, event.Endpoint)
	m.next = 1
	return m.send(Action{WithText: m.delivered}, actions)
}

func (m *Machine) send(action Action, actions []Action) []Action {
	m.phase = phaseRunning
	m.attempt++
	m.received = 0
	m.answerStarted = false
	m.outOfOrder = m.outOfOrder[:0]
	m.pendingEnd = nil
	m.resuming = action.ResumeAfter > 0
	action.Kind = ActionSend
	action.Attempt = m.attempt
	action.Endpoint = m.endpoint
	return append(actions, action)
}

func (m *Machine) handleNoEndpoint(event Event, actions []Action) []Action {
	if m.phase != phaseChoosing {
		return actions
	}
	reason, retry := event.Reason, event.RetryAfter
	if m.lastRefusal.Reason != "" {
		reason, retry = m.lastRefusal.Reason, m.lastRefusal.RetryAfter
	}
	return m.giveUp(reason, retry, actions)
}

// giveUp ends a request that may not be retried. It reports "not run" only if no attempt can have
// run.
func (m *Machine) giveUp(reason string, retry clock.Millis, actions []Action) []Action {
	fail := Action{Reason: reason, Ran: RanNo, RetryAfter: retry}
	if m.mayHaveRun {
		fail = Action{Reason: ReasonUnknownOutcome, Ran: RanUnknown}
	}
	return m.fail(fail, actions)
}

func (m *Machine) fail(action Action, actions []Action) []Action {
	m.phase = phaseEnded
	action.Kind = ActionFail
	action.Delivered = m.delivered
	if m.delivered {
		action.Reason = ReasonAnswerCut
		action.Ran = RanYes
	}
	return append(actions, action)
}

func (m *Machine) handleExpired(actions []Action) []Action {
	ran := RanNo
	if m.phase == phaseRunning {
		actions = append(actions, m.cancelAction())
		m.mayHaveRun = true
	}
	if m.mayHaveRun {
		ran = RanUnknown
	}
	m.phase = phaseEnded
	return append(actions, Action{Kind: ActionFail, Reason: ReasonDeadline, Ran: ran, Delivered: m.delivered})
}

func (m *Machine) handleCallerGone(actions []Action) []Action {
	if m.phase == phaseRunning {
		m.mayHaveRun = true
		actions = append(actions, m.cancelAction())
	}
	m.phase = phaseEnded
	return actions
}

func (m *Machine) cancelAction() Action {
	return Action{Kind: ActionCancel, Attempt: m.attempt, Endpoint: m.endpoint}
}
