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
	testTimeout  = 20 * time.Second
	pollInterval = 5 * time.Millisecond
)

// gateway is a complete gateway that serves callers on a loopback address.
type gateway struct {
	t           testing.TB
	url         string
	control     *fakeControl
	components  *components
	decisionLog *record.Log
	set         *metrics.Set
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
	decisionLog := newDecisionLog(settings, now)
	p := newComponents(settings, now, log.NewNopLogger(), set, decisionLog)
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
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Shutdown(ctx)
	})
	require.Eventually(t, func() bool { return watcherStarted(p.watcher) }, testTimeout, pollInterval)
	return &gateway{t: t, url: "http://" + server.Address(), control: fake, components: p, decisionLog: decisionLog, set: set}
}

// response is the response that a caller received.
type response struct {
	status int
	header http.Header
	body   string
	cut    bool
}

func (g *gateway) send(method, path, content string, headers ...string) response {
	g.t.Helper()
	request, err := http.NewRequest(method, g.url+path, strings.NewReader(content))
	require.NoError(g.t, err)
	request.Header.Set("Authorization", "Bearer "+teamKey)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(request)
	require.NoError(g.t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(body), cut: err != nil}
}

type refusalBody struct {
	Error struct {
		Type   string `json:"type"`
		Reason string `json:"reason"`
		Run    string `json:"run"`
		Retry  int64  `json:"retry_after_ms"`
	} `json:"error"`
}

func (r response) refusal(t *testing.T) refusalBody {
	t.Helper()
	var found refusalBody
	require.NoError(t, json.Unmarshal([]byte(r.body), &found), r.body)
	require.NotEmpty(t, found.Error.Type)
	return found
}

// events returns the data of the server-sent events.
func (r response) events() (events []string) {
	lines := bufio.NewScanner(strings.NewReader(r.body))
	for lines.Scan() {
		if data, found := strings.CutPrefix(lines.Text(), "data: "); found {
			events = append(events, data)
		}
	}
	return events
}

// joinedText returns the joined content of the events, and reports whether [DONE] ended them.
func (r response) joinedText() (text string, complete bool) {
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
	chatPath      = "/v1/chat/completions"
	streamBody    = `{"model":"` + model + `","stream":true,"messages":[{"role":"user","content":"is parcel 7 under servitude?"}]}`
	nonStreamBody = `{"model":"` + model + `","messages":[{"role":"user","content":"is parcel 7 under servitude?"}]}`
)

func TestRequestsAreForwardedToSidecars(t *testing.T) {
	modelSidecar := newSidecar(t, "e1", service)
	plainSidecar := newSidecar(t, "p1", plainName)
	g := startGateway(t, nil, modelSidecar, plainSidecar)

	streamed := g.send(http.MethodPost, chatPath, streamBody)
	require.Equal(t, http.StatusOK, streamed.status, streamed.body)
	require.Equal(t, "text/event-stream", streamed.header.Get("Content-Type"))
	text, complete := streamed.joinedText()
	require.Equal(t, "all is well", text)
	require.True(t, complete)

	unstreamed := g.send(http.MethodPost, chatPath, nonStreamBody)
	require.Equal(t, http.StatusOK, unstreamed.status)
	require.JSONEq(t, `{"echo":`+nonStreamBody+`}`, unstreamed.body)

	plain := g.send(http.MethodPut, "/svc/"+plainName+"/parcel/a%2Fb?crew=2", `{"entry":"monday"}`, "X-Crew", "7")
	require.Equal(t, http.StatusOK, plain.status)
	require.JSONEq(t, `{"echo":{"entry":"monday"}}`, plain.body)
	forwarded := plainSidecar.requests()[0]
	require.Equal(t, "/parcel/a%2Fb?crew=2", forwarded.GetPath())
	require.Equal(t, http.MethodPut, forwarded.GetMethod())
	names := map[string]string{}
	for _, h := range forwarded.GetHeaders() {
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

func TestBatchJobUploadResultsAndCancel(t *testing.T) {
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
