package admission

import (
	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/contention"
)

const (
	// calmShare is the part of the slots that first attempts are expected to take after an overload period. Loads with
	// bursts need a fifth of them between bursts, steady loads up to all.
	calmShare = 0.5
	// overShareDelay is the part of the possible retry times, in order, that only callers of teams below their share are
	// told.
	overShareDelay = 0.5
)

// Forecast is what a gateway expects of a service for the next seconds.
type Forecast struct {
	// Slots is the number of slots of the service, and Hold the mean time for which a request holds one.
	Slots int
	Hold  clock.Millis
	// Waiting is the number of waiting requests at all gateways.
	Waiting int
	// Returning holds the number of callers that return in each contention.ReturnInterval from now on.
	Returning []float64
	// Remaining is how much longer the overload period lasts. It is valid if RemainingKnown is set.
	Remaining      clock.Millis
	RemainingKnown bool
}

// AddReturning adds callers that return in each interval, counted from age ago.
func (f *Forecast) AddReturning(counts []int, age clock.Millis) {
	skipped := float64(age) / float64(contention.ReturnInterval)
	for i, n := range counts {
		// The interval covers the end of one interval from now on, and the start of the next one.
		from := float64(i) - skipped
		for at := range returnIntervals {
			overlap := min(from+1, float64(at+1)) - max(from, float64(at))
			if overlap <= 0 {
				continue
			}
			for len(f.Returning) <= at {
				f.Returning = append(f.Returning, 0)
			}
			f.Returning[at] += overlap * float64(n)
		}
	}
}

// rooms returns for each interval from now on how many more callers may return in it. First attempts take all slots
// during the overload period, and a part of them afterwards. Waiters take the first slots that are left.
func (f Forecast) rooms(intervals int) []float64 {
	rooms := make([]float64, intervals)
	freed := float64(f.Slots) * float64(contention.ReturnInterval) / float64(max(f.Hold, 1))
	backlog := float64(f.Waiting)
	for i := range rooms {
		if i < len(f.Returning) {
			backlog += f.Returning[i]
		}
		left := freed * f.calmPart(i) * (1 - calmShare)
		rooms[i] = max(left-backlog, 0)
		backlog = max(backlog-left, 0)
	}
	return rooms
}

// calmPart returns the part of an interval that follows the overload period.
func (f Forecast) calmPart(interval int) float64 {
	if !f.RemainingKnown {
		return 0
	}
	return min(max(float64(interval+1)-float64(f.Remaining)/float64(contention.ReturnInterval), 0), 1)
}

// RetryDraw returns the random number by which a retry time is drawn, from a random number in [0, 1). Callers of teams
// over their share are told the later ones of the possible times.
func RetryDraw(overShare bool, draw float64) float64 {
	if overShare {
		return overShareDelay + (1-overShareDelay)*draw
	}
	return draw
}

// retryRange returns the range of the times after which a refused caller may be told to retry. It begins with the
// expected wait unless the caller would retry too late by then.
func retryRange(now clock.Millis, r Request) (first, last clock.Millis) {
	last = max((r.Deadline-now)/retryDivisor, minRetryAfter)
	return max(min(r.ExpectedWait, last-minRetrySpread), minRetryAfter), last
}

// RetryTime returns the time after which a refused caller should retry. It is drawn from the intervals in the allowed
// range in proportion to their room, so that the callers of all gateways together fill the room evenly. draw is a random
// number in [0, 1).
func RetryTime(now clock.Millis, r Request, f Forecast, draw float64) clock.Millis {
	first, last := retryRange(now, r)
	rooms := f.rooms(int((last-1)/contention.ReturnInterval) + 1)
	total := 0.0
	for i := range rooms {
		from, until := overlap(i, first, last)
		rooms[i] *= float64(until-from) / float64(contention.ReturnInterval)
		total += rooms[i]
	}
	if total == 0 {
		first = max(first, min(clock.Millis(unknownLengthDelay*float64(last)), last-minRetrySpread))
		return first + clock.Millis(draw*float64(last-first))
	}
	return timeAt(rooms, draw*total, first, last)
}

// timeAt returns the time within a range up to which the given amount of room lies.
func timeAt(rooms []float64, amount float64, first, last clock.Millis) clock.Millis {
	for i, room := range rooms {
		if amount < room {
			from, until := overlap(i, first, last)
			return from + clock.Millis(amount/room*float64(until-from))
		}
		amount -= room
	}
	// Reached only by rounding.
	return last
}

// overlap returns the part of an interval that lies within a range. It is empty if until equals from.
func overlap(interval int, first, last clock.Millis) (from, until clock.Millis) {
	start := clock.Millis(interval) * contention.ReturnInterval
	from = max(start, first)
	return from, max(min(start+contention.ReturnInterval, last), from)
}
