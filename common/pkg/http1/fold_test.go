package http1

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// Guards against a field that frames the body and gets lost in the value of the one before.
func TestFoldCheck(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct {
		name, answer string
		want         error
	}{
		{"sound", ok + "X-A: 1\r\n\r\n  body\n body", nil},
		{"sound, without returns", "HTTP/1.1 200 OK\nX-A: 1\n\n  body", nil},
		{"no fields", ok + "\r\n  body", nil},
		{"a blank", ok + "X-A: 1\r\n X-B: 2\r\n\r\n", errFolded},
		{"a tab", ok + "X-A: 1\r\n\tX-B: 2\r\n\r\n", errFolded},
		{"after the status line", ok + " X-B: 2\r\n\r\n", errFolded},
		{"the status line", " " + ok + "\r\n", errFolded},
		{"blanks alone", ok + "X-A: 1\r\n  \r\n", errFolded},
		{"after an interim answer", "HTTP/1.1 103 Early Hints\r\n\r\n" + ok + "X-A: 1\r\n X-B: 2\r\n\r\n", errFolded},
		{"after an interim answer with more blanks", "HTTP/1.1   103\r\n\r\n" + ok + "X-A: 1\r\n X-B: 2\r\n\r\n", errFolded},
		{"a body after an interim answer", "HTTP/1.1 103 Early Hints\r\n\r\n" + ok + "X-A: 1\r\n\r\n  body", nil},
	} {
		for _, reader := range []struct {
			name string
			wrap func(io.Reader) io.Reader
		}{
			{"whole", func(r io.Reader) io.Reader { return r }},
			{"byte by byte", iotest.OneByteReader},
		} {
			t.Run(c.name+", "+reader.name, func(t *testing.T) {
				f := &FoldCheck{Source: reader.wrap(strings.NewReader(c.answer))}
				require.NoError(t, f.Begin(nil))
				text, err := io.ReadAll(f)
				require.ErrorIs(t, err, c.want)
				if c.want == nil {
					require.Equal(t, c.answer, string(text))
				}
			})
		}
		t.Run(c.name+", buffered", func(t *testing.T) {
			f := &FoldCheck{Source: strings.NewReader("")}
			require.ErrorIs(t, f.Begin([]byte(c.answer)), c.want)
		})
	}
}
