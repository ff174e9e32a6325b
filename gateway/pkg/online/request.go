// Package online carries one request through its attempts: it runs the attempt
// machine, asks the directory for endpoints and moves the frames to the caller.
package online

import (
	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/gateway/pkg/attempt"
	"toucanhinge.example/gateway/pkg/resume"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Request is one checked request of a caller.
type Request struct {
	// ID is unique in the fleet; Caller is the caller's own id, which may be empty.
	ID      string
	CallerID  string
	Team    string
	Service string
	Method  string
	Path    string
	Headers []*toucanhingev1.Header
	Body    []byte
	// Deadline is a point in time.
	Deadline   clock.Millis
	Idempotent bool
	// Stream is true when the caller wants server-sent events.
	Stream bool
	// Model is true for a model service.
	Model bool
	// DataCentres that the contract allows; empty means all.
	DataCentres []string
	// Prefix is the hash of the prompt's first bytes; 0 means none.
	Prefix uint64
	// Text keeps what is needed to resume; nil when the answer can't be.
	Text *resume.Text
}

// Sink takes the answer for the caller.
type Sink struct {
	// Head takes status and headers before the first Data, and the length of the
	// whole answer or a negative number when it isn't known yet.
	Head func(status int, headers []*toucanhingev1.Header, length int)
	// Data takes one piece; an error means that the caller is gone.
	Data func(data []byte) error
}

// Result says how a request ended. When Whole is false and Gone too, the caller
// is owed an explicit error.
type Result struct {
	Complete bool
	// CallerGone is true when the caller left.
	CallerGone   bool
	Reason string
	Ran    attempt.Ran
	// RetryAfter is when to come back, a span; 0 when there is nothing to say.
	RetryAfter clock.Millis
	// Delivered is true when the caller has part of the answer.
	Delivered    bool
	Attempts uint32
	// MayHaveRun is true when it may have run.
	MayHaveRun bool
}
