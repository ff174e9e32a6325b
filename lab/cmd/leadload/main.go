// Command leadload puts the load of a large fleet on real VMs of the core and tells how much
// processor time each takes, with profiles of them.
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

// members is the number of VMs of the core: five for two losses, and one more.
const members = 6

type arguments struct {
	leadload.Fleet
	For time.Duration `arg:"--for" default:"30s" help:"how long"`
	Out string        `arg:"--out" default:"leadload" help:"folder for profiles and logs"`
	// Member, Core and Load are of the processes that the command starts.
	Member string `arg:"--member" help:"run one VM of the core at this address (for its own use)"`
	Core   string `arg:"--core" help:"addresses of the core (for its own use)"`
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
		return play(ctx, a)
	}
	return leadload.Member{
		Address: a.Member, Addresses: strings.Split(a.Core, ","), Folder: a.Out, Fleet: a.Fleet,
		Profile: filepath.Join(a.Out, name(a.Member)+".prof"),
	}.Run(ctx)
}

func name(address string) string { return strings.ReplaceAll(address, ":", "-") }

// play starts the VMs, plays the load in this process, and ends the VMs.
func play(ctx context.Context, a arguments) error {
	if err := os.RemoveAll(a.Out); err != nil {
		return fmt.Errorf("clear the folder: %w", err)
	}
	if err := os.MkdirAll(a.Out, 0o755); err != nil {
		return fmt.Errorf("make the folder: %w", err)
	}
	var addresses []string
	for range members {
		address, err := process.FreeAddress()
		if err != nil {
			return err
		}
		addresses = append(addresses, address)
	}
	var started []*exec.Cmd
	for _, address := range addresses {
		c, err := start(a, address, addresses)
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
		fmt.Printf("%s: %.3f of a core\n", name(addresses[i]), used.Seconds()/a.For.Seconds())
	}
	fmt.Println(result)
	return err
}

func start(a arguments, address string, addresses []string) (*exec.Cmd, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("find the program: %w", err)
	}
	out, err := os.Create(filepath.Join(a.Out, name(address)+".log"))
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	defer func() { _ = out.Close() }()
	c := exec.Command(self, "--member", address, "--core", strings.Join(addresses, ","), "--out", a.Out,
		"--runners", fmt.Sprint(a.Runners), "--slots", fmt.Sprint(a.Slots))
	c.Stdout, c.Stderr = out, out
	c.Env = append(os.Environ(), "GOMAXPROCS=1", "GOGC=50")
	if err := c.Start(); err != nil {
		return nil, fmt.Errorf("start a VM of the core: %w", err)
	}
	return c, nil
}
