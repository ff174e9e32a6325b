package web

import (
	"context"
	"net"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A VM has lost power and takes no connection; callers' requests wait for it. Then it is
// back. The opening packet that was sent before is lost, and the system sends it again a
// second after. Whoever still waits for that packet's answer keeps callers waiting for a VM
// that has long been back.
func TestAVMThatIsBackIsFoundSoon(t *testing.T) {
	listener, address := deafListener(t)
	began := time.Now()
	const deaf = 250 * time.Millisecond
	time.AfterFunc(deaf, func() { hearAgain(listener) })

	conn, err := dial(t.Context(), "tcp4", address)
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	took := time.Since(began)
	require.Greater(t, took, deaf)
	require.Less(t, took, 600*time.Millisecond)
}

func TestAVMThatStaysAwayEndsTheTries(t *testing.T) {
	_, address := deafListener(t)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, err := dial(ctx, "tcp4", address)
	require.Error(t, err)
	require.InDelta(t, 300, float64(time.Since(began).Milliseconds()), 100)
}

func TestARefusedConnectionIsToldAtOnce(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	began := time.Now()
	_, err = dial(t.Context(), "tcp4", address)
	require.Error(t, err)
	require.Less(t, time.Since(began), dialTry)
}

// deafListener makes a socket whose queue of new connections is full: opening packets
// are dropped, as by a VM without power.
func deafListener(t *testing.T) (fd int, address string) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	bound, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	inet, ok := bound.(*syscall.SockaddrInet4)
	require.True(t, ok)
	address = net.JoinHostPort("127.0.0.1", strconv.Itoa(inet.Port))
	const mostQueued = 16
	for range mostQueued {
		conn, err := net.DialTimeout("tcp4", address, 50*time.Millisecond)
		if err != nil {
			return fd, address
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	require.Fail(t, "the queue takes any number of connections")
	return fd, address
}

// hearAgain empties the queue.
func hearAgain(fd int) {
	_ = syscall.SetNonblock(fd, true)
	for {
		conn, _, err := syscall.Accept(fd)
		if err != nil {
			return
		}
		_ = syscall.Close(conn)
	}
}
