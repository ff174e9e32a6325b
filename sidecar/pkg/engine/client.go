// Package engine speaks to the model engine beside this process. It never
// resends a request on its own, and what the engine answers late, out of order,
// short, doubled or garbled ends either whole or with an explicit error.
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
)

// RequestIDHeader names a stream towards the engine.
const RequestIDHeader = "X-Request-Id"

// Limits of calls that are not answers.
const (
	controlTimeout = 2 * time.Second
	controlBytes   = 1 << 20
	dialTimeout    = 2 * time.Second
	idleTimeout    = 30 * time.Second
)

// StatusError is an answer of the engine that says no.
type StatusError struct {
	Status int
	Body   string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("the engine answered %d: %s", e.Status, e.Body)
}

// Config describes the client.
type Config struct {
	// URL is where the engine or service listens, http://IP:port.
	URL string
	// Connections bounds idle connections kept for idempotent calls.
	Connections int
}

// Client calls one engine.
type Client struct {
	url    string
	reused *http.Client
	fresh  *http.Client
}

// New makes a client; it connects on first use.
func New(config Config) *Client {
	return &Client{
		url:    strings.TrimSuffix(config.URL, "/"),
		reused: newHTTP(config.Connections, false),
		fresh:  newHTTP(0, true),
	}
}

// newHTTP makes a client that never resends. Go's transport repeats a request
// whose reused connection died, also one that the server had read already, if
// it seems idempotent or bears an Idempotency-Key. On a fresh connection it
// never does, so calls that may run only once each get their own; the others
// run twice at worst on a connection that closed while idle.
func newHTTP(connections int, fresh bool) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			DisableKeepAlives:   fresh,
			DisableCompression:  true,
			MaxIdleConnsPerHost: max(connections, 4),
			IdleConnTimeout:     idleTimeout,
			WriteBufferSize:     8 << 10,
			ReadBufferSize:      8 << 10,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Header is one header line.
type Header struct {
	Name  string
	Value string
}

// Call is one request for the engine or plain service.
type Call struct {
	// ID names the stream at the engine; empty for a plain service.
	ID      string
	Method  string
	Path    string
	Headers []Header
	Body    []byte
	// AtMostOnce forbids a second run.
	AtMostOnce bool
}

// Answer is an open answer; the caller closes its body, or calls Release.
type Answer struct {
	Status  int
	Headers http.Header
	Body    io.ReadCloser
	// detach parts the call from the context that it was made under.
	detach func() bool
}

// IsEventStream says whether the body holds server-sent events.
func (a *Answer) IsEventStream() bool {
	return strings.HasPrefix(a.Headers.Get("Content-Type"), "text/event-stream")
}

// Open sends the call and waits for the head of its answer. Sent tells, also
// with an error, whether any byte may have reached the other side: if not, it
// was certainly not run.
func (c *Client) Open(ctx context.Context, call Call) (answer *Answer, sent bool, err error) {
	var connected atomic.Bool
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	detach := context.AfterFunc(ctx, cancel)
	traced := httptrace.WithClientTrace(inner, &httptrace.ClientTrace{
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
	client := c.reused
	if call.AtMostOnce {
		client = c.fresh
	}
	response, err := client.Do(request) //nolint:bodyclose // Answer hands the body on; its reader closes it.
	if err != nil {
		cancel()
		return nil, connected.Load(), fmt.Errorf("call the engine: %w", err)
	}
	return &Answer{Status: response.StatusCode, Headers: response.Header, Body: &body{response.Body, cancel}, detach: detach}, true, nil
}

// body ends its call's context when it is closed.
type body struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

// Limits of what may follow the end mark of a stream.
const (
	drainBytes = 4 << 10
	drainTime  = time.Second
)

// Release reads what follows the end mark, so that the connection can be used
// again: closed before its end, each answer would cost the next one a new
// connection. It goes on beside, also after the call's context has ended, as the
// answer is whole already and must not wait for it.
func (a *Answer) Release() {
	a.detach()
	go func() {
		limit := time.AfterFunc(drainTime, func() { _ = a.Body.Close() })
		defer limit.Stop()
		_, _ = io.CopyN(io.Discard, a.Body, drainBytes)
		_ = a.Body.Close()
	}()
}

// hopByHop lists headers that belong to one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Host": true, "Content-Length": true,
	"Proxy-Connection": true, "Expect": true,
	// Go's transport repeats requests that bear one of these by itself.
	"Idempotency-Key": true, "X-Idempotency-Key": true,
}

// HopByHop says whether a header must not be passed on.
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

// Cancel ends a stream at the engine for good. A stream that the engine does
// not know is no error: it ended before.
func (c *Client) Cancel(ctx context.Context, id string) error {
	return c.stop(ctx, id, "cancel")
}

// Suspend takes a stream out of its slot; it can be resumed.
func (c *Client) Suspend(ctx context.Context, id string) error {
	return c.stop(ctx, id, "suspend")
}

func (c *Client) stop(ctx context.Context, id, how string) error {
	_, err := c.control(ctx, http.MethodPost, "/streams/"+url.PathEscape(id)+"/"+how, nil)
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return nil
	}
	return err
}

// Resume opens a stream again after an event number. StatusError 404 means that
// the engine no longer holds it.
func (c *Client) Resume(ctx context.Context, id string, after uint64) (*Answer, error) {
	path := fmt.Sprintf("/streams/%s/resume?after=%d", url.PathEscape(id), after)
	answer, _, err := c.Open(ctx, Call{Method: http.MethodGet, Path: path})
	if err != nil {
		return nil, fmt.Errorf("resume: %w", err)
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

// control makes a short call and returns its bounded body.
func (c *Client) control(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	call := Call{Method: method, Path: path, Body: body, Headers: []Header{{Name: "Content-Type", Value: "application/json"}}}
	answer, _, err := c.Open(ctx, call)
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(answer.Body, controlBytes))
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", path, err)
	}
	if answer.Status < 200 || answer.Status > 299 {
		return text, &StatusError{Status: answer.Status, Body: excerpt(bytes.NewReader(text))}
	}
	return text, nil
}
