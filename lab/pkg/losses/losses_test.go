package losses

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCauses(t *testing.T) {
	for _, c := range []struct {
		name string
		line line
		want Cause
	}{
		{"in time", line{Outcome: "served", First: 300, Objective: 300}, InTime},
		{"no objective", line{Outcome: "served", First: 900}, InTime},
		{"a place that was thought free", line{Outcome: "served", First: 301, Objective: 300, Runners: []string{"a"}}, SlotTaken},
		{"a wait that was too long", line{Outcome: "served", First: 301, Objective: 300, Expected: 90, Runners: []string{"a"}}, QueuedTooLong},
		{"moved", line{Outcome: "served", First: 301, Objective: 300, Expected: 90, Runners: []string{"a", "b"}}, RestartedElsewhere},
		{"back in time", line{Outcome: "served", First: 30, Objective: 300, Returned: true}, InTimeOnRetry},
		{"back and late", line{Outcome: "served", First: 400, Objective: 300, Returned: true}, LateOnRetry},
		{"turned away", line{Outcome: "refused"}, RefusedNotRetried},
		{"turned away twice", line{Outcome: "refused", Returned: true}, RefusedTwice},
		{"left", line{Outcome: "caller-left"}, CallerLeft},
		{"cut", line{Outcome: "cut-off"}, Failed},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, causeOf(c.line))
		})
	}
}

func TestTheTableAddsUp(t *testing.T) {
	log := `12.5 gateway-1 {"at":"2026-01-01T00:00:00Z","event":"request-ended","route":"a","outcome":"served","first-ms":20,"objective-ms":300}
{"at":"2026-01-01T00:00:01Z","event":"request-ended","route":"a","outcome":"refused"}
{"at":"2026-01-01T00:00:01Z","event":"request-ended","route":"a","outcome":"refused"}
{"at":"2026-01-01T00:00:02Z","event":"request-ended","route":"a","outcome":"served","returned":true,"first-ms":20,"objective-ms":300}
{"at":"2026-01-01T00:00:03Z","event":"item-call-ended","outcome":"paused","late-ms":5}
{"at":"2026-01-01T00:00:03Z","event":"item-call-ended","outcome":"finished","late-ms":5}
{"at":"2026-01-01T00:00:04Z","event":"started"}
no log line
{broken
`
	ledger := New(Weights{Late: 0.1, InTimeOnRetry: 0.5})
	unread, err := Read(strings.NewReader(log), ledger)
	require.NoError(t, err)
	require.Equal(t, 1, unread)
	require.Equal(t, []Row{
		{"a", RefusedNotRetried, 1, 1}, {"items", ItemLate, 1, 0.9}, {"a", InTimeOnRetry, 1, 0.5}, {"a", InTime, 1, 0},
	}, ledger.Rows())
	var table strings.Builder
	require.NoError(t, ledger.Table(&table))
	require.Contains(t, table.String(), "| all | | 4 | 2.4 | 0.6000 |")
	require.NoError(t, ledger.Picture(time.Second).Write(filepath.Join(t.TempDir(), "losses.png")))
}
