// Package admission decides whether an online request goes on, waits or is
// turned away. The load that it answers: bursts that ask for two or three times
// the places of the fleet for some seconds, with nearly idle seconds in between,
// from callers that come back once if they are told when.
//
// A request that can't begin in time is turned away at once: begun late it would
// take the place from one that still can be in time, and with a queue in front
// of every place all would be late. It is told to come back at some moment in
// the third of its time that callers wait for. One that came back isn't turned
// away again as long as it can be served at all: it waits for a place that is
// really free, behind those that can be in time, and is served as soon as the
// burst ebbs. It holds no goroutine, socket or clock.
package admission

import (
	"math"

	"toucanhinge.example/common/pkg/clock"
)

const (
	// firstEvent is kept of the objective for the first event itself: reading the
	// prompt and making it takes some 40 ms, the way to the caller up to ten.
	firstEvent clock.Millis = 60
	// leastChance is the least chance to be in time with which a request goes on to a
	// queue. A queue two deep at every runner takes up hardly more requests than one of
	// one, once for each burst, but all those that pass it wait twice as long.
	leastChance = 0.75
	// leastRetry is the shortest time after which to come back.
	leastRetry clock.Millis = 200
	// retrySpread is the least span over which those who are turned away
	// together come back.
	retrySpread clock.Millis = 200
	// retryPart is the part of its time left that a caller waits at most.
	retryPart = 3
	// finishSlack is kept for a request that waits: what is begun must end before
	// its caller leaves.
	finishSlack clock.Millis = 150
	// waitPart is the part of its time that a request waits at most. Callers whose
	// request is given up must learn it while they can still do something else.
	waitPart = 2
	// leastSign, signObjectives and signGaps say after how long without an event
	// callers leave a stream: the longest of the first, a few objectives and a few
	// of the longest pauses. signSlack is kept before that.
	leastSign      clock.Millis = 2_000
	signObjectives              = 4
	signGaps                    = 8
	signSlack      clock.Millis = 300
	// roomPart is the part of the fleet's places for which requests wait, over all
	// gateways. Held a second each, that many are served within two seconds if the
	// burst ebbs; of more, most would wait in vain.
	roomPart = 2
	// callerSlack is how much less patience than the longest one seen tells that
	// a request came back.
	callerSlack clock.Millis = 50
)

// Verdict is the kind of a decision.
type Verdict int

const (
	// Admit sends it to the runner that was chosen.
	Admit Verdict = iota
	// Wait keeps it until a place is free.
	Wait
	// Refuse turns it away at once.
	Refuse
)

// Request describes a request for which a runner was chosen.
type Request struct {
	Arrived clock.Millis
	// Deadline is when its caller leaves or its route's time is up.
	Deadline clock.Millis
	// Objective is the span from its arrival that earns full credit, 0 for none.
	Objective clock.Millis
	// Retry says that it was turned away before.
	Retry bool
	// ExpectedWait is the expected wait for a place at the chosen runner, a span.
	ExpectedWait clock.Millis
	// QueuePosition is how many of the requests that hold its Places must end before this one
	// begins, 0 if a place is free.
	QueuePosition, Slots int
	// Hold is how long such a request holds its place, a span.
	Hold clock.Millis
	// Gap is the longest pause between events that is in time, 0 for none.
	Gap clock.Millis
	// QueueFull says that too many wait already.
	QueueFull bool
	// MayHaveRun says that a runner may have run it: it can't be told truthfully that it wasn't.
	MayHaveRun bool
}

// longestWait is how long the request may wait for a place, from its arrival.
func (a Request) longestWait() clock.Millis {
	sign := max(leastSign, signObjectives*a.Objective, signGaps*a.Gap) - signSlack
	return min((a.Deadline-a.Arrived)/waitPart, sign)
}

// chance is the probability that the request's turn comes within a span. The requests
// that hold the places began at any time, and each holds its place for about as long: in
// each whole hold all of them end once, and in the rest of the span each ends with the same
// chance.
func (a Request) chance(span clock.Millis) float64 {
	if a.Hold <= 0 {
		return 1
	}
	span = max(span, 0)
	missing := a.QueuePosition - int(span/a.Hold)*a.Slots
	ends := float64(span%a.Hold) / float64(a.Hold)
	fewer := 0.0
	exactly := math.Pow(1-ends, float64(a.Slots))
	for n := range max(missing, 0) {
		fewer += exactly
		exactly *= float64(a.Slots-n) / float64(n+1) * ends / (1 - ends)
	}
	return 1 - fewer
}

// Decide says what becomes of a request.
func Decide(now clock.Millis, a Request) Verdict {
	switch {
	case a.QueuePosition == 0:
		return Admit
	case a.MayHaveRun && now+a.ExpectedWait+a.Hold+finishSlack <= a.Deadline:
		// Late is better than not at all. Given up, one request in a hundred and fifty
		// failed in the bursts of a large fleet that had lost a tenth of its runners.
		return Admit
	case a.Objective > 0 && a.chance(a.Arrived+a.Objective-now-firstEvent) >= leastChance:
		return Admit
	case a.Objective == 0 && now+a.ExpectedWait+a.Hold <= a.Deadline:
		return Admit
	case a.Retry && !a.QueueFull && now+a.Hold+finishSlack <= a.Deadline && now-a.Arrived < a.longestWait():
		return Wait
	default:
		return Refuse
	}
}

// startWait and longestStartWait bound the wait at a gateway that doesn't know its
// routes yet. Most gateways know them 50 ms after they start. If all machines have
// lost power it takes the core's election, half a second or more: a new request is then
// told when to come back, and is early at its second attempt; one that came back would
// be lost for good, since callers come back only once.
const (
	startWait        clock.Millis = 60
	longestStartWait clock.Millis = 1_500
)

// StartupWait is how long a request waits at a gateway that doesn't know its routes yet.
// Patience is a span, 0 if the caller doesn't tell it.
func StartupWait(patience clock.Millis, returned bool) clock.Millis {
	if !returned {
		return startWait
	}
	return min(patience/waitPart, longestStartWait)
}

// RetryAfter tells a refused caller when to come back: not before a place may be free
// and the overload is probably over, and spread, so that those who were refused together
// don't return together. Draw is from 0 to below 1.
func RetryAfter(now clock.Millis, a Request, spells *OverloadTracker, draw float64) clock.Millis {
	first := max(a.ExpectedWait, leastRetry)
	last := max((a.Deadline-now)/retryPart, first+retrySpread)
	latest := min(clock.Millis(latePart*float64(last)), last-retrySpread)
	if left, known := spells.Remaining(now); known {
		latest = min(latest, left)
	}
	first = max(first, latest)
	return first + clock.Millis(draw*float64(last-first))
}

// RetryDetector finds requests that came back, by their callers' patience: a first
// attempt has all of it, a later one what is left.
type RetryDetector struct {
	longest map[string]clock.Millis
}

// NewRetryDetector makes one that has seen no caller.
func NewRetryDetector() *RetryDetector { return &RetryDetector{longest: map[string]clock.Millis{}} }

// IsRetry says whether a request of a route with this patience, a span, came
// back. A caller that doesn't tell its patience counts as new.
func (p *RetryDetector) IsRetry(route string, patience clock.Millis) bool {
	p.longest[route] = max(p.longest[route], patience)
	return patience > 0 && patience < p.longest[route]-callerSlack
}
