// Package relay implements a TCP relay with fault injection, for tests of partitions
// and freezes between two processes. It holds bytes where a real network would
// retransmit them, and breaks a connection after dropping bytes of it.
package relay

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Faults are the faults that the relay injects. The zero value forwards everything.
type Faults struct {
	// HoldForward and HoldBackward stop one direction (forward is from the
	// caller to the target) as a network partition does: no bytes arrive and no
	// connection is closed. Held bytes arrive when the hold ends.
	HoldForward  bool `json:"hold_forward"`
	HoldBackward bool `json:"hold_backward"`
	// DropForward and DropBackward drop the bytes; the connection breaks when the fault ends.
	DropForward  bool `json:"drop_forward"`
	DropBackward bool `json:"drop_backward"`
	// DelayMs delays every write in both directions.
	DelayMs int64 `json:"delay_ms"`
	// Refuse closes new connections immediately.
	Refuse bool `json:"refuse"`
}

// Cut holds both directions, as a network partition does.
var Cut = Faults{HoldForward: true, HoldBackward: true}

// Config configures a relay.
type Config struct {
	// Listen is host:port; port 0 selects a free port.
	Listen string
	Target string
	// Callers, if set, are identified by the bytes that they send: a connection
	// belongs to the caller whose mark is seen on it first. SetFrom can then inject
	// faults for one caller only.
	Callers []Caller
}

// Caller is a process that opens connections, and a byte sequence that only it sends.
type Caller struct {
	Name string
	Mark []byte
}

// Relay listens on one address and forwards its connections to one target.
type Relay struct {
	config       Config
	listener     net.Listener
	mu           sync.Mutex
	changed      chan struct{}
	faults       Faults
	callerFaults map[string]Faults
	links        map[*link]struct{}
	closed       bool
	goroutines   sync.WaitGroup
	bytes        atomic.Int64
}

// Bytes returns the number of bytes forwarded so far in both directions.
func (r *Relay) Bytes() int64 { return r.bytes.Load() }

// New starts a relay.
func New(config Config) (*Relay, error) {
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for relayed connections: %w", err)
	}
	r := &Relay{
		config: config, listener: listener, changed: make(chan struct{}),
		callerFaults: make(map[string]Faults), links: make(map[*link]struct{}),
	}
	r.goroutines.Go(r.accept)
	return r, nil
}

// Address returns the address at which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Set replaces the faults of all connections, including open ones. Connections that lost
// bytes under the previous faults are broken.
func (r *Relay) Set(faults Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = faults
	clear(r.callerFaults)
	r.notifyLinks(func(*link) bool { return true })
}

// SetFrom replaces the faults of one caller's connections until the next Set.
func (r *Relay) SetFrom(name string, faults Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.callerFaults[name] = faults
	r.notifyLinks(func(l *link) bool { return l.caller() == name })
}

// notifyLinks wakes all links to check the faults again, and breaks the affected links that
// have lost bytes.
func (r *Relay) notifyLinks(affected func(*link) bool) {
	close(r.changed)
	r.changed = make(chan struct{})
	for l := range r.links {
		if affected(l) && l.lostBytes.Load() {
			l.close()
		}
	}
}

// Break closes every open connection.
func (r *Relay) Break() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.close()
	}
}

// Close stops the relay and closes all connections.
func (r *Relay) Close() {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return
	}
	r.closed = true
	r.mu.Unlock()
	_ = r.listener.Close()
	r.Set(Faults{})
	r.Break()
	r.goroutines.Wait()
}

// faultsFor returns the current faults of a link and a channel that is closed when faults
// change.
func (r *Relay) faultsFor(l *link) (Faults, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if faults, ok := r.callerFaults[l.caller()]; ok {
		return faults, r.changed
	}
	return r.faults, r.changed
}

func (r *Relay) accept() {
	for {
		callerConn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.goroutines.Go(func() { r.serveLink(callerConn) })
	}
}

const dialTimeout = 5 * time.Second

// serveLink connects to the target and forwards both directions until either side closes.
func (r *Relay) serveLink(callerConn net.Conn) {
	l := &link{callerConn: callerConn, done: make(chan struct{})}
	if faults, _ := r.faultsFor(l); faults.Refuse {
		_ = callerConn.Close()
		return
	}
	targetConn, err := net.DialTimeout("tcp", r.config.Target, dialTimeout)
	if err != nil {
		_ = callerConn.Close()
		return
	}
	l.targetConn = targetConn
	r.mu.Lock()
	if r.closed {
		l.close()
	}
	r.links[l] = struct{}{}
	r.mu.Unlock()
	var pumps sync.WaitGroup
	pumps.Go(func() { r.pump(l, callerConn, targetConn, true) })
	pumps.Go(func() { r.pump(l, targetConn, callerConn, false) })
	pumps.Wait()
	l.close()
	r.mu.Lock()
	delete(r.links, l)
	r.mu.Unlock()
}
