package batchrun

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/runner"
	"toucanhinge.example/control/pkg/systemstate"
)

// An item crashes every runner that starts it, and each crash also ends the streams of eight callers. Without
// a quarantine, the driver would retry the item every 100 ms as long as its job is open. After three crashes
// the item must wait, and must neither run nor fail: an accepted item must be retried until
// it expires.
func TestItemThatCrashesRunnersIsQuarantined(t *testing.T) {
	f := start(t, func(int, runner.Call) (*runner.Answer, error) { return ok(brokenBody("")) })
	f.refuses = true
	f.exchange.SetRunnerCount(12)
	f.submit(1)
	f.run()
	require.Eventually(t, func() bool { return f.exchange.QuarantineCount() == 1 }, 10*time.Second, 10*time.Millisecond)
	calls := len(f.sent())
	require.Equal(t, 3, calls)
	time.Sleep(time.Second)
	require.Len(t, f.sent(), calls)
	f.machine.View(func(s *systemstate.State) { require.False(t, s.Job("j").Items[0].Done) })
}

// An item's runner crashes five times in the middle of the stream for other reasons. Each time the item had
// run long enough to show that it isn't the cause, so it must resume at once and its text must be complete.
func TestItemIsNotSuspectedAfterLongRuns(t *testing.T) {
	f := start(t, func(n int, call runner.Call) (*runner.Answer, error) {
		if n == 5 {
			return ok(completeBody(events(int(call.After)+1, 6)))
		}
		time.Sleep(600 * time.Millisecond)
		return ok(brokenBody(events(int(call.After)+1, int(call.After)+1)))
	})
	f.refuses = true
	f.submit(1)
	f.run()
	require.Eventually(t, func() bool { return len(f.sent()) == 6 }, 10*time.Second, 10*time.Millisecond)
	completed, text := f.result()
	require.True(t, completed)
	require.Equal(t, "x1\nx2\nx3\nx4\nx5\nx6", text)
	require.Zero(t, f.exchange.QuarantineCount())
}
