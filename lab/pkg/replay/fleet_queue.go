package replay

import (
	"cmp"
	"slices"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/contention"
	"toucanhinge.example/gateway/pkg/admission"
	"toucanhinge.example/gateway/pkg/fairshare"
	"toucanhinge.example/gateway/pkg/placement"
)

// Times by which gateways report their contention.
const (
	reportInterval    clock.Millis = 20
	contentionPeriod  clock.Millis = 2_000
	demandExpiry      clock.Millis = 500
	waitingExpiry     clock.Millis = 200
	refusalWindow     clock.Millis = 1_000
	maxReportedWaiter              = 16
	// maxCheckPause limits the pause of a waiter of a high rank between two checks, as at a gateway.
	maxCheckPause clock.Millis = 30
)

// GatewayResult counts the attempts that a gateway received, and those that it refused.
type GatewayResult struct {
	// First counts first attempts, Retries the later ones.
	First, Retries AttemptResult
}

// AttemptResult counts attempts.
type AttemptResult struct{ Received, Refused int }

// attempts returns the counts of a gateway that contain an attempt.
func (s *simulation) attempts(r *request) *AttemptResult {
	if r.retried {
		return &s.result.Gateways[r.gateway].Retries
	}
	return &s.result.Gateways[r.gateway].First
}

// fleetQueue is a gateway's part of the wait queue of the fleet.
type fleetQueue struct {
	waiters admission.WaitQueue
	fleet   admission.FleetQueue
	returns admission.Returns
	// refusals holds the times of the refusals in the last second, and contendedUntil is when the gateway stops to
	// report.
	refusals       []clock.Millis
	contendedUntil clock.Millis
	// received holds the newest report of each other gateway.
	received map[int]receivedReport
}

type receivedReport struct {
	contention.Service
	at clock.Millis
}

// sentReport is a report that is delivered to the other gateways at a given time.
type sentReport struct {
	at      clock.Millis
	from    int
	service contention.Service
}

// drawGateway returns the gateway that receives a request.
func (s *simulation) drawGateway() int {
	if len(s.config.GatewayWeights) == 0 {
		return s.random.IntN(len(s.gateways))
	}
	total := 0.0
	for _, w := range s.config.GatewayWeights {
		total += w
	}
	draw := s.random.Float64() * total
	for i, w := range s.config.GatewayWeights {
		if draw < w {
			return i
		}
		draw -= w
	}
	return len(s.gateways) - 1
}

// knownGateways returns the number of gateways if a gateway knows the waiters of the others, otherwise 0.
func (s *simulation) knownGateways(g *gateway) int {
	if !g.fleet.Known(s.now) {
		return 0
	}
	return len(s.gateways)
}

// fleetSlots returns the number of slots of the fleet.
func (s *simulation) fleetSlots() int { return s.config.Runners * s.config.Slots }

func (s *simulation) enqueue(r *request) {
	g := s.gateways[r.gateway]
	g.waitQueue = append(g.waitQueue, r)
	g.teams.tracker.AddWaiting(fairshare.TeamID(r.team), 1)
	if !s.config.FleetQueue {
		return
	}
	g.contendedUntil = s.now + contentionPeriod
	s.sequence++
	r.waiter = g.waiters.Enqueue(admission.Waiter{
		Deadline: r.deadline, Hold: s.config.Hold, Team: r.team, OverShare: r.overShare, Tie: admission.Tie(s.source(r.gateway), s.sequence),
	})
}

// retryAfter returns the time after which the caller of a refused request retries.
func (s *simulation) retryAfter(r *request, req admission.Request) clock.Millis {
	g := s.gateways[r.gateway]
	g.refusals, g.contendedUntil = append(g.refusals, s.now), s.now+contentionPeriod
	draw := admission.RetryDraw(r.overShare, s.random.Float64())
	if !g.fleet.Known(s.now) {
		return admission.RetryAfter(s.now, req, &g.overloads, draw)
	}
	view := s.view(r.gateway)
	forecast := admission.Forecast{Slots: s.fleetSlots(), Hold: s.config.Hold, Waiting: g.waiters.Len() + g.fleet.Count()}
	forecast.Remaining, forecast.RemainingKnown = g.overloads.Remaining(s.now)
	forecast.AddReturning(g.returns.ByInterval(s.now), 0)
	forecast.AddReturning(view.Returning, view.Age)
	after := admission.RetryTime(s.now, req, forecast, draw)
	g.returns.Add(s.now, s.now+after)
	return after
}

// processFleetQueue admits or refuses the waiting requests of a gateway by their rank over all gateways.
func (s *simulation) processFleetQueue(g *gateway) {
	slices.SortStableFunc(g.waitQueue, func(a, b *request) int {
		first, _ := g.waiters.Position(a.waiter)
		second, _ := g.waiters.Position(b.waiter)
		return cmp.Compare(first, second)
	})
	known := g.fleet.Known(s.now)
	g.waitQueue = slices.DeleteFunc(g.waitQueue, func(r *request) bool {
		g.waiters.SetOverShare(r.waiter, r.overShare)
		rank := g.fleet.Rank(s.now, &g.waiters, r.waiter)
		if s.now < r.nextCheck {
			return false
		}
		r.nextCheck = s.now + min(clock.Millis(rank), maxCheckPause)
		choice, _ := g.placer.Select(s.now, placement.Request{
			Service: service, TieBreak: s.random.Float64(), Draw: s.random.Float64(), Age: s.config.DigestDelay + publishInterval,
			Ranked: known, Rank: rank, Gateways: s.knownGateways(g),
		}, s.loadView(g))
		if s.weights != nil {
			s.checkShare(r, &choice)
		}
		req := s.admissionRequest(r, choice)
		req.QueueFull = false
		verdict := admission.Decide(s.now, req)
		position, _ := g.waiters.Position(r.waiter)
		switch {
		case verdict == admission.Refuse:
			s.refuse(r, req)
		case !known && verdict == admission.Admit && position == 0, known && admission.MayStart(rank, choice.Free, req, verdict):
			s.send(r, choice.Runner)
		case known && s.isHopeless(g, req, rank, choice.Free):
			s.refuse(r, req)
		default:
			return false
		}
		g.waiters.Remove(r.waiter)
		g.teams.tracker.AddWaiting(fairshare.TeamID(r.team), -1)
		return true
	})
}

func (s *simulation) isHopeless(g *gateway, req admission.Request, rank, free int) bool {
	g.fleet.Watch(s.now, free, &g.waiters)
	return admission.IsHopeless(s.now, req, rank, s.fleetSlots(), free)
}

// exchangeReports sends and delivers the gateways' reports of their contention.
func (s *simulation) exchangeReports() {
	for len(s.reports) > 0 && s.reports[0].at <= s.now {
		sent := s.reports[0]
		s.reports = s.reports[1:]
		for i, g := range s.gateways {
			if i == sent.from {
				continue
			}
			if g.received == nil {
				g.received = map[int]receivedReport{}
			}
			g.received[sent.from] = receivedReport{sent.service, s.now}
		}
	}
	if s.now%queueCheckInterval != 0 {
		return
	}
	for i, g := range s.gateways {
		view := s.view(i)
		g.fleet.Observe(s.now, view)
		if view.Gateways > 0 {
			g.overloads.RecordReport(s.now, view.Refused, view.Age)
		}
		contended := s.now < g.contendedUntil
		if s.now%reportInterval == 0 && (contended || view.Contended) {
			s.reports = append(s.reports, sentReport{s.now + s.config.DigestDelay, i, s.report(g, contended)})
		}
	}
}

// report returns a gateway's report. Times are sent as durations, so a report appears as new when it is received.
func (s *simulation) report(g *gateway, contended bool) contention.Service {
	g.refusals = slices.DeleteFunc(g.refusals, func(at clock.Millis) bool { return at <= s.now-refusalWindow })
	waiting := g.waiters.MostUrgent(maxReportedWaiter)
	for i := range waiting {
		waiting[i].StartBy += s.config.DigestDelay
	}
	return contention.Service{
		Waiting: waiting, WaitingCount: g.waiters.Len(), Returning: g.returns.ByInterval(s.now), Refused: len(g.refusals), Contended: contended,
	}
}

// view returns the sum of the reports of the other gateways that a gateway knows.
func (s *simulation) view(at int) contention.View {
	view := contention.View{}
	for i := range s.gateways {
		r, ok := s.gateways[at].received[i]
		age := s.now - r.at
		if !ok || age > demandExpiry {
			continue
		}
		view.Gateways++
		view.Age = max(view.Age, age)
		view.Refused += r.Refused
		view.Contended = view.Contended || r.Contended
		for n, count := range r.Returning {
			if n == len(view.Returning) {
				view.Returning = append(view.Returning, 0)
			}
			view.Returning[n] += count
		}
		if age <= waitingExpiry {
			view.Waiting = append(view.Waiting, r.Waiting...)
			view.WaitingCount += r.WaitingCount
		}
	}
	slices.SortFunc(view.Waiting, func(a, b contention.Waiter) int {
		if a.Before(b) {
			return -1
		}
		return 1
	})
	view.Waiting = view.Waiting[:min(len(view.Waiting), maxReportedWaiter)]
	return view
}
