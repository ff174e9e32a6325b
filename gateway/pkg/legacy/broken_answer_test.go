package legacy

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/http1test"
	"toucanhinge.example/gateway/pkg/attempt"
	"toucanhinge.example/gateway/pkg/online"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Guards against broken answers that callers get as complete ones of the legacy system.
func TestBrokenAnswersAreNotComplete(t *testing.T) {
	const timeout clock.Millis = 5000
	for _, c := range http1test.BrokenAnswers("{}") {
		t.Run(c.Name, func(t *testing.T) {
			now := clock.System()
			request := &online.Request{Method: "POST", Path: "/", Body: c.Request, Deadline: now.Now() + timeout}
			var statuses []int
			sink := online.Sink{
				Head: func(status int, _ []*toucanhingev1.Header, _ int) { statuses = append(statuses, status) },
				Data: func([]byte) error { return nil },
			}
			result := New(Config{Clock: now}).Forward(t.Context(), "http://"+c.Server.Start(t), request, sink)
			require.False(t, result.Complete)
			require.True(t, result.MayHaveRun)
			require.Equal(t, attempt.RanUnknown, result.Ran)
			require.NotEqual(t, attempt.ReasonDeadline, result.Reason, "the caller waits for more of a broken answer")
			for _, status := range statuses {
				require.Equal(t, 200, status)
			}
			require.Equal(t, 1, c.Server.Requests())
		})
	}
}
