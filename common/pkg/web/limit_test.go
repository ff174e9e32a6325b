package web

import (
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// More connections come than the process may have files. Those that are served go on, the others
// are told at once, and there is room again when some are gone.
func TestNoMoreConnectionsThanBounded(t *testing.T) {
	const most = 3
	server, err := Listen("127.0.0.1:0", http.NotFoundHandler())
	require.NoError(t, err)
	var turned atomic.Int64
	server.LimitConnections(most, func() { turned.Add(1) })
	go func() { _ = server.Serve() }()
	t.Cleanup(func() { _ = server.server.Close() })

	var open []net.Conn
	for range most {
		conn, err := net.Dial("tcp", server.Address())
		require.NoError(t, err)
		open = append(open, conn)
		ask(t, conn)
	}
	extra, err := net.Dial("tcp", server.Address())
	require.NoError(t, err)
	require.NoError(t, extra.SetReadDeadline(time.Now().Add(time.Second)))
	_, err = extra.Read(make([]byte, 1))
	require.Error(t, err)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "it is told at once")
	require.EqualValues(t, 1, turned.Load())
	ask(t, open[0])
	require.NoError(t, open[1].Close())
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", server.Address())
		if err != nil {
			return false
		}
		defer func() { _ = conn.Close() }()
		return try(conn) == nil
	}, 5*time.Second, 20*time.Millisecond)
}

func try(conn net.Conn) error {
	if err := conn.SetDeadline(time.Now().Add(time.Second)); err != nil {
		return err
	}
	if _, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
		return err
	}
	_, err := conn.Read(make([]byte, 512))
	return err
}

func ask(t *testing.T, conn net.Conn) {
	t.Helper()
	require.NoError(t, try(conn))
}
