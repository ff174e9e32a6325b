package route

import (
	"cmp"
	"slices"

	"toucanhinge.example/common/pkg/clock"
)

// Request describes a request that needs an endpoint.
type Request struct {
	Service string
	// DataCentres that the contract allows; empty means all.
	DataCentres []string
	// Prefix is the hash of the prompt's first bytes; 0 means no affinity.
	Prefix uint64
	// Tried endpoints are not chosen again.
	Tried []string
	// Budget is the time left, a span.
	Budget clock.Millis
	// Idempotent requests may try out an endpoint after its ejection.
	Idempotent bool
}

// Choice is the answer: an endpoint and why, or a reason why there is none.
type Choice struct {
	Endpoint string
	Address  string
	// Rule this endpoint, for the records.
	Rule string
	// Reason and Retry (a span) when there is none.
	Reason string
	RetryAfter  clock.Millis
}

// Reasons for a choice and for none.
const (
	RuleProbe    = "probe-after-ejection"
	RuleAffinity = "prefix"
	RuleSecondAffinity   = "prefix-second"
	RuleTwoChoices      = "two-choices"
	RuleRemote      = "near-ones-full"
	RuleBaseline   = "baseline"
	RuleAllEjected     = "all-ejected"

	ReasonNoEndpoint       = "no-endpoint"
	ReasonOverloaded = "overloaded"
	ReasonDeadline   = "deadline"
)

const (
	// nearBand is how much farther than the nearest an endpoint may be and
	// still count as near, microseconds: little against the time to a first token.
	nearBand = 5_000
	// nearUnit is the distance that weighs as much as a whole endpoint's load, microseconds.
	nearUnit = 20_000
	// halfFull is the load up to which the preferred endpoint is kept whatever
	// the mean is: nothing waits there yet.
	halfFull = 0.5
	// fresh is the age up to which a told wait is believed.
	fresh clock.Millis = 2_000
	// noneRetry is told when no endpoint is usable, a span.
	noneRetry clock.Millis = 1_000
)

// Choose picks an endpoint. It changes nothing but the random source and which
// reports are wanted; Sent tells that the choice was used.
func (r *Router) Choose(now clock.Millis, ask Request) Choice {
	r.wanted(now, ask.Service)
	able := r.able(now, ask)
	if len(able) == 0 {
		return r.lastResort(now, ask)
	}
	if retry, full := allFull(now, able); full {
		return Choice{Reason: ReasonOverloaded, RetryAfter: retry}
	}
	// What can't be in time isn't started: it would take a slot from one that can.
	if wait := leastWait(now, able); wait > ask.Budget {
		return Choice{Reason: ReasonDeadline, RetryAfter: wait}
	}
	if ask.Idempotent {
		for _, s := range able {
			if s.probing && s.own == 0 {
				return chosen(s, RuleProbe)
			}
		}
	}
	return r.pick(now, ask, proven(able))
}

// proven leaves out endpoints that are being tried out, unless there is no other.
func proven(able []*state) []*state {
	if !slices.ContainsFunc(able, func(s *state) bool { return s.probing }) {
		return able
	}
	rest := slices.DeleteFunc(slices.Clone(able), func(s *state) bool { return s.probing })
	if len(rest) == 0 {
		return able
	}
	return rest
}

func chosen(s *state, why string) Choice {
	return Choice{Endpoint: s.Name, Address: s.Address, Rule: why}
}

func (r *Router) able(now clock.Millis, ask Request) []*state {
	pool := r.pools[ask.Service]
	able := make([]*state, 0, len(pool))
	for _, s := range pool {
		if s.usable(now) && ask.allows(s) {
			able = append(able, s)
		}
	}
	return able
}

func (a Request) allows(s *state) bool {
	if slices.Contains(a.Tried, s.Name) {
		return false
	}
	return len(a.DataCentres) == 0 || slices.Contains(a.DataCentres, s.DataCentre)
}

// lastResort takes an ejected endpoint when there is no other: our evidence may
// be wrong, and a refusal would help the caller less. One that leaves is never taken.
func (r *Router) lastResort(now clock.Millis, ask Request) Choice {
	var best *state
	for _, s := range r.pools[ask.Service] {
		if s.Draining || s.load.Draining || !ask.allows(s) || s.own > 0 || now >= s.ejectedUntil {
			continue
		}
		if best == nil || s.ejectedUntil < best.ejectedUntil {
			best = s
		}
	}
	if best == nil || !ask.Idempotent {
		return Choice{Reason: ReasonNoEndpoint, RetryAfter: noneRetry}
	}
	return chosen(best, RuleAllEjected)
}

// allFull is true when every endpoint refused a moment ago: asking again now
// would only add to the overload.
func allFull(now clock.Millis, able []*state) (retry clock.Millis, full bool) {
	for _, s := range able {
		if now >= s.fullUntil {
			return 0, false
		}
		if left := s.fullUntil - now; retry == 0 || left < retry {
			retry = left
		}
	}
	return retry, true
}

func leastWait(now clock.Millis, able []*state) clock.Millis {
	least := clock.Millis(-1)
	for _, s := range able {
		wait := clock.Millis(0)
		if s.loadAt > 0 && now-s.loadAt < fresh {
			wait = s.load.Wait
		}
		if least < 0 || wait < least {
			least = wait
		}
	}
	return least
}

// ratio is the estimated load as a part of what the endpoint can do, with one more request.
func (r *Router) ratio(now clock.Millis, s *state) float64 {
	ratio := float64(s.online()+1) / s.capacity(now, r.config.SlowStart)
	if now < s.fullUntil {
		return max(ratio, 1) + 1
	}
	return ratio
}

func (r *Router) cost(now clock.Millis, s *state) float64 {
	return r.ratio(now, s) + float64(s.LatencyUS)/nearUnit
}

func (r *Router) pick(now clock.Millis, ask Request, able []*state) Choice {
	switch r.config.Policy {
	case PolicyRandom:
		return chosen(able[r.config.Random.IntN(len(able))], RuleBaseline)
	case PolicyLeastLoaded:
		return chosen(slices.MinFunc(able, func(a, b *state) int { return cmp.Compare(r.cost(now, a), r.cost(now, b)) }), RuleBaseline)
	case PolicyTwoChoices:
		return chosen(r.two(now, able), RuleBaseline)
	case PolicyAffinity:
		first, _ := preferred(able, ask.Prefix)
		return chosen(first, RuleBaseline)
	default:
		return r.ours(now, ask, able)
	}
}

// ours keeps a prompt's prefix where its cache is while that endpoint is not
// loaded above the rest, then takes the better of two random ones: the least
// loaded of all by stale reports would be everybody's choice at once.
func (r *Router) ours(now clock.Millis, ask Request, able []*state) Choice {
	near := nearest(able)
	if ask.Prefix != 0 {
		limit := r.limit(now, near)
		first, second := preferred(near, ask.Prefix)
		if r.ratio(now, first) <= limit {
			return chosen(first, RuleAffinity)
		}
		if second != nil && r.ratio(now, second) <= limit {
			return chosen(second, RuleSecondAffinity)
		}
	}
	best := r.two(now, near)
	if len(near) == len(able) || r.ratio(now, best) <= 1 {
		return chosen(best, RuleTwoChoices)
	}
	far := r.two(now, able)
	if r.cost(now, far) < r.cost(now, best) {
		return chosen(far, RuleRemote)
	}
	return chosen(best, RuleTwoChoices)
}

// limit is the load up to which a preferred endpoint is kept. A full one is
// never kept: waiting costs more than a cold cache.
func (r *Router) limit(now clock.Millis, group []*state) float64 {
	online, capacity := 1.0, 0.0
	for _, s := range group {
		online += float64(s.online())
		capacity += s.capacity(now, r.config.SlowStart)
	}
	return min(max(r.config.LoadBound*online/capacity, halfFull), 1)
}

func nearest(able []*state) []*state {
	least := able[0].LatencyUS
	for _, s := range able {
		least = min(least, s.LatencyUS)
	}
	near := make([]*state, 0, len(able))
	for _, s := range able {
		if s.LatencyUS <= least+nearBand {
			near = append(near, s)
		}
	}
	return near
}

// preferred returns the two highest by rendezvous hashing; second may be nil.
func preferred(group []*state, prefix uint64) (first, second *state) {
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

func (r *Router) two(now clock.Millis, group []*state) *state {
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

// Saturated says whether no usable endpoint of the service has a free slot.
func (r *Router) Saturated(now clock.Millis, service string) bool {
	for _, s := range r.pools[service] {
		if s.usable(now) && r.ratio(now, s) <= 1 {
			return false
		}
	}
	return true
}
