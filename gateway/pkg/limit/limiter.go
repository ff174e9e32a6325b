// Package limit decides whether a team may start another request. It checks the team's rate, its
// requests in flight, and its fair share of a service that has no free slot.
package limit

import (
	"toucanhinge.example/common/pkg/clock"
)

// Reasons for a refusal.
const (
	ReasonRate        = "rate"
	ReasonInFlight    = "in-flight"
	ReasonFairShare   = "fair-share"
	ReasonGatewayFull = "gateway-full"
)

// Retry delays for refusals that last until other requests end.
const (
	inFlightRetry clock.Millis = 500
	shareRetry    clock.Millis = 1_000
	fullRetry     clock.Millis = 1_000
)

// activeDuration is how long after its last request a team still counts as active when a service
// is shared.
const activeDuration clock.Millis = 1_000

// shareTolerance lets a team exceed its exact share by a tenth and one request, so that small shares
// don't cause refusals by rounding.
const shareTolerance = 1.1

// Limits holds a team's limits from the current configuration.
type Limits struct {
	// Rate is the maximum number of requests a second; 0 means no limit.
	Rate float64
	// Burst is the maximum number of requests at once above the rate; 0 means the requests of one second.
	Burst float64
	// MaxInFlight is the maximum number of requests in flight; 0 means no limit.
	MaxInFlight int
	// Weight is the team's weight in fair sharing with other teams; 0 means 1.
	Weight int
}

// Request describes a request to be admitted.
type Request struct {
	Team    string
	Service string
	Limits  Limits
	// Saturated is true when the service's endpoints have no free slot.
	Saturated bool
}

// Verdict is the decision on a Request.
type Verdict struct {
	Admitted bool
	Reason   string
	// RetryAfter is the retry delay for a refused request.
	RetryAfter clock.Millis
}

// account holds a team's token bucket and its number of requests in flight.
type account struct {
	tokens     float64
	burst      float64
	rate       float64
	refilledAt clock.Millis
	inFlight   int
}

// share holds a team's usage of one service.
type share struct {
	inFlight int
	weight   int
	activeAt clock.Millis
}

// Config configures a Limiter.
type Config struct {
	// MaxInFlight is the maximum number of requests in flight of all teams together.
	MaxInFlight int
}

// Limiter applies the limits of one gateway. It is not safe for concurrent use.
type Limiter struct {
	config   Config
	inFlight int
	accounts map[string]*account
	// shares is keyed by service, then by team.
	shares  map[string]map[string]*share
	sweptAt clock.Millis
}

// New returns an empty limiter.
func New(config Config) *Limiter {
	return &Limiter{config: config, accounts: map[string]*account{}, shares: map[string]map[string]*share{}}
}

// Admit counts the request as in flight, or refuses it. Every admitted request must be followed by one
// call of Done. A refused request changes no counts.
func (l *Limiter) Admit(now clock.Millis, request Request) Verdict {
	l.sweep(now)
	if l.inFlight >= l.config.MaxInFlight {
		return Verdict{Reason: ReasonGatewayFull, RetryAfter: fullRetry}
	}
	a := l.account(now, request)
	if limit := request.Limits.MaxInFlight; limit > 0 && a.inFlight >= limit {
		return Verdict{Reason: ReasonInFlight, RetryAfter: inFlightRetry}
	}
	s := l.share(request)
	if request.Saturated && l.overShare(now, request, s) {
		return Verdict{Reason: ReasonFairShare, RetryAfter: shareRetry}
	}
	if request.Limits.Rate > 0 {
		if a.tokens < 1 {
			return Verdict{Reason: ReasonRate, RetryAfter: clock.Millis((1-a.tokens)/request.Limits.Rate*1_000) + 1}
		}
		a.tokens--
	}
	l.inFlight++
	a.inFlight++
	s.inFlight++
	s.activeAt = now
	return Verdict{Admitted: true}
}

// Done records the end of an admitted request.
func (l *Limiter) Done(now clock.Millis, team, service string) {
	l.inFlight--
	l.accounts[team].inFlight--
	s := l.shares[service][team]
	s.inFlight--
	s.activeAt = now
}

// InFlight returns the number of requests in flight.
func (l *Limiter) InFlight() int {
	return l.inFlight
}

func (l *Limiter) account(now clock.Millis, request Request) *account {
	burst := request.Limits.Burst
	if burst == 0 {
		burst = max(request.Limits.Rate, 1)
	}
	a, found := l.accounts[request.Team]
	if !found {
		a = &account{tokens: burst, refilledAt: now}
		l.accounts[request.Team] = a
	}
	a.burst, a.rate = burst, request.Limits.Rate
	a.refill(now)
	return a
}

func (a *account) refill(now clock.Millis) {
	if now > a.refilledAt {
		a.tokens = min(a.tokens+float64(now-a.refilledAt)/1_000*a.rate, a.burst)
		a.refilledAt = now
	}
}

func (l *Limiter) share(request Request) *share {
	teams, found := l.shares[request.Service]
	if !found {
		teams = map[string]*share{}
		l.shares[request.Service] = teams
	}
	s, found := teams[request.Team]
	if !found {
		s = &share{}
		teams[request.Team] = s
	}
	s.weight = max(request.Limits.Weight, 1)
	return s
}

// overShare reports whether the team already has its share of a saturated service. Without this
// check, the team that resends fastest would take every slot, and all other teams would be refused.
func (l *Limiter) overShare(now clock.Millis, request Request, own *share) bool {
	total, weights, others := 0, own.weight, false
	for _, s := range l.shares[request.Service] {
		total += s.inFlight
		if s == own || !s.active(now) {
			continue
		}
		weights += s.weight
		others = true
	}
	if !others {
		return false
	}
	fair := float64(total+1) * float64(own.weight) / float64(weights)
	return float64(own.inFlight+1) > fair*shareTolerance+1
}

func (s *share) active(now clock.Millis) bool {
	return s.inFlight > 0 || (s.activeAt > 0 && now-s.activeAt < activeDuration)
}

// sweepInterval is the interval at which accounts are removed that equal a new one: no request in
// flight and a full burst.
const sweepInterval clock.Millis = 60_000

func (l *Limiter) sweep(now clock.Millis) {
	if now-l.sweptAt < sweepInterval {
		return
	}
	l.sweptAt = now
	for team, a := range l.accounts {
		a.refill(now)
		if a.inFlight == 0 && a.tokens >= a.burst {
			delete(l.accounts, team)
		}
	}
	for _, teams := range l.shares {
		for team, s := range teams {
			if !s.active(now) {
				delete(teams, team)
			}
		}
	}
}
