package dispatch

import (
	"math"

	"toucanhinge.example/common/pkg/clock"
)

const (
	// failureScoreLimit is the score at which a runner is blocked. Items that no runner can do fail
	// once at each of several runners, so a single failure proves nothing.
	failureScoreLimit = 2.0
	// failureScoreDecay is the time in which the score of a runner without calls falls to a third.
	failureScoreDecay clock.Millis = 5_000
	// successScore is subtracted from the score for each item that ends without a failure. A runner
	// that fails a third of its items or more reaches the limit.
	successScore = 0.5
	// minFailureBlock is the duration of the first block. It doubles with each further one up to
	// maxFailureBlock.
	minFailureBlock clock.Millis = 1_000
	maxFailureBlock clock.Millis = 8_000
)

// failingRunners detects runners that fail a part of their items although they accept all. Such a
// runner has free slots again at once and would attract further items, which use up their attempts
// there: on a fleet of 38, two runners failed an eighth of all items for good within seconds.
type failingRunners struct {
	byID map[string]*failingRunner
}

type failingRunner struct {
	score     float64
	updatedAt clock.Millis
	// blockedUntil is the end of the last block, and block its duration.
	blockedUntil, block clock.Millis
	// probing is set after a block until an item ends without a failure.
	probing bool
}

func newFailingRunners() failingRunners { return failingRunners{byID: map[string]*failingRunner{}} }

// recordFailure records an item that failed at a runner, and reports whether the runner is blocked now.
func (f *failingRunners) recordFailure(now clock.Millis, id string) (blocked bool) {
	r := f.byID[id]
	if r == nil {
		r = &failingRunner{updatedAt: now}
		f.byID[id] = r
	}
	r.decay(now)
	r.score++
	if r.blockedUntil > now || !r.probing && r.score < failureScoreLimit {
		return false
	}
	r.block = min(max(2*r.block, minFailureBlock), maxFailureBlock)
	r.blockedUntil, r.probing = now+r.block, true
	return true
}

// recordSuccess records an item that ended at a runner without a failure. During a block only items end that were
// started before, which doesn't show that the runner is sound again.
func (f *failingRunners) recordSuccess(now clock.Millis, id string) {
	r := f.byID[id]
	if r == nil {
		return
	}
	r.decay(now)
	r.score -= successScore
	if r.blockedUntil > now {
		return
	}
	r.probing = false
	if r.score <= 0 {
		delete(f.byID, id)
	}
}

// freeSlots returns how many of a runner's unused slots may be used for items: none while it is blocked, and one while
// it is probed.
func (f *failingRunners) freeSlots(now clock.Millis, id string, unused, running int) int {
	r := f.byID[id]
	switch {
	case r == nil:
		return unused
	case r.blockedUntil > now:
		return 0
	case r.probing:
		return min(unused, max(1-running, 0))
	default:
		return unused
	}
}

// blocked lists the runners that are blocked.
func (f *failingRunners) blocked(now clock.Millis) []string {
	var list []string
	for id, r := range f.byID {
		if r.blockedUntil > now {
			list = append(list, id)
		}
	}
	return list
}

// prune removes the runners without recent failures. Runners are replaced all the time.
func (f *failingRunners) prune(now clock.Millis) {
	for id, r := range f.byID {
		if now-max(r.updatedAt, r.blockedUntil) > 2*maxFailureBlock {
			delete(f.byID, id)
		}
	}
}

func (r *failingRunner) decay(now clock.Millis) {
	r.score = max(r.score*math.Exp(-float64(max(now-r.updatedAt, 0))/float64(failureScoreDecay)), 0)
	r.updatedAt = now
}
