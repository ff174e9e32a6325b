package intake

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// writePiece is written at once, and writeTimeout is how long a caller may take to read that much. A caller that reads
	// nothing would otherwise occupy its connection and what the gateway holds for it without an end.
	writePiece   = 64 << 10
	writeTimeout = 10 * time.Second
	// deadlineInterval is how often the deadline of writes is moved at most.
	deadlineInterval = time.Second
	// untimedBytes of an answer are written without a deadline. They fit into the socket, and each deadline is a timer: most
	// answers are shorter.
	untimedBytes = 16 << 10
)

var errStopped = errors.New("the request gave its memory back")

// headCost is the memory that a byte of a request's head takes: as text, as fields, and as the copy that is forwarded.
const headCost = 3

// Conn is a connection of a caller. Its requests take memory from their first byte on.
type Conn struct {
	net.Conn
	memory *Memory
	// inHead is set while the head of the next request is awaited or read.
	inHead atomic.Bool
	// hold is the memory of the request that is being read or served, nil before its first byte. Only the goroutine that
	// serves the connection uses it.
	hold *Hold
	// stopped is set when an answer that is being written must give its memory back.
	stopped atomic.Bool
	// written counts the bytes of the answer, and deadlineSetAt is when its deadline was last moved, zero if it has none.
	written       int
	deadlineSetAt time.Time
}

func newConn(conn net.Conn, memory *Memory) *Conn {
	c := &Conn{Conn: conn, memory: memory}
	c.inHead.Store(true)
	return c
}

// Read implements net.Conn. A head that finds no memory ends the connection, with its request unread.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || !c.inHead.Load() {
		return n, err
	}
	if c.hold == nil {
		c.hold = c.open()
	}
	if full := c.hold.Grow(context.Background(), headCost*int64(n)); full != nil {
		return 0, &net.OpError{Op: "read", Net: c.RemoteAddr().Network(), Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: full}
	}
	return n, err
}

// Write implements net.Conn. It fails if the caller doesn't read.
func (c *Conn) Write(p []byte) (n int, err error) {
	for len(p) > 0 && err == nil {
		c.written += min(len(p), writePiece)
		if err := c.moveDeadline(len(p) > writePiece); err != nil {
			return n, err
		}
		if c.stopped.Load() {
			return n, errStopped
		}
		var written int
		written, err = c.Conn.Write(p[:min(len(p), writePiece)])
		n += written
		p = p[written:]
	}
	return n, err
}

// moveDeadline moves the deadline of writes if it is due, or at once for a piece of a long write.
func (c *Conn) moveDeadline(piece bool) error {
	if c.written <= untimedBytes {
		return nil
	}
	now := time.Now()
	if !piece && now.Sub(c.deadlineSetAt) <= deadlineInterval {
		return nil
	}
	c.deadlineSetAt = now
	return c.SetWriteDeadline(now.Add(writeTimeout))
}

func (c *Conn) open() *Hold {
	past := time.Unix(1, 0)
	return c.memory.Open(func(p Phase) {
		if p == Reading {
			_ = c.SetReadDeadline(past)
			return
		}
		c.stopped.Store(true)
		_ = c.SetWriteDeadline(past)
	})
}

// begin ends the head of a request and returns the request's memory.
func (c *Conn) begin() *Hold {
	c.inHead.Store(false)
	if c.hold == nil {
		c.hold = c.open()
	}
	return c.hold
}

// end gives the request's memory back. The next bytes are those of the next head.
func (c *Conn) end() {
	if c.hold != nil {
		c.hold.Close()
		c.hold = nil
	}
	// An answer that was evicted after its last byte was written must not end the next one.
	stopped := c.stopped.Swap(false)
	if stopped || !c.deadlineSetAt.IsZero() {
		// A deadline that can't be cleared belongs to a closed connection.
		_ = c.SetWriteDeadline(time.Time{})
	}
	c.written, c.deadlineSetAt = 0, time.Time{}
	c.inHead.Store(true)
}

// CloseWrite closes the connection for writing. The HTTP server does so before it closes a connection with unread bytes, so
// that the answer isn't lost.
func (c *Conn) CloseWrite() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	return tcp.CloseWrite()
}

type connKey struct{}

// WithConn returns a context with the connection of a request. It is the ConnContext of the HTTP server that uses the
// listener.
func (g *Gate) WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// BeginRequest returns the memory of the request of a context, whose head was read. It is given back at the end of the
// request.
func BeginRequest(ctx context.Context) *Hold {
	conn, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return nil
	}
	return conn.begin()
}
