// Package process starts programs for demos, failure tests and experiments and signals them
// by their process id. The programs are killed when the process that started them ends.
package process

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// ErrStillRunning is returned when a process does not end or freeze within its timeout.
var ErrStillRunning = errors.New("still running")

// Config describes the program to start.
type Config struct {
	// Name identifies the process in error messages.
	Name   string
	Binary string
	Args   []string
	// Log is the file to which standard output and standard error are appended.
	Log string
}

// Process is a started program.
type Process struct {
	Config Config
	cmd    *exec.Cmd
	ended  chan struct{}
	err    error
}

// Start starts a program. The kernel kills it if the starting process ends first.
func Start(config Config) (*Process, error) {
	log, err := os.OpenFile(config.Log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open log of %s: %w", config.Name, err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(config.Binary, config.Args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", config.Name, err)
	}
	p := &Process{Config: config, cmd: cmd, ended: make(chan struct{})}
	go func() { p.err = cmd.Wait(); close(p.ended) }()
	return p, nil
}

// ID returns the process id.
func (p *Process) ID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process. It does nothing if the process has ended.
func (p *Process) Signal(signal syscall.Signal) error {
	if p.Ended() {
		return nil
	}
	if err := p.cmd.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("signal %s: %w", p.Config.Name, err)
	}
	return nil
}

// Kill kills the process without a graceful shutdown and waits for its end, which simulates
// the loss of its VM.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.ended
	return nil
}

// freezeTimeout bounds the wait until a SIGSTOP takes effect.
const freezeTimeout = 5 * time.Second

// Freeze suspends the process with SIGSTOP and waits until the kernel reports it as stopped.
// Without the wait, a signal sent right afterwards could be delivered before the stop.
func (p *Process) Freeze() error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for deadline := time.Now().Add(freezeTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		text, err := os.ReadFile("/proc/" + strconv.Itoa(p.ID()) + "/stat")
		if err != nil || p.Ended() {
			return fmt.Errorf("freeze %s: %w", p.Config.Name, os.ErrProcessDone)
		}
		if _, rest, _ := strings.Cut(string(text), ") "); strings.HasPrefix(rest, "T") {
			return nil
		}
	}
	return fmt.Errorf("freeze %s: %w", p.Config.Name, ErrStillRunning)
}

// Thaw resumes a frozen process.
func (p *Process) Thaw() error { return p.Signal(syscall.SIGCONT) }

// Stop sends SIGTERM and waits for the process to end.
func (p *Process) Stop(timeout time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.Wait(timeout)
}

// Wait waits for the process to end. It returns an error if the process failed or still runs
// after the timeout.
func (p *Process) Wait(timeout time.Duration) error {
	select {
	case <-p.ended:
	case <-time.After(timeout):
		return fmt.Errorf("%s after %s: %w", p.Config.Name, timeout, ErrStillRunning)
	}
	if p.err != nil {
		return fmt.Errorf("%s exited with an error: %w", p.Config.Name, p.err)
	}
	return nil
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}
