package http1

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// maxInterim bounds the interim answers to one request.
const maxInterim = 5

var errTooManyInterim = errors.New("too many interim answers")

// Transport sends requests over HTTP/1.1 and returns errors for broken answers: for those that are broken in their head before
// any of the answer is returned, otherwise at the end of the body.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a transport with the settings of another one, which must not be used by itself. Bodies are returned as
// they were sent: the library hides the framing of those that it decompresses.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DisableCompression = true
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: conn, folds: FoldCheck{Source: conn}}, nil
	}
	return &Transport{base: base}
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	e := &exchange{}
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: e.begin, Got1xxResponse: e.checkInterim, WroteRequest: e.endUpload,
	})
	response, err := t.base.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response.StatusCode, response.Header); err != nil {
		_ = response.Body.Close()
		// The library keeps a connection whose answer has no body.
		e.closeConn()
		return nil, err
	}
	response.Body = &checkedBody{ReadCloser: response.Body, response: response}
	return response, nil
}

// checkedBody is the body of an answer. It ends with io.EOF only if its trailer is sound.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if nameErr := CheckNames(b.response.Trailer); nameErr != nil {
		return n, nameErr
	}
	return n, err
}

// checkedConn is a connection whose answers are checked on their way to the library.
type checkedConn struct {
	net.Conn
	folds FoldCheck
	// upload is the present request.
	upload atomic.Pointer[Upload]
}

// Read implements net.Conn. An answer without a length and chunks ends with its connection, so that end is an error if the
// request was cut.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.folds.Read(p)
	upload := c.upload.Load()
	if upload == nil || !errors.Is(err, io.EOF) {
		return n, err
	}
	if sendErr := upload.CheckSent(); sendErr != nil {
		return n, sendErr
	}
	return n, err
}

// exchange is a request and its answer. The library may begin it again on another connection before the server has it.
type exchange struct {
	mu      sync.Mutex
	conn    *checkedConn
	upload  *Upload
	interim int
}

// begin starts the exchange on a connection.
func (e *exchange) begin(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*checkedConn)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conn, e.upload = conn, NewUpload(conn.Conn)
	conn.upload.Store(e.upload)
	// Nothing is buffered: the library closes an idle connection that brings bytes.
	_ = conn.folds.Begin(nil)
}

func (e *exchange) endUpload(info httptrace.WroteRequestInfo) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.upload != nil {
		e.upload.End(info.Err)
	}
}

func (e *exchange) closeConn() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != nil {
		_ = e.conn.Close()
	}
}

func (e *exchange) checkInterim(status int, header textproto.MIMEHeader) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.interim++; e.interim > maxInterim {
		return fmt.Errorf("%w: more than %d", errTooManyInterim, maxInterim)
	}
	return CheckHead(status, http.Header(header))
}
