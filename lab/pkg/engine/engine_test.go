package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testTimeout = 20 * time.Second

func startEngine(t *testing.T, config Config) *httptest.Server {
	t.Helper()
	if config.Timing.Speed == 0 {
		config.Timing.Speed = 20
	}
	e := New(config)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); e.Run(ctx) }()
	server := httptest.NewServer(e.Handler())
	t.Cleanup(func() { server.Close(); stop(); <-done })
	return server
}

func sendRequest(t *testing.T, method, url, id, body string) *http.Response {
	t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(stop)
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set(requestIDHeader, id)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

func readBody(t *testing.T, response *http.Response) string {
	t.Helper()
	data, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return string(data)
}

// parseStream returns the event ids of a stream and its joined text.
func parseStream(stream string) (ids []string, text string) {
	for _, line := range strings.Split(stream, "\n") {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			ids = append(ids, id)
		}
		data, ok := strings.CutPrefix(line, "data: ")
		var body completionBody
		if !ok || json.Unmarshal([]byte(data), &body) != nil || len(body.Choices) == 0 {
			continue
		}
		if body.Choices[0].Delta != nil {
			text += body.Choices[0].Delta.Content
		}
	}
	return ids, text
}

func ledgerRecord(t *testing.T, server *httptest.Server, id string) Record {
	t.Helper()
	var l Ledger
	require.NoError(t, json.Unmarshal([]byte(readBody(t, sendRequest(t, http.MethodGet, server.URL+"/ledger", "", ""))), &l))
	for _, r := range l.Records {
		if r.ID == id {
			return r
		}
	}
	return Record{}
}

const chatBody = `{"model":"m","messages":[{"role":"user","content":"how wide is the servitude"}],"max_tokens":6,"stream":true}`

func TestStreamIsCompleteAndDeterministic(t *testing.T) {
	server := startEngine(t, Config{})
	first := readBody(t, sendRequest(t, http.MethodPost, server.URL+"/v1/chat/completions", "a", chatBody))
	ids, text := parseStream(first)
	require.Equal(t, []string{"1", "2", "3", "4", "5", "6", "7", "8"}, ids)
	require.Len(t, strings.Fields(text), 6)
	require.True(t, strings.HasSuffix(first, "data: [DONE]\n\n"))
	_, again := parseStream(readBody(t, sendRequest(t, http.MethodPost, server.URL+"/v1/chat/completions", "b", chatBody)))
	require.Equal(t, text, again)
	require.Equal(t, Record{ID: "a", Runs: 1, Posts: 1, Tokens: 6, Prefill: 11, Finished: 1}, ledgerRecord(t, server, "a"))
}

func TestContinuationResumesAtEndOfText(t *testing.T) {
	server := startEngine(t, Config{})
	_, text := parseStream(readBody(t, sendRequest(t, http.MethodPost, server.URL+"/v1/chat/completions", "a", chatBody)))
	words := strings.Fields(text)
	prefix := " " + strings.Join(words[:2], " ")
	body := `{"model":"m","messages":[{"role":"user","content":"how wide is the servitude"},{"role":"assistant","content":"` + prefix +
		`"}],"max_tokens":4,"stream":true,"continue_final_message":true,"add_generation_prompt":false}`
	_, rest := parseStream(readBody(t, sendRequest(t, http.MethodPost, server.URL+"/v1/chat/completions", "b", body)))
	require.Equal(t, text, prefix+rest)
}

// Guards against lost or repeated events after a disconnect. The connection of a
// stream breaks after two events and the engine suspends the stream. A resume on the
// same engine, or on another engine that imported the KV cache, must return exactly
// the missing events without a second run.
func TestDisconnectedStreamResumesOnSameAndOtherEngine(t *testing.T) {
	original, other := startEngine(t, Config{Timing: Timing{Speed: 1}}), startEngine(t, Config{})
	long := strings.Replace(chatBody, `"max_tokens":6`, `"max_tokens":40`, 1)
	_, want := parseStream(readBody(t, sendRequest(t, http.MethodPost, other.URL+"/v1/chat/completions", "want", long)))
	response := sendRequest(t, http.MethodPost, original.URL+"/v1/chat/completions", "a", long)
	reader := bufio.NewReader(response.Body)
	for range 6 {
		_, err := reader.ReadString('\n')
		require.NoError(t, err)
	}
	require.NoError(t, response.Body.Close())
	require.Eventually(t, func() bool { return ledgerRecord(t, original, "a").Suspended == 1 }, testTimeout, time.Millisecond)

	kv := readBody(t, sendRequest(t, http.MethodGet, original.URL+"/kv/a", "", ""))
	require.Equal(t, http.StatusNoContent, sendRequest(t, http.MethodPut, other.URL+"/kv/a", "", kv).StatusCode)
	words := strings.Fields(want)
	for _, server := range []*httptest.Server{original, other} {
		ids, rest := parseStream(readBody(t, sendRequest(t, http.MethodGet, server.URL+"/streams/a/resume?after=2", "", "")))
		require.Equal(t, "3", ids[0])
		require.Equal(t, strings.Join(words[2:], " "), strings.TrimSpace(rest))
	}
	require.Equal(t, 1, ledgerRecord(t, original, "a").Runs)
	require.Equal(t, 0, ledgerRecord(t, other, "a").Runs)
	require.Equal(t, http.StatusNotFound, sendRequest(t, http.MethodGet, original.URL+"/streams/zz/resume?after=0", "", "").StatusCode)
}

func TestSlotsAreAssignedInFIFOOrder(t *testing.T) {
	server := startEngine(t, Config{Slots: 1, Timing: Timing{Speed: 1}})
	long := strings.Replace(chatBody, `"max_tokens":6`, `"max_tokens":5000`, 1)
	sendRequest(t, http.MethodPost, server.URL+"/v1/chat/completions", "first", long)
	sendRequest(t, http.MethodPost, server.URL+"/v1/chat/completions", "second", chatBody)
	require.Zero(t, ledgerRecord(t, server, "second").Runs)
	require.Equal(t, http.StatusNoContent, sendRequest(t, http.MethodPost, server.URL+"/streams/first/suspend", "", "").StatusCode)
	require.Eventually(t, func() bool { return ledgerRecord(t, server, "second").Finished == 1 }, testTimeout, time.Millisecond)
	require.Equal(t, http.StatusNoContent, sendRequest(t, http.MethodPost, server.URL+"/streams/first/cancel", "", "").StatusCode)
	require.True(t, ledgerRecord(t, server, "first").Cancelled)
	require.Equal(t, http.StatusNotFound, sendRequest(t, http.MethodPost, server.URL+"/streams/first/cancel", "", "").StatusCode)
}

func TestOrderFencing(t *testing.T) {
	scenarios := []struct {
		name    string
		check   bool
		status  int
		reverts int
		role    string
	}{
		{"checks", true, http.StatusConflict, 0, "prefill"},
		{"ignores", false, http.StatusOK, 1, "decode"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			server := startEngine(t, Config{CheckFence: s.check})
			post := func(body string) int {
				return sendRequest(t, http.MethodPost, server.URL+"/orders", "", body).StatusCode
			}
			require.Equal(t, http.StatusOK, post(`{"fence":5,"kind":"set_role","role":"prefill"}`))
			require.Equal(t, s.status, post(`{"fence":4,"kind":"set_role","role":"decode"}`))
			require.Equal(t, http.StatusBadRequest, post(`{"fence":9,"kind":"explode"}`))
			var state orderState
			require.NoError(t, json.Unmarshal([]byte(readBody(t, sendRequest(t, http.MethodGet, server.URL+"/orders", "", ""))), &state))
			require.Equal(t, s.reverts, state.Reverts)
			require.Equal(t, s.role, state.Role)
		})
	}
}

func TestResponseFaults(t *testing.T) {
	scenarios := []struct {
		name   string
		faults string
		check  func(t *testing.T, status int, stream string)
	}{
		{"reorder", `{"reorder":true}`, func(t *testing.T, _ int, stream string) {
			ids, _ := parseStream(stream)
			require.Equal(t, []string{"2", "1", "4", "3", "6", "5", "7", "8"}, ids)
		}},
		{"short", `{"short":true}`, func(t *testing.T, _ int, stream string) {
			require.NotContains(t, stream, doneMarker)
			require.NotContains(t, stream, `"length"`)
		}},
		{"garbage", `{"garbage":true}`, func(t *testing.T, _ int, stream string) { require.Contains(t, stream, "\xff") }},
		{"status", `{"status":503}`, func(t *testing.T, status int, _ string) { require.Equal(t, 503, status) }},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			server := startEngine(t, Config{})
			require.Equal(t, http.StatusNoContent, sendRequest(t, http.MethodPost, server.URL+"/faults", "", s.faults).StatusCode)
			response := sendRequest(t, http.MethodPost, server.URL+"/v1/chat/completions", "a", chatBody)
			s.check(t, response.StatusCode, readBody(t, response))
		})
	}
}

func TestRefusedBodies(t *testing.T) {
	scenarios := []struct {
		name   string
		body   string
		status int
	}{
		{"no JSON", `{"model"`, http.StatusBadRequest},
		{"no messages", `{"model":"m"}`, http.StatusBadRequest},
		{"negative tokens", strings.Replace(chatBody, ":6", ":-6", 1), http.StatusBadRequest},
		{"fail mark", strings.Replace(chatBody, "wide", "FAIL", 1), http.StatusInternalServerError},
	}
	server := startEngine(t, Config{})
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			require.Equal(t, s.status, sendRequest(t, http.MethodPost, server.URL+"/v1/chat/completions", "x", s.body).StatusCode)
		})
	}
	require.Zero(t, ledgerRecord(t, server, "x").Posts)
}

func TestPrefixCacheSavesPrefillUntilEvicted(t *testing.T) {
	prompt := strings.Repeat("a parcel under servitude near the line. ", 20)
	events := newCacheEventLog(0, 0, 1)
	c := newPrefixCache(8, func(b uint64) { events.add("stored", b, time.Now()) },
		func(b uint64) { events.add("evicted", b, time.Now()) })
	require.Zero(t, c.hitTokens(prompt))
	c.store(prompt[:blockBytes*8])
	require.Equal(t, 8*blockTokens, c.hitTokens(prompt))
	c.store(strings.Repeat("b", blockBytes*8))
	require.Zero(t, c.hitTokens(prompt))
	require.Len(t, events.since(0, time.Now()), 8+8+8)
	require.Len(t, events.since(20, time.Now()), 4)
}

func TestPoisonItemCrashesEngine(t *testing.T) {
	exits := make(chan int, 4)
	server := startEngine(t, Config{Exit: func(code int) { exits <- code }})
	sendRequest(t, http.MethodPost, server.URL+"/v1/chat/completions", "a", strings.Replace(chatBody, "wide", "POISON", 1))
	require.Equal(t, crashCode, <-exits)
}
