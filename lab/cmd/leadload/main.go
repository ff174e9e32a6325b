// Command leadload applies the load of a large fleet to core processes, prints the CPU time
// that each of them uses and writes their CPU profiles.
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"toucanhinge.example/lab/pkg/leadload"
	"toucanhinge.example/lab/pkg/process"
)

// coreSize is the number of core VMs: five, which tolerate two losses, and one more.
const coreSize = 6

type arguments struct {
	leadload.Fleet
	For time.Duration `arg:"--for" default:"30s" help:"duration of the load"`
	Out string        `arg:"--out" default:"leadload" help:"folder for profiles and logs"`
	// Member and Core are set only for the core processes that the command itself starts.
	Member string `arg:"--member" help:"run one core VM at this address (internal)"`
	Core   string `arg:"--core" help:"addresses of the core VMs (internal)"`
}

func main() {
	var a arguments
	arg.MustParse(&a)
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(a arguments) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if a.Member == "" {
		return runLoad(ctx, a)
	}
	return leadload.Member{
		Address: a.Member, Addresses: strings.Split(a.Core, ","), Folder: a.Out, Fleet: a.Fleet,
		Profile: filepath.Join(a.Out, fileName(a.Member)+".prof"),
	}.Run(ctx)
}

// fileName returns an address in a form that is valid in file names.
func fileName(address string) string { return strings.ReplaceAll(address, ":", "-") }

// runLoad starts the core VMs as processes, generates the load in this process, stops the core
// VMs and prints the results.
func runLoad(ctx context.Context, a arguments) error {
	if err := os.RemoveAll(a.Out); err != nil {
		return fmt.Errorf("clear output folder: %w", err)
	}
	if err := os.MkdirAll(a.Out, 0o755); err != nil {
		return fmt.Errorf("create output folder: %w", err)
	}
	var addresses []string
	for range coreSize {
		address, err := process.FreeAddress()
		if err != nil {
			return err
		}
		addresses = append(addresses, address)
	}
	var started []*exec.Cmd
	for _, address := range addresses {
		c, err := startMember(a, address, addresses)
		if err != nil {
			return err
		}
		started = append(started, c)
	}
	ctx, cancel := context.WithTimeout(ctx, a.For)
	defer cancel()
	g := leadload.Gateways{Addresses: addresses, Fleet: a.Fleet}
	result, err := g.Run(ctx)
	for _, c := range started {
		_ = c.Process.Signal(syscall.SIGTERM)
	}
	for i, c := range started {
		_ = c.Wait()
		used := c.ProcessState.UserTime() + c.ProcessState.SystemTime()
		fmt.Printf("%s: %.3f CPU cores\n", fileName(addresses[i]), used.Seconds()/a.For.Seconds())
	}
	fmt.Println(result)
	return err
}

// startMember starts one core VM as a process limited to one CPU.
func startMember(a arguments, address string, addresses []string) (*exec.Cmd, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("find own executable: %w", err)
	}
	out, err := os.Create(filepath.Join(a.Out, fileName(address)+".log"))
	if err != nil {
		return nil, fmt.Errorf("create log: %w", err)
	}
	defer func() { _ = out.Close() }()
	c := exec.Command(self, "--member", address, "--core", strings.Join(addresses, ","), "--out", a.Out,
		"--runners", fmt.Sprint(a.Runners), "--slots", fmt.Sprint(a.Slots))
	c.Stdout, c.Stderr = out, out
	c.Env = append(os.Environ(), "GOMAXPROCS=1", "GOGC=50")
	if err := c.Start(); err != nil {
		return nil, fmt.Errorf("start core VM: %w", err)
	}
	return c, nil
}
