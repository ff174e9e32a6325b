package relay

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const bufferBytes = 64 << 10

// link is one relayed connection.
type link struct {
	// callerName is the caller that opened the connection, once its mark has been seen.
	callerName             atomic.Pointer[string]
	callerConn, targetConn net.Conn
	lostBytes              atomic.Bool
	once                   sync.Once
	done                   chan struct{}
}

// caller returns the name of the caller that opened the connection, or "" if it isn't known yet.
func (l *link) caller() string {
	if found := l.callerName.Load(); found != nil {
		return *found
	}
	return ""
}

// identifyCaller searches the bytes for a caller's mark. The kernel's connection lists don't serve
// for this: they aren't read atomically, so on a busy machine a caller was sometimes missed, and a
// connection that a test meant to cut stayed open.
func (l *link) identifyCaller(callers []Caller, data []byte) {
	if l.callerName.Load() != nil {
		return
	}
	for _, c := range callers {
		if bytes.Contains(data, c.Mark) {
			l.callerName.Store(&c.Name)
			return
		}
	}
}

func (l *link) close() {
	l.once.Do(func() {
		close(l.done)
		_ = l.callerConn.Close()
		_ = l.targetConn.Close()
	})
}

func (r *Relay) pump(l *link, from, to net.Conn, forward bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if forward {
			l.identifyCaller(r.config.Callers, buffer[:n])
		}
		if n > 0 && !r.forwardBytes(l, to, buffer[:n], forward) {
			return
		}
		if err != nil {
			// A hold must delay the close of a direction as well: in a real partition
			// the peer doesn't see the close.
			if r.waitWhileHeld(l, forward) {
				l.close()
			}
			return
		}
	}
}

// forwardBytes applies the current faults to data and writes it to the other side. It returns
// false if the link has closed.
func (r *Relay) forwardBytes(l *link, to net.Conn, data []byte, forward bool) bool {
	if !r.waitWhileHeld(l, forward) {
		return false
	}
	faults, _ := r.faultsFor(l)
	if forward && faults.DropForward || !forward && faults.DropBackward {
		l.lostBytes.Store(true)
		return true
	}
	if faults.DelayMs > 0 && !l.sleep(time.Duration(faults.DelayMs)*time.Millisecond) {
		return false
	}
	written, err := to.Write(data)
	r.bytes.Add(int64(written))
	if err != nil {
		l.close()
	}
	return err == nil
}

// waitWhileHeld blocks while the direction is held. It returns false if the link closes meanwhile.
func (r *Relay) waitWhileHeld(l *link, forward bool) bool {
	for {
		faults, changed := r.faultsFor(l)
		held := forward && faults.HoldForward || !forward && faults.HoldBackward
		if !held {
			return true
		}
		select {
		case <-changed:
		case <-l.done:
			return false
		}
	}
}

func (l *link) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-l.done:
		return false
	}
}
