package attempt

import "toucanhinge.example/common/pkg/clock"

// handleBroken decides how to continue after an attempt that ended without a complete answer.
func (m *Machine) handleBroken(now clock.Millis, event Event, actions []Action) []Action {
	if event.Reached {
		m.mayHaveRun = true
	}
	// A non-idempotent request may run at most once, and whether it ran is unknown.
	if m.mayHaveRun && !m.config.Idempotent {
		return m.fail(Action{Reason: ReasonUnknownOutcome, Ran: RanUnknown}, actions)
	}
	if m.delivered {
		return m.resume(now, event, actions)
	}
	return m.retry(now, CauseFailed, event, actions)
}

// retryLeft reports whether the deadline and the attempt limit allow another attempt.
func (m *Machine) retryLeft(now clock.Millis) bool {
	return now < m.config.Deadline && m.attempt < m.config.MaxAttempts
}

// retry starts a new attempt at another endpoint: from the start of the answer or, if part of it
// was delivered, with the text so far.
func (m *Machine) retry(now clock.Millis, cause Cause, event Event, actions []Action) []Action {
	if m.delivered && (!m.config.Resumable || m.textLost) {
		return m.fail(Action{Reason: ReasonAnswerCut}, actions)
	}
	if now >= m.config.Deadline {
		m.phase = phaseChoosing
		return m.handleExpired(actions)
	}
	if !m.retryLeft(now) || !m.config.Spend(cause) {
		return m.giveUp(event.Reason, event.RetryAfter, actions)
	}
	m.phase = phaseChoosing
	if m.config.Buffered {
		actions = append(actions, Action{Kind: ActionReset})
	}
	return append(actions,
		Action{Kind: ActionRetried, Reason: event.Reason, Endpoint: m.endpoint},
		Action{Kind: ActionChoose})
}

// resume continues an answer that was delivered in part. The endpoint that started the answer may
// still have the rest, so it is tried first, once for each break. It knows the answer's
// sequence numbers, which makes the continuation exact.
func (m *Machine) resume(now clock.Millis, event Event, actions []Action) []Action {
	if !m.config.Resumable {
		return m.fail(Action{Reason: ReasonAnswerCut}, actions)
	}
	progressed := m.received > 0
	// Without any frame of this endpoint's answer, a resume would start from the beginning and omit
	// the text that the caller already has.
	noFrames := m.next == 1
	if event.Unreachable || !event.Reached || noFrames || m.resuming && !progressed {
		return m.retry(now, CauseFailed, event, actions)
	}
	if !m.retryLeft(now) || !m.config.Spend(CauseFailed) {
		return m.fail(Action{Reason: ReasonAnswerCut}, actions)
	}
	actions = append(actions, Action{Kind: ActionRetried, Reason: ReasonResumed, Endpoint: m.endpoint})
	return m.send(Action{ResumeAfter: m.next - 1}, actions)
}
