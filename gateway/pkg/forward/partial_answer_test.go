package forward

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a success that holds the part that one runner sent and the answer of another one behind it: once a part
// has reached the caller, only a stream continues, after its last event.
func TestPartOfAnswerIsNotFollowedByAnotherAnswer(t *testing.T) {
	long := strings.Repeat("a", 3*maxBufferedBody)
	whole := reply{text: long}
	const unnumbered = "data: x1\n\n"
	for _, c := range []struct {
		name, path string
		replies    []reply
		text       string
		calls      int
		// cut is set if the answer must break off, so that it doesn't look complete.
		cut bool
	}{
		{"broken off after the buffered part", "/idempotent/", []reply{{text: long[:2*maxBufferedBody], fails: true}, whole}, long[:2*maxBufferedBody], 1, true},
		{"broken off at the end of the buffered part", "/idempotent/", []reply{{text: long[:maxBufferedBody], fails: true}, whole}, long[:maxBufferedBody], 1, true},
		{"broken off within the buffered part", "/idempotent/", []reply{{text: long[:maxBufferedBody-1], fails: true}, whole}, long, 2, false},
		{"a long failure, broken off", "/idempotent/", []reply{failing, {status: 500, text: long[:2*maxBufferedBody], fails: true}, whole}, long[:2*maxBufferedBody], 2, true},
		{"a long rejection, broken off", "/idempotent/", []reply{{status: 400, text: long[:2*maxBufferedBody], fails: true}, whole}, long[:2*maxBufferedBody], 1, true},
		{"events without numbers, cut", "/resumable/", []reply{{text: unnumbered, fails: true}, {text: unnumbered}}, unnumbered, 1, true},
		{"an event without a number after others, cut", "/resumable/", []reply{{text: events(1, 2) + unnumbered, fails: true}, {text: unnumbered + events(3, 4)}}, events(1, 2) + unnumbered, 1, true},
		{"a remark after the last event, cut", "/resumable/", []reply{{text: events(1, 2) + ": remark\n\n", fails: true}, {text: events(3, 4)}}, events(1, 2) + ": remark\n\n" + events(3, 4), 2, false},
		{"no stream on a route of streams, broken off", "/resumable/", []reply{{status: http.StatusCreated, text: long[:2*maxBufferedBody], fails: true}, whole}, long[:2*maxBufferedBody], 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := start(t, c.replies...)
			_, text, _, err := f.get(c.path, 0)
			require.Equal(t, c.cut, err != nil, "%v", err)
			if c.cut {
				// The connection is reset, so the end of what was sent may be lost.
				require.True(t, strings.HasPrefix(c.text, text), "%d bytes", len(text))
			} else {
				require.Equal(t, len(c.text), len(text))
				require.Equal(t, c.text, text)
			}
			require.Len(t, f.sent(), c.calls)
		})
	}
}
