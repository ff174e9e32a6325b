package entry

import (
	"fmt"
	"sync"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/sidecar/pkg/admit"
)

// registry holds the running attempts and the recently ended ones.
type registry struct {
	mu sync.Mutex
	// attempts maps each request to its newest attempt.
	attempts map[string]*attempt
	// byEngineID maps the stream IDs in use at the engine to their attempts.
	byEngineID map[string]*attempt
	// endedAttempts lists ended attempts, oldest first. retainedBytes is the total size of
	// their answers.
	endedAttempts []*attempt
	retainedBytes int
}

func newRegistry() *registry {
	return &registry{attempts: map[string]*attempt{}, byEngineID: map[string]*attempt{}}
}

// requestKey identifies a request across teams, because teams choose request IDs
// independently.
func requestKey(r *toucanhingev1.RunRequest) string {
	return r.GetTeam() + "\x00" + r.GetRequestId()
}

// resolve decides how to handle a call. A repeated attempt, or a later one that resumes,
// attaches to the existing attempt and never runs the request again. A later attempt from
// the start supersedes an idempotent one; if the request is not idempotent, the later
// attempt is refused.
func (g *registry) resolve(fresh *attempt, canResumeAtEngine bool) (t, superseded *attempt, refusal admit.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := fresh.request
	known := g.attempts[requestKey(r)]
	if known == nil {
		if r.GetResumeAfter() > 0 && (!canResumeAtEngine || r.GetBudgetMs() <= 0) {
			return nil, nil, reasonResumeGone
		}
		g.add(fresh)
		return fresh, nil, ""
	}
	if r.GetResumeAfter() > 0 || r.GetAttempt() == known.request.GetAttempt() {
		return known, nil, ""
	}
	if r.GetAttempt() < known.request.GetAttempt() || !known.request.GetIdempotent() && !known.answer.notRun() {
		return nil, nil, admit.ReasonDuplicate
	}
	g.add(fresh)
	return fresh, known, ""
}

// engineStreamID returns the ID of an attempt at the engine. A later attempt needs its own
// ID, because otherwise cancelling the earlier attempt would stop it too. An attempt that
// continues the stream of an earlier process uses that stream's ID.
func engineStreamID(r *toucanhingev1.RunRequest) string {
	number := r.GetAttempt()
	if r.GetResumeAfter() > 0 && number > 1 {
		number--
	}
	if number <= 1 {
		return r.GetRequestId()
	}
	return fmt.Sprintf("%s.%d", r.GetRequestId(), number)
}

func (g *registry) add(t *attempt) {
	id := engineStreamID(t.request)
	// Two teams may use the same request ID.
	for n := 2; g.byEngineID[id] != nil; n++ {
		id = fmt.Sprintf("%s~%d", t.request.GetRequestId(), n)
	}
	t.engineID = id
	g.byEngineID[id] = t
	g.attempts[requestKey(t.request)] = t
}

// find returns the running attempt that a Cancel call names. It returns nil if there is
// none, or if requests of two teams match.
func (g *registry) find(requestID string, number uint32) *attempt {
	g.mu.Lock()
	defer g.mu.Unlock()
	var found *attempt
	for _, t := range g.byEngineID {
		if t.request.GetRequestId() != requestID || t.request.GetAttempt() != number || t.endedAt > 0 {
			continue
		}
		if found != nil {
			return nil
		}
		found = t
	}
	return found
}

func (g *registry) markAttached(t *attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t.detachedAt = 0
}

func (g *registry) markDetached(t *attempt, now clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t.detachedAt = now
}

// markEnded records that an attempt has ended. Its answer is retained for a reader that
// lost its connection; the oldest answers are evicted while all of them exceed maxBytes.
func (g *registry) markEnded(t *attempt, now clock.Millis, maxBytes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t.endedAt = now
	t.retainedBytes = t.answer.size()
	g.endedAttempts = append(g.endedAttempts, t)
	g.retainedBytes += t.retainedBytes
	for len(g.endedAttempts) > 0 && g.retainedBytes > maxBytes {
		g.evictOldest()
	}
}

func (g *registry) evictOldest() {
	t := g.endedAttempts[0]
	g.endedAttempts[0] = nil
	g.endedAttempts = g.endedAttempts[1:]
	g.retainedBytes -= t.retainedBytes
	if g.attempts[requestKey(t.request)] == t {
		delete(g.attempts, requestKey(t.request))
	}
	if g.byEngineID[t.engineID] == t {
		delete(g.byEngineID, t.engineID)
	}
}

// sweep evicts attempts that ended at least the retention time ago, and returns the
// running attempts that have had no reader for that long.
func (g *registry) sweep(now, retention clock.Millis) []*attempt {
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.endedAttempts) > 0 && now-g.endedAttempts[0].endedAt >= retention {
		g.evictOldest()
	}
	var abandoned []*attempt
	for _, t := range g.byEngineID {
		if t.endedAt == 0 && t.detachedAt > 0 && now-t.detachedAt >= retention {
			abandoned = append(abandoned, t)
		}
	}
	return abandoned
}
