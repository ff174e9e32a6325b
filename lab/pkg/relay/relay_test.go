package relay

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	testTimeout = 10 * time.Second
	// quietInterval is how long a test waits to conclude that no bytes arrive.
	quietInterval = 100 * time.Millisecond
)

func startEchoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	return l.Addr().String()
}

func dialThroughRelay(t *testing.T) (*Relay, net.Conn, *bufio.Reader) {
	t.Helper()
	r, err := New(Config{Listen: "127.0.0.1:0", Target: startEchoServer(t)})
	require.NoError(t, err)
	t.Cleanup(r.Close)
	c, err := net.Dial("tcp", r.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return r, c, bufio.NewReader(c)
}

func sendLine(t *testing.T, c net.Conn, line string) {
	t.Helper()
	_, err := c.Write([]byte(line))
	require.NoError(t, err)
}

func receiveLine(c net.Conn, r *bufio.Reader, wait time.Duration) (string, error) {
	_ = c.SetReadDeadline(time.Now().Add(wait))
	return r.ReadString('\n')
}

func TestHeldBytesArriveAfterHold(t *testing.T) {
	for _, faults := range []Faults{Cut, {HoldForward: true}, {HoldBackward: true}} {
		r, c, reader := dialThroughRelay(t)
		sendLine(t, c, "one\n")
		line, err := receiveLine(c, reader, testTimeout)
		require.NoError(t, err)
		require.Equal(t, "one\n", line)
		r.Set(faults)
		sendLine(t, c, "two\n")
		_, err = receiveLine(c, reader, quietInterval)
		require.Error(t, err)
		r.Set(Faults{})
		line, err = receiveLine(c, reader, testTimeout)
		require.NoError(t, err)
		require.Equal(t, "two\n", line)
	}
}

func TestLostBytesBreakConnection(t *testing.T) {
	r, c, reader := dialThroughRelay(t)
	r.Set(Faults{DropForward: true})
	sendLine(t, c, "lost\n")
	_, err := receiveLine(c, reader, quietInterval)
	require.Error(t, err)
	r.Set(Faults{})
	_, err = receiveLine(c, reader, testTimeout)
	require.ErrorIs(t, err, io.EOF)
}

func TestRefuseAndBreak(t *testing.T) {
	r, c, reader := dialThroughRelay(t)
	sendLine(t, c, "one\n")
	_, err := receiveLine(c, reader, testTimeout)
	require.NoError(t, err)
	r.Break()
	_, err = receiveLine(c, reader, testTimeout)
	require.Error(t, err)
	r.Set(Faults{Refuse: true})
	again, err := net.Dial("tcp", r.Address())
	require.NoError(t, err)
	_, err = receiveLine(again, bufio.NewReader(again), testTimeout)
	require.Error(t, err)
}

// SetFrom cuts off one of two callers of the same relay; the other stays connected.
func TestSetFromAffectsOnlyNamedCaller(t *testing.T) {
	r, err := New(Config{
		Listen: "127.0.0.1:0", Target: startEchoServer(t),
		Callers: []Caller{{Name: "cut", Mark: []byte("from cut")}, {Name: "free", Mark: []byte("from free")}},
	})
	require.NoError(t, err)
	t.Cleanup(r.Close)
	r.SetFrom("cut", Cut)
	dial := func() net.Conn {
		c, err := net.Dial("tcp", r.Address())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	cut, free := dial(), dial()
	sendLine(t, cut, "from cut\n")
	sendLine(t, free, "from free\n")
	cutReader := bufio.NewReader(cut)
	_, err = receiveLine(free, bufio.NewReader(free), testTimeout)
	require.NoError(t, err)
	_, err = receiveLine(cut, cutReader, quietInterval)
	require.Error(t, err)
	r.Set(Faults{})
	line, err := receiveLine(cut, cutReader, testTimeout)
	require.NoError(t, err)
	require.Equal(t, "from cut\n", line)
}
