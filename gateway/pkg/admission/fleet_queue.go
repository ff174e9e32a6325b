package admission

import (
	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/contention"
)

const (
	// fleetQueueDivisor limits the waiting requests to the fleet's slots divided by it. A queue of this length is served
	// within two holds of a request, which is less than most callers wait: a late answer is better than none. Without
	// the ranks of all gateways, queueDivisor applies.
	fleetQueueDivisor = 1
	// lastSumPeriod is the time after the last report of another gateway for which the number of its waiters is
	// still used. Afterwards, each gateway uses an equal part of the limit.
	lastSumPeriod clock.Millis = 1_000
	// waiterExpiry is the time after which the exchange drops the waiters of a gateway that reports no longer. A view
	// of this age doesn't show that no request waits.
	waiterExpiry clock.Millis = 200
	// stallTimeout is the time after which a waiter at another gateway is passed over if it could have started and
	// hasn't: its gateway is frozen, or can't reach the free slots.
	stallTimeout clock.Millis = 200
)

// FleetQueue is what a gateway knows of the waiting requests of one service at the other gateways. It merges them with
// its own ones into one queue.
type FleetQueue struct {
	waiting []contention.Waiter
	// unlisted is the number of waiters in current reports that aren't in waiting.
	unlisted int
	// count is the last known number of waiters at other gateways, as of countedAt.
	count     int
	countedAt clock.Millis
	// heard is set once another gateway has reported, and heardAt is the time of the newest known report.
	heard   bool
	heardAt clock.Millis
	// current is set if reports that hadn't expired were observed last, at the time currentAt. In a large fleet they may
	// be older than lastSumPeriod.
	current   bool
	currentAt clock.Millis
	// startable holds since when the waiters that could have started are known to have a free slot, as of watchedAt.
	startable map[uint32]clock.Millis
	watchedAt clock.Millis
}

// Observe records what the other gateways report.
func (f *FleetQueue) Observe(now clock.Millis, view contention.View) {
	f.current, f.currentAt = view.Gateways > 0, now
	f.waiting, f.unlisted = view.Waiting, max(view.WaitingCount-len(view.Waiting), 0)
	if !f.current {
		return
	}
	f.heard, f.heardAt = true, max(f.heardAt, now-view.Age)
	if view.WaitingCount > 0 || view.Age <= waiterExpiry || now-f.countedAt > lastSumPeriod {
		f.count, f.countedAt = view.WaitingCount, now
	}
}

// Known reports whether the waiters of other gateways are known, if only from the last reports. If not, the gateway
// decides on its own waiters and an equal part of the limits.
func (f *FleetQueue) Known(now clock.Millis) bool {
	return f.heard && now-f.heardAt <= lastSumPeriod || f.current && now-f.currentAt <= lastSumPeriod
}

// Count returns the last known number of waiters at other gateways.
func (f *FleetQueue) Count() int { return f.count }

// Watch finds waiters at other gateways that don't use a slot which is free for them. free is the number of free slots
// that this gateway sees. Waiters of teams over their share leave free slots unused because of the share: if each gateway
// passed over those of all others, all would start their waiters at once when the team is below its share again.
func (f *FleetQueue) Watch(now clock.Millis, free int, own *WaitQueue) {
	if now-f.watchedAt > stallTimeout {
		f.startable = nil
	}
	f.watchedAt = now
	startable := map[uint32]clock.Millis{}
	ahead := 0
	for _, w := range f.waiting {
		if w.StartBy < now {
			continue
		}
		if w.OverShare {
			ahead++
			continue
		}
		since, known := f.startable[w.Tie]
		if known && now-since > stallTimeout {
			// Stays passed over while it is reported, also if no slot is free for a while.
			startable[w.Tie] = since
			continue
		}
		if ahead+own.before(w) < free {
			if !known {
				since = now
			}
			startable[w.Tie] = since
		}
		ahead++
	}
	f.startable = startable
}

// counts reports whether a waiter at another gateway may still take a slot.
func (f *FleetQueue) counts(now clock.Millis, w contention.Waiter) bool {
	since, known := f.startable[w.Tie]
	return w.StartBy >= now && (!known || f.watchedAt-since <= stallTimeout)
}

// Rank returns the number of waiters of all gateways that go before a request of the own queue. Reports list only the
// most urgent waiters. Of the others, a request that follows all listed ones assumes as many before it as correspond to
// its position in the own queue. If it counted none of them, the requests of all gateways that follow the listed ones
// would compete for the same slots.
func (f *FleetQueue) Rank(now clock.Millis, own *WaitQueue, id uint64) int {
	position, ok := own.Position(id)
	if !ok {
		return 0
	}
	w := own.waiters[position].Contender()
	rank := position
	for _, other := range f.waiting {
		if !f.counts(now, other) {
			continue
		}
		if !other.Before(w) {
			return rank
		}
		rank++
	}
	return rank + f.unlisted*(2*position+1)/(2*own.Len())
}

// Full reports whether no more requests of a team may wait. slots is the number of slots that all gateways share. The
// limit applies to the waiters of all gateways together. Other gateways don't report the teams of their waiters, so the
// limit of a team is divided in proportion to the waiters of each gateway, with an equal part as the minimum. Own waiters
// of teams over their share don't keep out a request of a team below its share.
func (f *FleetQueue) Full(now clock.Millis, own *WaitQueue, slots, gateways int, team string, overShare bool) bool {
	if !f.Known(now) {
		return own.Full(slots, gateways, team, overShare)
	}
	limit := max(slots/fleetQueueDivisor, 1)
	if own.length(overShare)+f.count >= limit {
		return true
	}
	all := own.Len() + f.count
	part := max(limit*own.Len()/max(all, 1), limit/max(gateways, 1))
	return own.teamFull(team, overShare, max(part/teamDivisor, 1))
}

// MayStart reports whether a waiter of a rank may be sent to the runner that was selected for this rank. free is the
// number of free slots that the gateway sees. A waiter for which a place in a runner's queue is good enough leaves the
// free slots to others.
func MayStart(rank, free int, r Request, verdict Verdict) bool {
	return verdict == Admit && (r.QueuePosition > 0 || rank < free)
}
