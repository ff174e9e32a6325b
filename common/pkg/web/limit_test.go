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

// More connections arrive than the limit allows. The accepted ones keep working, the others are closed
// at once, and new ones are accepted when others have closed.
func TestLimitConnectionsRefusesExcess(t *testing.T) {
	const limit = 3
	server, err := Listen("127.0.0.1:0", http.NotFoundHandler())
	require.NoError(t, err)
	var refused atomic.Int64
	server.LimitConnections(limit, func() { refused.Add(1) })
	go func() { _ = server.Serve() }()
	t.Cleanup(func() { _ = server.server.Close() })

	var open []net.Conn
	for range limit {
		conn, err := net.Dial("tcp", server.Address())
		require.NoError(t, err)
		open = append(open, conn)
		requireResponse(t, conn)
	}
	extra, err := net.Dial("tcp", server.Address())
	require.NoError(t, err)
	require.NoError(t, extra.SetReadDeadline(time.Now().Add(time.Second)))
	_, err = extra.Read(make([]byte, 1))
	require.Error(t, err)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the connection is closed at once")
	require.EqualValues(t, 1, refused.Load())
	requireResponse(t, open[0])
	require.NoError(t, open[1].Close())
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", server.Address())
		if err != nil {
			return false
		}
		defer func() { _ = conn.Close() }()
		return sendRequest(conn) == nil
	}, 5*time.Second, 20*time.Millisecond)
}

func sendRequest(conn net.Conn) error {
	if err := conn.SetDeadline(time.Now().Add(time.Second)); err != nil {
		return err
	}
	if _, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
		return err
	}
	_, err := conn.Read(make([]byte, 512))
	return err
}

func requireResponse(t *testing.T, conn net.Conn) {
	t.Helper()
	require.NoError(t, sendRequest(conn))
}
