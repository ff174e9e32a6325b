package plain

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func post(t *testing.T, server *httptest.Server, path, id, body string) *http.Response {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, server.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set(requestIDHeader, id)
	response, err := server.Client().Do(request)
	require.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

func TestLedgerCountsRunsWithFailedResponses(t *testing.T) {
	server := httptest.NewServer(New(Config{}).Handler())
	defer server.Close()
	var echo echoBody
	require.NoError(t, json.NewDecoder(post(t, server, "/parcel?x=1", "a", "who").Body).Decode(&echo))
	require.Equal(t, echoBody{Method: http.MethodPost, Path: "/parcel?x=1", Body: "who", Run: 1}, echo)
	require.Equal(t, http.StatusNoContent, post(t, server, "/faults", "", `{"status":500,"count":1}`).StatusCode)
	require.Equal(t, http.StatusInternalServerError, post(t, server, "/parcel", "a", "who").StatusCode)
	require.Equal(t, http.StatusOK, post(t, server, "/parcel", "other id", "ITEM[a] who").StatusCode)
	response, err := server.Client().Get(server.URL + "/ledger")
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	var ledger Ledger
	require.NoError(t, json.NewDecoder(response.Body).Decode(&ledger))
	require.Equal(t, Ledger{Records: []Record{{ID: "a", Runs: 3}}, Runs: 3}, ledger)
}
