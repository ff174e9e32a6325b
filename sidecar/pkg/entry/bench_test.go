package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/sidecar/pkg/engine"
)

const benchTokens = 256

// BenchmarkToken is the way of one token from the engine's connection to the
// gateway's, both ends and the stand-in's writing included.
func BenchmarkToken(b *testing.B) {
	f := newFixture(b, func(c *Config) { c.Retention = 0 })
	event := strings.Repeat("x", 200)
	f.backend.answer = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		for n := 1; n <= benchTokens; n++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, event)
			_ = control.Flush()
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", benchTokens+1)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for n := 0; n < b.N; n += benchTokens {
		stream, err := f.calls.Run(context.Background(), connect.NewRequest(request(fmt.Sprint("r", n), 1)))
		require.NoError(b, err)
		for stream.Receive() {
			_ = stream.Msg()
		}
		require.NoError(b, stream.Err())
	}
}

// BenchmarkRequest is a request of one token, one after the other: the time that
// the way through this process adds to a first token, and the stand-in's.
func BenchmarkRequest(b *testing.B) {
	f := newFixture(b, func(c *Config) { c.Retention = 0 })
	f.backend.answer = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\nid: 2\ndata: [DONE]\n\n")
	}
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		stream, err := f.calls.Run(context.Background(), connect.NewRequest(request(fmt.Sprint("r", n), 1)))
		require.NoError(b, err)
		for stream.Receive() {
			_ = stream.Msg()
		}
	}
}

// BenchmarkScan is the reading of one event alone.
func BenchmarkScan(b *testing.B) {
	event := fmt.Sprintf("id: 7\ndata: %s\n\n", strings.Repeat("x", 200))
	b.ReportAllocs()
	s := engine.NewScanner(io.LimitReader(repeated(event), int64(b.N*len(event))))
	for range b.N {
		_, err := s.Next()
		require.NoError(b, err)
	}
}

// repeated reads a text over and over.
func repeated(text string) io.Reader {
	return &repeater{text: text}
}

type repeater struct {
	text string
	at   int
}

func (r *repeater) Read(p []byte) (int, error) {
	n := copy(p, r.text[r.at:])
	r.at = (r.at + n) % len(r.text)
	return n, nil
}
