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

// A VM without power accepts no connection while requests wait for it. When it is back, an earlier
// SYN packet is lost, and the system repeats it only after a second. A dial that waits for the
// answer to that packet would delay requests although the VM is back.
func TestDialConnectsSoonAfterOutage(t *testing.T) {
	listener, address := fullBacklogListener(t)
	start := time.Now()
	const outage = 250 * time.Millisecond
	time.AfterFunc(outage, func() { drainBacklog(listener) })

	conn, err := dial(t.Context(), "tcp4", address)
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	elapsed := time.Since(start)
	require.Greater(t, elapsed, outage)
	require.Less(t, elapsed, 600*time.Millisecond)
}

func TestDialStopsAtDeadline(t *testing.T) {
	_, address := fullBacklogListener(t)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	start := time.Now()
	_, err := dial(ctx, "tcp4", address)
	require.Error(t, err)
	require.InDelta(t, 300, float64(time.Since(start).Milliseconds()), 100)
}

func TestDialReturnsRefusalAtOnce(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	start := time.Now()
	_, err = dial(t.Context(), "tcp4", address)
	require.Error(t, err)
	require.Less(t, time.Since(start), dialAttemptTimeout)
}

// fullBacklogListener returns a socket whose accept queue is full. SYN packets to it are dropped, as
// by a VM without power.
func fullBacklogListener(t *testing.T) (fd int, address string) {
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
	const maxQueued = 16
	for range maxQueued {
		conn, err := net.DialTimeout("tcp4", address, 50*time.Millisecond)
		if err != nil {
			return fd, address
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	require.Fail(t, "the accept queue has no limit")
	return fd, address
}

// drainBacklog empties the accept queue.
func drainBacklog(fd int) {
	_ = syscall.SetNonblock(fd, true)
	for {
		conn, _, err := syscall.Accept(fd)
		if err != nil {
			return
		}
		_ = syscall.Close(conn)
	}
}
