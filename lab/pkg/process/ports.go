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
)

// The hosts follow those of package loopback.
const (
	firstNet = 216
	nets     = 40
	subnets  = 256
	hosts    = 254
)

var errNoFreePort = errors.New("no free port")

var (
	portMu   sync.Mutex
	nextPort = firstPort
	host     = hostOf(os.Getpid())
)

// hostOf returns the loopback address of a process. Each process has its own: the address of a
// program that is stopped to be restarted can't be taken by another test process meanwhile.
func hostOf(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", firstNet+pid%nets, pid/nets%subnets, 1+pid/nets/subnets%hosts)
}

// FreeAddress returns a free loopback address. It returns each address only once
// until the port range wraps around.
func FreeAddress() (string, error) {
	portMu.Lock()
	defer portMu.Unlock()
	for range portCount {
		address := fmt.Sprintf("%s:%d", host, nextPort)
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
