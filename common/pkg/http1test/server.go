// Package http1test contains a server that answers byte for byte, for tests of what reads answers over HTTP/1.1.
package http1test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
)

// LongBytes is the size of a body that doesn't fit into the buffers of the sockets to a Server.
const LongBytes = 16 << 20

// receiveBytes keeps what a server doesn't read with its client.
const receiveBytes = 4 << 10

// Server answers requests with texts.
type Server struct {
	// Answers are what requests get, in order, on whichever connection; the last one stays.
	Answers []string
	// Early sends an answer once the head of its request is read, and leaves its body unread.
	Early bool
	// End ends the connection after an answer; nil if it stays open.
	End func(*net.TCPConn, *http.Request)

	requests, connections atomic.Int64
}

// Reset ends a connection with a reset.
func Reset(c *net.TCPConn, _ *http.Request) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// Close ends a connection. If the request isn't read, the system resets it.
func Close(c *net.TCPConn, _ *http.Request) { _ = c.Close() }

// CloseSending ends the server's side of a connection.
func CloseSending(c *net.TCPConn, _ *http.Request) { _ = c.CloseWrite() }

// CloseSendingAndRead ends the server's side of a connection and then reads the request.
func CloseSendingAndRead(c *net.TCPConn, request *http.Request) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, request.Body)
}

// KeepOpen keeps a connection open and reads nothing more.
func KeepOpen(*net.TCPConn, *http.Request) {}

// Start starts the server, which ends with the test, and returns its address, IP:port.
func (s *Server) Start(t testing.TB) (address string) {
	t.Helper()
	config := net.ListenConfig{Control: limitReceiveBuffer}
	listener, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			s.connections.Add(1)
			go s.serve(conn)
		}
	}()
	return listener.Addr().String()
}

// Requests returns the number of requests so far.
func (s *Server) Requests() int { return int(s.requests.Load()) }

// Connections returns the number of connections so far.
func (s *Server) Connections() int { return int(s.connections.Load()) }

func limitReceiveBuffer(_, _ string, socket syscall.RawConn) error {
	var err error
	if controlErr := socket.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
	}); controlErr != nil {
		return fmt.Errorf("use the socket: %w", controlErr)
	}
	return err
}

func (s *Server) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !s.Early {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		n := min(int(s.requests.Add(1)), len(s.Answers))
		if _, err := io.WriteString(conn, s.Answers[n-1]); err != nil {
			return
		}
		if tcp, ok := conn.(*net.TCPConn); ok && s.End != nil {
			s.End(tcp, request)
			return
		}
	}
}
