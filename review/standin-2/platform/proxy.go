package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// proxy is the link to one server. While it is cut, bytes are held up in both directions and new connections wait. What
// was held up arrives once the link is whole, in its order, and so do the ends of connections.
type proxy struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	whole    chan struct{}
}

func startProxy(address, target string) *proxy {
	listener, err := net.Listen("tcp4", address)
	check(err)
	p := &proxy{target: target, listener: listener, whole: make(chan struct{})}
	close(p.whole)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.carry(conn.(*net.TCPConn))
		}
	}()
	return p
}

// cut cuts the link until heal is called.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.whole = make(chan struct{})
}

func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.whole)
}

// await waits until the link is whole.
func (p *proxy) await() {
	p.mu.Lock()
	whole := p.whole
	p.mu.Unlock()
	<-whole
}

func (p *proxy) carry(near *net.TCPConn) {
	p.await()
	conn, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		// Nobody listens there: the caller's connection is reset.
		_ = near.SetLinger(0)
		_ = near.Close()
		return
	}
	far := conn.(*net.TCPConn)
	var both sync.WaitGroup
	both.Go(func() { p.copy(far, near) })
	both.Go(func() { p.copy(near, far) })
	both.Wait()
	_ = near.Close()
	_ = far.Close()
}

// copy passes bytes on. It passes on the end of the source as it was: an end as an end, a reset as a reset.
func (p *proxy) copy(to, from *net.TCPConn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.await()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.SetLinger(0)
				_ = from.Close()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}
