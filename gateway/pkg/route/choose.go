package route

import (
	"cmp"
	"slices"

	"toucanhinge.example/common/pkg/clock"
)

// Request describes a request that needs an endpoint.
type Request struct {
	Service string
	// DataCentres lists the data centres that the contract allows; empty allows all.
	DataCentres []string
	// Prefix is the hash of the prompt's first bytes; 0 means no affinity.
	Prefix uint64
	// Tried lists the endpoints of earlier attempts, which are not selected again.
	Tried []string
	// Budget is the time until the request's deadline.
	Budget clock.Millis
	// Continues is true when the request continues an answer that an engine with this Software began. No other
	// endpoint is selected.
	Continues bool
	Software  string
	// Idempotent is true when the request may probe an endpoint after its ejection.
	Idempotent bool
}

// Choice is the result of a Request: an endpoint, or the reason why none was selected.
type Choice struct {
	Endpoint string
	Address  string
	// Software is the version of the endpoint's software as last reported.
	Software string
	// Rule names the rule that selected the endpoint. It is written to the event log.
	Rule string
	// Reason and RetryAfter (a duration) are set when no endpoint was selected.
	Reason     string
	RetryAfter clock.Millis
}

// Rules that select an endpoint, and reasons why none is selected.
const (
	RuleProbe          = "probe-after-ejection"
	RuleAffinity       = "prefix"
	RuleSecondAffinity = "prefix-second"
	RuleTwoChoices     = "two-choices"
	RuleRemote         = "near-ones-full"
	RuleBaseline       = "baseline"
	RuleAllEjected     = "all-ejected"

	ReasonNoEndpoint = "no-endpoint"
	ReasonOverloaded = "overloaded"
	ReasonDeadline   = "deadline"
)

const (
	// maxExtraLatency is how much farther than the nearest endpoint another one may be and
	// still count as near, in microseconds. It is short compared with the time to a first token.
	maxExtraLatency = 5_000
	// latencyPerLoad is the one-way latency, in microseconds, that costs as much as a full endpoint's load.
	latencyPerLoad = 20_000
	// minAffinityLoad is the load up to which a preferred endpoint is used whatever the
	// mean load is: no request waits at a half-full endpoint.
	minAffinityLoad = 0.5
	// maxLoadAge is the age from which a reported wait is ignored.
	maxLoadAge clock.Millis = 2_000
	// noEndpointRetry is the retry delay returned when no endpoint is usable.
	noEndpointRetry clock.Millis = 1_000
)

// Choose selects an endpoint. It changes only the random source and the times of the
// next polls; the caller reports with RecordSent that it sent the request.
func (r *Router) Choose(now clock.Millis, request Request) Choice {
	r.recordRequest(now, request.Service)
	endpoints := r.eligible(now, request)
	if len(endpoints) == 0 {
		return r.lastResort(now, request)
	}
	if retry, full := allFull(now, endpoints); full {
		return Choice{Reason: ReasonOverloaded, RetryAfter: retry}
	}
	// A request that can't meet its deadline would take a slot from one that can.
	if wait := minWait(now, endpoints); wait > request.Budget {
		return Choice{Reason: ReasonDeadline, RetryAfter: wait}
	}
	if request.Idempotent {
		for _, s := range endpoints {
			if s.probing && s.inFlight == 0 {
				return newChoice(s, RuleProbe)
			}
		}
	}
	return r.pick(now, request, withoutProbing(endpoints))
}

// withoutProbing leaves out endpoints that are being probed, unless there is no other.
func withoutProbing(endpoints []*endpointState) []*endpointState {
	if !slices.ContainsFunc(endpoints, func(s *endpointState) bool { return s.probing }) {
		return endpoints
	}
	rest := slices.DeleteFunc(slices.Clone(endpoints), func(s *endpointState) bool { return s.probing })
	if len(rest) == 0 {
		return endpoints
	}
	return rest
}

func newChoice(s *endpointState, rule string) Choice {
	return Choice{Endpoint: s.Name, Address: s.Address, Software: s.load.Software, Rule: rule}
}

// eligible returns the usable endpoints that the request allows.
func (r *Router) eligible(now clock.Millis, request Request) []*endpointState {
	pool := r.pools[request.Service]
	endpoints := make([]*endpointState, 0, len(pool))
	for _, s := range pool {
		if s.usable(now) && request.allows(s) {
			endpoints = append(endpoints, s)
		}
	}
	return endpoints
}

func (q Request) allows(s *endpointState) bool {
	if slices.Contains(q.Tried, s.Name) {
		return false
	}
	if q.Continues && s.load.Software != q.Software {
		return false
	}
	return len(q.DataCentres) == 0 || slices.Contains(q.DataCentres, s.DataCentre)
}

// lastResort selects an ejected endpoint when there is no other: the gateway's evidence
// may be wrong, and a refusal would help the caller less. It never selects a draining one.
func (r *Router) lastResort(now clock.Millis, request Request) Choice {
	var best *endpointState
	for _, s := range r.pools[request.Service] {
		if s.Draining || s.load.Draining || !request.allows(s) || s.inFlight > 0 || now >= s.ejectedUntil {
			continue
		}
		if best == nil || s.ejectedUntil < best.ejectedUntil {
			best = s
		}
	}
	if best == nil || !request.Idempotent {
		return Choice{Reason: ReasonNoEndpoint, RetryAfter: noEndpointRetry}
	}
	return newChoice(best, RuleAllEjected)
}

// allFull reports whether every endpoint refused a request shortly before: sending another
// request would only add to the overload. It returns the time until the first one may be retried.
func allFull(now clock.Millis, endpoints []*endpointState) (retry clock.Millis, full bool) {
	for _, s := range endpoints {
		if now >= s.fullUntil {
			return 0, false
		}
		if left := s.fullUntil - now; retry == 0 || left < retry {
			retry = left
		}
	}
	return retry, true
}

// minWait returns the shortest wait that any of the endpoints reported. An endpoint
// without a recent report counts as having no wait.
func minWait(now clock.Millis, endpoints []*endpointState) clock.Millis {
	least := clock.Millis(-1)
	for _, s := range endpoints {
		wait := clock.Millis(0)
		if s.loadAt > 0 && now-s.loadAt < maxLoadAge {
			wait = s.load.Wait
		}
		if least < 0 || wait < least {
			least = wait
		}
	}
	return least
}

// loadRatio returns the endpoint's estimated load including one more request, as a share of its capacity.
func (r *Router) loadRatio(now clock.Millis, s *endpointState) float64 {
	ratio := float64(s.onlineRequests()+1) / s.capacity(now, r.config.SlowStart)
	if now < s.fullUntil {
		return max(ratio, 1) + 1
	}
	return ratio
}

// cost combines the endpoint's load ratio and its latency.
func (r *Router) cost(now clock.Millis, s *endpointState) float64 {
	return r.loadRatio(now, s) + float64(s.LatencyUS)/latencyPerLoad
}

func (r *Router) pick(now clock.Millis, request Request, endpoints []*endpointState) Choice {
	switch r.config.Policy {
	case PolicyRandom:
		return newChoice(endpoints[r.config.Random.IntN(len(endpoints))], RuleBaseline)
	case PolicyLeastLoaded:
		return newChoice(slices.MinFunc(endpoints, func(a, b *endpointState) int {
			return cmp.Compare(r.cost(now, a), r.cost(now, b))
		}), RuleBaseline)
	case PolicyTwoChoices:
		return newChoice(r.pickOfTwo(now, endpoints), RuleBaseline)
	case PolicyAffinity:
		first, _ := preferred(endpoints, request.Prefix)
		return newChoice(first, RuleBaseline)
	default:
		return r.pickDefault(now, request, endpoints)
	}
}

// pickDefault sends a prompt's prefix to the endpoint that has it cached while that
// endpoint's load is near the mean. Otherwise it uses the better of two random endpoints: with
// stale reports, all gateways would select the least loaded endpoint at the same time.
func (r *Router) pickDefault(now clock.Millis, request Request, endpoints []*endpointState) Choice {
	near := nearest(endpoints)
	if request.Prefix != 0 {
		limit := r.affinityLimit(now, near)
		first, second := preferred(near, request.Prefix)
		if r.loadRatio(now, first) <= limit {
			return newChoice(first, RuleAffinity)
		}
		if second != nil && r.loadRatio(now, second) <= limit {
			return newChoice(second, RuleSecondAffinity)
		}
	}
	best := r.pickOfTwo(now, near)
	if len(near) == len(endpoints) || r.loadRatio(now, best) <= 1 {
		return newChoice(best, RuleTwoChoices)
	}
	remote := r.pickOfTwo(now, endpoints)
	if r.cost(now, remote) < r.cost(now, best) {
		return newChoice(remote, RuleRemote)
	}
	return newChoice(best, RuleTwoChoices)
}

// affinityLimit returns the load up to which a preferred endpoint is used. A full endpoint
// is never preferred: waiting costs more than a cold cache.
func (r *Router) affinityLimit(now clock.Millis, group []*endpointState) float64 {
	online, capacity := 1.0, 0.0
	for _, s := range group {
		online += float64(s.onlineRequests())
		capacity += s.capacity(now, r.config.SlowStart)
	}
	return min(max(r.config.LoadBound*online/capacity, minAffinityLoad), 1)
}

// nearest returns the endpoints within maxExtraLatency of the nearest one.
func nearest(endpoints []*endpointState) []*endpointState {
	least := endpoints[0].LatencyUS
	for _, s := range endpoints {
		least = min(least, s.LatencyUS)
	}
	near := make([]*endpointState, 0, len(endpoints))
	for _, s := range endpoints {
		if s.LatencyUS <= least+maxExtraLatency {
			near = append(near, s)
		}
	}
	return near
}

// preferred returns the two endpoints that rank highest for the prefix by rendezvous hashing; second may be nil.
func preferred(group []*endpointState, prefix uint64) (first, second *endpointState) {
	var firstScore, secondScore uint64
	for _, s := range group {
		score := mix(prefix, s.hash)
		switch {
		case first == nil || score > firstScore:
			second, secondScore = first, firstScore
			first, firstScore = s, score
		case second == nil || score > secondScore:
			second, secondScore = s, score
		}
	}
	return first, second
}

// pickOfTwo returns the cheaper of two random endpoints.
func (r *Router) pickOfTwo(now clock.Millis, group []*endpointState) *endpointState {
	a := group[r.config.Random.IntN(len(group))]
	if len(group) == 1 {
		return a
	}
	b := group[r.config.Random.IntN(len(group)-1)]
	if a == b {
		b = group[len(group)-1]
	}
	if r.cost(now, b) < r.cost(now, a) {
		return b
	}
	return a
}

// Saturated reports whether no usable endpoint of the service has a free slot.
func (r *Router) Saturated(now clock.Millis, service string) bool {
	for _, s := range r.pools[service] {
		if s.usable(now) && r.loadRatio(now, s) <= 1 {
			return false
		}
	}
	return true
}
