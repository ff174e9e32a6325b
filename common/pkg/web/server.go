// Package web serves and calls HTTP: version 1.1 and unencrypted HTTP/2 on one
// port, with limits against slow or oversized senders.
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

// Limits that every listener has. A sender that takes longer for its header, or
// an idle connection, holds a file and memory; cutting it is harmless.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	headerBytes   = 64 << 10
	frameBytes    = 1 << 20
	streamsPerTCP = 10_000
	// idlePing is the silence after which a caller is asked whether it is there: one that lost
	// power leaves its connection, with its memory, until the idle timeout.
	idlePing = 15 * time.Second
)

// Server is one listening address.
type Server struct {
	server   *http.Server
	listener net.Listener
}

// Listen takes the address; connections queue until Serve is called.
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
			MaxHeaderBytes:    headerBytes,
			HTTP2: &http.HTTP2Config{
				MaxConcurrentStreams: streamsPerTCP, MaxReadFrameSize: frameBytes, SendPingTimeout: idlePing, PingTimeout: pingTime,
			},
		},
	}, nil
}

// LimitConnections keeps the server from having more connections than a number. It is told of each that
// is turned away. Call it before Serve.
func (s *Server) LimitConnections(most int, turned func()) {
	s.listener = &limited{Listener: s.listener, most: int64(most), turned: turned}
}

// Address is where the server listens, with the port the system chose if 0 was asked for.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Serve answers until Shutdown or Close; a planned end is no error.
func (s *Server) Serve() error {
	err := s.server.Serve(s.listener)
	if err == nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve on %s: %w", s.Address(), err)
}

// Shutdown takes no new connection and waits for the requests under way until
// the context ends; then it cuts what is left and returns the context's error.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	if err == nil {
		return nil
	}
	if closeErr := s.server.Close(); closeErr != nil {
		return fmt.Errorf("close after an unfinished shutdown: %w", closeErr)
	}
	return fmt.Errorf("requests still under way: %w", err)
}

// Times of the client's connections.
const (
	dialTime = 2 * time.Second
	// dialTry ends one try to connect, and another one begins at once. The opening packet
	// to a VM without power is lost, and the system sends it again only after a second: when
	// all VMs had lost power, those that were back first found the others 0.8 s after these
	// were back, and callers waited for that long. A try takes a few milliseconds
	// otherwise, and 100 ms is more than any way between data centres of a region.
	dialTry   = 100 * time.Millisecond
	keepAlive = 15 * time.Second
	// pingAfter is the silence after which a connection is asked whether it is
	// alive: a peer that froze or was cut off silently keeps its connection open
	// for hours, and every call on it would hang.
	pingAfter = 2 * time.Second
	pingTime  = 2 * time.Second
)

// NewClient returns a client for calls between own processes, over unencrypted
// HTTP/2. It never follows redirects. Answers may stream for long, so it has no
// overall timeout: callers set a deadline on their context.
//
// It takes the transport of golang.org/x/net: the one of net/http reads a flag of
// a request's body while a stream that has just failed still writes it, which the
// race detector reports now and then. Its successor is to be net/http's, once that
// is mended there.
func NewClient() *http.Client {
	//nolint:staticcheck // deprecated for the transport that the comment above speaks of
	transport := &http2.Transport{
		AllowHTTP: true,
		DialTLSContext: func(ctx context.Context, network, address string, _ *tls.Config) (net.Conn, error) {
			return dial(ctx, network, address)
		},
		ReadIdleTimeout: pingAfter,
		PingTimeout:     pingTime,
		IdleConnTimeout: idleTimeout,
	}
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// dial connects, in short tries for as long as nothing answers. A try that ends sooner
// than it should has failed for another reason, and isn't repeated.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	ends := time.Now().Add(dialTime)
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(ends) {
		ends = deadline
	}
	dialer := &net.Dialer{Timeout: dialTry, KeepAlive: keepAlive}
	for {
		began := time.Now()
		conn, err := dialer.DialContext(ctx, network, address)
		if err == nil || ctx.Err() != nil || time.Since(began) < dialTry || !time.Now().Before(ends) {
			return conn, err
		}
	}
}
