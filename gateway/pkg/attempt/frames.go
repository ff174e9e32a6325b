package attempt

import (
	"slices"

	"toucanhinge.example/common/pkg/clock"
)

// frame takes one frame of the running attempt; all others are dropped.
func (m *Machine) frame(now clock.Millis, f Frame, actions []Action) []Action {
	// A frame of an earlier attempt would mix two answers: the caller would
	// read text twice, or of another run. The pair of request and attempt is
	// unique, so comparing it is enough.
	if m.phase != phaseRunning || f.Attempt != m.attempt || f.Request != m.config.Request {
		return append(actions, Action{Kind: ActionDropped, Reason: DropSuperseded})
	}
	switch f.Part {
	case PartHead:
		m.see()
		return m.head(now, f, actions)
	case PartData:
		m.see()
		return m.data(now, f, actions)
	case PartEnd:
		return m.ending(now, f, actions)
	case PartRefusal:
		return m.refused(now, f, actions)
	}
	return actions
}

// see notes that the running attempt runs: an answer has begun.
func (m *Machine) see() {
	m.seen = true
	m.reached = true
}

func (m *Machine) head(now clock.Millis, f Frame, actions []Action) []Action {
	if m.config.Model && f.Status >= 500 && !m.begun && m.config.Idempotent && m.retryLeft(now) {
		return m.broken(now, Event{Reason: ReasonErrorStatus, Reached: true}, append(actions, m.cancel()))
	}
	if m.begun {
		return actions
	}
	return append(actions, Action{Kind: ActionHead, Status: f.Status})
}

func (m *Machine) data(now clock.Millis, f Frame, actions []Action) []Action {
	m.received++
	if f.Sequence < m.next {
		return append(actions, Action{Kind: ActionDropped, Reason: DropDuplicate})
	}
	if f.Sequence > m.next {
		return m.hold(now, f, actions)
	}
	actions = m.deliver(f, actions)
	for len(m.held) > 0 && m.held[0].Sequence <= m.next {
		if m.held[0].Sequence == m.next {
			actions = m.deliver(m.held[0], actions)
		}
		m.held = m.held[1:]
	}
	if m.end != nil {
		return m.ending(now, *m.end, actions)
	}
	return actions
}

func (m *Machine) deliver(f Frame, actions []Action) []Action {
	m.next = f.Sequence + 1
	if !m.config.Buffered {
		m.begun = true
	}
	return append(actions, Action{Kind: ActionData, Data: f.Data})
}

// hold keeps a frame that came before an earlier one.
func (m *Machine) hold(now clock.Millis, f Frame, actions []Action) []Action {
	if len(m.held) >= window {
		return m.broken(now, Event{Reason: ReasonMissingFrame, Reached: true}, append(actions, m.cancel()))
	}
	at, found := slices.BinarySearchFunc(m.held, f.Sequence, func(h Frame, sequence uint64) int {
		return int(int64(h.Sequence) - int64(sequence))
	})
	if found {
		return append(actions, Action{Kind: ActionDropped, Reason: DropDuplicate})
	}
	m.held = slices.Insert(m.held, at, f)
	return actions
}

// ending takes the end frame. An answer is whole only when it names as many
// data frames as we handed on: a short answer would otherwise look whole.
func (m *Machine) ending(now clock.Millis, f Frame, actions []Action) []Action {
	if f.Reason != "" {
		if f.Ran == RanNo && !m.seen {
			return m.refused(now, f, actions)
		}
		return m.broken(now, Event{Reason: f.Reason, Reached: true}, actions)
	}
	m.see()
	have := m.next - 1
	switch {
	case have == f.FrameCount:
		m.phase = phaseEnded
		return append(actions, Action{Kind: ActionFinish})
	case have > f.FrameCount:
		return m.broken(now, Event{Reason: ReasonMiscountedAnswer, Reached: true}, actions)
	default:
		m.end = &f
		return actions
	}
}

func (m *Machine) refused(now clock.Millis, f Frame, actions []Action) []Action {
	if f.Ran == RanYes && !m.config.Idempotent {
		m.reached = true
		return m.fail(Action{Reason: ReasonAlreadyRun, Ran: RanYes}, actions)
	}
	// "Not run" after a part of the answer can't be true; believing it would run a
	// non-idempotent request twice.
	if f.Ran == RanNo && m.seen {
		return m.broken(now, Event{Reason: ReasonFalseRefusal, Reached: true}, actions)
	}
	if f.Ran != RanNo {
		return m.broken(now, Event{Reason: f.Reason, Reached: true}, actions)
	}
	m.refusal = f
	cause := CauseRefused
	if m.begun {
		cause = CauseFailed
	}
	return m.again(now, cause, Event{Reason: f.Reason, RetryAfter: f.RetryAfter}, actions)
}
