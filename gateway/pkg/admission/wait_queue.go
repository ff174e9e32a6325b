package admission

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/contention"
)

// priorityPenalty is added to a waiter's deadline for each priority level below the most urgent. A request of the next
// level is overtaken by requests that arrive up to that much later, and by no others. Ordered by priority alone, it
// would wait forever behind a team that never stops sending.
const priorityPenalty clock.Millis = 400

// teamDivisor limits the waiters of one team to the length limit of the queue divided by it. Otherwise the retries of a
// team that sends many times its usual load would crowd out all others.
const teamDivisor = 2

// ConfirmingDraws is the number of further draws that must find a free slot before a waiting request of a team over its
// share takes one. A draw stands for the requests that other gateways have probably placed already, and waiters draw
// each time the load changes. With a single draw, the waiters of many gateways were sent to the same slot, and queued
// there before requests of teams below their share.
const ConfirmingDraws = 2

// Waiter is a request that waits for a free slot.
type Waiter struct {
	ID       uint64
	Deadline clock.Millis
	// Hold is the time for which the request is expected to hold its slot.
	Hold clock.Millis
	// Priority is the request's priority, 0 for the most urgent, and Team the team that sent it.
	Priority uint32
	Team     string
	// OverShare is set if the team uses more than its share of the slots.
	OverShare bool
	// Tie orders waiters that have to start at the same time.
	Tie uint32
}

// Contender returns the waiter as other gateways see it.
func (w Waiter) Contender() contention.Waiter {
	startBy := w.Deadline - w.Hold + clock.Millis(w.Priority)*priorityPenalty
	return contention.Waiter{StartBy: startBy, Tie: w.Tie, OverShare: w.OverShare}
}

// compare orders waiters like contention.Waiter.Before.
func (w Waiter) compare(other Waiter) int {
	switch {
	case w.Contender().Before(other.Contender()):
		return -1
	case other.Contender().Before(w.Contender()):
		return 1
	default:
		return 0
	}
}

// Tie returns the hash of a gateway's name and the number of a request at this gateway. It orders waiters that have to
// start at the same time equally at all gateways, without a preference for any gateway.
func Tie(gateway string, number uint64) uint32 {
	// FNV hashes of successive numbers would prefer some gateways.
	sum := sha256.Sum256(binary.BigEndian.AppendUint64([]byte(gateway), number))
	return binary.BigEndian.Uint32(sum[:])
}

// WaitQueue holds the waiting requests of one service at a gateway, ordered by contention.Waiter.Before.
type WaitQueue struct {
	waiters []Waiter
	lastID  uint64
}

// Enqueue adds a request and returns its id in the queue.
func (q *WaitQueue) Enqueue(w Waiter) uint64 {
	q.lastID++
	w.ID = q.lastID
	q.waiters = append(q.waiters, w)
	slices.SortStableFunc(q.waiters, Waiter.compare)
	return q.lastID
}

// SetOverShare updates whether the team of a waiting request uses more than its share.
func (q *WaitQueue) SetOverShare(id uint64, overShare bool) {
	i := slices.IndexFunc(q.waiters, func(w Waiter) bool { return w.ID == id })
	if i < 0 || q.waiters[i].OverShare == overShare {
		return
	}
	q.waiters[i].OverShare = overShare
	slices.SortStableFunc(q.waiters, Waiter.compare)
}

// Remove removes a request.
func (q *WaitQueue) Remove(id uint64) {
	q.waiters = slices.DeleteFunc(q.waiters, func(w Waiter) bool { return w.ID == id })
}

// Position returns the number of requests of the queue that go before a request. ok is false if the request isn't in
// the queue.
func (q *WaitQueue) Position(id uint64) (position int, ok bool) {
	position = slices.IndexFunc(q.waiters, func(w Waiter) bool { return w.ID == id })
	return max(position, 0), position >= 0
}

// IsFirst reports whether a request is at the front of the queue.
func (q *WaitQueue) IsFirst(id uint64) bool { return len(q.waiters) > 0 && q.waiters[0].ID == id }

// MostUrgent returns the most urgent waiters in order, at most limit of them.
func (q *WaitQueue) MostUrgent(limit int) []contention.Waiter {
	list := make([]contention.Waiter, 0, min(limit, len(q.waiters)))
	for _, w := range q.waiters[:cap(list)] {
		list = append(list, w.Contender())
	}
	return list
}

// before returns the number of requests of the queue that go before a waiter.
func (q *WaitQueue) before(other contention.Waiter) int {
	n := 0
	for _, w := range q.waiters {
		if !w.Contender().Before(other) {
			break
		}
		n++
	}
	return n
}

// length returns the number of waiting requests that keep out a further one: all for a request of a team over its share,
// else those of teams below their share.
func (q *WaitQueue) length(overShare bool) int {
	n := 0
	for _, w := range q.waiters {
		if overShare || !w.OverShare {
			n++
		}
	}
	return n
}

// teamLength returns the number of waiting requests of a team.
func (q *WaitQueue) teamLength(team string) int {
	n := 0
	for _, w := range q.waiters {
		if w.Team == team {
			n++
		}
	}
	return n
}

// Full reports whether no more requests of a team may wait at this gateway, if nothing is known of the waiters at other
// gateways: each gateway then uses an equal part of the fleet's limit. slots is the number of slots that all gateways
// share. The team limit doesn't apply to callers without a team. The waiters of teams over their share don't keep out a
// request of a team below its share, which is served before them.
func (q *WaitQueue) Full(slots, gateways int, team string, overShare bool) bool {
	limit := max(slots/queueDivisor/max(gateways, 1), 1)
	if q.length(overShare) >= limit {
		return true
	}
	// Callers without a team may use the whole queue.
	return q.teamFull(team, overShare, max(limit/teamDivisor, 1))
}

// teamFull reports whether the limit of a team keeps out a further request. A request of a team over its share isn't
// queued either while the limit keeps out requests of a team below its share.
func (q *WaitQueue) teamFull(team string, overShare bool, limit int) bool {
	if team != "" && q.teamLength(team) >= limit {
		return true
	}
	return overShare && slices.ContainsFunc(q.waiters, func(w Waiter) bool {
		return !w.OverShare && w.Team != "" && q.teamLength(w.Team) >= limit
	})
}

// Len returns the number of waiting requests.
func (q *WaitQueue) Len() int { return len(q.waiters) }
