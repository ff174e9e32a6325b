package app

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/metrics"
	"toucanhinge.example/common/pkg/record"
	"toucanhinge.example/common/pkg/web"
	"toucanhinge.example/gateway/pkg/config"
)

const (
	patience = 20 * time.Second
	tick     = 5 * time.Millisecond
)

// gateway is a whole gateway on loopback with its callers' side open.
type gateway struct {
	t       testing.TB
	url     string
	control *fakeControl
	parts   *parts
	book    *record.Log
	set     *metrics.Set
}

func testSettings(control string) config.Settings {
	s := config.Defaults()
	s.Name, s.VM, s.DataCentre, s.Control = gatewayName, "vm-1", dataCentre, []string{control}
	s.Route.ReportInterval = 50
	s.Retry.StallTimeout = 500
	s.Retry.ClaimTimeout = 500
	return s
}

func startGateway(t testing.TB, change func(*config.Settings), sidecars ...*fakeSidecar) *gateway {
	t.Helper()
	fake, address := newControl(t, sidecars...)
	settings := testSettings(address)
	if change != nil {
		change(&settings)
	}
	now := clock.System()
	set := metrics.New(program)
	book := newBook(settings, now)
	p := newParts(settings, now, log.NewNopLogger(), set, book)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go p.watcher.Run(ctx)
	go p.directory.Poll(ctx)
	go p.directory.SendCancels(ctx)
	go p.claims.Run(ctx)
	server, err := web.Listen("127.0.0.1:0", p.server.Handler())
	require.NoError(t, err)
	go func() { _ = server.Serve() }()
	t.Cleanup(func() {
		ended, end := context.WithCancel(context.Background())
		end()
		_ = server.Shutdown(ended)
	})
	require.Eventually(t, func() bool { return started(p.watcher) }, patience, tick)
	return &gateway{t: t, url: "http://" + server.Address(), control: fake, parts: p, book: book, set: set}
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	cut    bool
}

func (g *gateway) send(method, path, body string, headers ...string) reply {
	g.t.Helper()
	request, err := http.NewRequest(method, g.url+path, strings.NewReader(body))
	require.NoError(g.t, err)
	request.Header.Set("Authorization", "Bearer "+teamKey)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	answer, err := http.DefaultClient.Do(request)
	require.NoError(g.t, err)
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	return reply{status: answer.StatusCode, header: answer.Header, body: string(text), cut: err != nil}
}

type refused struct {
	Error struct {
		Type   string `json:"type"`
		Reason string `json:"reason"`
		Run    string `json:"run"`
		Retry  int64  `json:"retry_after_ms"`
	} `json:"error"`
}

func (r reply) refusal(t *testing.T) refused {
	t.Helper()
	var found refused
	require.NoError(t, json.Unmarshal([]byte(r.body), &found), r.body)
	require.NotEmpty(t, found.Error.Type)
	return found
}

// events are the data of the server-sent events; texts their joined content.
func (r reply) events() (events []string) {
	lines := bufio.NewScanner(strings.NewReader(r.body))
	for lines.Scan() {
		if data, found := strings.CutPrefix(lines.Text(), "data: "); found {
			events = append(events, data)
		}
	}
	return events
}

func (r reply) text() (text string, whole bool) {
	for _, event := range r.events() {
		if event == "[DONE]" {
			return text, true
		}
		var piece struct {
			Choices []struct {
				Delta struct{ Content string }
				Text  string
			}
		}
		if json.Unmarshal([]byte(event), &piece) == nil && len(piece.Choices) == 1 {
			text += piece.Choices[0].Delta.Content + piece.Choices[0].Text
		}
	}
	return text, false
}

const (
	chatPath   = "/v1/chat/completions"
	streamBody = `{"model":"` + model + `","stream":true,"messages":[{"role":"user","content":"is parcel 7 under servitude?"}]}`
	wholeBody  = `{"model":"` + model + `","messages":[{"role":"user","content":"is parcel 7 under servitude?"}]}`
)

func TestOnePathThroughOneSidecar(t *testing.T) {
	modelSidecar := newSidecar(t, "e1", service)
	plainSidecar := newSidecar(t, "p1", plainName)
	g := startGateway(t, nil, modelSidecar, plainSidecar)

	streamed := g.send(http.MethodPost, chatPath, streamBody)
	require.Equal(t, http.StatusOK, streamed.status, streamed.body)
	require.Equal(t, "text/event-stream", streamed.header.Get("Content-Type"))
	text, whole := streamed.text()
	require.Equal(t, "all is well", text)
	require.True(t, whole)

	answer := g.send(http.MethodPost, chatPath, wholeBody)
	require.Equal(t, http.StatusOK, answer.status)
	require.JSONEq(t, `{"echo":`+wholeBody+`}`, answer.body)

	plain := g.send(http.MethodPut, "/svc/"+plainName+"/parcel/a%2Fb?crew=2", `{"entry":"monday"}`, "X-Crew", "7")
	require.Equal(t, http.StatusOK, plain.status)
	require.JSONEq(t, `{"echo":{"entry":"monday"}}`, plain.body)
	given := plainSidecar.requests()[0]
	require.Equal(t, "/parcel/a%2Fb?crew=2", given.GetPath())
	require.Equal(t, http.MethodPut, given.GetMethod())
	names := map[string]string{}
	for _, h := range given.GetHeaders() {
		names[h.GetName()] = h.GetValue()
	}
	require.Equal(t, "7", names["X-Crew"])
	require.NotContains(t, names, "Authorization")

	models := g.send(http.MethodGet, "/v1/models", "")
	require.Contains(t, models.body, model)
	require.NotContains(t, models.body, plainName)

	wrong := g.send(http.MethodPost, chatPath, streamBody, "Authorization", "Bearer nobody")
	require.Equal(t, http.StatusUnauthorized, wrong.status)
	require.Equal(t, "wrong-key", wrong.refusal(t).Error.Reason)
}

func TestBatchJobGoesThroughAndIsReadBack(t *testing.T) {
	g := startGateway(t, nil)
	var lines strings.Builder
	for i := range 3_000 {
		lines.WriteString(`{"custom_id":"summary-` + string(rune('a'+i%26)) + strings.Repeat("x", i/26) + `","body":{"n":1}}` + "\n")
	}
	g.control.refuseUploads.Store(2)
	accepted := g.send(http.MethodPost, "/v1/batches?service="+service+"&key=night-1&deadline_ms=99", lines.String())
	require.Equal(t, http.StatusOK, accepted.status, accepted.body)
	require.Contains(t, accepted.body, `"items":3000`)
	require.Equal(t, int64(99), g.control.header.GetDeadlineMs())

	results := g.send(http.MethodGet, "/v1/batches/"+jobID+"/results?from=10", "")
	list := strings.Split(strings.TrimSpace(results.body), "\n")
	require.Len(t, list, 2_991)
	require.Contains(t, list[0], `"index":10`)
	require.JSONEq(t, `{"end":true,"count":2990,"decided":3000,"items":3000,"state":"finished"}`, list[2_990])

	cancelled := g.send(http.MethodPost, "/v1/batches/"+jobID+"/cancel", "")
	require.Contains(t, cancelled.body, `"state":"cancelled"`)
	foreign := g.send(http.MethodGet, "/v1/batches/"+jobID, "", "Authorization", "Bearer "+otherKey)
	require.Equal(t, "unknown-job", foreign.refusal(t).Error.Reason)
}
