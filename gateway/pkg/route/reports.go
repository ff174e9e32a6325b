package route

import (
	"slices"

	"toucanhinge.example/common/pkg/clock"
)

const (
	// idleAfter is the time after its last request at this gateway from which a service counts as idle.
	idleAfter clock.Millis = 10_000
	// idleFactor is the factor by which the poll interval of an idle service is longer.
	idleFactor      = 10
	millisPerSecond = 1_000
)

// recordRequest records a request for a service. The first request after an idle time makes
// the polls of its endpoints due soon, because their load reports are old by then.
func (r *Router) recordRequest(now clock.Millis, service string) {
	last, found := r.requestedAt[service]
	r.requestedAt[service] = now
	if found && now-last < idleAfter {
		return
	}
	for _, s := range r.pools[service] {
		s.nextPoll = min(s.nextPoll, now+r.jitter(r.config.PollInterval))
	}
}

// idle reports whether the service had no request at this gateway for idleAfter.
func (r *Router) idle(now clock.Millis, service string) bool {
	last, found := r.requestedAt[service]
	return !found || now-last >= idleAfter
}

// DuePolls returns the endpoints whose load report is too old and schedules their next polls.
// Jitter keeps many gateways from polling one endpoint at the same time.
//
// The number of polls would grow with services times endpoints: 14 services of 40 endpoints
// polled twice a second are 1,120 calls a second. So idle services are polled less often, and
// all intervals are stretched together to stay below MaxPollRate. That is enough because
// loads also come with every answer, and a choice between two random endpoints stays good with
// reports that are seconds old.
func (r *Router) DuePolls(now clock.Millis) []string {
	factor := r.intervalFactor(now)
	var due []string
	// Iterate in a fixed order, so that the same history draws the same jitter.
	for _, service := range r.Services() {
		interval := clock.Millis(float64(r.pollInterval(now, service)) * factor)
		for _, s := range r.pools[service] {
			if now < s.nextPoll {
				continue
			}
			s.nextPoll = now + interval + r.jitter(interval)/2
			due = append(due, s.Name)
		}
	}
	slices.Sort(due)
	return due
}

// pollInterval returns the service's poll interval before stretching.
func (r *Router) pollInterval(now clock.Millis, service string) clock.Millis {
	if r.idle(now, service) {
		return r.config.PollInterval * idleFactor
	}
	return r.config.PollInterval
}

// intervalFactor returns the factor that stretches poll intervals so that at most MaxPollRate
// polls are due in a second.
func (r *Router) intervalFactor(now clock.Millis) float64 {
	rate := 0.0
	for service, pool := range r.pools {
		rate += float64(len(pool)) * millisPerSecond / float64(r.pollInterval(now, service))
	}
	return max(1, rate/float64(r.config.MaxPollRate))
}

func (r *Router) jitter(interval clock.Millis) clock.Millis {
	return clock.Millis(r.config.Random.Int64N(int64(interval) + 1))
}
