// Package legacy forwards requests to the legacy serving system, which handles a share of a service's
// requests until it is switched off.
package legacy

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/http1"
	"toucanhinge.example/gateway/pkg/attempt"
	"toucanhinge.example/gateway/pkg/online"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	dialTimeout     = 2 * time.Second
	copyBufferBytes = 32 << 10
)

// Reasons why the legacy system did not answer a request.
const (
	ReasonUnreachable = "older-unreachable"
)

// Config configures a Forwarder.
type Config struct {
	Clock clock.Clock
}

// Forwarder sends each request to the legacy system exactly once. It neither retries nor falls back,
// because the legacy system may have run a request that it did not answer.
type Forwarder struct {
	config Config
	client *http.Client
}

// New returns a forwarder.
func New(config Config) *Forwarder {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Forwarder{
		config: config,
		client: &http.Client{
			Transport: http1.NewTransport(&http.Transport{
				DialContext: dialer.DialContext,
				// Go's HTTP client resends a request by itself if a reused connection turns out to be
				// closed, but never on a new connection. The cost of new connections is acceptable
				// because the legacy system will be switched off.
				DisableKeepAlives: true,
			}),
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Forward sends the request and passes the answer to the sink as it arrives.
func (f *Forwarder) Forward(ctx context.Context, base string, request *online.Request, sink online.Sink) online.Result {
	now := f.config.Clock.Now()
	if now >= request.Deadline {
		return online.Result{Reason: attempt.ReasonDeadline, Ran: attempt.RanNo}
	}
	limited, cancel := context.WithTimeout(ctx, (request.Deadline - now).Duration())
	defer cancel()
	out, err := http.NewRequestWithContext(limited, request.Method, strings.TrimSuffix(base, "/")+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return online.Result{Reason: ReasonUnreachable, Ran: attempt.RanNo}
	}
	out.GetBody = nil
	for _, h := range request.Headers {
		out.Header.Add(h.GetName(), h.GetValue())
	}
	response, err := f.client.Do(out)
	if err != nil {
		return failureResult(ctx, limited, err, false)
	}
	defer func() { _ = response.Body.Close() }()
	sink.Head(response.StatusCode, headers(response.Header), int(response.ContentLength))
	return f.copyBody(ctx, limited, response.Body, sink)
}

// copyBody passes the body to the sink until it ends or the caller disconnects.
func (f *Forwarder) copyBody(ctx, limited context.Context, body io.Reader, sink online.Sink) online.Result {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 && sink.Data(buffer[:n]) != nil {
			return online.Result{CallerGone: true, MayHaveRun: true, Attempts: 1}
		}
		if errors.Is(err, io.EOF) {
			return online.Result{Complete: true, Ran: attempt.RanYes, MayHaveRun: true, Attempts: 1}
		}
		if err != nil {
			return failureResult(ctx, limited, err, true)
		}
	}
}

// failureResult returns the result of a request without a complete answer.
func failureResult(ctx, limited context.Context, err error, delivered bool) online.Result {
	result := online.Result{
		Reason: attempt.ReasonUnknownOutcome, Ran: attempt.RanUnknown, MayHaveRun: true, Delivered: delivered, Attempts: 1,
	}
	var opErr *net.OpError
	switch {
	case errors.As(err, &opErr) && opErr.Op == "dial":
		result.Reason, result.Ran, result.MayHaveRun = ReasonUnreachable, attempt.RanNo, false
	case ctx.Err() != nil:
		result.CallerGone = true
	case limited.Err() != nil:
		result.Reason = attempt.ReasonDeadline
	case delivered:
		result.Reason = attempt.ReasonAnswerCut
	}
	return result
}

func headers(header http.Header) []*toucanhingev1.Header {
	var list []*toucanhingev1.Header
	for name, values := range header {
		for _, value := range values {
			list = append(list, &toucanhingev1.Header{Name: name, Value: value})
		}
	}
	return list
}
