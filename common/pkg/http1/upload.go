package http1

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// uploadWait is how long the end of an answer waits for the end of its request. A server that has closed its connection ends
	// the request within moments; one that keeps it open and reads nothing would hold the answer for good.
	uploadWait = time.Second
	// receivedInterval is how often it is then checked whether the server's VM has received all of the request.
	receivedInterval = 5 * time.Millisecond
)

var errCutUpload = errors.New("the connection ended with the answer before the whole request was sent")

// Upload is the sending of one request, beside which its answer may arrive.
type Upload struct {
	conn  net.Conn
	once  sync.Once
	ended chan struct{}
	err   error
}

// NewUpload returns an upload to a connection. It has not ended.
func NewUpload(conn net.Conn) *Upload { return &Upload{conn: conn, ended: make(chan struct{})} }

// End ends the upload, with an error if not all of the request was written. Only the first call counts.
func (u *Upload) End(err error) {
	u.once.Do(func() {
		u.err = err
		close(u.ended)
	})
}

// Written reports whether the whole request is written by now.
func (u *Upload) Written() bool {
	select {
	case <-u.ended:
		return u.err == nil
	default:
		return false
	}
}

// CheckSent returns an error unless the server's VM has received the whole request, also soon after this call. It must be
// called at the end of an answer that has neither a length nor chunks: a server that resets its connection while it is sent a
// request may show a plain end to the reader of its answer, and the reset only to the writer of the request.
func (u *Upload) CheckSent() error {
	timer := time.NewTimer(uploadWait)
	defer timer.Stop()
	select {
	case <-u.ended:
	case <-timer.C:
		return errCutUpload
	}
	if u.err != nil {
		return fmt.Errorf("%w: %w", errCutUpload, u.err)
	}
	for {
		unreceived, err := unreceivedBytes(u.conn)
		if err != nil {
			return fmt.Errorf("%w: %w", errCutUpload, err)
		}
		if unreceived == 0 {
			return nil
		}
		select {
		case <-timer.C:
			return errCutUpload
		case <-time.After(receivedInterval):
		}
	}
}

// unreceivedBytes returns how many of the bytes written to a connection the other VM hasn't acknowledged, and an error if the
// connection broke under them. A socket takes megabytes that its other side may never read. Where the system doesn't count
// them, what is written counts as received.
func unreceivedBytes(conn net.Conn) (unreceived int, err error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, fmt.Errorf("get the socket: %w", err)
	}
	controlErr := raw.Control(func(fd uintptr) {
		var broken int
		broken, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		if err == nil && broken != 0 {
			err = syscall.Errno(broken)
		}
		if count, countErr := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); countErr == nil {
			unreceived = count
		}
	})
	if controlErr != nil {
		return 0, fmt.Errorf("use the socket: %w", controlErr)
	}
	if err != nil {
		return 0, fmt.Errorf("the connection broke: %w", err)
	}
	return unreceived, nil
}
