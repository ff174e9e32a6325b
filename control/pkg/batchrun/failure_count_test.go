package batchrun

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/runner"
	"toucanhinge.example/control/pkg/systemstate"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Guards against an item that fails again and again because its failures count only once a slow disk has logged them.
func TestItemFailsNoMoreOftenThanAllowedWhileLogIsSlow(t *testing.T) {
	const attempts, logTime = 3, 1500 * time.Millisecond
	f := start(t, func(int, runner.Call) (*runner.Answer, error) { return status(http.StatusInternalServerError, false) })
	f.driver.commits.propose = func(ctx context.Context, steps ...*toucanhingev1.SystemStep) ([]any, error) {
		time.Sleep(logTime)
		return f.propose(ctx, steps...)
	}
	f.submit(1)
	f.run()
	require.Eventually(t, func() (done bool) {
		f.machine.View(func(s *systemstate.State) { done = s.Job("j").Items[0].Done })
		return done
	}, 4*attempts*logTime, 10*time.Millisecond)
	require.Len(t, f.sent(), attempts)
}
