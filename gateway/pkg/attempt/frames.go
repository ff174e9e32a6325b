package attempt

import (
	"net/http"
	"slices"

	"toucanhinge.example/common/pkg/clock"
)

// handleFrame handles a frame of the running attempt and drops all other frames.
func (m *Machine) handleFrame(now clock.Millis, f Frame, actions []Action) []Action {
	// A frame of an earlier attempt would mix two answers: the caller would receive text twice or
	// text of another run. The pair of request and attempt is unique, so comparing it is enough.
	if m.phase != phaseRunning || f.Attempt != m.attempt || f.Request != m.config.Request {
		return append(actions, Action{Kind: ActionDropped, Reason: DropSuperseded})
	}
	switch f.Part {
	case PartHead:
		m.recordAnswerStarted()
		return m.handleHead(now, f, actions)
	case PartData:
		m.recordAnswerStarted()
		return m.handleData(now, f, actions)
	case PartEnd:
		return m.handleEnd(now, f, actions)
	case PartRefusal:
		return m.handleRefusal(now, f, actions)
	}
	return actions
}

// recordAnswerStarted records that the running attempt has started to answer, so it is run.
func (m *Machine) recordAnswerStarted() {
	m.answerStarted = true
	m.mayHaveRun = true
}

// maxStatus is the largest status that fits into the three digits of a status line.
const maxStatus = 999

func (m *Machine) handleHead(now clock.Millis, f Frame, actions []Action) []Action {
	if f.Status < http.StatusOK || f.Status > maxStatus {
		return m.handleBroken(now, Event{Reason: ReasonInvalidStatus, Reached: true}, append(actions, m.cancelAction()))
	}
	if m.config.Model && f.Status >= 500 && !m.delivered && m.config.Idempotent && m.retryLeft(now) {
		return m.handleBroken(now, Event{Reason: ReasonErrorStatus, Reached: true}, append(actions, m.cancelAction()))
	}
	if m.delivered {
		return actions
	}
	return append(actions, Action{Kind: ActionHead, Status: f.Status})
}

func (m *Machine) handleData(now clock.Millis, f Frame, actions []Action) []Action {
	m.received++
	if f.Sequence < m.next {
		return append(actions, Action{Kind: ActionDropped, Reason: DropDuplicate})
	}
	if f.Sequence > m.next {
		return m.bufferOutOfOrder(now, f, actions)
	}
	actions = m.deliver(f, actions)
	for len(m.outOfOrder) > 0 && m.outOfOrder[0].Sequence <= m.next {
		if m.outOfOrder[0].Sequence == m.next {
			actions = m.deliver(m.outOfOrder[0], actions)
		}
		m.outOfOrder = m.outOfOrder[1:]
	}
	if m.pendingEnd != nil {
		return m.handleEnd(now, *m.pendingEnd, actions)
	}
	return actions
}

func (m *Machine) deliver(f Frame, actions []Action) []Action {
	m.next = f.Sequence + 1
	if !m.config.Buffered {
		m.delivered = true
	}
	return append(actions, Action{Kind: ActionData, Data: f.Data})
}

// bufferOutOfOrder buffers a frame that arrived before an earlier one.
func (m *Machine) bufferOutOfOrder(now clock.Millis, f Frame, actions []Action) []Action {
	if len(m.outOfOrder) >= reorderWindow {
		return m.handleBroken(now, Event{Reason: ReasonMissingFrame, Reached: true}, append(actions, m.cancelAction()))
	}
	at, found := slices.BinarySearchFunc(m.outOfOrder, f.Sequence, func(h Frame, sequence uint64) int {
		return int(int64(h.Sequence) - int64(sequence))
	})
	if found {
		return append(actions, Action{Kind: ActionDropped, Reason: DropDuplicate})
	}
	m.outOfOrder = slices.Insert(m.outOfOrder, at, f)
	return actions
}

// handleEnd handles the end frame. An answer is complete only if the frame count in the end frame
// equals the number of delivered frames; otherwise a short answer would look complete.
func (m *Machine) handleEnd(now clock.Millis, f Frame, actions []Action) []Action {
	if f.Reason != "" {
		if f.Ran == RanNo && !m.answerStarted {
			return m.handleRefusal(now, f, actions)
		}
		return m.handleBroken(now, Event{Reason: f.Reason, Reached: true}, actions)
	}
	m.recordAnswerStarted()
	frames := m.next - 1
	switch {
	case frames == f.FrameCount:
		m.phase = phaseEnded
		return append(actions, Action{Kind: ActionFinish})
	case frames > f.FrameCount:
		return m.handleBroken(now, Event{Reason: ReasonMiscountedAnswer, Reached: true}, actions)
	default:
		m.pendingEnd = &f
		return actions
	}
}

func (m *Machine) handleRefusal(now clock.Millis, f Frame, actions []Action) []Action {
	if f.Ran == RanYes && !m.config.Idempotent {
		m.mayHaveRun = true
		return m.fail(Action{Reason: ReasonAlreadyRun, Ran: RanYes}, actions)
	}
	// A refusal with "not run" after part of the answer is false; accepting it could run a
	// non-idempotent request twice.
	if f.Ran == RanNo && m.answerStarted {
		return m.handleBroken(now, Event{Reason: ReasonFalseRefusal, Reached: true}, actions)
	}
	if f.Ran != RanNo {
		return m.handleBroken(now, Event{Reason: f.Reason, Reached: true}, actions)
	}
	m.lastRefusal = f
	cause := CauseRefused
	if m.delivered {
		cause = CauseFailed
	}
	return m.retry(now, cause, Event{Reason: f.Reason, RetryAfter: f.RetryAfter}, actions)
}
