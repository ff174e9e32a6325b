package loglines

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const gateway = `not a log line
{"at":"2026-01-02T03:04:05.1Z","event":"fleet-taken","level":"info","name":"gateway-1","runners":3}
{"at":"2026-01-02T03:04:06.0Z","event":"request-goes-elsewhere","level":"info","name":"gateway-1","request":"q1","runner":"r1","reason":"runner-full"}
collector 3: {"at":"2026-01-02T03:04:06.2Z","event":"request-ended","level":"warn","name":"gateway-1","request":"q1","outcome":"refused","reason":"all-places-taken","error":null}
{"at":"2026-01-02T03:04:06.3Z","event":"request-ended","level":"info","name":"gateway-1","request":"q2","outcome":"served"}
{"at":"2026-01-02T03:04:05.9Z","event":"job-answered","level":"info","name":"gateway-1","job":"j1","status":202}
`

const core = `{"at":"2026-01-02T03:04:06.1Z","event":"lead-ended","level":"info","name":"core-1","term":2}
{"at":"2026-01-02T03:04:06.0Z","event":"job-submitted","level":"info","name":"core-1","job":"j1"}
{"at":"2026-01-02T03:04:07.0Z","event":"item-paused","level":"info","name":"core-1","job":"j1","index":3}
{"at":"2026-01-02T03:04:07.1Z","event":"item-call-ended","level":"info","name":"core-1","job":"j1","index":3,"item":"i3","outcome":"paused"}
{"at":"2026-01-02T03:04:07.2Z","event":"item-call-ended","level":"info","name":"core-1","job":"j1","index":4,"item":"i4","outcome":"finished"}
`

func read(t *testing.T, id string) Trace {
	t.Helper()
	trace, err := Read(id, time.Second, strings.NewReader(gateway), strings.NewReader(core))
	require.NoError(t, err)
	return trace
}

func eventsOf(lines []Line) []string {
	var events []string
	for _, l := range lines {
		events = append(events, l.Process+" "+l.Event)
	}
	return events
}

func TestARequestIsFollowed(t *testing.T) {
	trace := read(t, "q1")
	require.Equal(t, 1, trace.Unread)
	require.Equal(t, []string{"gateway-1 request-goes-elsewhere", "gateway-1 request-ended"}, eventsOf(trace.Lines))
	require.Equal(t, []string{"gateway-1 fleet-taken", "core-1 lead-ended"}, eventsOf(trace.Around))
	cause, ok := trace.LastFailure()
	require.True(t, ok)
	require.Equal(t, "outcome=refused reason=all-places-taken request=q1", cause.Text)
	_, ok = read(t, "q2").LastFailure()
	require.False(t, ok)
}

func TestAnItemIsFollowedWithItsJob(t *testing.T) {
	require.Equal(t, []string{
		"gateway-1 job-answered", "core-1 job-submitted", "core-1 item-paused", "core-1 item-call-ended",
	}, eventsOf(read(t, "i3").Lines))
}

func TestAnUnknownIDHasNoLines(t *testing.T) {
	trace := read(t, "nobody")
	require.Empty(t, trace.Lines)
	require.Empty(t, trace.Around)
}
