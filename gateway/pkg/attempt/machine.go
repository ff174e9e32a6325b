package attempt

import (
	"toucanhinge.example/common/pkg/clock"
)

// window is how many frames may wait for an earlier one. Frames travel on one
// ordered stream, so a gap is a fault near its source and fills at once or never.
const window = 64

// Config describes one request.
type Config struct {
	Request  string
	Deadline clock.Millis
	// Idempotent requests may be run again after an unknown outcome.
	Idempotent bool
	// Buffered is true when the answer is kept back until it is whole.
	Buffered bool
	// Resumable answers go on after a break: streams of one text by a model.
	Resumable bool
	// Model is true for a model service, whose status of 500 and above is a
	// failure of the engine; a plain service's status is its answer.
	Model bool
	// MaxAttempts is the most attempts, the first included.
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

// Machine is the state of one request. It is not safe for concurrent use.
type Machine struct {
	config  Config
	phase   phase
	attempt uint32
	// endpoint of the running attempt.
	endpoint string
	// tried holds every endpoint that an attempt went to.
	tried []string
	// next is the sequence number expected, in the numbering of this endpoint's answer.
	next uint64
	// received counts data frames of the running attempt.
	received uint64
	// seen is true once the running attempt sent a part of an answer.
	seen bool
	// begun is true once anything of the answer reached the caller.
	begun bool
	// reached is true once an attempt may have run, whatever later ones say.
	reached bool
	// resumed is true while the running attempt is a resume on its endpoint.
	resumed  bool
	textLost bool
	held     []Frame
	end      *Frame
	// last refusal, told to the caller when no other try is left.
	refusal Frame
}

// New makes the machine of one request.
func New(config Config) *Machine {
	return &Machine{config: config}
}

// Tried returns the endpoints that may not be chosen again.
func (m *Machine) Tried() []string {
	return m.tried
}

// Ended says whether the request is over.
func (m *Machine) Ended() bool {
	return m.phase == phaseEnded
}

// MayHaveRun says whether any attempt may have been run.
func (m *Machine) MayHaveRun() bool {
	return m.reached
}

// Step takes one event and appends what is to be done to actions.
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
		return m.chosen(now, event, actions)
	case EventNoEndpoint:
		return m.none(event, actions)
	case EventFrame:
		return m.frame(now, event.Frame, actions)
	case EventBroken:
		if m.phase != phaseRunning || event.Attempt != m.attempt {
			return actions
		}
		return m.broken(now, event, actions)
	case EventPartSent:
		m.begun = true
		return actions
	case EventTextLost:
		m.textLost = true
		return actions
	case EventExpired:
		return m.expired(actions)
	case EventCallerGone:
		return m.gone(actions)
	}
	return actions
}

func (m *Machine) chosen(now clock.Millis, event Event, actions []Action) []Action {
	if m.phase != phaseChoosing {
		return actions
	}
	// The process may have been frozen between the choice and now. Sending
	// then would run a request that its caller has given up.
	if now >= m.config.Deadline {
		return m.expired(actions)
	}
	m.endpoint = event.Endpoint
	m.tried = append(m.tried, event.Endpoint)
	m.next = 1
	return m.send(Action{WithText: m.begun}, actions)
}

func (m *Machine) send(action Action, actions []Action) []Action {
	m.phase = phaseRunning
	m.attempt++
	m.received = 0
	m.seen = false
	m.held = m.held[:0]
	m.end = nil
	m.resumed = action.ResumeAfter > 0
	action.Kind = ActionSend
	action.Attempt = m.attempt
	action.Endpoint = m.endpoint
	return append(actions, action)
}

func (m *Machine) none(event Event, actions []Action) []Action {
	if m.phase != phaseChoosing {
		return actions
	}
	reason, retry := event.Reason, event.RetryAfter
	if m.refusal.Reason != "" {
		reason, retry = m.refusal.Reason, m.refusal.RetryAfter
	}
	return m.giveUp(reason, retry, actions)
}

// giveUp ends a request that no further attempt may be made for. It says "not
// run" only when no attempt of it can have run.
func (m *Machine) giveUp(reason string, retry clock.Millis, actions []Action) []Action {
	fail := Action{Reason: reason, Ran: RanNo, RetryAfter: retry}
	if m.reached {
		fail = Action{Reason: ReasonUnknownOutcome, Ran: RanUnknown}
	}
	return m.fail(fail, actions)
}

func (m *Machine) fail(action Action, actions []Action) []Action {
	m.phase = phaseEnded
	action.Kind = ActionFail
	action.Delivered = m.begun
	if m.begun {
		action.Reason = ReasonAnswerCut
		action.Ran = RanYes
	}
	return append(actions, action)
}

func (m *Machine) expired(actions []Action) []Action {
	ran := RanNo
	if m.phase == phaseRunning {
		actions = append(actions, m.cancel())
		m.reached = true
	}
	if m.reached {
		ran = RanUnknown
	}
	m.phase = phaseEnded
	return append(actions, Action{Kind: ActionFail, Reason: ReasonDeadline, Ran: ran, Delivered: m.begun})
}

func (m *Machine) gone(actions []Action) []Action {
	if m.phase == phaseRunning {
		m.reached = true
		actions = append(actions, m.cancel())
	}
	m.phase = phaseEnded
	return actions
}

func (m *Machine) cancel() Action {
	return Action{Kind: ActionCancel, Attempt: m.attempt, Endpoint: m.endpoint}
}
