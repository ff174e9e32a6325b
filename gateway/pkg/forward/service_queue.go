package forward

import (
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/contention"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/gateway/pkg/admission"
)

// serviceQueue holds the waiting requests of one service and what this gateway knows of the others' ones.
type serviceQueue struct {
	waiters  admission.WaitQueue
	fleet    admission.FleetQueue
	overload admission.OverloadTracker
	returns  admission.Returns
	// view is what the other gateways report, and known whether it was in use at the last look.
	view  contention.View
	known bool
}

// queue returns the queue of a service after applying the newest reports of other gateways. The caller holds
// the lock.
func (s *Server) queue(now clock.Millis, service string) *serviceQueue {
	q := s.queues[service]
	if q == nil {
		q = &serviceQueue{}
		s.queues[service] = q
	}
	q.observe(now, s.contention.others(service))
	if known := q.fleet.Known(now); known != q.known {
		q.known = known
		q.logKnown(s.config.Logger, service)
	}
	return q
}

func (q *serviceQueue) observe(now clock.Millis, view contention.View) {
	q.view = view
	q.fleet.Observe(now, view)
	// Without reports this records that no refusals are known.
	q.overload.RecordReport(now, view.Refused, view.Age)
}

// logKnown logs whether the gateway uses the fleet's wait queue from now on, or decides alone.
func (q *serviceQueue) logKnown(logger log.Logger, service string) {
	level.Info(logger).Log(logs.KeyEvent, "fleet-queue", "service", service, "known", q.known, "gateways", q.view.Gateways,
		"age-ms", q.view.Age, "waiting", q.waiters.Len(), "waiting-elsewhere", q.fleet.Count())
}

// retryAfter returns the time after which a refused caller should retry. slots is the number of slots of the
// service.
func (q *serviceQueue) retryAfter(now clock.Millis, req admission.Request, slots int, draw float64) clock.Millis {
	if !q.fleet.Known(now) {
		return admission.RetryAfter(now, req, &q.overload, draw)
	}
	forecast := admission.Forecast{Slots: slots, Hold: req.Hold, Waiting: q.waiters.Len() + q.fleet.Count()}
	forecast.Remaining, forecast.RemainingKnown = q.overload.Remaining(now)
	forecast.AddReturning(q.returns.ByInterval(now), 0)
	forecast.AddReturning(q.view.Returning, q.view.Age)
	return admission.RetryTime(now, req, forecast, draw)
}

// meanHold returns how long a request of a service holds its slot on average. The caller holds the lock.
func (s *Server) meanHold(service string) clock.Millis {
	return clock.Millis(s.placement.MeanHold(service))
}

// MostUrgentWaiters returns the most urgent requests that wait for a slot of a service at this gateway, in
// order and at most limit of them, and the number of all.
func (s *Server) MostUrgentWaiters(now clock.Millis, service string, limit int) (waiters []contention.Waiter, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Applies the reports of other gateways also while this gateway has no requests of the service.
	q := s.queue(now, service)
	return q.waiters.MostUrgent(limit), q.waiters.Len()
}

// ReturningCallers returns the number of callers that this gateway told to retry in each
// contention.ReturnInterval from now on, nil if there are none.
func (s *Server) ReturningCallers(now clock.Millis, service string) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue(now, service).returns.ByInterval(now)
}
