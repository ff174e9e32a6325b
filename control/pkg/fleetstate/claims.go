package fleetstate

import (
	"container/heap"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// settleGrace is how long after its deadline a claim that nobody settled is
// taken for one whose holder is gone.
const settleGrace = clock.Millis(60_000)

type claimKey struct{ team, request string }

// claim is one non-idempotent request that was allowed to run.
type claim struct {
	key      claimKey
	token    string
	deadline clock.Millis
	state    toucanhingev1.ClaimState
	place    int
}

// claimBook finds claims by request and by age.
type claimBook struct {
	byID  map[claimKey]*claim
	byAge claimHeap
}

// ClaimResult is what a gateway may do.
type ClaimResult struct {
	State toucanhingev1.ClaimState
	// Full says that nothing was recorded since too many claims are held.
	Full bool
}

// SettleResult says whether the token held the claim.
type SettleResult struct {
	Settled bool
}

// claim lets one try run a request. The caller of a second try, a client's
// resend through another gateway, learns that the first holds it; the first
// itself, when it lost our answer, gets the same answer again by its token.
func (s *State) claim(request *toucanhingev1.ClaimRequest) any {
	key := claimKey{team: request.GetTeam(), request: request.GetRequestId()}
	c := s.claims.byID[key]
	if c == nil {
		return s.grant(key, request)
	}
	s.counts.ClaimsRefused++
	if c.state != toucanhingev1.ClaimState_CLAIM_STATE_HELD {
		return ClaimResult{State: c.state}
	}
	if c.token == request.GetToken() {
		s.counts.ClaimsRefused--
		return ClaimResult{State: toucanhingev1.ClaimState_CLAIM_STATE_GRANTED}
	}
	if s.now > c.deadline+settleGrace {
		c.state = toucanhingev1.ClaimState_CLAIM_STATE_UNKNOWN
	}
	return ClaimResult{State: c.state}
}

func (s *State) grant(key claimKey, request *toucanhingev1.ClaimRequest) ClaimResult {
	if len(s.claims.byID) >= claimLimit {
		s.counts.ClaimsRefused++
		return ClaimResult{Full: true}
	}
	c := &claim{
		key: key, token: request.GetToken(), state: toucanhingev1.ClaimState_CLAIM_STATE_HELD,
		deadline: max(clock.Millis(request.GetDeadlineMs()), s.now),
	}
	s.claims.byID[key] = c
	heap.Push(&s.claims.byAge, c)
	s.counts.ClaimsGranted++
	return ClaimResult{State: toucanhingev1.ClaimState_CLAIM_STATE_GRANTED}
}

// settle books how a claimed request ended. Only the token that holds the claim
// can: a gateway that thawed must not free a claim that is another's by now.
func (s *State) settle(request *toucanhingev1.SettleRequest) any {
	c := s.claims.byID[claimKey{team: request.GetTeam(), request: request.GetRequestId()}]
	if c == nil || c.token != request.GetToken() {
		s.counts.SettlesRefused++
		return SettleResult{}
	}
	switch request.GetState() {
	case toucanhingev1.ClaimState_CLAIM_STATE_UNSPECIFIED:
		// Certainly not run. A claim that was settled as run stays so.
		if c.state != toucanhingev1.ClaimState_CLAIM_STATE_HELD {
			return SettleResult{}
		}
		delete(s.claims.byID, c.key)
		heap.Remove(&s.claims.byAge, c.place)
	case toucanhingev1.ClaimState_CLAIM_STATE_RUN:
		c.state = toucanhingev1.ClaimState_CLAIM_STATE_RUN
	case toucanhingev1.ClaimState_CLAIM_STATE_UNKNOWN:
		if c.state == toucanhingev1.ClaimState_CLAIM_STATE_HELD {
			c.state = toucanhingev1.ClaimState_CLAIM_STATE_UNKNOWN
		}
	default:
		s.counts.SettlesRefused++
		return SettleResult{}
	}
	return SettleResult{Settled: true}
}

// SweepResult says what was forgotten.
type SweepResult struct {
	Claims int
}

func (s *State) sweep(step *toucanhingev1.FleetSweepStep) any {
	s.requests.forgetBefore(clock.Millis(step.GetRequestsBeforeMs()))
	var answer SweepResult
	for len(s.claims.byAge) > 0 && s.claims.byAge[0].deadline < clock.Millis(step.GetClaimsBeforeMs()) {
		c := heap.Pop(&s.claims.byAge).(*claim)
		delete(s.claims.byID, c.key)
		answer.Claims++
		s.counts.ClaimsExpired++
	}
	return answer
}

// ClaimCount is how many claims are held.
func (s *State) ClaimCount() int {
	return len(s.claims.byID)
}

// claimHeap orders claims by deadline.
type claimHeap []*claim

func (h claimHeap) Len() int           { return len(h) }
func (h claimHeap) Less(i, j int) bool { return h[i].deadline < h[j].deadline }
func (h claimHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

// Push adds a claim; call heap.Push instead.
func (h *claimHeap) Push(x any) {
	c := x.(*claim)
	c.place = len(*h)
	*h = append(*h, c)
}

// Pop removes the last claim; call heap.Pop instead.
func (h *claimHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return c
}
