package failure

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/lab/pkg/caller"
	"toucanhinge.example/lab/pkg/fleet"
)

const (
	// waitTimeout bounds each wait. It is generous so that a busy machine does not fail a test.
	waitTimeout  = 60 * time.Second
	pollInterval = 10 * time.Millisecond
	// testTimeout includes the wait for a fleet slot.
	testTimeout = 5 * time.Minute
	// engineSpeed keeps runs short, while several engine steps still pass during any failure.
	engineSpeed = 4
	// jobLease is short to keep the tests short. The lease mechanism does not depend on its length.
	jobLease = 2 * time.Second
)

// binaries is the folder of the programs under test, which are built once for all tests.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "toucanhinge-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	build := exec.Command("go", "build", "-o", folder+"/", "./gateway", "./sidecar", "./control", "./lab/cmd/...")
	build.Dir = filepath.Join("..", "..")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build programs:", err)
		return 1
	}
	binaries = folder
	return m.Run()
}

// testContext returns a context that bounds one test.
func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(stop)
	return ctx
}

// maxFleets bounds the fleets that run concurrently. Each fleet has about ten processes.
const maxFleets = 3

var fleetSlots = make(chan struct{}, maxFleets)

// startFleet waits for a fleet slot and starts a fleet. If the test fails, it prints the ends of the logs.
func startFleet(t *testing.T, config fleet.Config) *fleet.Fleet {
	t.Helper()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	config.Bin, config.Folder = binaries, t.TempDir()
	if config.Engine.Speed == 0 {
		config.Engine.Speed = engineSpeed
	}
	config.ControlSettings = append([]fleet.Setting{fleet.Set("jobs.lease_ms", int(jobLease.Milliseconds())), fleet.Set("members.lease_ms", 6000)}, config.ControlSettings...)
	t.Cleanup(func() { printLogs(t, config.Folder) })
	f, err := fleet.New(testContext(t), config)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	return f
}

// logTailBytes is the number of bytes of each log that a failed test prints.
const logTailBytes = 3000

func printLogs(t *testing.T, folder string) {
	t.Helper()
	if !t.Failed() {
		return
	}
	files, _ := filepath.Glob(filepath.Join(folder, "*.log"))
	for _, file := range files {
		text, _ := os.ReadFile(file)
		t.Logf("--- end of %s\n%s", filepath.Base(file), text[max(0, len(text)-logTailBytes):])
	}
}

// callerAt returns a caller of the lab's team at the given gateway.
func callerAt(f *fleet.Fleet, gateway int) *caller.Caller {
	return caller.New(caller.Config{URL: f.Gateways[gateway].URL(), Key: fleet.TeamKey})
}
