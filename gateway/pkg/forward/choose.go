package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/gateway/pkg/admission"
	"toucanhinge.example/gateway/pkg/place"
)

// roomTick is the longest time between two looks of a waiting request.
const roomTick = 30 * time.Millisecond

// choose finds a place, waits for one, or says why the request is refused.
func (e *exchange) choose(ctx context.Context) (place.Choice, *Refusal) {
	choice, ask, found := e.look()
	if !found {
		return choice, e.refusal(ReasonNoRunner, ask)
	}
	// What has begun goes on wherever it can.
	if e.begun {
		return choice, nil
	}
	switch admission.Decide(e.now(), ask) {
	case admission.Admit:
		return choice, nil
	case admission.Wait:
		return e.await(ctx)
	default:
		return choice, e.refusal(ReasonFull, ask)
	}
}

// look chooses a runner as things are now.
func (e *exchange) look() (place.Choice, admission.Request, bool) {
	choice, found := e.server.choose(place.Request{Service: e.service, Tried: e.tried})
	e.wait = choice.Wait
	hold, crowded := e.server.conditions(e.service, e.entry.Team.GetName())
	return choice, admission.Request{
		Arrived: e.request.Arrived, Deadline: e.ends, Objective: e.route.Objective(), Retry: e.returned,
		ExpectedWait: choice.Wait, QueuePosition: choice.QueuePosition, Slots: int(choice.Runner.GetSlots()), Hold: hold,
		Gap: clock.Millis(e.route.GapObjectiveMs), QueueFull: crowded && !e.inRoom, MayHaveRun: e.ran > 0,
	}, found
}

// await waits until a place is free and nobody is in front.
func (e *exchange) await(ctx context.Context) (place.Choice, *Refusal) {
	s := e.server
	began := e.now()
	s.mu.Lock()
	id := s.room.Enqueue(admission.Waiter{Deadline: e.ends, Priority: e.entry.Team.PriorityOn(e.route), Team: e.entry.Team.GetName()})
	e.inRoom = true
	s.mu.Unlock()
	s.metrics.waiting.Inc()
	defer func() {
		s.mu.Lock()
		s.room.Remove(id)
		s.mu.Unlock()
		s.metrics.waiting.Dec()
		e.waited += e.now() - began
		s.LoadChanged()
	}()
	for {
		s.mu.Lock()
		first, freed := s.room.IsFirst(id), s.freed
		s.mu.Unlock()
		choice, ask, found := e.look()
		if !found {
			return choice, e.refusal(ReasonNoRunner, ask)
		}
		verdict := admission.Decide(e.now(), ask)
		if verdict == admission.Refuse {
			return choice, e.refusal(ReasonFull, ask)
		}
		if first && verdict == admission.Admit {
			return choice, nil
		}
		select {
		case <-ctx.Done():
			return choice, &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonTimeLimit}
		case <-freed:
		case <-time.After(roomTick):
		}
	}
}

// refusal tells when to come back.
func (e *exchange) refusal(reason string, ask admission.Request) *Refusal {
	s, now := e.server, e.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spells.RecordRefusal(now)
	return &Refusal{
		Status: http.StatusServiceUnavailable, Reason: reason,
		RetryAfter: admission.RetryAfter(now, ask, &s.spells, rand.Float64()).Duration(),
	}
}
