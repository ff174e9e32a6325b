package route

import (
	"slices"

	"toucanhinge.example/common/pkg/clock"
)

const (
	// maxFullDuration bounds how long an endpoint counts as full after a refusal: long enough not
	// to retry at once, short enough that a slot that becomes free is not wasted.
	maxFullDuration clock.Millis = 100
	// sampleWeight is the weight of a new sample in the moving mean of the time to the first chunk.
	sampleWeight = 0.2
	// minSamples is the number of samples needed to judge whether an endpoint is an outlier.
	minSamples = 10
	// minOutlierGap is how far above the peers' median an outlier's mean must be, in milliseconds.
	minOutlierGap = 50
	// outlierDivisor limits outlier ejection: at most one in outlierDivisor endpoints of a pool may be ejected.
	outlierDivisor = 3
)

// RecordSent records that a request was sent to the endpoint.
func (r *Router) RecordSent(endpoint string) {
	if s, found := r.states[endpoint]; found {
		s.inFlight++
	}
}

// RecordEnd records how an attempt ended; first is the time to its first chunk, 0 when
// there was none. It returns the ejection reason if the endpoint is ejected for it.
func (r *Router) RecordEnd(
	now clock.Millis, endpoint string, outcome Outcome, first, retry clock.Millis,
) (ejected string) {
	s, found := r.states[endpoint]
	if !found {
		return ""
	}
	s.inFlight = max(s.inFlight-1, 0)
	switch outcome {
	case OutcomeComplete:
		s.failures = 0
		if s.probing {
			s.reinstate(now)
		}
		return r.recordFirstChunk(now, s, first)
	case OutcomeRefused:
		s.fullUntil = now + min(max(retry, 1), maxFullDuration)
		if s.probing {
			s.reinstate(now)
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
	EjectedFailures     = "failures"
	EjectedUnreachable  = "unreachable"
	EjectedSlow         = "slow"
	EjectedUnresponsive = "silent"
)

// eject excludes the endpoint for a duration that doubles each time; afterwards one request probes it.
func (r *Router) eject(now clock.Millis, s *endpointState, reason string) string {
	if now < s.ejectedUntil {
		return ""
	}
	duration := min(r.config.MinEjection<<min(s.ejections, 20), r.config.MaxEjection)
	// Jitter: gateways that ejected the endpoint together would otherwise all return to it together.
	duration += clock.Millis(r.config.Random.Int64N(int64(duration)/4 + 1))
	s.ejections++
	s.ejectedUntil = now + duration
	s.probing = true
	s.failures = 0
	s.firstChunkMean, s.samples = 0, 0
	return reason
}

// reinstate ends the ejection and begins the slow start.
func (s *endpointState) reinstate(now clock.Millis) {
	s.probing = false
	s.unreachable = false
	s.ejectedUntil = 0
	s.returnedAt = now
	s.failures = 0
}

// recordFirstChunk records a time to the first chunk. It ejects an endpoint that answers far
// later than its peers, for example one that reports itself idle while it is busy.
func (r *Router) recordFirstChunk(now clock.Millis, s *endpointState, first clock.Millis) string {
	if first <= 0 {
		return ""
	}
	s.samples++
	if s.samples == 1 {
		s.firstChunkMean = float64(first)
	}
	s.firstChunkMean += sampleWeight * (float64(first) - s.firstChunkMean)
	if s.samples > minSamples*10 && s.ejections > 0 {
		s.ejections, s.samples = 0, minSamples
	}
	if r.config.OutlierFactor == 0 || s.samples < minSamples {
		return ""
	}
	median, enough := r.peersMedian(now, s)
	if !enough || s.firstChunkMean < median*r.config.OutlierFactor || s.firstChunkMean < median+minOutlierGap {
		return ""
	}
	return r.eject(now, s, EjectedSlow)
}

// peersMedian returns the median of the peers' times to the first chunk; enough is false when too
// few peers have samples or too many endpoints of the pool are ejected.
func (r *Router) peersMedian(now clock.Millis, s *endpointState) (median float64, enough bool) {
	var pool []*endpointState
	for _, p := range r.pools {
		if slices.Contains(p, s) {
			pool = p
		}
	}
	var means []float64
	ejected := 0
	for _, p := range pool {
		if now < p.ejectedUntil {
			ejected++
		}
		if p != s && p.samples >= minSamples {
			means = append(means, p.firstChunkMean)
		}
	}
	// If many endpoints are slow, the whole fleet is; ejections would remove the remaining capacity.
	if len(means) < 2 || (ejected+1)*outlierDivisor > len(pool) {
		return 0, false
	}
	slices.Sort(means)
	return means[len(means)/2], true
}

// RecordLoad records a load that an endpoint reported in a frame or in answer to a poll.
func (r *Router) RecordLoad(now clock.Millis, endpoint string, load Load) {
	s, found := r.states[endpoint]
	if !found {
		return
	}
	s.load = load
	s.loadAt = now
	s.inFlightAtLoad = s.inFlight
	// Never earlier than DuePolls scheduled it: the answer to a poll would undo the stretched interval.
	s.nextPoll = max(s.nextPoll, now+r.config.PollInterval)
}

// RecordPoll records the result of a poll; load is nil when there was no answer. An answer
// reinstates an endpoint that was ejected as unreachable. It returns the ejection reason if the
// endpoint is ejected for missed polls.
func (r *Router) RecordPoll(now clock.Millis, endpoint string, load *Load) (ejected string) {
	s, found := r.states[endpoint]
	if !found {
		return ""
	}
	if load != nil {
		s.missedPolls = 0
		if s.unreachable && s.probing {
			s.reinstate(now)
		}
		r.RecordLoad(now, endpoint, *load)
		return ""
	}
	s.missedPolls++
	// Repeat the poll soon, however long the service's poll interval is, to detect a lost endpoint quickly.
	s.nextPoll = now + r.config.PollInterval
	if s.missedPolls >= r.config.MaxFailures {
		s.unreachable = true
		return r.eject(now, s, EjectedUnresponsive)
	}
	return ""
}
