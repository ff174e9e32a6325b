package app

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/job"
	"toucanhinge.example/gateway/pkg/config"
)

func small(s *config.Settings) {
	s.Limits.MaxBodyBytes = 4_096
	s.Limits.MaxBatchLineBytes = 512
	s.Limits.MaxBatchItems = 4
	s.Limits.SenderTimeout = 300
}

// A caller that sends nonsense must hear at once what is wrong, in a form that
// its program can read, and that nothing was run. Each line sends one fault; no
// sidecar may have been given anything by the end.
func TestFaultyCallsAreRefusedBeforeAnythingRuns(t *testing.T) {
	modelSidecar, plainSidecar := newSidecar(t, "e1", service), newSidecar(t, "p1", plainName)
	g := startGateway(t, small, modelSidecar, plainSidecar)
	chat := func(rest string) string { return `{"model":"` + model + `",` + rest + `}` }
	scenarios := []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		reason                   string
	}{
		{"no key", "POST", chatPath, streamBody, []string{"Authorization", ""}, 401, "no-key"},
		{"key of no team", "POST", chatPath, streamBody, []string{"Authorization", "Bearer x"}, 401, "wrong-key"},
		{"another scheme", "POST", chatPath, streamBody, []string{"Authorization", "Basic " + teamKey}, 401, "no-key"},
		{"team without a contract", "POST", chatPath, streamBody, []string{"Authorization", "Bearer " + otherKey}, 403, "no-contract"},
		{"not JSON", "POST", chatPath, `is parcel 7 free?`, nil, 400, "malformed-json"},
		{"empty", "POST", chatPath, ``, nil, 400, "malformed-json"},
		{"cut JSON", "POST", chatPath, streamBody[:40], nil, 400, "malformed-json"},
		{"two objects", "POST", chatPath, wholeBody + wholeBody, nil, 400, "malformed-json"},
		{"an array", "POST", chatPath, `[]`, nil, 400, "wrong-type"},
		{"model twice", "POST", chatPath, chat(`"model":"other","messages":[{"role":"user"}]`), nil, 400, "duplicate-field"},
		{"no model", "POST", chatPath, `{"messages":[{"role":"user"}]}`, nil, 400, "missing-field"},
		{"model a number", "POST", chatPath, `{"model":7,"messages":[{"role":"user"}]}`, nil, 400, "wrong-type"},
		{"unknown model", "POST", chatPath, `{"model":"x","messages":[{"role":"user"}]}`, nil, 404, "unknown-model"},
		{"plain service as model", "POST", chatPath, `{"model":"` + plainName + `","messages":[{"role":"user"}]}`, nil, 404, "unknown-model"},
		{"no messages", "POST", chatPath, chat(`"stream":true`), nil, 400, "missing-field"},
		{"messages empty", "POST", chatPath, chat(`"messages":[]`), nil, 400, "wrong-type"},
		{"messages a string", "POST", chatPath, chat(`"messages":"hello"`), nil, 400, "wrong-type"},
		{"message without role", "POST", chatPath, chat(`"messages":[{"content":"x"}]`), nil, 400, "wrong-type"},
		{"content a number", "POST", chatPath, chat(`"messages":[{"role":"user","content":7}]`), nil, 400, "wrong-type"},
		{"stream a string", "POST", chatPath, chat(`"stream":"yes","messages":[{"role":"user"}]`), nil, 400, "wrong-type"},
		{"max_tokens negative", "POST", chatPath, chat(`"max_tokens":-1,"messages":[{"role":"user"}]`), nil, 400, "wrong-type"},
		{"max_tokens a fraction", "POST", chatPath, chat(`"max_tokens":1.5,"messages":[{"role":"user"}]`), nil, 400, "wrong-type"},
		{"prompt missing", "POST", "/v1/completions", chat(`"stream":true`), nil, 400, "missing-field"},
		{"oversized", "POST", chatPath, chat(`"messages":[{"role":"user","content":"` + strings.Repeat("x", 5_000) + `"}]`), nil, 413, "too-large"},
		{"deadline a word", "POST", chatPath, streamBody, []string{"X-Deadline-Ms", "soon"}, 400, "bad-deadline"},
		{"deadline zero", "POST", chatPath, streamBody, []string{"X-Deadline-Ms", "0"}, 400, "bad-deadline"},
		{"idempotent a word", "POST", chatPath, streamBody, []string{"X-Idempotent", "maybe"}, 400, "bad-header"},
		{"id too long", "POST", chatPath, streamBody, []string{"X-Request-Id", strings.Repeat("x", 129)}, 400, "bad-header"},
		{"id with a space", "POST", chatPath, streamBody, []string{"X-Request-Id", "a b"}, 400, "bad-header"},
		{"unknown path", "GET", "/v2/chat", "", nil, 404, "unknown-path"},
		{"unknown method", "DELETE", chatPath, "", nil, 405, "unknown-method"},
		{"unknown plain service", "GET", "/svc/x/y", "", nil, 404, "unknown-service"},
		{"model as plain service", "GET", "/svc/" + service + "/y", "", nil, 404, "unknown-service"},
		{"plain body oversized", "PUT", "/svc/" + plainName + "/y", strings.Repeat("x", 5_000), nil, 413, "too-large"},
		{"batch without key", "POST", "/v1/batches?service=" + service, `{"custom_id":"a","body":{}}`, nil, 400, "bad-query"},
		{"batch key twice", "POST", "/v1/batches?key=a&key=b&service=" + service, `{"custom_id":"a","body":{}}`, nil, 400, "bad-query"},
		{"batch of no service", "POST", "/v1/batches?key=a&service=x", `{"custom_id":"a","body":{}}`, nil, 404, "unknown-service"},
		{"batch deadline a word", "POST", "/v1/batches?key=a&deadline_ms=x&service=" + service, `{"custom_id":"a","body":{}}`, nil, 400, "bad-deadline"},
		{"batch empty", "POST", "/v1/batches?key=a&service=" + service, "\n\n", nil, 400, "missing-field"},
		{"batch line malformed", "POST", "/v1/batches?key=a&service=" + service, "{\"custom_id\":\"a\",\"body\":{}}\n{\"custom", nil, 400, "bad-item"},
		{"batch line with unknown key", "POST", "/v1/batches?key=a&service=" + service, `{"custom_id":"a","body":{},"x":1}`, nil, 400, "bad-item"},
		{"batch line without id", "POST", "/v1/batches?key=a&service=" + service, `{"body":{}}`, nil, 400, "bad-item"},
		{"batch body a string", "POST", "/v1/batches?key=a&service=" + service, `{"custom_id":"a","body":"x"}`, nil, 400, "bad-item"},
		{"batch id twice", "POST", "/v1/batches?key=a&service=" + service, strings.Repeat("{\"custom_id\":\"a\",\"body\":{}}\n", 2), nil, 400, "bad-item"},
		{"batch line too long", "POST", "/v1/batches?key=a&service=" + service, `{"custom_id":"a","body":{"x":"` + strings.Repeat("x", 600) + `"}}`, nil, 413, "too-large"},
		{"batch of too many", "POST", "/v1/batches?key=a&service=" + service, fiveItems(), nil, 413, "too-large"},
		{"results from a word", "GET", "/v1/batches/" + jobID + "/results?from=x", "", nil, 400, "bad-query"},
		{"no job's name", "GET", "/v1/batches/x", "", nil, 404, "unknown-job"},
		{"unknown job", "GET", "/v1/batches/" + job.ID(team, "other", 2) + "/results", "", nil, 404, "unknown-job"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			r := g.send(s.method, s.path, s.body, s.headers...)
			require.Equal(t, s.status, r.status, r.body)
			found := r.refusal(t)
			require.Equal(t, s.reason, found.Error.Reason)
			require.Equal(t, "no", found.Error.Run)
		})
	}
	require.Empty(t, modelSidecar.requests())
	require.Empty(t, plainSidecar.requests())
	require.Empty(t, g.control.items)
}

func fiveItems() string {
	var lines strings.Builder
	for i := range 5 {
		fmt.Fprintf(&lines, "{\"custom_id\":\"%d\",\"body\":{}}\n", i)
	}
	return lines.String()
}

// Some faults can't be sent with a well-behaved client: here the caller writes
// to the socket itself. What it reads must still be a clear refusal, or a closed
// connection where nobody is left to read; in no case does anything run.
func TestFaultsOnTheWire(t *testing.T) {
	sidecar := newSidecar(t, "e1", service)
	g := startGateway(t, small, sidecar)
	head := "POST " + chatPath + " HTTP/1.1\r\nHost: x\r\n"
	key := "Authorization: Bearer " + teamKey + "\r\n"
	scenarios := []struct {
		name, text string
		status     int
		reason     string
		hangUp     bool
	}{
		{"key given twice", head + key + key + "Content-Length: 2\r\n\r\n{}", 400, "duplicate-header", false},
		{"deadline given twice", head + key + "X-Deadline-Ms: 5\r\nX-Deadline-Ms: 5000\r\nContent-Length: 2\r\n\r\n{}", 400, "duplicate-header", false},
		{"id given twice", head + key + "X-Request-Id: a\r\nX-Request-Id: b\r\nContent-Length: 2\r\n\r\n{}", 400, "duplicate-header", false},
		{"wrong key, the body still to come", head + "Authorization: Bearer x\r\nContent-Length: 500\r\n\r\n{", 401, "wrong-key", false},
		{"unknown path, the body still to come", "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\n{", 404, "unknown-path", false},
		{"body stops coming", head + key + "Content-Length: 500\r\n\r\n{\"model\":", 408, "slow-sender", false},
		{"body cut in the middle", head + key + "Content-Length: 500\r\n\r\n{\"model\":", 400, "cut-body", true},
		{"batch stops coming", "POST /v1/batches?key=a&service=" + service + " HTTP/1.1\r\nHost: x\r\n" + key +
			"Content-Length: 500\r\n\r\n{\"custom_id\":\"a\",\"body\":{}}\n", 408, "slow-sender", false},
		{"batch cut at a line's end", "POST /v1/batches?key=a&service=" + service + " HTTP/1.1\r\nHost: x\r\n" + key +
			"Content-Length: 500\r\n\r\n{\"custom_id\":\"a\",\"body\":{}}\n", 400, "cut-body", true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			connection, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
			require.NoError(t, err)
			defer func() { _ = connection.Close() }()
			_, err = io.WriteString(connection, s.text)
			require.NoError(t, err)
			if s.hangUp {
				require.NoError(t, connection.(*net.TCPConn).CloseWrite())
			}
			require.NoError(t, connection.SetReadDeadline(time.Now().Add(patience)))
			answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
			if s.hangUp && err != nil {
				return
			}
			require.NoError(t, err)
			text, err := io.ReadAll(answer.Body)
			require.NoError(t, err)
			require.Equal(t, s.status, answer.StatusCode, string(text))
			require.Contains(t, string(text), `"reason":"`+s.reason+`"`)
		})
	}
	require.Empty(t, sidecar.requests())
	require.Nil(t, g.control.header)
}

func TestEveryRefusalIsCountedByItsReason(t *testing.T) {
	g := startGateway(t, nil)
	g.send(http.MethodPost, chatPath, streamBody, "Authorization", "Bearer x")
	g.send(http.MethodPost, chatPath, streamBody)
	families, err := g.set.Registry.Gather()
	require.NoError(t, err)
	reasons := map[string]float64{}
	for _, family := range families {
		if family.GetName() != "toucanhinge_refused_total" {
			continue
		}
		for _, m := range family.GetMetric() {
			for _, label := range m.GetLabel() {
				if label.GetName() == "reason" {
					reasons[label.GetValue()] += m.GetCounter().GetValue()
				}
			}
		}
	}
	require.Equal(t, map[string]float64{"wrong-key": 1, "no-endpoint": 1}, reasons)
}
