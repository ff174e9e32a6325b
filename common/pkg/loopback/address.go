// Package loopback provides addresses for tests that start servers. Only test files import it.
package loopback

import (
	"fmt"
	"net"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// The second and third bytes of an address depend on the test process. 127.0 to 127.15 are reserved
// for the processes that tests start.
const (
	firstNet = 16
	nets     = 200
	hosts    = 250
)

// Host returns the nth IP address of this process. Test processes don't share 127.0.0.1 because another
// test process that runs at the same time could bind a port between the search for a free port and
// its use.
func Host(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", firstNet+pid%nets, pid/nets%hosts, 1+n%hosts)
}

// Address returns a free TCP address at the nth host of this process.
func Address(t testing.TB, n int) string {
	t.Helper()
	listener, err := net.Listen("tcp4", net.JoinHostPort(Host(n), "0"))
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}
