// Package online executes online requests: it runs the attempt machine, selects endpoints through
// the directory and passes the frames to the caller.
package online

import (
	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/gateway/pkg/attempt"
	"toucanhinge.example/gateway/pkg/resume"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Request is one validated request of a caller.
type Request struct {
	// ID is unique in the fleet. CallerID is the id set by the caller, which may be empty.
	ID       string
	CallerID string
	Team     string
	Service  string
	Method   string
	Path     string
	Headers  []*toucanhingev1.Header
	Body     []byte
	// Deadline is the time at which the request expires.
	Deadline   clock.Millis
	Idempotent bool
	// Stream is true when the caller wants server-sent events.
	Stream bool
	// Model is true for a model service.
	Model bool
	// DataCentres lists the data centres that the contract allows; empty allows all.
	DataCentres []string
	// Prefix is the hash of the prompt's first bytes; 0 means none.
	Prefix uint64
	// Text stores the text needed to resume the answer; nil when the answer can't be resumed.
	Text *resume.Text
}

// Sink receives the answer for the caller.
type Sink struct {
	// Head receives the status, the headers and the length of the complete answer before the first
	// Data. The length is negative when it isn't known yet.
	Head func(status int, headers []*toucanhingev1.Header, length int)
	// Data receives one chunk; an error means that the caller has disconnected.
	Data func(data []byte) error
}

// Result describes how a request ended. If neither Complete nor CallerGone is true, the caller must
// get an explicit error.
type Result struct {
	Complete bool
	// CallerGone is true when the caller disconnected.
	CallerGone bool
	Reason     string
	Ran        attempt.Ran
	// RetryAfter is the retry delay for the caller; 0 when there is none.
	RetryAfter clock.Millis
	// Delivered is true when part of the answer was delivered to the caller.
	Delivered bool
	Attempts  uint32
	// MayHaveRun is true when the request may have run.
	MayHaveRun bool
}
