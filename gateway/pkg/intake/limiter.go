// Package intake decides which new connections of callers a gateway takes. Most new connections of a data centre or a
// region may arrive at one gateway for some seconds, far more than its processor can serve. If it read all their
// requests, all of them would be late. A connection that is closed before its request is read costs little, and the
// caller's retry reaches another gateway.
package intake

import (
	"math"

	"toucanhinge.example/common/pkg/clock"
)

const (
	// SampleInterval is the time between two samples of the lag, and samples their number for each decision. Only the
	// shortest lag of the samples counts: pauses of the process are no overload.
	SampleInterval clock.Millis = 50
	samples        int          = 3
	// maxLag is the lag of the process above which it is overloaded. An event that it forwards is late by as much.
	maxLag clock.Millis = 20
	// idleLag is the lag below which the process has time to spare.
	idleLag clock.Millis = 5
	// fastestDecrease and slowestDecrease limit the factor by which the limit shrinks, which is maxLag to the lag
	// otherwise.
	fastestDecrease = 0.5
	slowestDecrease = 0.85
	// increase and fastIncrease are the factors by which the limit grows while it is reached, that is while at least
	// reachedPart of its requests are in progress. It grows fast while the process has time to spare, up to cautiousPart of
	// the requests with which it was overloaded last.
	increase     = 1.03
	fastIncrease = 1.15
	reachedPart  = 0.9
	cautiousPart = 0.8
	// unreachedDecisions is the number of decisions after which a limit that isn't reached ceases: ten seconds.
	unreachedDecisions = 66
	// fallingPart is the part of the lag before from which on a lag is falling.
	fallingPart = 0.9
	// minBurst and burstPart times the limit may begin between two samples. To read and place a request takes as much time
	// as a second of its events.
	minBurst  = 4
	burstPart = 0.05
	// maxOverdue is how late the next sample may be before only maxOverdueTaken connections are taken until it comes: in a
	// crowd, it waits behind all requests that were read.
	maxOverdue      clock.Millis = 100
	maxOverdueTaken int          = 16
	// minLimit is the least limit: with no request at all, the lag would say nothing.
	minLimit = 4
)

// Limiter limits the requests in progress by the lag of the process. It holds no goroutine, socket or clock.
type Limiter struct {
	limit float64
	// shortest is the shortest lag of the last count samples, before that of the samples before.
	shortest, before clock.Millis
	count            int
	// sampledAt is the time of the last sample, and taken counts the connections since.
	sampledAt clock.Millis
	taken     int
	// tooMany is the number of requests in progress with which the process was overloaded last.
	tooMany float64
	// unreached counts the decisions since the limit was last reached.
	unreached int
}

// NewLimiter returns a limiter without a limit.
func NewLimiter() *Limiter { return &Limiter{limit: math.Inf(1)} }

// Observe records how late a timer of this process fired, and the number of requests in progress. It reports whether a
// limit begins or ceases to apply.
func (l *Limiter) Observe(now, lag clock.Millis, inProgress int) (changed bool) {
	l.sampledAt = now
	if l.count == 0 || lag < l.shortest {
		l.shortest = lag
	}
	l.count++
	l.taken = 0
	if l.count < samples {
		return false
	}
	l.count = 0
	limited := l.Limited()
	l.adjust(float64(inProgress))
	l.before = l.shortest
	return limited != l.Limited()
}

func (l *Limiter) adjust(inProgress float64) {
	switch {
	case l.shortest > maxLag:
		if inProgress > math.Ceil(l.limit) || float64(l.shortest) < fallingPart*float64(l.before) {
			// The work that was there before is still being done.
			return
		}
		factor := min(max(float64(maxLag)/float64(l.shortest), fastestDecrease), slowestDecrease)
		l.tooMany = inProgress
		l.limit = max(inProgress*factor, minLimit)
		l.unreached = 0
	case inProgress < reachedPart*l.limit:
		l.unreached++
		if l.unreached >= unreachedDecisions {
			l.limit = math.Inf(1)
		}
	case l.shortest <= idleLag && l.limit < cautiousPart*l.tooMany:
		l.limit, l.unreached = l.limit*fastIncrease, 0
	default:
		l.limit, l.unreached = l.limit*increase, 0
	}
}

// Limited reports whether a limit applies.
func (l *Limiter) Limited() bool { return !math.IsInf(l.limit, 1) }

// Take reports whether to take a new connection beside the requests in progress.
func (l *Limiter) Take(now clock.Millis, inProgress int) bool {
	if now-l.sampledAt > SampleInterval+maxOverdue && l.taken >= maxOverdueTaken {
		return false
	}
	if float64(inProgress) >= l.limit || float64(l.taken) >= minBurst+burstPart*l.limit {
		return false
	}
	l.taken++
	return true
}
