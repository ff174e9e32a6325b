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

// serve runs a checked request and answers it.
func (s *Server) serve(c *gin.Context, e *entry, request *online.Request) {
	if r := s.admit(e, request.Service); r != nil {
		s.outcome(request, online.Result{Reason: r.Reason})
		s.refuse(c, r)
		return
	}
	defer s.release(e, request.Service)
	claim, r := s.claim(c, e, request)
	if r != nil {
		s.outcome(request, online.Result{Reason: r.Reason})
		s.refuse(c, r)
		return
	}
	out := s.newAnswer(c, request.Stream)
	ending := s.run(c, e, request, out)
	s.settle(c, claim, ending)
	s.outcome(request, ending)
	out.end(s, c, ending)
}

func (s *Server) run(c *gin.Context, e *entry, request *online.Request, out *answer) online.Result {
	service, _ := e.fleet.Service(request.Service)
	if olderWay(e, request, service.GetOlderPercent()) {
		s.config.DecisionLog.Add(request.ID, "chosen", "older system at "+service.GetOlderUrl())
		return s.config.Legacy.Forward(c.Request.Context(), service.GetOlderUrl(), request, out.raw())
	}
	return s.config.Runner.Run(c.Request.Context(), request, out.sink())
}

// olderWay sends a share of the requests to the older serving system. The
// choice hangs on the caller's own id where there is one, so that a resend goes
// the same way and is not run by both.
func olderWay(e *entry, request *online.Request, percent uint32) bool {
	if percent == 0 {
		return false
	}
	id := request.ID
	if e.caller != "" {
		id = e.team.Name + "/" + e.caller
	}
	return xxhash.Sum64String(id)%100 < uint64(percent)
}

// claim asks for the right to run a non-idempotent request that has the
// caller's id; nil when none is needed.
func (s *Server) claim(c *gin.Context, e *entry, request *online.Request) (*control.Claim, *refusal) {
	if request.Idempotent || e.caller == "" {
		return nil, nil
	}
	claim := control.Claim{Team: e.team.Name, ID: e.caller, Token: newToken()}
	state, err := s.config.Claims.Claim(c.Request.Context(), claim, request.Deadline)
	if err != nil {
		level.Warn(s.config.Logger).Log(logs.KeyEvent, "claim-failed", logs.KeyRequest, e.id, logs.KeyError, err)
		return nil, refuse(http.StatusServiceUnavailable, reasonNoClaim,
			"the right to run the request once could not be had; it was not run").after(2_000)
	}
	s.config.DecisionLog.Add(e.id, "claim", state.String())
	switch state {
	case toucanhingev1.ClaimState_CLAIM_STATE_GRANTED:
		return &claim, nil
	case toucanhingev1.ClaimState_CLAIM_STATE_HELD:
		r := refuse(http.StatusConflict, reasonInProgress, "a request with this id is under way")
		r.Run = runUnknown
		return nil, r.after(1_000)
	case toucanhingev1.ClaimState_CLAIM_STATE_RUN:
		r := refuse(http.StatusConflict, attempt.ReasonAlreadyRun, messages[attempt.ReasonAlreadyRun])
		r.Run = runYes
		return nil, r
	default:
		r := refuse(http.StatusConflict, attempt.ReasonUnknownOutcome, "a request with this id was given up; whether it was run is not known")
		r.Run = runUnknown
		return nil, r
	}
}

// settle tells how a claimed request ended. What was certainly not run is freed
// before the caller hears of it, so that its resend is not refused.
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

func (s *Server) outcome(request *online.Request, ending online.Result) {
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
