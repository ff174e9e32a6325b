package web

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitedListener is a listener with a limit on its open connections.
type limitedListener struct {
	net.Listener
	limit    int64
	open     atomic.Int64
	onRefuse func()
}

// Accept implements net.Listener. It closes connections above the limit at once, so that they use a
// file descriptor only briefly and their clients know immediately. In the accept queue, such
// connections would hang; and if the process ran out of file descriptors, it could no longer answer
// anyone, including clients already being served.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { l.open.Add(-1) })}, nil
		}
		l.open.Add(-1)
		// The client may look at the count as soon as its connection is closed.
		l.onRefuse()
		_ = conn.Close()
	}
}

// limitedConn is a connection that counts towards the limit until it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
