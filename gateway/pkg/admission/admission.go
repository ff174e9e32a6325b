// Package admission decides whether an online request is admitted, waits or is refused. It is designed for bursts that
// need two or three times the slots of the fleet for some seconds, with nearly idle seconds in between. Callers retry
// once, after the delay that the refusal contains.
//
// A request that can't start in time is refused at once: started late, it would hold a slot that another request could
// still use in time, and with a queue for every slot all requests would be late. The refusal asks the caller to retry
// at a random time within a third of its remaining time. A retry isn't refused as long as it can be served before its
// deadline: it waits for a free slot, behind requests that can be in time, and is served once the burst ends. The
// package uses no goroutine, socket or clock.
package admission

import (
	"math"

	"toucanhinge.example/common/pkg/clock"
)

const (
	// firstEventReserve is the part of the objective that is reserved for the first event itself: reading the
	// prompt and making the event takes some 40 ms, and sending it to the caller up to 10 ms.
	firstEventReserve clock.Millis = 60
	// minOnTimeProbability is the minimum probability of starting in time for a request to be sent to a runner's
	// queue. Queues of length two at every runner absorb hardly more requests of a burst than queues of length
	// one, but double the wait of all requests that pass them.
	minOnTimeProbability = 0.75
	// minOverShareProbability is the same for a request of a team over its share. It leaves the last positions of each
	// queue to requests of other teams, and doesn't leave slots unused between two of them.
	minOverShareProbability = 0.9
	// minRetryAfter is the shortest retry delay that a refusal contains.
	minRetryAfter clock.Millis = 200
	// minRetrySpread is the shortest interval over which the retries of callers that were refused together are
	// spread.
	minRetrySpread clock.Millis = 200
	// retryDivisor limits the retry delay to the caller's remaining time divided by it.
	retryDivisor = 3
	// finishSlack is reserved when a request may wait, since a started request must end before its deadline.
	finishSlack clock.Millis = 150
	// waitDivisor limits the wait of a request to its total time divided by it. A caller whose request is refused
	// after a wait must receive the refusal early enough to try something else.
	waitDivisor = 2
	// minCallerTimeout, timeoutObjectives and timeoutGaps estimate after how long without an event callers close a
	// stream: the maximum of minCallerTimeout, timeoutObjectives times the objective and timeoutGaps times the
	// longest allowed gap between events. timeoutSlack is subtracted from the estimate.
	minCallerTimeout  clock.Millis = 2_000
	timeoutObjectives              = 4
	timeoutGaps                    = 8
	timeoutSlack      clock.Millis = 300
	// queueDivisor limits the waiting requests of all gateways together to the fleet's slots divided by it. If
	// each request holds its slot for a second, a queue of this length is served within two seconds after a burst.
	// In a longer queue, most requests would wait in vain.
	queueDivisor = 2
	// retrySlack is the minimum difference between the longest timeout seen for a route and the timeout of a retry.
	retrySlack clock.Millis = 50
)

// Verdict is a decision on a request.
type Verdict int

const (
	// Admit sends the request to the selected runner.
	Admit Verdict = iota
	// Wait puts the request into the wait queue until a slot is free.
	Wait
	// Refuse refuses the request at once.
	Refuse
)

// Request describes a request for which a runner was selected.
type Request struct {
	Arrived clock.Millis
	// Deadline is the earlier of the times at which the caller gives up and the route's time limit ends.
	Deadline clock.Millis
	// Objective is the time from the arrival within which the request earns full credit, or 0 if there is none.
	Objective clock.Millis
	// Retry reports whether the request was refused before.
	Retry bool
	// ExpectedWait is the expected wait for a slot on the selected runner.
	ExpectedWait clock.Millis
	// QueuePosition is the number of requests that must end before this one starts, or 0 if a slot is free. Slots
	// is the number of slots of the selected runner.
	QueuePosition, Slots int
	// Hold is the time for which such a request holds its slot.
	Hold clock.Millis
	// RequestHold is the time for which the request itself will hold its slot; 0 means Hold.
	RequestHold clock.Millis
	// Gap is the longest allowed gap between events, or 0 if there is no limit.
	Gap clock.Millis
	// QueueFull reports whether the wait queue of the gateway is full.
	QueueFull bool
	// MayHaveRun reports whether a runner may have run the request. A refusal would then be wrong, since it states
	// that the request didn't run.
	MayHaveRun bool
	// OverShare reports whether the team that sent the request uses more than its share of the slots. Its requests
	// wait in a runner's queue only if they will almost certainly start in time. Otherwise a first attempt is refused,
	// and a retry waits behind those of teams below their share.
	OverShare bool
	// NoQueue reports whether the team uses so much more than its share that the request may not use the queue of a
	// runner either, not even if it would start in time.
	NoQueue bool
}

// maxWait returns how long the request may wait for a slot, from its arrival.
func (r Request) maxWait() clock.Millis {
	callerTimeout := max(minCallerTimeout, timeoutObjectives*r.Objective, timeoutGaps*r.Gap) - timeoutSlack
	return min((r.Deadline-r.Arrived)/waitDivisor, callerTimeout)
}

// requestHold returns the time for which the request itself will hold its slot.
func (r Request) requestHold() clock.Millis {
	if r.RequestHold == 0 {
		return r.Hold
	}
	return r.RequestHold
}

// minOnTimeProbability returns the minimum probability of starting in time for the request to be sent to a queue.
func (r Request) minOnTimeProbability() float64 {
	if r.OverShare {
		return minOverShareProbability
	}
	return minOnTimeProbability
}

// startProbability returns the probability that the request gets a slot within a duration. The requests that hold the
// slots started at independent times, and each holds its slot for about Hold. So in each full Hold all of them end
// once, and in the rest of the duration each ends with the same probability.
func (r Request) startProbability(duration clock.Millis) float64 {
	if duration <= 0 && r.QueuePosition > 0 {
		return 0
	}
	if r.Hold <= 0 {
		return 1
	}
	duration = max(duration, 0)
	missing := r.QueuePosition - int(duration/r.Hold)*r.Slots
	endProbability := float64(duration%r.Hold) / float64(r.Hold)
	fewer := 0.0
	exactly := math.Pow(1-endProbability, float64(r.Slots))
	for n := range max(missing, 0) {
		fewer += exactly
		exactly *= float64(r.Slots-n) / float64(n+1) * endProbability / (1 - endProbability)
	}
	return 1 - fewer
}

// Decide returns the decision on a request.
func Decide(now clock.Millis, r Request) Verdict {
	switch {
	case r.QueuePosition == 0:
		return Admit
	case r.MayHaveRun && now+r.ExpectedWait+r.requestHold()+finishSlack <= r.Deadline:
		// A late answer is better than none. When these requests were refused, one request in 150 failed
		// during bursts on a large fleet that had lost a tenth of its runners.
		return Admit
	case !r.NoQueue && r.Objective > 0 && r.startProbability(r.Arrived+r.Objective-now-firstEventReserve) >= r.minOnTimeProbability():
		return Admit
	case r.OverShare && !r.Retry:
		return Refuse
	case !r.OverShare && r.Objective == 0 && now+r.ExpectedWait+r.requestHold() <= r.Deadline:
		return Admit
	case r.Retry && !r.QueueFull && now+r.requestHold()+finishSlack <= r.Deadline && now-r.Arrived < r.maxWait():
		return Wait
	default:
		return Refuse
	}
}

// startupWait and maxStartupWait limit the wait of first attempts and retries at a gateway that hasn't received its
// routes yet. Most gateways receive them within 50 ms of their start. If all VMs have lost power, the core must elect a
// leader first, which takes half a second or more. A first attempt is then refused and its retry is in time. A refused
// retry would be lost, since callers retry only once.
const (
	startupWait    clock.Millis = 60
	maxStartupWait clock.Millis = 1_500
)

// StartupWait returns how long a request waits at a gateway that hasn't received its routes yet. timeout is the
// caller's timeout, or 0 if the caller didn't send one.
func StartupWait(timeout clock.Millis, retry bool) clock.Millis {
	if !retry {
		return startupWait
	}
	return min(timeout/waitDivisor, maxStartupWait)
}

// RetryAfter returns the time after which a refused caller should retry if nothing is known of the other gateways: not
// before a slot may be free and the overload period has probably ended, and spread randomly so that callers that were
// refused together don't retry together. draw is a random number in [0, 1).
func RetryAfter(now clock.Millis, r Request, overload *OverloadTracker, draw float64) clock.Millis {
	first := max(r.ExpectedWait, minRetryAfter)
	last := max((r.Deadline-now)/retryDivisor, first+minRetrySpread)
	earliest := min(clock.Millis(unknownLengthDelay*float64(last)), last-minRetrySpread)
	if remaining, known := overload.Remaining(now); known {
		earliest = min(earliest, remaining)
	}
	first = max(first, earliest)
	return first + clock.Millis(draw*float64(last-first))
}

// RetryDetector detects retries by the timeouts of their callers: a first attempt has the caller's whole timeout, and a
// retry has only the rest of it.
type RetryDetector struct {
	longest map[string]clock.Millis
}

// NewRetryDetector returns a detector that has seen no request.
func NewRetryDetector() *RetryDetector { return &RetryDetector{longest: map[string]clock.Millis{}} }

// IsRetry reports whether a request of a route with this timeout is a retry. A request without a timeout counts as a
// first attempt.
func (d *RetryDetector) IsRetry(route string, timeout clock.Millis) bool {
	d.longest[route] = max(d.longest[route], timeout)
	return timeout > 0 && timeout < d.longest[route]-retrySlack
}
