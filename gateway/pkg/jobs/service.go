// Package jobs submits batch jobs to the core and reads their results.
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
	// group is the number of the core's consensus group.
	group = 0
	// defaultTimeout limits a call whose caller sends no timeout.
	defaultTimeout = 3 * time.Second
	// attemptTimeout limits one attempt to submit or to end a job. A leader answers within about
	// 10 ms; a leader that lost power never answers, and teams expect an answer within about half a
	// second. Both calls may be retried.
	attemptTimeout = 400 * time.Millisecond
	// answerMargin is the part of a caller's timeout that is reserved for returning the answer.
	answerMargin = 200 * time.Millisecond
	// retryDelay is the retry delay while the core can't be reached or has no route.
	retryDelay = time.Second
	// minQuotaDelay and maxQuotaDelay bound the retry delay of a job that exceeds the quota. The first applies if
	// the core doesn't know the rate at which items are processed.
	minQuotaDelay = time.Second
	maxQuotaDelay = 30 * time.Second
	// quotaDelaySpread is the largest part of the delay that is added at random, so that jobs that were refused
	// at the same time aren't submitted again at the same time.
	quotaDelaySpread = 0.25
)

// Reasons of refusals.
const (
	ReasonQuota          = "quota-used-up"
	ReasonUnknownJob     = "unknown-job"
	ReasonUnreachable    = "core-unreachable"
	ReasonOutcomeUnknown = "outcome-unknown"
	// ReasonCoreFull means that other jobs hold the memory of the core's leader.
	ReasonCoreFull = "core-full"
)

// Config holds the dependencies of a Service.
type Config struct {
	Core   *control.Client
	Logger log.Logger
}

// Service forwards calls about jobs to the leader of the core.
type Service struct {
	config Config
}

// New returns a Service.
func New(config Config) *Service { return &Service{config: config} }

// Outcome is a status without a body, or a refusal.
type Outcome struct {
	Status  int
	Refusal *forward.Refusal
}

// Submit submits a job. timeoutMs is how long the caller waits, 0 if it sent no timeout. If it isn't known
// whether the job was accepted, the refusal has ReasonOutcomeUnknown; the caller submits the job again, and
// it is accepted only once.
func (s *Service) Submit(ctx context.Context, route routing.Route, job *toucanhingev1.SubmitJobRequest, timeoutMs int64) Outcome {
	timeout := defaultTimeout
	if limit := time.Duration(timeoutMs) * time.Millisecond; limit > 0 {
		timeout = max(limit-answerMargin, limit/2)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	mayBeStored := false
	answer, err := control.Call(ctx, s.config.Core, group, "submit-job",
		func(ctx context.Context, leader *control.Replica) (*toucanhingev1.SubmitJobResponse, error) {
			ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
			defer cancel()
			answer, err := unwrap(leader.Core.SubmitJob(ctx, connect.NewRequest(job)))
			mayBeStored = mayBeStored || err != nil && !isRefused(err)
			return answer, err
		})
	outcome := submitOutcome(answer, err, mayBeStored)
	level.Info(s.config.Logger).Log(logs.KeyEvent, logs.EventJobAnswered, logs.KeyJob, job.GetJob(), "route", route.Name,
		"items", len(job.GetItems()), "outcome", answer.GetOutcome(), "status", outcome.status(), "retry-after-ms", outcome.retryAfter().Milliseconds(), logs.KeyError, err)
	return outcome
}

func (o Outcome) status() int {
	if o.Refusal != nil {
		return o.Refusal.Status
	}
	return o.Status
}

func (o Outcome) retryAfter() time.Duration {
	if o.Refusal != nil {
		return o.Refusal.RetryAfter
	}
	return 0
}

// isRefused reports whether an attempt to submit a job had no effect: the VM doesn't lead, or is overloaded.
func isRefused(err error) bool {
	_, notLeader := control.LeaderOf(err)
	return notLeader || connect.CodeOf(err) == connect.CodeResourceExhausted
}

// submitOutcome returns the outcome of a submitted job for the caller. mayBeStored is set if it isn't known whether an
// attempt stored the job.
func submitOutcome(answer *toucanhingev1.SubmitJobResponse, err error, mayBeStored bool) Outcome {
	outcome := answer.GetOutcome()
	switch {
	case connect.CodeOf(err) == connect.CodeResourceExhausted && !mayBeStored:
		return Outcome{Refusal: &forward.Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonCoreFull, RetryAfter: jitter(retryDelay)}}
	case err != nil:
		return Outcome{Refusal: &forward.Refusal{Status: http.StatusBadGateway, Reason: ReasonOutcomeUnknown}}
	case outcome == toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_ACCEPTED:
		return Outcome{Status: http.StatusAccepted}
	case outcome == toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_UNKNOWN_KEY:
		return Outcome{Refusal: &forward.Refusal{Status: http.StatusUnauthorized, Reason: forward.ReasonUnknownKey}}
	case outcome == toucanhingev1.SubmitOutcome_SUBMIT_OUTCOME_OVER_QUOTA:
		return Outcome{Refusal: &forward.Refusal{Status: http.StatusTooManyRequests, Reason: ReasonQuota, RetryAfter: quotaDelay(answer.GetRetryAfterMs())}}
	default:
		return Outcome{Refusal: &forward.Refusal{Status: http.StatusServiceUnavailable, Reason: forward.ReasonNoRoute, RetryAfter: jitter(retryDelay)}}
	}
}

// quotaDelay returns the retry delay of a job that exceeds the quota. afterMs is the time after which the job
// may fit, 0 if unknown.
func quotaDelay(afterMs uint32) time.Duration {
	delay := max(time.Duration(afterMs)*time.Millisecond, minQuotaDelay)
	delay += time.Duration(quotaDelaySpread * rand.Float64() * float64(delay))
	return min(delay, maxQuotaDelay)
}

// jitter returns a random duration between half and one and a half times the base. It keeps callers that
// were refused at the same time from retrying at the same time.
func jitter(base time.Duration) time.Duration {
	return base/2 + time.Duration(rand.Int64N(int64(base)))
}

func unwrap[T any](answer *connect.Response[T], err error) (*T, error) {
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}

// Read returns the results of a job.
func (s *Service) Read(ctx context.Context, request *toucanhingev1.ReadListedRequest) (*toucanhingev1.ReadListedResponse, *forward.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, defaultTimeout)
	defer cancel()
	answer, err := control.Call(ctx, s.config.Core, group, "read-listed",
		func(ctx context.Context, leader *control.Replica) (*toucanhingev1.ReadListedResponse, error) {
			return unwrap(leader.Core.ReadListed(ctx, connect.NewRequest(request)))
		})
	return answer, s.refusalFor(request.GetJob(), answer, err)
}

// Body returns the body of an item.
func (s *Service) Body(ctx context.Context, request *toucanhingev1.ReadBodyRequest) (*toucanhingev1.ReadBodyResponse, *forward.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, defaultTimeout)
	defer cancel()
	answer, err := control.Call(ctx, s.config.Core, group, "read-body",
		func(ctx context.Context, leader *control.Replica) (*toucanhingev1.ReadBodyResponse, error) {
			return unwrap(leader.Core.ReadBody(ctx, connect.NewRequest(request)))
		})
	return answer, s.refusalFor(request.GetJob(), answer, err)
}

// End ends a job; key is the hash of the caller's key.
func (s *Service) End(ctx context.Context, job string, key []byte) Outcome {
	ctx, cancel := context.WithTimeout(ctx, defaultTimeout)
	defer cancel()
	answer, err := control.Call(ctx, s.config.Core, group, "end-job",
		func(ctx context.Context, leader *control.Replica) (*toucanhingev1.EndJobResponse, error) {
			ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
			defer cancel()
			return unwrap(leader.Core.EndJob(ctx, connect.NewRequest(&toucanhingev1.EndJobRequest{Job: job, Key: key})))
		})
	if refusal := s.refusalFor(job, answer, err); refusal != nil {
		return Outcome{Refusal: refusal}
	}
	return Outcome{Status: http.StatusOK}
}

// jobAnswer is implemented by the core's answers about a job.
type jobAnswer interface {
	GetFound() bool
	GetDenied() bool
}

// refusalFor returns the refusal for an answer about a job, nil if there is none: 503 while the core can't
// be reached, 401 if the key is denied, and 404 only if the core answers that the caller's team has no such
// job.
func (s *Service) refusalFor(job string, answer jobAnswer, err error) *forward.Refusal {
	switch {
	case err != nil:
		level.Warn(s.config.Logger).Log(logs.KeyEvent, "job-unread", logs.KeyJob, job, logs.KeyError, err)
		return &forward.Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonUnreachable, RetryAfter: jitter(retryDelay)}
	case answer.GetDenied():
		level.Warn(s.config.Logger).Log(logs.KeyEvent, "key-denied", logs.KeyJob, job, "reason", forward.ReasonUnknownKey)
		return &forward.Refusal{Status: http.StatusUnauthorized, Reason: forward.ReasonUnknownKey}
	case !answer.GetFound():
		return &forward.Refusal{Status: http.StatusNotFound, Reason: ReasonUnknownJob}
	default:
		return nil
	}
}
