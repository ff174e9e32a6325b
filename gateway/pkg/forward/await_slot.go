package forward

import (
	"context"
	"net/http"
	"sync"
	"time"

	"toucanhinge.example/gateway/pkg/admission"
	"toucanhinge.example/gateway/pkg/placement"
)

// queuePollInterval is the maximum interval at which a queued request checks for a free slot.
const queuePollInterval = 30 * time.Millisecond

// pausePerRank is the minimum interval between two checks of a queued request for each waiter before it. Each check
// compares all runners, and waiters far behind seldom get the slot that a digest reports as free.
const pausePerRank = time.Millisecond

// awaitSlot queues the request until a slot is free for it. If a slot is found, the request stays in the
// queue until its call is counted, so that the requests behind it don't select the same slot.
func (e *exchange) awaitSlot(ctx context.Context) (placement.Choice, *Refusal) {
	id := e.enterQueue()
	for {
		t, changed := e.takeTurn(id)
		// The slots are selected by rank only if the ranks at the other gateways are known.
		at := e.placementRequest()
		at.Ranked, at.Rank = t.known, t.rank
		choice, req, found := e.place(at)
		t.free = choice.Free
		e.turn = t
		if !found {
			return choice, e.unavailableRefusal(ReasonNoRunner, req)
		}
		e.updateOverShare(id)
		verdict := admission.Decide(e.now(), req)
		switch {
		case verdict == admission.Refuse:
			return choice, e.noSlotRefusal(req)
		case !t.known && verdict == admission.Admit && t.rank == 0 && (!e.overShare || !e.slotsScarce()):
			return choice, nil
		case t.known && admission.MayStart(t.rank, t.free, req, verdict):
			return choice, nil
		case t.known && e.isHopeless(req):
			return choice, e.unavailableRefusal(ReasonNoChance, req)
		}
		if !awaitChange(ctx, t.rank, changed) {
			return choice, &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonTimeLimit}
		}
	}
}

// awaitChange waits until the load changes or queuePollInterval has passed, but at least for a time that grows with the
// rank. It returns false if the context ends.
func awaitChange(ctx context.Context, rank int, changed <-chan struct{}) bool {
	pause := min(time.Duration(rank)*pausePerRank, queuePollInterval)
	select {
	case <-ctx.Done():
		return false
	case <-time.After(pause):
	}
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-time.After(queuePollInterval - pause):
	}
	return true
}

// enterQueue adds the request to the wait queue of its service until leaveQueue is called.
func (e *exchange) enterQueue() (id uint64) {
	s, startedAt := e.server, e.now()
	e.leaveQueue()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiters++
	q := s.queue(startedAt, e.service)
	id = q.waiters.Enqueue(admission.Waiter{
		Deadline: e.deadline, Hold: s.meanHold(e.service), Priority: e.auth.Team.PriorityOn(e.route), Team: e.auth.Team.GetName(),
		OverShare: e.overShare, Tie: admission.Tie(s.config.Name, s.waiters),
	})
	e.queued = true
	s.metrics.waiting.Inc()
	endWaiting := s.contention.countWaiting(e.service, e.team)
	var once sync.Once
	e.leaveQueue = func() {
		once.Do(func() {
			s.mu.Lock()
			q.waiters.Remove(id)
			s.mu.Unlock()
			s.metrics.waiting.Dec()
			endWaiting()
			e.waited += e.now() - startedAt
			s.LoadChanged()
		})
	}
	return id
}

// updateOverShare records in the queue whether the team of the request is over its share by now.
func (e *exchange) updateOverShare(id uint64) {
	s := e.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue(e.now(), e.service).waiters.SetOverShare(id, e.overShare)
}

// takeTurn returns the rank of the request in the queue, and a channel that is closed when the load changes.
func (e *exchange) takeTurn(id uint64) (turn, <-chan struct{}) {
	s, now := e.server, e.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queue(now, e.service)
	t := turn{known: q.fleet.Known(now), gateways: q.view.Gateways, age: q.view.Age}
	if t.known {
		t.rank = q.fleet.Rank(now, &q.waiters, id)
	} else {
		t.rank, _ = q.waiters.Position(id)
	}
	return t, s.loadChanged
}

// isHopeless reports whether the request has hardly a chance to start in time behind the waiters before it,
// and passes over waiters of other gateways that don't use a free slot.
func (e *exchange) isHopeless(req admission.Request) bool {
	s, now := e.server, e.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queue(now, e.service)
	q.fleet.Watch(now, e.turn.free, &q.waiters)
	return admission.IsHopeless(now, req, e.turn.rank, s.placement.Slots(now, e.service), e.turn.free)
}
