package admit

import (
	"sort"

	"toucanhinge.example/common/pkg/clock"
)

// waiter is a queued online request.
type waiter struct {
	Arrive
	enqueuedAt clock.Millis
}

func (w waiter) effectiveWeight() float64 {
	return float64(max(w.Weight, 1))
}

// queue is a bounded queue of online requests, ordered by deadline. It also tracks
// how much service each team has received, for fair queueing between teams.
type queue struct {
	limit   int
	waiters []waiter
	teams   map[string]*team
	// lastServiceLevel is the service level of the team served last. A returning
	// team starts at this level, so that it gains no credit while idle.
	lastServiceLevel float64
}

type team struct {
	queued       int
	serviceLevel float64
}

func newQueue(limit int) queue {
	return queue{limit: limit, teams: map[string]*team{}}
}

func (q *queue) len() int {
	return len(q.waiters)
}

func (q *queue) contains(id ID) bool {
	return q.find(id) >= 0
}

func (q *queue) find(id ID) int {
	for i := range q.waiters {
		if q.waiters[i].ID == id {
			return i
		}
	}
	return -1
}

// countBefore returns the number of queued requests that are served before a new
// request with the given deadline.
func (q *queue) countBefore(deadline clock.Millis) int {
	return sort.Search(len(q.waiters), func(i int) bool { return q.waiters[i].Deadline > deadline })
}

// add enqueues a request. If the queue is full, a request of a team below its
// share evicts the last request of the team with the largest share. evicted is 0
// if no request was evicted.
func (q *queue) add(w waiter) (evicted ID, added bool) {
	if len(q.waiters) >= q.limit {
		i := q.evictionCandidate(w)
		if i < 0 {
			return 0, false
		}
		evicted = q.waiters[i].ID
		q.removeAt(i)
	}
	at := q.countBefore(w.Deadline)
	q.waiters = append(q.waiters, waiter{})
	copy(q.waiters[at+1:], q.waiters[at:])
	q.waiters[at] = w
	t := q.teams[w.Team]
	if t == nil {
		t = &team{serviceLevel: q.lastServiceLevel}
		q.teams[w.Team] = t
	}
	t.queued++
	return evicted, true
}

// evictionCandidate returns the index of the request to evict in favour of w, or
// -1.
func (q *queue) evictionCandidate(w waiter) int {
	own := 1.0
	if t := q.teams[w.Team]; t != nil {
		own += float64(t.queued)
	}
	found, largest := -1, own/w.effectiveWeight()
	for i := range q.waiters {
		other := q.waiters[i]
		share := float64(q.teams[other.Team].queued) / other.effectiveWeight()
		if other.Team != w.Team && (share > largest || (found >= 0 && share == largest)) {
			found, largest = i, share
		}
	}
	return found
}

func (q *queue) first() (waiter, bool) {
	if len(q.waiters) == 0 {
		return waiter{}, false
	}
	return q.waiters[0], true
}

// pop removes and returns the next request to serve: the one with the earliest
// deadline, or if fair is set the one with the earliest deadline of the team that
// has received the least service relative to its weight.
func (q *queue) pop(fair bool) waiter {
	at := 0
	if fair {
		at = q.leastServed()
	}
	w := q.waiters[at]
	t := q.teams[w.Team]
	t.serviceLevel = max(t.serviceLevel, q.lastServiceLevel) + 1/w.effectiveWeight()
	if fair {
		q.lastServiceLevel = max(q.lastServiceLevel, t.serviceLevel-1/w.effectiveWeight())
	}
	q.removeAt(at)
	return w
}

func (q *queue) leastServed() int {
	found := 0
	for i := range q.waiters {
		if q.teams[q.waiters[i].Team].serviceLevel < q.teams[q.waiters[found].Team].serviceLevel {
			found = i
		}
	}
	return found
}

func (q *queue) remove(id ID) bool {
	i := q.find(id)
	if i < 0 {
		return false
	}
	q.removeAt(i)
	return true
}

func (q *queue) removeAt(i int) {
	name := q.waiters[i].Team
	q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
	t := q.teams[name]
	t.queued--
	if t.queued == 0 && t.serviceLevel <= q.lastServiceLevel {
		delete(q.teams, name)
	}
}
