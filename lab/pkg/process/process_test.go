package process

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const patience = 10 * time.Second

func startShell(t *testing.T, script string) *Process {
	t.Helper()
	p, err := Start(Config{Name: "shell", Binary: "/bin/sh", Args: []string{"-c", script}, Log: filepath.Join(t.TempDir(), "log")})
	require.NoError(t, err)
	t.Cleanup(func() { _ = p.Kill() })
	return p
}

func TestStopWaitsForAGracefulEnd(t *testing.T) {
	p := startShell(t, "trap 'exit 0' TERM; echo up; while :; do sleep 0.01; done")
	require.Eventually(t, func() bool {
		text, err := os.ReadFile(p.Config.Log)
		return err == nil && len(text) > 0
	}, patience, time.Millisecond)
	require.NoError(t, p.Stop(patience))
	require.True(t, p.Ended())
}

func TestBadExitIsAnError(t *testing.T) {
	require.ErrorContains(t, startShell(t, "exit 3").Wait(patience), "ended badly")
}

func TestFrozenProcessGoesOnAfterThaw(t *testing.T) {
	p := startShell(t, "while :; do sleep 0.01; done")
	require.NoError(t, p.Freeze())
	require.ErrorIs(t, p.Stop(50*time.Millisecond), ErrStillRunning)
	require.NoError(t, p.Thaw())
	require.Error(t, p.Wait(patience))
}

func TestUsageIsReadWhileRunning(t *testing.T) {
	p := startShell(t, "while :; do :; done")
	require.Eventually(t, func() bool {
		u, err := p.Usage()
		return err == nil && u.CPUTime > 0 && u.ResidentBytes > 0
	}, patience, 10*time.Millisecond)
	require.NoError(t, p.Signal(syscall.SIGKILL))
}

func TestFreeAddressesDiffer(t *testing.T) {
	first, err := FreeAddress()
	require.NoError(t, err)
	second, err := FreeAddress()
	require.NoError(t, err)
	require.NotEqual(t, first, second)
}
