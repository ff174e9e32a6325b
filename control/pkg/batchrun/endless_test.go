package batchrun

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/runner"
)

// endlessEvents is a stream of sound events without an end.
type endlessEvents struct {
	next    uint64
	data    string
	pending []byte
}

func (e *endlessEvents) Read(p []byte) (int, error) {
	if len(e.pending) == 0 {
		e.next++
		e.pending = fmt.Appendf(nil, "id: %d\ndata: %s\n\n", e.next, e.data)
	}
	n := copy(p, e.pending)
	e.pending = e.pending[n:]
	return n, nil
}

// Guards against a faulty runner that writes an item's text without an end: into the leader's memory and its log, and
// into a result, if another runner continues behind the last of these events.
func TestTextWithoutEndIsDiscarded(t *testing.T) {
	for _, c := range []struct{ name, data string }{
		{"long events", strings.Repeat("x", 10_000)},
		{"empty events", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := start(t, func(n int, call runner.Call) (*runner.Answer, error) {
				if n == 0 {
					return ok(io.NopCloser(&endlessEvents{data: c.data}))
				}
				return ok(completeBody(events(int(call.After)+1, 4)))
			})
			f.run()
			f.submit(1)
			completed, text := f.result()
			require.True(t, completed)
			require.Equal(t, "x1\nx2\nx3\nx4", text)
			require.Len(t, f.sent(), 2)
		})
	}
}
