package process

import (
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const waitTimeout = 10 * time.Second

func startShell(t *testing.T, script string) *Process {
	t.Helper()
	p, err := Start(Config{Name: "shell", Binary: "/bin/sh", Args: []string{"-c", script}, Log: filepath.Join(t.TempDir(), "log")})
	require.NoError(t, err)
	t.Cleanup(func() { _ = p.Kill() })
	return p
}

func TestStopWaitsForGracefulExit(t *testing.T) {
	p := startShell(t, "trap 'exit 0' TERM; echo up; while :; do sleep 0.01; done")
	require.Eventually(t, func() bool {
		text, err := os.ReadFile(p.Config.Log)
		return err == nil && len(text) > 0
	}, waitTimeout, time.Millisecond)
	require.NoError(t, p.Stop(waitTimeout))
	require.True(t, p.Ended())
}

func TestWaitFailsOnNonZeroExit(t *testing.T) {
	require.ErrorContains(t, startShell(t, "exit 3").Wait(waitTimeout), "exited with an error")
}

func TestFrozenProcessResumesAfterThaw(t *testing.T) {
	p := startShell(t, "while :; do sleep 0.01; done")
	require.NoError(t, p.Freeze())
	require.ErrorIs(t, p.Stop(50*time.Millisecond), ErrStillRunning)
	require.NoError(t, p.Thaw())
	require.Error(t, p.Wait(waitTimeout))
}

func TestUsageOfRunningProcess(t *testing.T) {
	p := startShell(t, "while :; do :; done")
	require.Eventually(t, func() bool {
		u, err := p.Usage()
		return err == nil && u.CPUTime > 0 && u.ResidentBytes > 0
	}, waitTimeout, 10*time.Millisecond)
	require.NoError(t, p.Signal(syscall.SIGKILL))
}

func TestFreeAddressesDiffer(t *testing.T) {
	first, err := FreeAddress()
	require.NoError(t, err)
	second, err := FreeAddress()
	require.NoError(t, err)
	require.NotEqual(t, first, second)
}

// Two test processes used the same range of ports: one could take the address of a gateway that
// the other had stopped to restart it.
func TestProcessesHaveDifferentHosts(t *testing.T) {
	owners := map[string]int{}
	for pid := 1; pid < nets*subnets*hosts; pid += 251 {
		other, known := owners[hostOf(pid)]
		require.False(t, known, "process %d and %d", pid, other)
		owners[hostOf(pid)] = pid
		require.True(t, net.ParseIP(hostOf(pid)).IsLoopback())
	}
}
