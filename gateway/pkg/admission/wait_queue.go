package admission

import (
	"cmp"
	"slices"

	"toucanhinge.example/common/pkg/clock"
)

// priorityPenalty is added to a waiter's deadline for each priority level below the most urgent. A request of the next
// level is overtaken by requests that arrive up to that much later, and by no others. Ordered by priority alone, it
// would wait forever behind a team that never stops sending.
const priorityPenalty clock.Millis = 400

// teamDivisor limits the waiters of one team to the length limit of the queue divided by it. Otherwise the retries of a
// team that sends many times its usual load would crowd out all others.
const teamDivisor = 2

// Waiter is a request that waits for a free slot.
type Waiter struct {
	ID       uint64
	Deadline clock.Millis
	// Priority is the request's priority, 0 for the most urgent, and Team the team that sent it.
	Priority uint32
	Team     string
}

// sortKey returns the time by which waiters are ordered.
func (w Waiter) sortKey() clock.Millis { return w.Deadline + clock.Millis(w.Priority)*priorityPenalty }

// WaitQueue holds the waiting requests of a gateway. Requests of the same priority are ordered by deadline.
type WaitQueue struct {
	waiters []Waiter
	lastID  uint64
}

// Enqueue adds a request and returns its id in the queue.
func (q *WaitQueue) Enqueue(w Waiter) uint64 {
	q.lastID++
	w.ID = q.lastID
	q.waiters = append(q.waiters, w)
	slices.SortStableFunc(q.waiters, func(a, b Waiter) int { return cmp.Compare(a.sortKey(), b.sortKey()) })
	return q.lastID
}

// Remove removes a request.
func (q *WaitQueue) Remove(id uint64) {
	q.waiters = slices.DeleteFunc(q.waiters, func(w Waiter) bool { return w.ID == id })
}

// IsFirst reports whether a request is at the front of the queue.
func (q *WaitQueue) IsFirst(id uint64) bool { return len(q.waiters) > 0 && q.waiters[0].ID == id }

// Full reports whether no more requests of a team may wait at this gateway. slots is the number of slots that all
// gateways share. The team limit doesn't apply to callers without a team.
func (q *WaitQueue) Full(slots, gateways int, team string) bool {
	limit := max(slots/queueDivisor/max(gateways, 1), 1)
	if len(q.waiters) >= limit {
		return true
	}
	own := 0
	for _, w := range q.waiters {
		if w.Team == team {
			own++
		}
	}
	// Callers without a team may use the whole queue.
	return team != "" && own >= max(limit/teamDivisor, 1)
}

// Len returns the number of waiting requests.
func (q *WaitQueue) Len() int { return len(q.waiters) }
