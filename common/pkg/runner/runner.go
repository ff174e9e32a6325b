// Package runner describes calls to the processes that run requests, without
// the names that a platform gives them on the wire.
package runner

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Call is one request to one runner. The runner must be the instance meant: its
// address may belong to another service by now.
type Call struct {
	Runner *toucanhingev1.Runner
	// Request is the caller's id, which the answer must repeat; it may be empty.
	Request string
	Method  string
	// Target is the path with the query, byte for byte as the caller sent it.
	Target string
	Host   string
	// Header goes along unchanged.
	Header http.Header
	// Team is the one for which the runner works; empty if none is told.
	Team string
	Body []byte
	// Chunked says that the body goes in chunks, as the caller sent it.
	Chunked bool
	// Remaining is how long the caller still waits, a span; 0 means that it didn't say.
	Remaining clock.Millis
	// Resume asks a stream to go on after the event After.
	Resume bool
	After  uint64
}

// Answer is what a runner answered.
type Answer struct {
	Status int
	Header http.Header
	// Length of the body in bytes, -1 if it isn't known beforehand.
	Length int64
	// Body ends with io.EOF only if it came whole.
	Body io.ReadCloser
	// NotRun says that the runner didn't run the request and never will.
	NotRun bool
	// OtherInstance says that another instance has the address now.
	OtherInstance bool
	// Load is what the runner had under way when it answered, nil if it didn't say.
	Load *Load
	// Release asks for an early end of an answer that another daemon passes on: what that
	// daemon holds back still comes, and then an error. It never blocks. Nil if nothing is
	// held back.
	Release func()
}

// Load is what a runner itself says to have under way.
type Load struct {
	Running int
	Waiting int
}

// Total is the number of requests that hold a place or wait for one.
func (h Load) Total() int { return h.Running + h.Waiting }

// Client makes calls. The body of an answer must be closed; closing it before
// its end, or ending the context, breaks the call off, and the runner stops.
type Client struct {
	Open func(ctx context.Context, call Call) (*Answer, error)
	// Refuses says whether a runner refuses a new connection, as its address does from a
	// crash until it is started again. Nil if that can't be found out.
	Refuses func(ctx context.Context, r *toucanhingev1.Runner) bool
}

// NotSentError tells that nothing of the request left this process, so it
// certainly didn't run.
type NotSentError struct {
	Runner string
	// Unresponsive says that the runner's machine didn't even refuse the connection.
	Unresponsive bool
	Err    error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("runner %s can't be reached: %v", e.Runner, e.Err)
}

func (e *NotSentError) Unwrap() error { return e.Err }

// BrokenError tells that the call broke off after it was sent: the request may
// have run, in part or wholly.
type BrokenError struct {
	Runner string
	Err    error
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("the call to runner %s broke off: %v", e.Runner, e.Err)
}

func (e *BrokenError) Unwrap() error { return e.Err }
