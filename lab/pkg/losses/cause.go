package losses

// Cause is why a request or an item was worth less than it could have been.
type Cause string

// Causes.
const (
	// InTime is no loss.
	InTime Cause = "in time"
	// InTimeOnRetry was turned away, came back and was in time then.
	InTimeOnRetry Cause = "turned away, then in time"
	// LateOnRetry was turned away, came back and was late.
	LateOnRetry Cause = "turned away, then late"
	// QueuedTooLong waited longer for a place than was expected.
	QueuedTooLong Cause = "wait for a place longer than expected"
	// SlotTaken waited for a place that was taken for free.
	SlotTaken Cause = "place taken meanwhile"
	// RestartedElsewhere began anew at another runner.
	RestartedElsewhere Cause = "began anew at another runner"
	// RefusedTwice was turned away when it came back.
	RefusedTwice Cause = "turned away twice"
	// RefusedNotRetried was turned away and never seen again.
	RefusedNotRetried Cause = "turned away, not seen again"
	// Failed ended without a whole answer.
	Failed Cause = "failed or cut off"
	// CallerLeft was given up by its caller.
	CallerLeft Cause = "caller left"
	// ItemLate was finished past its due time.
	ItemLate Cause = "item late"
)

// Outcomes in log lines.
const (
	outcomeServed   = "served"
	outcomeRefused  = "refused"
	outcomeLeft     = "caller-left"
	outcomeFinished = "finished"
)

// causeOf judges a request.
func causeOf(l line) Cause {
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
