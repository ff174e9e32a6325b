// Package runner defines calls to runners, independent of the headers and paths that a platform uses on
// the wire.
package runner

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/prompt"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Call is a request to a runner. The receiver must verify that it is that instance, because the address
// may belong to another service by now.
type Call struct {
	Runner *toucanhingev1.Runner
	// Request is the request id, which the answer must repeat; may be empty.
	Request string
	Method  string
	// Target is the path and query, unchanged from the caller's request.
	Target string
	Host   string
	// Header is sent unchanged.
	Header http.Header
	// Team is the team that the request runs for; empty if not sent.
	Team string
	Body []byte
	// Chunked is set if the body is sent with chunked encoding, like the caller's.
	Chunked bool
	// Remaining is the time until the caller's timeout; 0 if unknown.
	Remaining clock.Millis
	// Resume requests that a stream continues after the event After.
	Resume bool
	After  uint64
}

// Answer is the answer of a runner.
type Answer struct {
	Status int
	Header http.Header
	// Length is the size of the body in bytes, -1 if not known in advance.
	Length int64
	// Body ends with io.EOF only if it was received completely.
	Body io.ReadCloser
	// NotRun is set if the runner didn't run the request and never will.
	NotRun bool
	// OtherInstance is set if another instance has the address now.
	OtherInstance bool
	// Load is the runner's load when it answered, nil if not reported.
	Load *Load
	// Release ends a proxied call early. The body still returns the data that the proxying daemon
	// has buffered, and then an error. Release never blocks. It is nil if no data is buffered.
	Release func()
}

// Load is the number of requests at a runner and its pace, as reported by the runner itself.
type Load struct {
	Running int
	Waiting int
	// Pace is how long work takes on the runner's VM at the moment, in percent of the usual time; 0 if
	// not reported.
	Pace int
}

// Total returns the number of requests that hold a slot or wait for one.
func (l Load) Total() int { return l.Running + l.Waiting }

// Client calls runners. The body of an answer must be closed. Closing it before its end, or canceling
// the context, ends the call, and the runner stops the request.
type Client struct {
	Open func(ctx context.Context, call Call) (*Answer, error)
	// Probe finds out whether an instance of a runner still runs. It is nil if that can't be determined.
	Probe func(ctx context.Context, r *toucanhingev1.Runner) Presence
	// Parts returns the parts of the prompt that a call's header lists. It is nil if headers list none.
	Parts func(header http.Header) ([]prompt.PartID, error)
}

// SharedParts returns the parts of a call's prompt that other requests may share.
func (c Client) SharedParts(header http.Header) ([]prompt.PartID, error) {
	if c.Parts == nil {
		return nil, nil
	}
	parts, err := c.Parts(header)
	if err != nil {
		return nil, fmt.Errorf("read the parts of the prompt: %w", err)
	}
	return prompt.Shared(parts), nil
}

// NotSentError means that no part of the request left this process, so the request certainly didn't
// run.
type NotSentError struct {
	Runner string
	// Unresponsive is set if the runner's VM didn't answer the connection attempt at all.
	Unresponsive bool
	// Refused is set if the VM answered and no process listens at the runner's address.
	Refused bool
	Err     error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("runner %s can't be reached: %v", e.Runner, e.Err)
}

func (e *NotSentError) Unwrap() error { return e.Err }

// BrokenError means that the call failed after the request was sent. The request may have run, in part
// or completely.
type BrokenError struct {
	Runner string
	Err    error
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("the call to runner %s broke off: %v", e.Runner, e.Err)
}

func (e *BrokenError) Unwrap() error { return e.Err }
