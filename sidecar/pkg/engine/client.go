// Package engine is a client for the model engine or plain service behind this sidecar. It
// never resends a request. An answer that arrives late, out of order, truncated,
// duplicated or malformed ends either complete or with an explicit error.
package engine

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"toucanhinge.example/common/pkg/http1"
)

// RequestIDHeader carries the stream ID to the engine.
const RequestIDHeader = "X-Request-Id"

// Limits of control calls.
const (
	controlTimeout  = 2 * time.Second
	maxControlBytes = 1 << 20
	dialTimeout     = 2 * time.Second
	idleTimeout     = 30 * time.Second
)

// StatusError is an error status that the engine returned.
type StatusError struct {
	Status int
	Body   string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("engine returned status %d: %s", e.Status, e.Body)
}

// Config holds the client's settings.
type Config struct {
	// URL is the address of the engine or service, http://IP:port.
	URL string
	// Connections limits the idle connections that stay open for idempotent calls.
	Connections int
}

// Client calls one engine.
type Client struct {
	url      string
	pooled   *http.Client
	unpooled *http.Client
}

// New returns a client. It connects on first use.
func New(config Config) *Client {
	return &Client{
		url:      strings.TrimSuffix(config.URL, "/"),
		pooled:   newHTTPClient(config.Connections, false),
		unpooled: newHTTPClient(0, true),
	}
}

// newHTTPClient returns a client that never resends a request of its own accord. Go's
// transport retries a request whose reused connection broke, even if the server has read
// it, when the request seems idempotent or has an Idempotency-Key header. It never does so
// on a new connection, so each call that must run at most once gets its own connection.
// Other calls can run twice at worst on a connection that closed while idle.
func newHTTPClient(connections int, disableKeepAlives bool) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}
	return &http.Client{
		Transport: http1.NewTransport(&http.Transport{
			DialContext:         dialer.DialContext,
			DisableKeepAlives:   disableKeepAlives,
			MaxIdleConnsPerHost: max(connections, 4),
			IdleConnTimeout:     idleTimeout,
			WriteBufferSize:     8 << 10,
			ReadBufferSize:      8 << 10,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Header is one header line.
type Header struct {
	Name  string
	Value string
}

// Call is one request to the engine or plain service.
type Call struct {
	// ID identifies the stream at the engine; empty for a plain service.
	ID      string
	Method  string
	Path    string
	Headers []Header
	Body    []byte
	// AtMostOnce forbids a second run.
	AtMostOnce bool
}

// Answer is an open response. The caller must close its body or call Release.
type Answer struct {
	Status  int
	Headers http.Header
	Body    io.ReadCloser
	// detach decouples the call from the context that it was opened with.
	detach func() bool
}

// IsEventStream reports whether the body contains server-sent events.
func (a *Answer) IsEventStream() bool {
	return strings.HasPrefix(a.Headers.Get("Content-Type"), "text/event-stream")
}

// Open sends the call and waits for the response headers. The result sent reports, also
// with an error, whether any byte may have reached the server. If it is false, the request
// was certainly not run.
func (c *Client) Open(ctx context.Context, call Call) (answer *Answer, sent bool, err error) {
	var connected atomic.Bool
	callCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	detach := context.AfterFunc(ctx, cancel)
	traced := httptrace.WithClientTrace(callCtx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(traced, call.Method, c.url+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		cancel()
		return nil, false, fmt.Errorf("build the request: %w", err)
	}
	// Without GetBody the transport can't send the body a second time.
	request.GetBody = nil
	setHeaders(request.Header, call)
	client := c.pooled
	if call.AtMostOnce {
		client = c.unpooled
	}
	response, err := client.Do(request) //nolint:bodyclose // The caller closes the body of Answer.
	if err != nil {
		cancel()
		return nil, connected.Load(), fmt.Errorf("call the engine: %w", err)
	}
	return &Answer{Status: response.StatusCode, Headers: response.Header, Body: &cancelingBody{response.Body, cancel}, detach: detach}, true, nil
}

// cancelingBody cancels the context of its call when it is closed.
type cancelingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func (b *cancelingBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

// Limits of the data after the end mark of a stream.
const (
	maxDrainBytes = 4 << 10
	drainTimeout  = time.Second
)

// Release reads the remaining data after the end mark, so that the connection can be
// reused. If the body were closed before its end, the next call would need a new
// connection. Release runs in the background, also after the context of the call has
// ended, because the complete answer must not wait for it.
func (a *Answer) Release() {
	a.detach()
	go func() {
		timer := time.AfterFunc(drainTimeout, func() { _ = a.Body.Close() })
		defer timer.Stop()
		_, _ = io.CopyN(io.Discard, a.Body, maxDrainBytes)
		_ = a.Body.Close()
	}()
}

// hopByHop lists headers that apply to a single connection.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Host": true, "Content-Length": true,
	"Proxy-Connection": true, "Expect": true,
	// Go's transport retries requests with one of these headers by itself.
	"Idempotency-Key": true, "X-Idempotency-Key": true,
}

// HopByHop reports whether a header must not be forwarded.
func HopByHop(name string) bool {
	return hopByHop[http.CanonicalHeaderKey(name)]
}

func setHeaders(to http.Header, call Call) {
	for _, h := range call.Headers {
		if !HopByHop(h.Name) {
			to.Add(h.Name, h.Value)
		}
	}
	if call.ID != "" {
		to.Set(RequestIDHeader, call.ID)
	}
}

// Cancel ends a stream at the engine permanently. A stream that the engine does not know
// has already ended, which is no error.
func (c *Client) Cancel(ctx context.Context, id string) error {
	return c.stopStream(ctx, id, "cancel")
}

// Suspend removes a stream from its slot. The stream can be resumed.
func (c *Client) Suspend(ctx context.Context, id string) error {
	return c.stopStream(ctx, id, "suspend")
}

func (c *Client) stopStream(ctx context.Context, id, action string) error {
	_, err := c.controlCall(ctx, http.MethodPost, "/streams/"+url.PathEscape(id)+"/"+action, nil)
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return nil
	}
	return err
}

// Resume reopens a stream after the given event number. A StatusError with status 404
// means that the engine no longer retains the stream.
func (c *Client) Resume(ctx context.Context, id string, after uint64) (*Answer, error) {
	path := fmt.Sprintf("/streams/%s/resume?after=%d", url.PathEscape(id), after)
	answer, _, err := c.Open(ctx, Call{Method: http.MethodGet, Path: path})
	if err != nil {
		return nil, fmt.Errorf("resume the stream: %w", err)
	}
	if answer.Status == http.StatusOK && answer.IsEventStream() {
		return answer, nil
	}
	defer func() { _ = answer.Body.Close() }()
	return nil, &StatusError{Status: answer.Status, Body: excerpt(answer.Body)}
}

func excerpt(body io.Reader) string {
	text, _ := io.ReadAll(io.LimitReader(body, 200))
	return strings.TrimSpace(string(text))
}

// controlCall makes a short call and returns its body, limited to maxControlBytes.
func (c *Client) controlCall(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	call := Call{Method: method, Path: path, Body: body, Headers: []Header{{Name: "Content-Type", Value: "application/json"}}}
	answer, _, err := c.Open(ctx, call)
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxControlBytes))
	if err != nil {
		return nil, fmt.Errorf("read the response of %s: %w", path, err)
	}
	if answer.Status < 200 || answer.Status > 299 {
		return text, &StatusError{Status: answer.Status, Body: excerpt(bytes.NewReader(text))}
	}
	return text, nil
}
