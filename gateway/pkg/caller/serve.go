package caller

import (
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/gin-gonic/gin"
	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/gateway/pkg/attempt"
	"toucanhinge.example/gateway/pkg/control"
	"toucanhinge.example/gateway/pkg/online"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// serve runs a validated request and writes the response.
func (s *Server) serve(c *gin.Context, info *requestInfo, request *online.Request) {
	if r := s.admit(info, request.Service); r != nil {
		s.recordOutcome(request, online.Result{Reason: r.Reason})
		s.refuse(c, r)
		return
	}
	defer s.release(info, request.Service)
	claim, r := s.claim(c, info, request)
	if r != nil {
		s.recordOutcome(request, online.Result{Reason: r.Reason})
		s.refuse(c, r)
		return
	}
	resp := s.newResponse(c, request.Stream)
	ending := s.run(c, info, request, resp)
	s.settle(c, claim, ending)
	s.recordOutcome(request, ending)
	resp.finish(s, c, ending)
}

func (s *Server) run(c *gin.Context, info *requestInfo, request *online.Request, resp *response) online.Result {
	service, _ := info.fleet.Service(request.Service)
	if usesLegacy(info, request, service.GetOlderPercent()) {
		s.config.DecisionLog.Add(request.ID, "chosen", "older system at "+service.GetOlderUrl())
		return s.config.Legacy.Forward(c.Request.Context(), service.GetOlderUrl(), request, resp.rawSink())
	}
	return s.config.Executor.Run(c.Request.Context(), request, resp.sink())
}

// usesLegacy reports whether the request goes to the legacy system, which gets the given percentage. The choice
// depends on the caller's own request id if there is one, so that a resend goes to the same system and is not
// run by both.
func usesLegacy(info *requestInfo, request *online.Request, percent uint32) bool {
	if percent == 0 {
		return false
	}
	id := request.ID
	if info.callerID != "" {
		id = info.team.Name + "/" + info.callerID
	}
	return xxhash.Sum64String(id)%100 < uint64(percent)
}

// claim acquires a claim for a non-idempotent request that has an id of the caller. It returns nil if the
// request needs no claim.
func (s *Server) claim(c *gin.Context, info *requestInfo, request *online.Request) (*control.Claim, *refusal) {
	if request.Idempotent || info.callerID == "" {
		return nil, nil
	}
	claim := control.Claim{Team: info.team.Name, ID: info.callerID, Token: newClaimToken()}
	state, err := s.config.Claims.Claim(c.Request.Context(), claim, request.Deadline)
	if err != nil {
		level.Warn(s.config.Logger).Log(logs.KeyEvent, "claim-failed", logs.KeyRequest, info.id, logs.KeyError, err)
		return nil, newRefusal(http.StatusServiceUnavailable, reasonNoClaim,
			"the right to run the request once could not be had; it was not run").withRetryAfter(2_000)
	}
	s.config.DecisionLog.Add(info.id, "claim", state.String())
	switch state {
	case toucanhingev1.ClaimState_CLAIM_STATE_GRANTED:
		return &claim, nil
	case toucanhingev1.ClaimState_CLAIM_STATE_HELD:
		r := newRefusal(http.StatusConflict, reasonInProgress, "a request with this id is under way")
		r.Run = runUnknown
		return nil, r.withRetryAfter(1_000)
	case toucanhingev1.ClaimState_CLAIM_STATE_RUN:
		r := newRefusal(http.StatusConflict, attempt.ReasonAlreadyRun, reasonMessages[attempt.ReasonAlreadyRun])
		r.Run = runYes
		return nil, r
	default:
		r := newRefusal(http.StatusConflict, attempt.ReasonUnknownOutcome,
			"a request with this id was given up; whether it was run is not known")
		r.Run = runUnknown
		return nil, r
	}
}

// settle reports to control how a claimed request ended. The claim of a request that was certainly not run is
// released before the caller gets its response, so that a resend is not refused.
func (s *Server) settle(c *gin.Context, claim *control.Claim, ending online.Result) {
	switch {
	case claim == nil:
	case ending.Complete || ending.Ran == attempt.RanYes:
		s.config.Claims.Settle(*claim, toucanhingev1.ClaimState_CLAIM_STATE_RUN)
	case ending.MayHaveRun:
		s.config.Claims.Settle(*claim, toucanhingev1.ClaimState_CLAIM_STATE_UNKNOWN)
	default:
		s.config.Claims.Release(c.Request.Context(), *claim)
	}
}

func (s *Server) recordOutcome(request *online.Request, ending online.Result) {
	outcome := ending.Reason
	switch {
	case ending.CallerGone:
		outcome = attempt.ReasonCallerGone
	case ending.Complete:
		outcome = "whole"
	}
	s.config.Metrics.Requests.WithLabelValues(request.Service, outcome).Inc()
	level.Debug(s.config.Logger).Log(logs.KeyEvent, "request-ended", logs.KeyRequest, request.ID,
		"team", request.Team, "service", request.Service, "outcome", outcome, "attempts", ending.Attempts)
}
