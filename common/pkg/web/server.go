// Package web provides HTTP servers and clients. A server accepts HTTP/1.1 and unencrypted HTTP/2 on
// one port, with limits against slow clients and oversized headers.
package web

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/http2"
)

// Limits of every server. A client that sends its header slowly, or leaves its connection idle, uses a
// file descriptor and memory. Closing its connection is harmless.
const (
	headerTimeout     = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	maxFrameBytes     = 1 << 20
	maxStreamsPerConn = 10_000
	// serverPingAfter is the time without data after which a server pings its client. The
	// connection of a client that lost power would otherwise use memory until the idle timeout.
	serverPingAfter = 15 * time.Second
)

// Server is an HTTP server on one address.
type Server struct {
	server   *http.Server
	listener net.Listener
}

// Listen binds the address. Connections queue until Serve is called.
func Listen(address string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &Server{
		listener: listener,
		server: &http.Server{
			Handler:           handler,
			Protocols:         protocols,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			HTTP2: &http.HTTP2Config{
				MaxConcurrentStreams: maxStreamsPerConn, MaxReadFrameSize: maxFrameBytes, SendPingTimeout: serverPingAfter, PingTimeout: pingTimeout,
			},
		},
	}, nil
}

// LimitConnections limits the number of open connections. onRefuse is called for each connection
// refused. LimitConnections must be called before Serve.
func (s *Server) LimitConnections(limit int, onRefuse func()) {
	s.listener = &limitedListener{Listener: s.listener, limit: int64(limit), onRefuse: onRefuse}
}

// Address returns the address of the listener, with the port that the system chose if the
// configured port is 0.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Serve serves until Shutdown or Close, and returns nil after a planned end.
func (s *Server) Serve() error {
	err := s.server.Serve(s.listener)
	if err == nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve on %s: %w", s.Address(), err)
}

// Shutdown closes the listener and waits for the running requests until the context ends. It then
// closes the remaining connections and returns the context's error.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	if err == nil {
		return nil
	}
	if closeErr := s.server.Close(); closeErr != nil {
		return fmt.Errorf("close the server after an incomplete shutdown: %w", closeErr)
	}
	return fmt.Errorf("shut down with requests still running: %w", err)
}

// Timeouts of client connections.
const (
	dialTimeout = 2 * time.Second
	// dialAttemptTimeout limits one attempt to connect; the next one begins at once. The SYN
	// packet to a VM without power is lost, and the system repeats it only after a second. After
	// a power failure of all VMs, the first VMs to start connected to the later ones 0.8 s late,
	// and callers waited for that time. An attempt usually takes a few milliseconds, and 100 ms
	// is more than the round trip between any data centres of a region.
	dialAttemptTimeout = 100 * time.Millisecond
	keepAlive          = 15 * time.Second
	// clientPingAfter is the time without data after which a client pings its server. The
	// connection to a peer that is frozen or cut off stays open for hours, and every call on it
	// would hang.
	clientPingAfter = 2 * time.Second
	pingTimeout     = 2 * time.Second
)

// NewClient returns a client for calls between the platform's processes over unencrypted HTTP/2. It
// never follows redirects. Answers may be long streams, so the client has no overall timeout;
// callers set a deadline on their context.
//
// The client uses the transport of golang.org/x/net. The transport of net/http reads a flag of a
// request's body while a stream that has just failed still writes the flag, which the race detector
// sometimes reports. The client can switch to net/http once that is fixed.
func NewClient() *http.Client {
	//nolint:staticcheck // deprecated in favour of the transport of net/http, see above
	transport := &http2.Transport{
		AllowHTTP: true,
		DialTLSContext: func(ctx context.Context, network, address string, _ *tls.Config) (net.Conn, error) {
			return dial(ctx, network, address)
		},
		ReadIdleTimeout: clientPingAfter,
		PingTimeout:     pingTimeout,
		IdleConnTimeout: idleTimeout,
	}
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// dial connects in short attempts while the peer doesn't answer. An attempt that fails before its
// timeout has another cause and isn't repeated.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	end := time.Now().Add(dialTimeout)
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(end) {
		end = deadline
	}
	dialer := &net.Dialer{Timeout: dialAttemptTimeout, KeepAlive: keepAlive}
	for {
		start := time.Now()
		conn, err := dialer.DialContext(ctx, network, address)
		if err == nil || ctx.Err() != nil || time.Since(start) < dialAttemptTimeout || !time.Now().Before(end) {
			return conn, err
		}
	}
}
