package web

import (
	"net"
	"sync"
	"sync/atomic"
)

// limited is a listener that keeps no more connections than it may.
type limited struct {
	net.Listener
	most   int64
	open   atomic.Int64
	turned func()
}

// Accept implements net.Listener. What is too much is closed at once: it costs one file for a
// moment, and the caller knows at once. Left in the queue it would hang, and with all files
// taken no caller would be answered any more, also not those that are served.
func (l *limited) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.most {
			return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { l.open.Add(-1) })}, nil
		}
		l.open.Add(-1)
		_ = conn.Close()
		l.turned()
	}
}

// limitedConn gives its place back when it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
