package admission

import (
	"cmp"
	"slices"

	"toucanhinge.example/common/pkg/clock"
)

// rankSpan is how much longer a request waits for each rank below the most urgent, a span. A
// request of a low rank is overtaken by those that came up to that much later, and by no
// others: with ranks alone it would wait for ever behind a team that never pauses.
const rankSpan clock.Millis = 400

// teamPart is the part of a gateway's room that one team may take. A team that sends many times
// its usual load would else turn all others away that came back.
const teamPart = 2

// Waiter is a request that waits for a free place.
type Waiter struct {
	ID   uint64
	Deadline clock.Millis
	// Priority is the request's priority, 0 for the most urgent, and Team whose it is.
	Priority uint32
	Team string
}

// turn is the moment by which waiters are put in order.
func (w Waiter) turn() clock.Millis { return w.Deadline + clock.Millis(w.Priority)*rankSpan }

// WaitQueue holds the waiting requests of a gateway, the one whose time ends first in
// front, among those of one rank.
type WaitQueue struct {
	waiters []Waiter
	last    uint64
}

// Enqueue adds a request and returns its number here.
func (r *WaitQueue) Enqueue(w Waiter) uint64 {
	r.last++
	w.ID = r.last
	r.waiters = append(r.waiters, w)
	slices.SortStableFunc(r.waiters, func(a, b Waiter) int { return cmp.Compare(a.turn(), b.turn()) })
	return r.last
}

// Remove takes a request out.
func (r *WaitQueue) Remove(id uint64) {
	r.waiters = slices.DeleteFunc(r.waiters, func(w Waiter) bool { return w.ID == id })
}

// IsFirst says whether a request is the one in front.
func (r *WaitQueue) IsFirst(id uint64) bool { return len(r.waiters) > 0 && r.waiters[0].ID == id }

// Full says whether no more requests of a team should wait at this gateway, one of several
// before that many places. A caller without a team counts as one of a team of all of these.
func (r *WaitQueue) Full(places, gateways int, team string) bool {
	most := max(places/roomPart/max(gateways, 1), 1)
	if len(r.waiters) >= most {
		return true
	}
	own := 0
	for _, w := range r.waiters {
		if w.Team == team {
			own++
		}
	}
	// Where there are no teams, all have the whole room.
	return team != "" && own >= max(most/teamPart, 1)
}

// Len is the number of waiting requests.
func (r *WaitQueue) Len() int { return len(r.waiters) }
