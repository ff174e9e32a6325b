package fleetstate

import (
	"container/heap"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// settleGrace is how long after its deadline an unsettled claim is still reported as
// held. After that, its holder is assumed to be gone and its outcome unknown.
const settleGrace = clock.Millis(60_000)

type claimKey struct{ team, request string }

// claim records a non-idempotent request that was allowed to run. Only the gateway that
// sends the token holds the claim.
type claim struct {
	key       claimKey
	token     string
	deadline  clock.Millis
	state     toucanhingev1.ClaimState
	heapIndex int
}

// claimIndex finds claims by request and by deadline.
type claimIndex struct {
	byID       map[claimKey]*claim
	byDeadline claimHeap
}

// ClaimResult is the result of a claim step.
type ClaimResult struct {
	State toucanhingev1.ClaimState
	// Full reports that the claim was not recorded because the limit of claims is reached.
	Full bool
}

// SettleResult reports whether a settlement was accepted, which requires the token that
// holds the claim.
type SettleResult struct {
	Settled bool
}

// claim allows one attempt to run a request. A second attempt, such as a client's
// resend through another gateway, gets the state of the first. A gateway that lost the
// response to its own claim is identified by its token and gets the same response again.
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
	heap.Push(&s.claims.byDeadline, c)
	s.counts.ClaimsGranted++
	return ClaimResult{State: toucanhingev1.ClaimState_CLAIM_STATE_GRANTED}
}

// settle records how a claimed request ended. It requires the token that holds the
// claim: a gateway that resumes after a long freeze must not free a claim that another
// gateway holds by then.
func (s *State) settle(request *toucanhingev1.SettleRequest) any {
	c := s.claims.byID[claimKey{team: request.GetTeam(), request: request.GetRequestId()}]
	if c == nil || c.token != request.GetToken() {
		s.counts.SettlesRefused++
		return SettleResult{}
	}
	switch request.GetState() {
	case toucanhingev1.ClaimState_CLAIM_STATE_UNSPECIFIED:
		// The request was certainly not run. A claim that was already settled stays.
		if c.state != toucanhingev1.ClaimState_CLAIM_STATE_HELD {
			return SettleResult{}
		}
		delete(s.claims.byID, c.key)
		heap.Remove(&s.claims.byDeadline, c.heapIndex)
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

// SweepResult counts the claims that a sweep deleted.
type SweepResult struct {
	Claims int
}

func (s *State) sweep(step *toucanhingev1.FleetSweepStep) any {
	s.responses.evictBefore(clock.Millis(step.GetRequestsBeforeMs()))
	var result SweepResult
	for len(s.claims.byDeadline) > 0 && s.claims.byDeadline[0].deadline < clock.Millis(step.GetClaimsBeforeMs()) {
		c := heap.Pop(&s.claims.byDeadline).(*claim)
		delete(s.claims.byID, c.key)
		result.Claims++
		s.counts.ClaimsExpired++
	}
	return result
}

// ClaimCount returns the number of recorded claims.
func (s *State) ClaimCount() int {
	return len(s.claims.byID)
}

// claimHeap orders claims by deadline.
type claimHeap []*claim

func (h claimHeap) Len() int           { return len(h) }
func (h claimHeap) Less(i, j int) bool { return h[i].deadline < h[j].deadline }
func (h claimHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface; call heap.Push instead.
func (h *claimHeap) Push(x any) {
	c := x.(*claim)
	c.heapIndex = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface; call heap.Pop instead.
func (h *claimHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return c
}
