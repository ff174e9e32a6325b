package intake

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"
)

// server is an HTTP server behind a gate. A request is answered when release receives a value.
type server struct {
	gate    *Gate
	address string
	release chan struct{}
}

func startServer(t *testing.T, maxConnections int) *server {
	t.Helper()
	s := &server{
		gate:    New(Config{MaxConnections: maxConnections, Logger: log.NewNopLogger(), Registerer: prometheus.NewRegistry()}),
		release: make(chan struct{}),
	}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	s.address = listener.Addr().String()
	web := &http.Server{
		Handler:   http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-s.release }),
		ConnState: s.gate.Track, ConnContext: s.gate.WithConn, ReadHeaderTimeout: time.Second,
	}
	go func() { _ = web.Serve(s.gate.Listen(listener)) }()
	t.Cleanup(func() { close(s.release); _ = web.Close() })
	return s
}

// connect opens a connection and sends a request on it.
func (s *server) connect(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.DialTimeout("tcp4", s.address, time.Second)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	send(conn)
	return conn
}

func send(conn net.Conn) { _, _ = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n") }

// answered reports whether a connection brings an answer, and not its end.
func answered(t *testing.T, conn net.Conn) bool {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(2*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	require.NoError(t, response.Body.Close())
	return true
}

func (s *server) inProgress() int {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	return s.gate.inProgress()
}

// Guards against requests that are read although the process is overloaded: beyond the limit a connection is closed
// unread, and those that were taken are served.
func TestConnectionsBeyondLimitAreClosedUnread(t *testing.T) {
	s := startServer(t, 0)
	var taken []net.Conn
	for range 20 {
		taken = append(taken, s.connect(t))
	}
	require.Eventually(t, func() bool { return s.inProgress() == 20 }, time.Second, time.Millisecond)
	for range samples {
		s.gate.observe(10 * maxLag)
	}
	require.False(t, answered(t, s.connect(t)))
	require.InDelta(t, 1, testutil.ToFloat64(s.gate.refused.WithLabelValues(reasonOverload)), 0)
	for _, conn := range taken {
		s.release <- struct{}{}
		_ = conn
	}
	for _, conn := range taken {
		require.True(t, answered(t, conn))
	}
	require.Eventually(t, func() bool { return s.inProgress() == 0 }, time.Second, time.Millisecond)
	next := s.connect(t)
	s.release <- struct{}{}
	require.True(t, answered(t, next))
}

// Guards against a gateway that runs out of files because callers leave idle connections behind: the longest idle one is
// closed for a new one, and only if all have a request in progress a new one is refused.
func TestIdleConnectionsYieldToNewOnes(t *testing.T) {
	const limit = 3
	s := startServer(t, limit)
	var conns []net.Conn
	for n := range limit {
		conn := s.connect(t)
		conns = append(conns, conn)
		s.release <- struct{}{}
		require.True(t, answered(t, conn))
		require.Eventually(t, func() bool { return s.gate.idleCount() == n+1 }, time.Second, time.Millisecond)
	}
	busy := s.connect(t)
	require.Eventually(t, func() bool { return s.inProgress() == 1 }, time.Second, time.Millisecond)
	require.False(t, answered(t, conns[0]), "the longest idle connection is closed")
	for _, conn := range conns[1:] {
		send(conn)
	}
	require.Eventually(t, func() bool { return s.inProgress() == limit }, time.Second, time.Millisecond)
	require.False(t, answered(t, s.connect(t)), "all connections have a request in progress")
	require.InDelta(t, 1, testutil.ToFloat64(s.gate.refused.WithLabelValues(reasonConnections)), 0)
	for range limit {
		s.release <- struct{}{}
	}
	for _, conn := range append(conns[1:], busy) {
		require.True(t, answered(t, conn))
	}
}

func (g *Gate) idleCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.idle.Len()
}

// Guards against a lag that says nothing, because the runtime lets the goroutine whose timer fires run before all that
// wait: a process with more work than time must be found overloaded, within the least time after which a crowd counts.
func TestBusyProcessIsLimited(t *testing.T) {
	const stableWindow = 3 * time.Second
	s := startServer(t, 0)
	for range 20 {
		s.connect(t)
	}
	require.Eventually(t, func() bool { return s.inProgress() == 20 }, time.Second, time.Millisecond)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	ctx, cancel := context.WithTimeout(context.Background(), stableWindow)
	defer cancel()
	limited := func() bool {
		s.gate.mu.Lock()
		defer s.gate.mu.Unlock()
		return s.gate.limiter.Limited()
	}
	var busy sync.WaitGroup
	var looks atomic.Int64
	for range 100 {
		busy.Go(func() {
			for ctx.Err() == nil {
				looks.Add(int64(work(2 * time.Millisecond)))
				if limited() {
					cancel()
				}
				runtime.Gosched()
			}
		})
	}
	s.gate.Run(ctx)
	busy.Wait()
	require.Positive(t, looks.Load())
	require.True(t, limited())
}

// work uses the processor for a time and returns how often it looked at the clock.
func work(span time.Duration) (looks int) {
	for until := time.Now().Add(span); time.Now().Before(until); {
		looks++
	}
	return looks
}

// The samples must come, and an unloaded process must not be limited.
func TestIdleProcessIsNotLimited(t *testing.T) {
	s := startServer(t, 0)
	ctx, cancel := context.WithTimeout(context.Background(), 10*SampleInterval.Duration())
	defer cancel()
	s.gate.Run(ctx)
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	require.Positive(t, s.gate.limiter.sampledAt)
	require.False(t, s.gate.limiter.Limited())
}

// Guards against requests whose memory is never given back, on kept, closed and refused connections.
func TestRequestsGiveTheirMemoryBack(t *testing.T) {
	s := startServer(t, 0)
	memory := s.gate.config.Memory
	used := func() int64 {
		memory.mu.Lock()
		defer memory.mu.Unlock()
		return memory.used
	}
	awaitUsed := func(want bool) {
		require.Eventually(t, func() bool { return (used() > 0) == want }, time.Second, time.Millisecond)
	}
	kept := s.connect(t)
	for range 2 {
		awaitUsed(true)
		s.release <- struct{}{}
		require.True(t, answered(t, kept))
		awaitUsed(false)
		send(kept)
	}
	s.release <- struct{}{}
	require.True(t, answered(t, kept))
	unended, err := net.Dial("tcp4", s.address)
	require.NoError(t, err)
	_, err = fmt.Fprint(unended, "GET / HTTP/1.1\r\nLong: x")
	require.NoError(t, err)
	awaitUsed(true)
	require.NoError(t, unended.Close())
	awaitUsed(false)
}

// Guards against heads that take more memory than there is: their connections are closed unread.
func TestHeadWithoutMemoryClosesConnection(t *testing.T) {
	s := startServer(t, 0)
	s.gate.config.Memory.config.Limit = 1
	require.False(t, answered(t, s.connect(t)))
}

// Guards against an answer that ends because the one before it on the connection was evicted when it was already written.
func TestEvictionEndsWithItsRequest(t *testing.T) {
	caller, gateway := net.Pipe()
	t.Cleanup(func() { _ = caller.Close() })
	c := newConn(gateway, New(Config{Logger: log.NewNopLogger(), Registerer: prometheus.NewRegistry()}).config.Memory)
	c.begin().stop(Writing)
	_, err := c.Write([]byte("evicted"))
	require.ErrorIs(t, err, errStopped)
	c.end()
	go func() { _, _ = c.Write([]byte("next")) }()
	require.NoError(t, caller.SetReadDeadline(time.Now().Add(time.Second)))
	read := make([]byte, 4)
	_, err = io.ReadFull(caller, read)
	require.NoError(t, err)
	require.Equal(t, "next", string(read))
}

// Guards against a refusal that is lost because its connection is closed with unread bytes: the caller must be able to read
// it to its end while it is still sending.
func TestConnectionIsHalfClosedBeforeItsEnd(t *testing.T) {
	s := startServer(t, 0)
	caller := s.connect(t)
	require.Eventually(t, func() bool { return s.inProgress() == 1 }, time.Second, time.Millisecond)
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	for conn := range s.gate.open {
		c, ok := conn.(interface{ CloseWrite() error })
		require.True(t, ok)
		require.NoError(t, c.CloseWrite())
	}
	require.NoError(t, caller.SetReadDeadline(time.Now().Add(time.Second)))
	_, err := caller.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}
