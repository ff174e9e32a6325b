// Package jobs hands batch jobs to the core and reads their results there.
package jobs

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/control"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/routing"
	"toucanhinge.example/gateway/pkg/forward"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	group = 0
	// callTime bounds a call for which the caller names no patience.
	callTime = 3 * time.Second
	// tryTime ends one try to hand a job in or to end one. A leader answers within
	// some 10 ms; one that lost power answers never, and teams count on an answer
	// within about half a second. Both calls may be repeated.
	tryTime = 400 * time.Millisecond
	// answerSlack is left of a caller's patience for the answer's way.
	answerSlack = 200 * time.Millisecond
	// quotaRetry is when a job over the quota may fit: items run for seconds.
	quotaRetry = time.Second
)

// Reasons of refusals.
const (
	ReasonQuota       = "quota-used-up"
	ReasonUnknownJob  = "unknown-job"
	ReasonUnreachable = "core-unreachable"
	ReasonOutcomeUnknown     = "outcome-unknown"
)

// Config describes the service.
type Config struct {
	Core   *control.Client
	Logger log.Logger
}

// Service speaks to the core for callers.
type Service struct {
	config Config
}

// New makes the service.
func New(config Config) *Service { return &Service{config: config} }

// Outcome is a status without a body, or a refusal.
type Outcome struct {
	Status  int
	Refusal *forward.Refusal
}

// Submit hands a job in; patience is how long the caller waits, in milliseconds,
// 0 if it doesn't say. A job of which it isn't known whether it was accepted gets
// no promise: the caller sends it again, and it is accepted once.
func (s *Service) Submit(ctx context.Context, route routing.Route, job *toucanhingev1.SubmitJobRequest, patience int64) Outcome {
	span := callTime
	if limit := time.Duration(patience) * time.Millisecond; limit > 0 {
		span = max(limit-answerSlack, limit/2)
	}
	ctx, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	answer, err := control.Call(ctx, s.config.Core, group, "submit-job",
		func(ctx context.Context, leader *control.Replica) (*toucanhingev1.SubmitJobResponse, error) {
			ctx, cancel := context.WithTimeout(ctx, tryTime)
			defer cancel()
			return unwrap(leader.Core.SubmitJob(ctx, connect.NewRequest(job)))
		})
	outcome := submitted(answer.GetOutcome(), err)
	level.Info(s.config.Logger).Log(logs.KeyEvent, logs.EventJobAnswered, logs.KeyJob, job.GetJob(), "route", route.Name,
		"items", len(job.GetItems()), "outcome", answer.GetOutcome(), "status", outcome.status(), logs.KeyError, err)
	return outcome
}

func (o Outcome) status() int {
	if o.Refusal != nil {
		return o.Refusal.Status
	}
	return o.Status
}

func submitted(outcome toucanhingev1.SubmitOutcome, err error) Outcome {
	switch {
	case err != nil:
		return Outcome{Refusal: &forward.Refusal{Status: http.StatusBadGateway, Reason: ReasonOutcomeUnknown}}
	case outcome == toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_ACCEPTED:
		return Outcome{Status: http.StatusAccepted}
	case outcome == toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_UNKNOWN_KEY:
		return Outcome{Refusal: &forward.Refusal{Status: http.StatusUnauthorized, Reason: forward.ReasonUnknownKey}}
	case outcome == toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_OVER_QUOTA:
		return Outcome{Refusal: &forward.Refusal{Status: http.StatusTooManyRequests, Reason: ReasonQuota, RetryAfter: spread(quotaRetry)}}
	default:
		return Outcome{Refusal: &forward.Refusal{Status: http.StatusServiceUnavailable, Reason: forward.ReasonNoRoute, RetryAfter: spread(quotaRetry)}}
	}
}

// spread keeps callers that were refused together from returning together.
func spread(span time.Duration) time.Duration {
	return span/2 + time.Duration(rand.Int64N(int64(span)))
}

func unwrap[T any](answer *connect.Response[T], err error) (*T, error) {
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}

// Read returns results.
func (s *Service) Read(ctx context.Context, request *toucanhingev1.ReadListedRequest) (*toucanhingev1.ReadListedResponse, *forward.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	answer, err := control.Call(ctx, s.config.Core, group, "read-listed",
		func(ctx context.Context, leader *control.Replica) (*toucanhingev1.ReadListedResponse, error) {
			return unwrap(leader.Core.ReadListed(ctx, connect.NewRequest(request)))
		})
	return answer, s.unsure(request.GetJob(), answer, err)
}

// Body returns the body of an item.
func (s *Service) Body(ctx context.Context, request *toucanhingev1.ReadBodyRequest) (*toucanhingev1.ReadBodyResponse, *forward.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	answer, err := control.Call(ctx, s.config.Core, group, "read-body",
		func(ctx context.Context, leader *control.Replica) (*toucanhingev1.ReadBodyResponse, error) {
			return unwrap(leader.Core.ReadBody(ctx, connect.NewRequest(request)))
		})
	return answer, s.unsure(request.GetJob(), answer, err)
}

// End ends a job for a caller with a key of that hash.
func (s *Service) End(ctx context.Context, job string, key []byte) Outcome {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	answer, err := control.Call(ctx, s.config.Core, group, "end-job",
		func(ctx context.Context, leader *control.Replica) (*toucanhingev1.EndJobResponse, error) {
			ctx, cancel := context.WithTimeout(ctx, tryTime)
			defer cancel()
			return unwrap(leader.Core.EndJob(ctx, connect.NewRequest(&toucanhingev1.EndJobRequest{Job: job, Key: key})))
		})
	if refusal := s.unsure(job, answer, err); refusal != nil {
		return Outcome{Refusal: refusal}
	}
	return Outcome{Status: http.StatusOK}
}

// finding is what the core's answers about a job have in common.
type finding interface {
	GetFound() bool
	GetDenied() bool
}

// unsure refuses with 503 while the core can't tell, and with 404 if it is sure
// that the caller's team has no such job.
func (s *Service) unsure(job string, answer finding, err error) *forward.Refusal {
	switch {
	case err != nil:
		level.Warn(s.config.Logger).Log(logs.KeyEvent, "job-unread", logs.KeyJob, job, logs.KeyError, err)
		return &forward.Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonUnreachable, RetryAfter: spread(quotaRetry)}
	case answer.GetDenied():
		level.Warn(s.config.Logger).Log(logs.KeyEvent, "key-denied", logs.KeyJob, job, "reason", forward.ReasonUnknownKey)
		return &forward.Refusal{Status: http.StatusUnauthorized, Reason: forward.ReasonUnknownKey}
	case !answer.GetFound():
		return &forward.Refusal{Status: http.StatusNotFound, Reason: ReasonUnknownJob}
	default:
		return nil
	}
}
