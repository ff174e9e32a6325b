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

// Limits of waits; generous, since a busy machine only makes them longer.
const (
	readyWait  = 40 * time.Second
	stopWait   = 40 * time.Second
	pollPause  = 10 * time.Millisecond
	probeLimit = 2 * time.Second
)

// ErrNotReady is a program that did not become ready in time.
var ErrNotReady = errors.New("not ready")

// Node is one program of a fleet.
type Node struct {
	Name string
	// VM and DataCentre are where it pretends to run.
	VM         string
	DataCentre string
	// Address is where it serves, host:port.
	Address string
	// AdminAddress is where health and metrics are, host:port; empty for a stand-in.
	AdminAddress string
	// DataFolder is the data folder, for a control.
	DataFolder string
	// ReadyURL is the URL that answers 200 when the program is ready.
	ReadyURL string

	config process.Config
	// mu guards program: a test may start a node again beside its other duties.
	mu      sync.Mutex
	program *process.Process
	// control holds this daemon's relays to the controls.
	control []*relay.Relay
}

// URL is the base URL of the node.
func (n *Node) URL() string { return "http://" + n.Address }

// Process is the running program.
func (n *Node) Process() *process.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.program
}

// Start starts the program, again after an end too.
func (n *Node) Start() error {
	program, err := process.Start(n.config)
	if err != nil {
		return fmt.Errorf("node %s: %w", n.Name, err)
	}
	n.mu.Lock()
	n.program = program
	n.mu.Unlock()
	return nil
}

// WaitReady waits until the program is ready; it fails early when it ends.
func (n *Node) WaitReady(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, readyWait)
	defer stop()
	for !n.probe(ctx) {
		if n.Process().Ended() {
			return fmt.Errorf("%s ended: %w; see %s", n.Name, ErrNotReady, n.config.Log)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: %w; see %s", n.Name, ErrNotReady, n.config.Log)
		case <-time.After(pollPause):
		}
	}
	return nil
}

func (n *Node) probe(ctx context.Context) bool {
	ctx, stop := context.WithTimeout(ctx, probeLimit)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, n.ReadyURL, nil)
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// Kill ends the program at once, as a lost VM does.
func (n *Node) Kill() error { return n.Process().Kill() }

// Stop asks for a graceful shutdown and waits for it.
func (n *Node) Stop() error { return n.Process().Stop(stopWait) }

// Restart stops gracefully, starts again and waits until ready.
func (n *Node) Restart(ctx context.Context) error {
	if err := n.Stop(); err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	return n.WaitReady(ctx)
}

// end makes sure that the program is gone, frozen or not.
func (n *Node) end() {
	for _, r := range n.control {
		r.Close()
	}
	if n.Process() == nil {
		return
	}
	_ = n.Process().Signal(syscall.SIGCONT)
	_ = n.Process().Kill()
}

// newNode lays out a node's files; args follow the binary's name.
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
		return fmt.Errorf("make folder: %w", err)
	}
	return nil
}
