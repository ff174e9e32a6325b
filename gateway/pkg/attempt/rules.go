package attempt

import "toucanhinge.example/common/pkg/clock"

// broken decides after an attempt that ended without a whole answer.
func (m *Machine) broken(now clock.Millis, event Event, actions []Action) []Action {
	if event.Reached {
		m.reached = true
	}
	// Whether it ran can't be known, and it may run at most once.
	if m.reached && !m.config.Idempotent {
		return m.fail(Action{Reason: ReasonUnknownOutcome, Ran: RanUnknown}, actions)
	}
	if m.begun {
		return m.resume(now, event, actions)
	}
	return m.again(now, CauseFailed, event, actions)
}

// retryLeft says whether deadline and attempts allow one more.
func (m *Machine) retryLeft(now clock.Millis) bool {
	return now < m.config.Deadline && m.attempt < m.config.MaxAttempts
}

// again starts a new attempt elsewhere, from the start of the answer or, when
// the caller has part of it, with the text so far.
func (m *Machine) again(now clock.Millis, cause Cause, event Event, actions []Action) []Action {
	if m.begun && (!m.config.Resumable || m.textLost) {
		return m.fail(Action{Reason: ReasonAnswerCut}, actions)
	}
	if now >= m.config.Deadline {
		m.phase = phaseChoosing
		return m.expired(actions)
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

// resume goes on with an answer of which the caller has part. The endpoint that
// began it may still hold the rest, so it is asked first, once for each break;
// it has the answer's numbering, which makes the join exact.
func (m *Machine) resume(now clock.Millis, event Event, actions []Action) []Action {
	if !m.config.Resumable {
		return m.fail(Action{Reason: ReasonAnswerCut}, actions)
	}
	wentOn := m.received > 0
	// With no piece of this endpoint's answer, "after the last one" would mean
	// from its start, and without the text that the caller already has.
	none := m.next == 1
	if event.Unreachable || !event.Reached || none || m.resumed && !wentOn {
		return m.again(now, CauseFailed, event, actions)
	}
	if !m.retryLeft(now) || !m.config.Spend(CauseFailed) {
		return m.fail(Action{Reason: ReasonAnswerCut}, actions)
	}
	actions = append(actions, Action{Kind: ActionRetried, Reason: ReasonResumed, Endpoint: m.endpoint})
	return m.send(Action{ResumeAfter: m.next - 1}, actions)
}
