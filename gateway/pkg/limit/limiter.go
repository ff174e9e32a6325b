// Package limit decides whether a team may start one more request: its rate,
// its requests in flight, and its fair share when there is not enough for all.
package limit

import (
	"toucanhinge.example/common/pkg/clock"
)

// Reasons of a refusal.
const (
	ReasonRate     = "rate"
	ReasonInFlight = "in-flight"
	ReasonFairShare    = "fair-share"
	ReasonGatewayFull     = "gateway-full"
)

// Waits told to a caller whose turn depends on other requests ending, spans.
const (
	inFlightRetry clock.Millis = 500
	shareRetry    clock.Millis = 1_000
	fullRetry     clock.Millis = 1_000
)

// activeFor is how long after its last request a team still counts among those
// that share.
const activeFor clock.Millis = 1_000

// shareSlack lets a team pass its exact share by a tenth and one request, so
// that shares of few requests don't refuse by rounding.
const shareSlack = 1.1

// Limits are a team's limits, as the configuration has them now.
type Limits struct {
	// Rate is requests a second; 0 means no limit.
	Rate float64
	// Burst is the most requests at once above the rate; 0 means one second's worth.
	Burst float64
	// MaxInFlight is the most requests under way; 0 means no limit.
	MaxInFlight int
	// Weight is the share against other teams; 0 means 1.
	Weight int
}

// Request is one request that wants to start.
type Request struct {
	Team    string
	Service string
	Limits   Limits
	// Saturated is true when the service's endpoints have no free slot.
	Saturated bool
}

// Verdict is the answer.
type Verdict struct {
	Admitted bool
	Reason   string
	// RetryAfter is when to come back, a span.
	RetryAfter clock.Millis
}

type account struct {
	tokens   float64
	burst    float64
	rate     float64
	at       clock.Millis
	inFlight int
}

type share struct {
	inFlight int
	weight   int
	at       clock.Millis
}

// Config describes a limiter.
type Config struct {
	// MaxInFlight is the most requests of all teams together.
	MaxInFlight int
}

// Limiter holds the counts of one gateway. It is not safe for concurrent use.
type Limiter struct {
	config   Config
	inFlight int
	accounts map[string]*account
	// shares by service, then by team.
	shares map[string]map[string]*share
	swept  clock.Millis
}

// New makes an empty limiter.
func New(config Config) *Limiter {
	return &Limiter{config: config, accounts: map[string]*account{}, shares: map[string]map[string]*share{}}
}

// Admit counts the request as under way, or refuses it. Every admitted request
// must be followed by one Done. A refused one changes nothing.
func (l *Limiter) Admit(now clock.Millis, ask Request) Verdict {
	l.sweep(now)
	if l.inFlight >= l.config.MaxInFlight {
		return Verdict{Reason: ReasonGatewayFull, RetryAfter: fullRetry}
	}
	a := l.account(now, ask)
	if limit := ask.Limits.MaxInFlight; limit > 0 && a.inFlight >= limit {
		return Verdict{Reason: ReasonInFlight, RetryAfter: inFlightRetry}
	}
	s := l.share(ask)
	if ask.Saturated && l.overShare(now, ask, s) {
		return Verdict{Reason: ReasonFairShare, RetryAfter: shareRetry}
	}
	if ask.Limits.Rate > 0 {
		if a.tokens < 1 {
			return Verdict{Reason: ReasonRate, RetryAfter: clock.Millis((1-a.tokens)/ask.Limits.Rate*1_000) + 1}
		}
		a.tokens--
	}
	l.inFlight++
	a.inFlight++
	s.inFlight++
	s.at = now
	return Verdict{Admitted: true}
}

// Done ends an admitted request.
func (l *Limiter) Done(now clock.Millis, team, service string) {
	l.inFlight--
	l.accounts[team].inFlight--
	s := l.shares[service][team]
	s.inFlight--
	s.at = now
}

// InFlight is how many requests are under way.
func (l *Limiter) InFlight() int {
	return l.inFlight
}

func (l *Limiter) account(now clock.Millis, ask Request) *account {
	burst := ask.Limits.Burst
	if burst == 0 {
		burst = max(ask.Limits.Rate, 1)
	}
	a, found := l.accounts[ask.Team]
	if !found {
		a = &account{tokens: burst, at: now}
		l.accounts[ask.Team] = a
	}
	a.burst, a.rate = burst, ask.Limits.Rate
	a.refill(now)
	return a
}

func (a *account) refill(now clock.Millis) {
	if now > a.at {
		a.tokens = min(a.tokens+float64(now-a.at)/1_000*a.rate, a.burst)
		a.at = now
	}
}

func (l *Limiter) share(ask Request) *share {
	teams, found := l.shares[ask.Service]
	if !found {
		teams = map[string]*share{}
		l.shares[ask.Service] = teams
	}
	s, found := teams[ask.Team]
	if !found {
		s = &share{}
		teams[ask.Team] = s
	}
	s.weight = max(ask.Limits.Weight, 1)
	return s
}

// overShare says whether the team already has its share of a service that is
// short. Without it the team that resends fastest would take every slot, and
// the others would see nothing but refusals.
func (l *Limiter) overShare(now clock.Millis, ask Request, own *share) bool {
	total, weights, others := 0, own.weight, false
	for _, s := range l.shares[ask.Service] {
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
	return float64(own.inFlight+1) > fair*shareSlack+1
}

func (s *share) active(now clock.Millis) bool {
	return s.inFlight > 0 || (s.at > 0 && now-s.at < activeFor)
}

// sweepEvery is how often accounts are dropped that say no more than a new one
// would: nothing in flight and a full burst.
const sweepEvery clock.Millis = 60_000

func (l *Limiter) sweep(now clock.Millis) {
	if now-l.swept < sweepEvery {
		return
	}
	l.swept = now
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
