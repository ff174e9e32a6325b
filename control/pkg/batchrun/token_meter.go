package batchrun

import (
	"math"
	"sync"

	"toucanhinge.example/common/pkg/clock"
)

const (
	// tokenRatePeriod is the period over which the rate of processed tokens is averaged: some run
	// times of an item.
	tokenRatePeriod clock.Millis = 10_000
	// minTokenRatePeriod is the shortest time of measurement from which a rate is derived: about the
	// run time of an item.
	minTokenRatePeriod clock.Millis = 5_000
	// minQuotaRetry and maxQuotaRetry bound the time after which a job that exceeds its quota is
	// submitted again.
	minQuotaRetry clock.Millis = 1_000
	maxQuotaRetry clock.Millis = 30_000
)

// quotaScope is a team on a route: what one token quota applies to.
type quotaScope struct {
	team, host, prefix string
}

// tokenMeter measures how many tokens of items are processed per second in each quota scope. The
// measurement starts anew with each term of a leader.
type tokenMeter struct {
	mu      sync.Mutex
	since   clock.Millis
	scopes  map[quotaScope]decayingSum
	pruned  clock.Millis
	started bool
}

// decayingSum is a sum whose parts lose weight with time.
type decayingSum struct {
	sum float64
	at  clock.Millis
}

func (d decayingSum) value(now clock.Millis) float64 {
	return d.sum * math.Exp(-float64(max(now-d.at, 0))/float64(tokenRatePeriod))
}

// reset forgets all measurements.
func (t *tokenMeter) reset(now clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.since, t.pruned, t.started = now, now, true
	t.scopes = map[quotaScope]decayingSum{}
}

// record adds the tokens of an item that needs no more processing.
func (t *tokenMeter) record(now clock.Millis, scope quotaScope, tokens int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.started {
		return
	}
	t.scopes[scope] = decayingSum{sum: t.scopes[scope].value(now) + float64(tokens), at: now}
	t.prune(now)
}

// prune forgets the scopes in which little was processed for long.
func (t *tokenMeter) prune(now clock.Millis) {
	if now-t.pruned < tokenRatePeriod {
		return
	}
	t.pruned = now
	for scope, sum := range t.scopes {
		if sum.value(now) < 1 {
			delete(t.scopes, scope)
		}
	}
}

// retryAfter returns the time in which a number of tokens is processed at the present rate, within
// the bounds of a retry. It is 0 if the rate isn't known yet.
func (t *tokenMeter) retryAfter(now clock.Millis, scope quotaScope, tokens int64) clock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	measured := now - t.since
	if !t.started || measured < minTokenRatePeriod {
		return 0
	}
	// The sum is smaller than in a steady state until the measurement is much longer than the period.
	period := float64(tokenRatePeriod) * (1 - math.Exp(-float64(measured)/float64(tokenRatePeriod)))
	rate := t.scopes[scope].value(now) / period
	if float64(max(tokens, 0)) >= rate*float64(maxQuotaRetry) {
		return maxQuotaRetry
	}
	return max(clock.Millis(math.Ceil(float64(max(tokens, 0))/rate)), minQuotaRetry)
}
