// Package legacy speaks to the older serving system, which takes a share of a
// service's requests until it is switched off.
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
	"toucanhinge.example/gateway/pkg/attempt"
	"toucanhinge.example/gateway/pkg/online"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	dialTimeout = 2 * time.Second
	pieceBytes  = 32 << 10
)

// Reasons of a request that the older system did not answer.
const (
	ReasonUnreachable = "older-unreachable"
)

// Config describes a forwarder.
type Config struct {
	Clock clock.Clock
}

// Forwarder sends requests to the older system, each exactly once: it neither
// retries nor falls back, since what was sent there may have been run there.
type Forwarder struct {
	config Config
	client *http.Client
}

// New makes a forwarder.
func New(config Config) *Forwarder {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Forwarder{
		config: config,
		client: &http.Client{
			Transport: &http.Transport{
				DialContext: dialer.DialContext,
				// Go's client sends a request again by itself when a reused
				// connection turns out to be closed. On a fresh connection it
				// never does, and the older system is on its way out anyway.
				DisableKeepAlives:  true,
				DisableCompression: true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Forward sends the request and passes the answer on as it comes.
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
	reply, err := f.client.Do(out)
	if err != nil {
		return failed(ctx, limited, err, false)
	}
	defer func() { _ = reply.Body.Close() }()
	sink.Head(reply.StatusCode, headers(reply.Header), int(reply.ContentLength))
	return f.pass(ctx, limited, reply.Body, sink)
}

func (f *Forwarder) pass(ctx, limited context.Context, body io.Reader, sink online.Sink) online.Result {
	piece := make([]byte, pieceBytes)
	for {
		n, err := body.Read(piece)
		if n > 0 && sink.Data(piece[:n]) != nil {
			return online.Result{CallerGone: true, MayHaveRun: true, Attempts: 1}
		}
		if errors.Is(err, io.EOF) {
			return online.Result{Complete: true, Ran: attempt.RanYes, MayHaveRun: true, Attempts: 1}
		}
		if err != nil {
			return failed(ctx, limited, err, true)
		}
	}
}

// failed says what is known of a request that has no whole answer.
func failed(ctx, limited context.Context, err error, begun bool) online.Result {
	ending := online.Result{Reason: attempt.ReasonUnknownOutcome, Ran: attempt.RanUnknown, MayHaveRun: true, Delivered: begun, Attempts: 1}
	var dial *net.OpError
	switch {
	case errors.As(err, &dial) && dial.Op == "dial":
		ending.Reason, ending.Ran, ending.MayHaveRun = ReasonUnreachable, attempt.RanNo, false
	case ctx.Err() != nil:
		ending.CallerGone = true
	case limited.Err() != nil:
		ending.Reason = attempt.ReasonDeadline
	case begun:
		ending.Reason = attempt.ReasonAnswerCut
	}
	return ending
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
