package losses

// Cause is why a request or an item was worth less than it could have been.
type Cause string

// Causes.
const (
	// InTime is no loss.
	InTime Cause = "in time"
	// CameBack was turned away, came back and was in time then.
	CameBack Cause = "turned away, then in time"
	// CameBackLate was turned away, came back and was late.
	CameBackLate Cause = "turned away, then late"
	// Queued waited longer for a place than was expected.
	Queued Cause = "wait for a place longer than expected"
	// Unseen waited for a place that was taken for free.
	Unseen Cause = "place taken meanwhile"
	// Moved began anew at another runner.
	Moved Cause = "began anew at another runner"
	// TurnedTwice was turned away when it came back.
	TurnedTwice Cause = "turned away twice"
	// NotBack was turned away and never seen again.
	NotBack Cause = "turned away, not seen again"
	// Broken ended without a whole answer.
	Broken Cause = "failed or cut off"
	// Left was given up by its caller.
	Left Cause = "caller left"
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
			return TurnedTwice
		}
		return NotBack
	case outcomeLeft:
		return Left
	default:
		return Broken
	}
}

func servedCause(l line) Cause {
	late := l.Objective > 0 && l.First > l.Objective
	switch {
	case !late && l.Returned:
		return CameBack
	case !late:
		return InTime
	case l.Returned:
		return CameBackLate
	case len(l.Runners) > 1:
		return Moved
	case l.Expected > 0:
		return Queued
	default:
		return Unseen
	}
}
