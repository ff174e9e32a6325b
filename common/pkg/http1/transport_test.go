package http1

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/http1test"
)

const (
	okLine = "HTTP/1.1 200 OK\r\n"
	sized  = "Content-Length: 5\r\n\r\nhello"
)

// call sends a request and returns the whole body of its answer.
func call(t *testing.T, client *http.Client, address string, body []byte) (string, error) {
	t.Helper()
	const timeout = 5 * time.Second
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, bytes.NewReader(body))
	require.NoError(t, err)
	response, err := client.Do(request)
	if err != nil {
		require.NoError(t, ctx.Err(), "the caller waits for more of a broken answer")
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, ctx.Err(), "the answer isn't ended")
	return string(text), err
}

// Guards against broken answers that readers get through the standard library.
func TestTransportRefusesBrokenAnswers(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		end          func(*net.TCPConn, *http.Request)
		want         error
	}{
		{"000", "HTTP/1.1 000 None\r\n" + sized, nil, errStatus},
		{"000 without a body", "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n", nil, errStatus},
		{"099", "HTTP/1.1 099 None\r\n" + sized, nil, errStatus},
		{"another protocol", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n" + okLine + sized, nil, errStatus},
		{"an interim answer with a body", "HTTP/1.1 103 Early Hints\r\nContent-Length: 43\r\n\r\n" + okLine + sized, nil, errInterimBody},
		{"too many interim answers", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", maxInterim+1) + okLine + sized, nil, errTooManyInterim},
		{"a blank in a name", okLine + "X B: 1\r\n" + sized, nil, errFieldName},
		{"a blank behind a name", okLine + "X-B : 1\r\n" + sized, nil, errFieldName},
		{"a blank behind the name of the coding", okLine + "Transfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", http1test.Close, errFieldName},
		{"a blank in a name of an interim answer", "HTTP/1.1 103 Early Hints\r\nX B: 1\r\n\r\n" + okLine + sized, nil, errFieldName},
		{"a folded line", okLine + "X-A: 1\r\n X-B: 1\r\n" + sized, nil, errFolded},
		{"a folded line after an interim answer", "HTTP/1.1 103 Early Hints\r\n\r\n" + okLine + "X-A: 1\r\n X-B: 1\r\n" + sized, nil, errFolded},
		{"a blank in a name of a trailer", okLine + "Transfer-Encoding: chunked\r\nTrailer: X-B\r\n\r\n5\r\nhello\r\n0\r\nX B: 1\r\n\r\n", nil, errFieldName},
	} {
		for _, noReuse := range []bool{false, true} {
			name := c.name + ", connections kept"
			if noReuse {
				name = c.name + ", connections closed"
			}
			t.Run(name, func(t *testing.T) {
				s := &http1test.Server{Answers: []string{c.answer}, End: c.end}
				client := &http.Client{Transport: NewTransport(&http.Transport{DisableKeepAlives: noReuse})}
				_, err := call(t, client, s.Start(t), []byte("question"))
				require.ErrorIs(t, err, c.want)
				require.Equal(t, 1, s.Requests())
			})
		}
	}
}

// Guards against sound answers that are refused, also on a connection that was used before, and after a broken answer.
func TestTransportTakesSoundAnswers(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		end          func(*net.TCPConn, *http.Request)
	}{
		{"with a length", okLine + sized, nil},
		{"in chunks", okLine + "Transfer-Encoding: chunked\r\nTrailer: X-B\r\n\r\n5\r\nhello\r\n0\r\nX-B: 1\r\n\r\n", nil},
		{"until the connection ends", okLine + "\r\nhello", http1test.Close},
		{"a body that looks like a folded line", okLine + "Content-Length: 7\r\n\r\n\n hello", nil},
		{"after an interim answer", "HTTP/1.1 103 Early Hints\r\n\r\n" + okLine + sized, nil},
		{"a status above the valid ones", "HTTP/1.1 612 None\r\n" + sized, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &http1test.Server{Answers: []string{c.answer}, End: c.end}
			client, address := &http.Client{Transport: NewTransport(&http.Transport{})}, s.Start(t)
			for range 3 {
				text, err := call(t, client, address, []byte("question"))
				require.NoError(t, err)
				require.Equal(t, "hello", strings.TrimSpace(text))
			}
			if c.end == nil {
				require.Equal(t, 1, s.Connections(), "connections aren't kept")
			}
		})
	}
	t.Run("after a broken answer", func(t *testing.T) {
		s := &http1test.Server{Answers: []string{okLine + sized, okLine + "X B: 1\r\n" + sized, okLine + sized}}
		client, address := &http.Client{Transport: NewTransport(&http.Transport{})}, s.Start(t)
		for _, sound := range []bool{true, false, true} {
			_, err := call(t, client, address, []byte("question"))
			require.Equal(t, sound, err == nil, "%v", err)
		}
		require.Equal(t, 2, s.Connections(), "the connection of a broken answer is used again")
	})
}

// Guards against a part of an answer that counts as complete since its connection ended, although the request was cut.
func TestTransportRefusesUnframedAnswersToCutUploads(t *testing.T) {
	for _, c := range http1test.Cuts() {
		t.Run(c.Name, func(t *testing.T) {
			s := &http1test.Server{Answers: []string{okLine + "\r\npart"}, Early: true, End: c.End}
			client, address := &http.Client{Transport: NewTransport(&http.Transport{})}, s.Start(t)
			for range c.Calls {
				_, err := call(t, client, address, make([]byte, http1test.LongBytes))
				require.Error(t, err)
			}
		})
	}
	t.Run("with a length", func(t *testing.T) {
		s := &http1test.Server{Answers: []string{okLine + sized}, Early: true, End: http1test.CloseSending}
		text, err := call(t, &http.Client{Transport: NewTransport(&http.Transport{})}, s.Start(t), make([]byte, http1test.LongBytes))
		require.NoError(t, err)
		require.Equal(t, "hello", text)
	})
}
