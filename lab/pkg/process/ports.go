package process

import (
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/pkg/errors"
)

// The ports are below the kernel's ephemeral range, so that no outgoing connection can
// use a port between the check in FreeAddress and the listen call of the program.
const (
	firstPort = 20000
	portCount = 12000
	// portStride spreads the first ports of concurrent test processes over the range by process id.
	portStride = 97
)

var errNoFreePort = errors.New("no free port")

var (
	portMu   sync.Mutex
	nextPort = firstPort + os.Getpid()*portStride%portCount
)

// FreeAddress returns a free loopback address. It returns each address only once
// until the port range wraps around.
func FreeAddress() (string, error) {
	portMu.Lock()
	defer portMu.Unlock()
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		nextPort++
		if nextPort >= firstPort+portCount {
			nextPort = firstPort
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		return address, nil
	}
	return "", errNoFreePort
}
