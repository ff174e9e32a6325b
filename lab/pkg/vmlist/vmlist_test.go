package vmlist

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func getVMs(t *testing.T, l *List) []VM {
	t.Helper()
	recorder := httptest.NewRecorder()
	l.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/vms", nil))
	var vms []VM
	require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &vms))
	return vms
}

func put(l *List, path, body string) int {
	recorder := httptest.NewRecorder()
	l.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodPut, path, strings.NewReader(body)))
	return recorder.Code
}

func TestListLagsBehindUpdates(t *testing.T) {
	live := []VM{{Name: "a", State: StateLive}}
	lagging := New(Config{Lag: time.Hour, VMs: live})
	require.Equal(t, http.StatusNoContent, put(lagging, "/vms/a", `{"state":"leaving"}`))
	require.Equal(t, live, getVMs(t, lagging))

	immediate := New(Config{VMs: live})
	require.Equal(t, http.StatusNoContent, put(immediate, "/vms/b", `{"state":"live"}`))
	require.Equal(t, http.StatusNoContent, put(immediate, "/vms/a", `{"state":"leaving"}`))
	require.Equal(t, []VM{{Name: "b", State: StateLive}, {Name: "a", State: StateLeaving}}, getVMs(t, immediate))
	require.Equal(t, http.StatusNoContent, put(immediate, "/vms", `[]`))
	require.Empty(t, getVMs(t, immediate))
	require.Equal(t, http.StatusBadRequest, put(immediate, "/vms", `{`))
}
