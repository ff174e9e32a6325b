package batchrun

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/runner"
	"toucanhinge.example/control/pkg/systemstate"
)

// An item crashes each runner that begins to run it, and the runner takes the streams of
// eight callers along. The driver ran it again a tenth of a second later, for as long as
// the job was open. After three crashes it waits, and is neither run nor given up: an accepted
// item is owed until its time is up.
func TestAnItemThatCrashesRunnersWaits(t *testing.T) {
	f := start(t, func(int, runner.Call) (*runner.Answer, error) { return ok(cut("")) })
	f.refuses = true
	f.exchange.SetRunnerCount(12)
	f.submit(1)
	f.run()
	require.Eventually(t, func() bool { return f.exchange.QuarantineCount() == 1 }, 10*time.Second, 10*time.Millisecond)
	ran := len(f.sent())
	require.Equal(t, 3, ran)
	time.Sleep(time.Second)
	require.Len(t, f.sent(), ran)
	f.machine.View(func(s *systemstate.State) { require.False(t, s.Job("j").Items[0].Done) })
}

// An item's runner crashes in the middle of its text, five times, for other reasons. Each
// run had gone on long enough to show that the item isn't the cause; it goes on at once, and
// its text is whole.
func TestAnItemIsNotBlamedForItsRunnersCrash(t *testing.T) {
	f := start(t, func(n int, call runner.Call) (*runner.Answer, error) {
		if n == 5 {
			return ok(whole(events(int(call.After)+1, 6)))
		}
		time.Sleep(600 * time.Millisecond)
		return ok(cut(events(int(call.After)+1, int(call.After)+1)))
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
