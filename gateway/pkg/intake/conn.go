package intake

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

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

func (c *Conn) open() *Hold {
	return c.memory.Open(func() { _ = c.SetReadDeadline(time.Unix(1, 0)) })
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
	c.inHead.Store(true)
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
