package engine

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

const patience = 20 * time.Second

// script answers a stream request by writing raw bytes, then ends, cuts, or waits.
type script struct {
	raw    string
	cut    bool
	resume string
}

func event(id int, data string) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, data)
}

func serveScript(t *testing.T, s script) (*Client, *atomic.Int64) {
	t.Helper()
	resumes := &atomic.Int64{}
	mux := http.NewServeMux()
	write := func(w http.ResponseWriter, raw string, cut bool) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, raw)
		_ = http.NewResponseController(w).Flush()
		if cut {
			panic(http.ErrAbortHandler)
		}
	}
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, _ *http.Request) { write(w, s.raw, s.cut) })
	mux.HandleFunc("GET /streams/{id}/resume", func(w http.ResponseWriter, r *http.Request) {
		resumes.Add(1)
		if s.resume == "" {
			http.Error(w, "unknown", http.StatusNotFound)
			return
		}
		after := r.URL.Query().Get("after")
		_, rest, found := strings.Cut(s.resume, "id: "+after+"\n")
		if !found {
			rest = s.resume
		}
		write(w, rest, false)
	})
	server := httptest.NewServer(mux)
	server.Config.ErrorLog = nil
	t.Cleanup(server.Close)
	return New(Config{URL: server.URL}), resumes
}

func runStream(t *testing.T, c *Client) (text string, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	s := &Stream{
		Client: c,
		Call:   Call{ID: "r", Method: http.MethodPost, Path: "/v1/completions", Body: []byte("{}")},
		OnHead:   func(int, http.Header) error { return nil },
		OnEvent: func(e Event) error {
			text += string(e.Data)
			return nil
		},
		OnBody: func(piece []byte) error {
			text += string(piece)
			return nil
		},
	}
	err = s.Run(ctx)
	return text, err
}

// An engine answers in every wrong way. The caller either gets the whole answer
// in order, or an error that says why: never a short or mixed answer without one.
func TestStreamContract(t *testing.T) {
	whole := event(1, "a") + event(2, "b") + event(3, "c") + event(4, DoneMark)
	long := strings.Repeat("x", 100_000)
	scenarios := []struct {
		name   string
		script script
		wants  string
		err    error
	}{
		{"whole", script{raw: whole}, "abc", nil},
		{"without numbers", script{raw: "data: a\n\ndata: b\n\ndata: [DONE]\n\n"}, "ab", nil},
		{"end mark without a number", script{raw: event(1, "a") + "data: [DONE]\n\n"}, "a", nil},
		{"comments, blanks and carriage returns", script{raw: ": hello\r\n\r\nid:1\r\ndata:a\r\n\r\nid: 2\r\ndata: [DONE]\r\n\r\n"}, "a", nil},
		{"several lines of data", script{raw: "id: 1\ndata: a\ndata: b\n\n" + event(2, DoneMark)}, "a\nb", nil},
		{"a long event", script{raw: event(1, long) + event(2, DoneMark)}, long, nil},
		{"out of order", script{raw: event(2, "b") + event(1, "a") + event(4, DoneMark) + event(3, "c")}, "abc", nil},
		{"doubled", script{raw: event(1, "a") + event(1, "a") + event(2, "b") + event(2, "b") + event(3, DoneMark)}, "ab", nil},
		{"short", script{raw: event(1, "a")}, "a", ErrShort},
		{"empty", script{}, "", ErrShort},
		{"cut", script{raw: event(1, "a"), cut: true}, "a", io.ErrUnexpectedEOF},
		{"cut inside an event", script{raw: event(1, "a") + "id: 2\ndata: b", cut: true}, "a", io.ErrUnexpectedEOF},
		{"an event is missing", script{raw: event(1, "a") + event(3, "c") + event(4, DoneMark)}, "a", ErrGap},
		{"garbage in the place of an event", script{raw: event(1, "a") + "data: \x00\xff<<\n\n" + event(3, "c") + event(4, DoneMark)}, "a", ErrGap},
		{"a line without end", script{raw: "data: " + strings.Repeat("x", 2<<20)}, "", ErrLineTooLong},
		{"cut, then resumed", script{raw: event(1, "a"), cut: true, resume: whole}, "abc", nil},
		{"short, then resumed", script{raw: event(1, "a") + event(2, "b"), resume: whole}, "abc", nil},
		{"garbage, then resumed", script{raw: event(1, "a") + "data: <<\n\n" + event(3, "c"), resume: whole}, "abc", nil},
		{"resumed with what came before", script{raw: event(1, "a") + event(2, "b"), cut: true, resume: event(2, "b") + event(3, "c") + event(4, DoneMark)}, "abc", nil},
		{"short again and again", script{raw: event(1, "a"), resume: event(1, "a")}, "a", ErrShort},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			c, resumes := serveScript(t, s.script)
			text, err := runStream(t, c)
			require.Equal(t, s.wants, text)
			if s.err == nil {
				require.NoError(t, err)
			} else {
				require.ErrorIs(t, err, s.err)
			}
			require.LessOrEqual(t, resumes.Load(), int64(repairs))
		})
	}
}

// Whole streams, one after the other, go over one connection: a new one for each
// would add its set-up to every first token.
func TestConnectionIsUsedAgain(t *testing.T) {
	connections, idle := &atomic.Int64{}, &atomic.Int64{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, event(1, "a")+event(2, DoneMark))
		_ = http.NewResponseController(w).Flush()
		// The end of the body comes after the end mark has been read.
		time.Sleep(time.Millisecond)
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			connections.Add(1)
		case http.StateIdle, http.StateClosed:
			idle.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	c := New(Config{URL: server.URL})
	const streams = 20
	for n := range streams {
		_, err := runStream(t, c)
		require.NoError(t, err)
		require.Eventually(t, func() bool { return idle.Load() > int64(n) }, patience, 2*time.Millisecond)
	}
	// Now and then the connection is still on its way back when the next one starts.
	require.Less(t, connections.Load(), int64(streams/2))
}

// A model's answer in one piece is passed on only when it is whole JSON.
func TestWholeAnswerContract(t *testing.T) {
	scenarios := []struct {
		name  string
		write func(http.ResponseWriter)
		wants string
		sound bool
	}{
		{"whole", func(w http.ResponseWriter) { _, _ = io.WriteString(w, `{"a":1}`) }, `{"a":1}`, true},
		{"garbage", func(w http.ResponseWriter) { _, _ = io.WriteString(w, `{"a":`) }, "", false},
		{"shorter than announced", func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "4096")
			_, _ = io.WriteString(w, `{"a":1}`)
		}, "", false},
		{"cut", func(w http.ResponseWriter) {
			_, _ = io.WriteString(w, `{"a":1}`)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, "", false},
		{"too large", func(w http.ResponseWriter) { _, _ = io.WriteString(w, `"`+strings.Repeat("x", 2_000)+`"`) }, "", false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { s.write(w) }))
			t.Cleanup(server.Close)
			text := ""
			stream := &Stream{
				Client: New(Config{URL: server.URL}), Call: Call{Method: http.MethodPost, Path: "/"}, MaxBufferedBody: 1_000,
				OnHead: func(int, http.Header) error { return nil },
				OnBody: func(piece []byte) error {
					text += string(piece)
					return nil
				},
			}
			err := stream.Run(context.Background())
			require.Equal(t, s.wants, text)
			require.Equal(t, s.sound, err == nil, "%v", err)
		})
	}
}

// A server reads a request whole, then closes the connection without an answer.
// Whether it ran is unknown. Go's client sends such a request again by itself if
// the connection was used before and the request bears an Idempotency-Key; the
// service would run it twice. The server counts what reaches it.
func TestNothingIsSentTwice(t *testing.T) {
	scenarios := []struct {
		name    string
		method  string
		headers []Header
		once    bool
		body    string
	}{
		{"post once", http.MethodPost, nil, true, "{}"},
		{"post with a key, once", http.MethodPost, []Header{{Name: "Idempotency-Key", Value: "k"}, {Name: "x-idempotency-key", Value: "k"}}, true, "{}"},
		{"post with a key, idempotent", http.MethodPost, []Header{{Name: "Idempotency-Key", Value: "k"}}, false, "{}"},
		{"post without a body, with a key, idempotent", http.MethodPost, []Header{{Name: "Idempotency-Key", Value: "k"}}, false, ""},
		{"get once", http.MethodGet, nil, true, ""},
		{"delete once", http.MethodDelete, nil, true, ""},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			received := &atomic.Int64{}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if r.URL.Path == "/warm" {
					return
				}
				received.Add(1)
				connection, _, err := http.NewResponseController(w).Hijack()
				if err == nil {
					_ = connection.Close()
				}
			}))
			t.Cleanup(server.Close)
			c := New(Config{URL: server.URL})
			warm, _, err := c.Open(context.Background(), Call{Method: http.MethodGet, Path: "/warm", AtMostOnce: s.once})
			require.NoError(t, err)
			_, _ = io.Copy(io.Discard, warm.Body)
			_ = warm.Body.Close()
			call := Call{Method: s.method, Path: "/", Headers: s.headers, Body: []byte(s.body), AtMostOnce: s.once}
			_, sent, err := c.Open(context.Background(), call)
			require.Error(t, err)
			require.True(t, sent, "it may have run")
			require.Equal(t, int64(1), received.Load())
		})
	}
}

// An event is lost and the engine goes on and on. The answer can't become whole
// any more, and holding all that follows would fill the memory.
func TestSorterHoldsLittle(t *testing.T) {
	s := NewSorter(0)
	emit := func(Event) error { return nil }
	for id := uint64(2); id < heldMost+2; id++ {
		require.NoError(t, s.Add(Event{ID: id}, emit))
	}
	require.ErrorIs(t, s.Add(Event{ID: heldMost + 2}, emit), ErrGap)
}

func TestUnreachableIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	_, sent, err := New(Config{URL: "http://" + address}).Open(context.Background(), Call{Method: http.MethodPost, Path: "/"})
	require.Error(t, err)
	require.False(t, sent)
}

func TestControlCalls(t *testing.T) {
	scenarios := []struct {
		name    string
		status  int
		body    string
		held    uint64
		refused bool
		err     error
	}{
		{"taken", 200, `{}`, 7, false, nil},
		{"refused", 409, `{"fence":9}`, 9, true, nil},
		{"refused with garbage", 409, `<<`, 0, false, ErrMalformed},
		{"broken", 500, `no`, 0, false, &StatusError{}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(s.status)
				_, _ = io.WriteString(w, s.body)
			}))
			t.Cleanup(server.Close)
			held, refused, err := New(Config{URL: server.URL}).SendOrder(context.Background(), Order{Fence: 7})
			require.Equal(t, s.held, held)
			require.Equal(t, s.refused, refused)
			var status *StatusError
			switch {
			case s.err == nil:
				require.NoError(t, err)
			case errors.As(s.err, &status):
				require.True(t, errors.As(err, &status))
			default:
				require.ErrorIs(t, err, s.err)
			}
		})
	}
}

func TestLoadReportGarbage(t *testing.T) {
	for _, body := range []string{`{"running":`, `[]`, `{"running":-3}`, `{"running":"x"}`} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
		_, err := New(Config{URL: server.URL}).Load(context.Background())
		require.ErrorIs(t, err, ErrMalformed, body)
		server.Close()
	}
}
