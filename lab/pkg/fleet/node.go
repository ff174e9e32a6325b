package fleet

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"toucanhinge.example/lab/pkg/process"
	"toucanhinge.example/lab/pkg/relay"
)

// The timeouts are generous so that a busy machine does not fail a run.
const (
	readyTimeout = 40 * time.Second
	stopTimeout  = 40 * time.Second
	pollInterval = 10 * time.Millisecond
	probeTimeout = 2 * time.Second
)

// ErrNotReady is returned when a process or the fleet does not become ready in time.
var ErrNotReady = errors.New("not ready")

// Node is one process of a fleet.
type Node struct {
	Name string
	// VM and DataCentre are the simulated location of the process.
	VM         string
	DataCentre string
	// Address is the host:port that the process serves on.
	Address string
	// AdminAddress is the host:port of health and metrics. It is empty for simulated engines and services.
	AdminAddress string
	// DataFolder is set for control VMs only.
	DataFolder string
	// ReadyURL returns status 200 when the process is ready.
	ReadyURL string

	config process.Config
	// mu protects program, since a test may restart a node from another goroutine.
	mu      sync.Mutex
	program *process.Process
	// controlRelays are the relays between this daemon and the control VMs.
	controlRelays []*relay.Relay
}

// URL returns the base URL of the node.
func (n *Node) URL() string { return "http://" + n.Address }

// Process returns the process of the last start.
func (n *Node) Process() *process.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.program
}

// Start starts the process. It may be called again after the process has ended.
func (n *Node) Start() error {
	program, err := process.Start(n.config)
	if err != nil {
		return fmt.Errorf("start node %s: %w", n.Name, err)
	}
	n.mu.Lock()
	n.program = program
	n.mu.Unlock()
	return nil
}

// WaitReady waits until the process is ready. It returns early with an error if the process ends.
func (n *Node) WaitReady(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	for !n.probe(ctx) {
		if n.Process().Ended() {
			return fmt.Errorf("%s ended during startup: %w; see log %s", n.Name, ErrNotReady, n.config.Log)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: %w; see log %s", n.Name, ErrNotReady, n.config.Log)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

func (n *Node) probe(ctx context.Context) bool {
	ctx, stop := context.WithTimeout(ctx, probeTimeout)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, n.ReadyURL, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Kill kills the process without a graceful shutdown, which simulates the loss of its VM.
func (n *Node) Kill() error { return n.Process().Kill() }

// Stop shuts the process down gracefully and waits for its end.
func (n *Node) Stop() error { return n.Process().Stop(stopTimeout) }

// Restart stops the process gracefully, starts it again and waits until it is ready.
func (n *Node) Restart(ctx context.Context) error {
	if err := n.Stop(); err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	return n.WaitReady(ctx)
}

// terminate kills the process, including a frozen one, and closes its relays.
func (n *Node) terminate() {
	for _, r := range n.controlRelays {
		r.Close()
	}
	if n.Process() == nil {
		return
	}
	_ = n.Process().Signal(syscall.SIGCONT)
	_ = n.Process().Kill()
}

// newNode returns a node that is not started yet. args are the arguments of the binary.
func newNode(config Config, name, binary, address string, args ...string) *Node {
	return &Node{
		Name: name, Address: address, VM: "vm-" + name,
		config: process.Config{
			Name: name, Binary: filepath.Join(config.Bin, binary), Args: args,
			Log: filepath.Join(config.Folder, name+".log"),
		},
	}
}

func makeFolder(folder string) error {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return fmt.Errorf("create folder: %w", err)
	}
	return nil
}
