package route

import (
	"slices"

	"toucanhinge.example/common/pkg/clock"
)

const (
	// fullMost bounds how long a refusal counts as "full": long enough that we
	// don't ask again at once, short enough that a slot that frees is not wasted.
	fullMost clock.Millis = 100
	// firstWeight is the weight of a new sample in the moving mean of first pieces.
	firstWeight = 0.2
	// samplesLeast is how many first pieces an outlier verdict needs.
	samplesLeast = 10
	// outlierLeast is the time above the peers' median, milliseconds, below which nothing is an outlier.
	outlierLeast = 50
	// outlierPart is the most of a pool, as one of so many, that may be ejected as outliers.
	outlierPart = 3
)

// RecordSent tells that a request went to the endpoint.
func (r *Router) RecordSent(endpoint string) {
	if s, found := r.states[endpoint]; found {
		s.own++
	}
}

// RecordEnd tells how an attempt ended; first is the span to its first piece, 0 when
// there was none. It returns the reason when the endpoint is ejected for it.
func (r *Router) RecordEnd(now clock.Millis, endpoint string, outcome Outcome, first, retry clock.Millis) (ejected string) {
	s, found := r.states[endpoint]
	if !found {
		return ""
	}
	s.own = max(s.own-1, 0)
	switch outcome {
	case OutcomeComplete:
		s.failures = 0
		if s.probing {
			s.back(now)
		}
		return r.sample(now, s, first)
	case OutcomeRefused:
		s.fullUntil = now + min(max(retry, 1), fullMost)
		if s.probing {
			s.back(now)
		}
	case OutcomeFailed:
		s.failures++
		if s.probing || s.failures >= r.config.MaxFailures {
			return r.eject(now, s, EjectedFailures)
		}
	case OutcomeUnreachable:
		s.failures++
		s.unreachable = true
		return r.eject(now, s, EjectedUnreachable)
	case OutcomeNeutral:
	}
	return ""
}

// Reasons for ejections.
const (
	EjectedFailures = "failures"
	EjectedUnreachable     = "unreachable"
	EjectedSlow     = "slow"
	EjectedUnresponsive   = "silent"
)

// eject keeps work away for a while, longer each time; then one request tries it out.
func (r *Router) eject(now clock.Millis, s *state, reason string) string {
	if now < s.ejectedUntil {
		return ""
	}
	span := min(r.config.MinEjection<<min(s.ejections, 20), r.config.MaxEjection)
	// Gateways that ejected together would otherwise come back together.
	span += clock.Millis(r.config.Random.Int64N(int64(span)/4 + 1))
	s.ejections++
	s.ejectedUntil = now + span
	s.probing = true
	s.failures = 0
	s.first, s.samples = 0, 0
	return reason
}

func (s *state) back(now clock.Millis) {
	s.probing = false
	s.unreachable = false
	s.ejectedUntil = 0
	s.returnedAt = now
	s.failures = 0
}

// sample takes a time to the first piece, and ejects an endpoint whose engine
// answers, but far later than its peers: one that says it is idle and is not.
func (r *Router) sample(now clock.Millis, s *state, first clock.Millis) string {
	if first <= 0 {
		return ""
	}
	s.samples++
	if s.samples == 1 {
		s.first = float64(first)
	}
	s.first += firstWeight * (float64(first) - s.first)
	if s.samples > samplesLeast*10 && s.ejections > 0 {
		s.ejections, s.samples = 0, samplesLeast
	}
	if r.config.OutlierFactor == 0 || s.samples < samplesLeast {
		return ""
	}
	median, enough := r.peersMedian(now, s)
	if !enough || s.first < median*r.config.OutlierFactor || s.first < median+outlierLeast {
		return ""
	}
	return r.eject(now, s, EjectedSlow)
}

func (r *Router) peersMedian(now clock.Millis, s *state) (median float64, enough bool) {
	var pool []*state
	for _, p := range r.pools {
		if slices.Contains(p, s) {
			pool = p
		}
	}
	var means []float64
	away := 0
	for _, p := range pool {
		if now < p.ejectedUntil {
			away++
		}
		if p != s && p.samples >= samplesLeast {
			means = append(means, p.first)
		}
	}
	// If many are slow, the fleet is; ejecting would take its rest away.
	if len(means) < 2 || (away+1)*outlierPart > len(pool) {
		return 0, false
	}
	slices.Sort(means)
	return means[len(means)/2], true
}

// RecordLoad takes a load that an endpoint told, on a frame or when asked.
func (r *Router) RecordLoad(now clock.Millis, endpoint string, load Load) {
	s, found := r.states[endpoint]
	if !found {
		return
	}
	s.load = load
	s.loadAt = now
	s.ownThen = s.own
	// Never sooner than Due put it: the answer to a poll would undo its span.
	s.nextPoll = max(s.nextPoll, now+r.config.PollInterval)
}

// RecordPoll takes the outcome of asking for a load. An answer brings back an
// endpoint that was only out of reach; silence counts as a failure.
func (r *Router) RecordPoll(now clock.Millis, endpoint string, load *Load) (ejected string) {
	s, found := r.states[endpoint]
	if !found {
		return ""
	}
	if load != nil {
		s.silent = 0
		if s.unreachable && s.probing {
			s.back(now)
		}
		r.RecordLoad(now, endpoint, *load)
		return ""
	}
	s.silent++
	// Whether it is gone has to be known soon, however long its service's span is.
	s.nextPoll = now + r.config.PollInterval
	if s.silent >= r.config.MaxFailures {
		s.unreachable = true
		return r.eject(now, s, EjectedUnresponsive)
	}
	return ""
}
