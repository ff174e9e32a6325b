// Package forward serves online requests. It authorizes a request, places it on a runner and forwards
// the answer as it arrives. A request whose call fails is retried at another runner if its route
// allows it; otherwise the caller receives an error that states whether the request may have run.
package forward

import (
	"net/http"
	"time"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/prompt"
	"toucanhinge.example/gateway/pkg/placement"
)

// Request is a caller's request with its complete body.
type Request struct {
	// ID is the caller's ID of this attempt; it may be empty.
	ID     string
	Method string
	// Target is the path with the query, as received.
	Target string
	Host   string
	// Header is forwarded unchanged.
	Header  http.Header
	Body    []byte
	Chunked bool
	// Timeout is how long the caller waits in total; 0 means unknown.
	Timeout clock.Millis
	// Size is what the caller declares about the size of the request.
	Size placement.Size
	// Resume is set if a stream is to continue after the event with the ID After.
	Resume bool
	After  uint64
	// Resumes is the ID of the attempt in which the caller received the first event of that stream; empty if the
	// caller didn't name it.
	Resumes string
	// SharedParts are the parts of the prompt that other requests may share.
	SharedParts []prompt.PartID
	// Arrived is when the request's header was received.
	Arrived clock.Millis
}

// Refusal is an error answer to a caller.
type Refusal struct {
	Status int
	// Reason is a short text for the body, the logs and the metrics.
	Reason string
	// RetryAfter is the time after which to retry; if it is 0, no Retry-After header is sent.
	RetryAfter time.Duration
}

// Reasons of refusals and failures.
const (
	ReasonNoTable   = "no-routing-table"
	ReasonNoRoute   = "no-route"
	ReasonNoRunner  = "no-runner"
	ReasonFull      = "all-places-taken"
	ReasonTimeLimit = "time-limit"
	// ReasonNoChance means that too many requests wait before this one for it to start in time.
	ReasonNoChance = "no-chance-to-start"
	ReasonBroken   = "runner-broke-off"
	ReasonAttempts = "attempts-used-up"
	// ReasonUnknownStream means that a stream can't be resumed because nobody reachable knows at which software
	// version it began.
	ReasonUnknownStream = "unknown-stream"
	// ReasonStreamMoved means that the route doesn't lead to the stream's service any more.
	ReasonStreamMoved = "stream-of-another-service"
	// ReasonNoVersion means that no runner of the stream's software version can be used.
	ReasonNoVersion = "no-runner-of-software-version"
	// ReasonCrashes means that the request crashes runners and is quarantined until the time of its
	// Retry-After header.
	ReasonCrashes = "crashes-runners"
	// ReasonPartCrashes means the same of a part of the request's prompt, and ReasonPartSuspected that another request
	// finds out at the moment whether it does.
	ReasonPartCrashes   = "prompt-part-crashes-runners"
	ReasonPartSuspected = "prompt-part-suspected"
	// ReasonNoKey and ReasonUnknownKey mean that the request has no key, or one that no team holds.
	ReasonNoKey      = "no-key"
	ReasonUnknownKey = "unknown-key"
	// ReasonKeyUnconfirmed means that this gateway doesn't know whether the key is still valid.
	ReasonKeyUnconfirmed = "key-unconfirmed"
	// ReasonTeamQuota means that the team's requests exceed its quota.
	ReasonTeamQuota = "team-quota-used-up"
	// ReasonOverShare means that there are too few slots, and that the team uses more than its share of them.
	ReasonOverShare = "team-over-share"
)

// Outcomes in the log line of a request.
const (
	outcomeServed       = "served"
	outcomeRefused      = "refused"
	outcomeFailed       = "failed"
	outcomeCutOff       = "cut-off"
	outcomeCallerLeft   = "caller-left"
	outcomeRunnerFailed = "runner-failed"
)
