package route

import (
	"slices"

	"toucanhinge.example/common/pkg/clock"
)

const (
	// idleAfter is how long after its last request a service counts as idle here, a span.
	idleAfter clock.Millis = 10_000
	// idleFactor stretches the age of reports of an idle service's endpoints.
	idleFactor = 10
	second     = 1_000
)

// wanted notes a request for a service. The first one after an idle time makes
// its endpoints' reports due soon: they are old by then.
func (r *Router) wanted(now clock.Millis, service string) {
	last, before := r.asked[service]
	r.asked[service] = now
	if before && now-last < idleAfter {
		return
	}
	for _, s := range r.pools[service] {
		s.nextPoll = min(s.nextPoll, now+r.jitter(r.config.PollInterval))
	}
}

func (r *Router) idle(now clock.Millis, service string) bool {
	last, before := r.asked[service]
	return !before || now-last >= idleAfter
}

// DuePolls returns the endpoints whose load is too old and marks them as asked. The
// spread keeps many gateways from asking one endpoint in the same moment.
//
// What a gateway spends on reports would grow with services times endpoints: 14
// services of 40 endpoints asked twice a second are 1,120 calls. So idle
// services are asked seldom, and all spans are stretched together to keep
// Reports. That is enough because loads also come with every answer, and a
// choice between two stays good with reports that are seconds old.
func (r *Router) DuePolls(now clock.Millis) []string {
	stretch := r.stretch(now)
	var due []string
	// In the services' order, so that the same history draws the same spreads.
	for _, service := range r.Services() {
		span := clock.Millis(float64(r.span(now, service)) * stretch)
		for _, s := range r.pools[service] {
			if now < s.nextPoll {
				continue
			}
			s.nextPoll = now + span + r.jitter(span)/2
			due = append(due, s.Name)
		}
	}
	slices.Sort(due)
	return due
}

func (r *Router) span(now clock.Millis, service string) clock.Millis {
	if r.idle(now, service) {
		return r.config.PollInterval * idleFactor
	}
	return r.config.PollInterval
}

// stretch is the factor by which spans grow so that no more than Reports are due in a second.
func (r *Router) stretch(now clock.Millis) float64 {
	rate := 0.0
	for service, pool := range r.pools {
		rate += float64(len(pool)) * second / float64(r.span(now, service))
	}
	return max(1, rate/float64(r.config.MaxPollRate))
}

func (r *Router) jitter(span clock.Millis) clock.Millis {
	return clock.Millis(r.config.Random.Int64N(int64(span) + 1))
}
