// Package forward serves one online request: it finds the route, a place at a
// runner, and passes the answer on as it comes; it goes on at another runner
// where the request may run again, and tells honestly where it may not.
package forward

import (
	"net/http"
	"time"

	"toucanhinge.example/common/pkg/clock"
)

// Request is a caller's request, read whole.
type Request struct {
	// ID is the caller's, for this attempt; it may be empty.
	ID     string
	Method string
	// Target is the path with the query, byte for byte.
	Target string
	Host   string
	// Header is passed on unchanged.
	Header  http.Header
	Body    []byte
	Chunked bool
	// Timeout is how long the caller waits in all, a span; 0 means unknown.
	Timeout clock.Millis
	// Resume says that a stream is to go on after the event After.
	Resume bool
	After  uint64
	// Arrived is when the request's header was there.
	Arrived clock.Millis
}

// Refusal tells a caller that its request wasn't run.
type Refusal struct {
	Status int
	// Reason is a short word for the body, the logs and the counters.
	Reason string
	// RetryAfter is when to come back; 0 says nothing of it.
	RetryAfter time.Duration
}

// Reasons of refusals and failures.
const (
	ReasonNoTable   = "no-routing-table"
	ReasonNoRoute   = "no-route"
	ReasonNoRunner  = "no-runner"
	ReasonFull      = "all-places-taken"
	ReasonTimeLimit = "time-limit"
	ReasonBroken    = "runner-broke-off"
	ReasonAttempts  = "attempts-used-up"
	// ReasonCrashes says that the request crashes the runners that run it, and is kept from
	// all of them until it is time to come back.
	ReasonCrashes = "crashes-runners"
	// ReasonNoKey and ReasonUnknownKey say that no team's key came with the request.
	ReasonNoKey      = "no-key"
	ReasonUnknownKey = "unknown-key"
	// ReasonKeyUnconfirmed says that this gateway can't tell whether the key is still valid.
	ReasonKeyUnconfirmed = "key-unconfirmed"
	// ReasonTeamQuota says that the team's requests are beyond its rate.
	ReasonTeamQuota = "team-quota-used-up"
)

// Outcomes in the log line of a request.
const (
	outcomeServed   = "served"
	outcomeRefused  = "refused"
	outcomeFailed   = "failed"
	outcomeCut      = "cut-off"
	outcomeLeft     = "caller-left"
	outcomePassedOn = "runner-failed"
)
