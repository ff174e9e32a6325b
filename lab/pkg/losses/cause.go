package losses

// Cause is the outcome of a request or an item that explains its loss of worth.
type Cause string

// Causes.
const (
	// InTime is a request or item without loss.
	InTime Cause = "in time"
	// InTimeOnRetry is a request that was refused and in time on the retry.
	InTimeOnRetry Cause = "turned away, then in time"
	// LateOnRetry is a request that was refused and late on the retry.
	LateOnRetry Cause = "turned away, then late"
	// QueuedTooLong is a late request that waited longer for a slot than expected.
	QueuedTooLong Cause = "wait for a place longer than expected"
	// SlotTaken is a late request whose slot was believed to be free but was in use.
	SlotTaken Cause = "place taken meanwhile"
	// RestartedElsewhere is a late request that was restarted at another runner.
	RestartedElsewhere Cause = "began anew at another runner"
	// RefusedTwice is a request that was refused on its retry.
	RefusedTwice Cause = "turned away twice"
	// RefusedNotRetried is a request that was refused and not retried.
	RefusedNotRetried Cause = "turned away, not seen again"
	// Failed is a request that ended without a complete answer.
	Failed Cause = "failed or cut off"
	// CallerLeft is a request whose caller disconnected.
	CallerLeft Cause = "caller left"
	// ItemLate is an item that finished after its deadline.
	ItemLate Cause = "item late"
)

// Values of the outcome key in log lines.
const (
	outcomeServed   = "served"
	outcomeRefused  = "refused"
	outcomeLeft     = "caller-left"
	outcomeFinished = "finished"
)

// requestCause returns the cause for the log line of a finished request.
func requestCause(l line) Cause {
	switch l.Outcome {
	case outcomeServed:
		return servedCause(l)
	case outcomeRefused:
		if l.Returned {
			return RefusedTwice
		}
		return RefusedNotRetried
	case outcomeLeft:
		return CallerLeft
	default:
		return Failed
	}
}

func servedCause(l line) Cause {
	late := l.Objective > 0 && l.First > l.Objective
	switch {
	case !late && l.Returned:
		return InTimeOnRetry
	case !late:
		return InTime
	case l.Returned:
		return LateOnRetry
	case len(l.Runners) > 1:
		return RestartedElsewhere
	case l.Expected > 0:
		return QueuedTooLong
	default:
		return SlotTaken
	}
}
