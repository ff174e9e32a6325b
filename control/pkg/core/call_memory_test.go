package core

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

func newTestCallMemory(limit int64) *callMemory {
	return &callMemory{limit: limit, refused: newMetrics(prometheus.NewRegistry()).callsWithoutMemory}
}

// Guards against a leader that ends by its memory under many gateways with large jobs, and against jobs that are never
// accepted because they are larger than the limit.
func TestCallsTakeNoMoreThanTheLimit(t *testing.T) {
	for _, c := range []struct {
		name          string
		limit, others int64
		bytes         int64
		want          connect.Code
	}{
		{"room", 100, 50, 50, 0},
		{"too little room", 100, 51, 50, connect.CodeResourceExhausted},
		{"alone", 100, 0, 1000, 0},
		{"no limit", 0, 1000, 1000, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newTestCallMemory(c.limit)
			other, hold := &callHold{memory: m}, &callHold{memory: m}
			require.NoError(t, other.take(c.others))
			err := hold.take(c.bytes)
			if c.want != 0 {
				require.Equal(t, c.want, connect.CodeOf(err))
				other.close()
				require.NoError(t, hold.take(c.bytes), "after the other call")
			}
			hold.close()
			other.close()
			require.Zero(t, m.used)
		})
	}
}

// Guards against a job that is read although there is no memory for it.
func TestJobWithoutMemoryIsRefusedUnread(t *testing.T) {
	m := newTestCallMemory(100)
	other := &callHold{memory: m}
	require.NoError(t, other.take(100))
	read := 0
	handler := m.limitCalls(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		read++
		require.NoError(t, takeForAnswer(r.Context(), 1))
	}))
	call := func(procedure string) int {
		r := httptest.NewRequestWithContext(context.Background(), http.MethodPost, procedure, strings.NewReader("job"))
		r.Header.Set("Content-Type", "application/proto")
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		return w.Code
	}
	require.Equal(t, http.StatusTooManyRequests, call(toucanhingev1connect.CoreServiceSubmitJobProcedure))
	require.Zero(t, read)
	other.close()
	require.Equal(t, http.StatusOK, call(toucanhingev1connect.CoreServiceSubmitJobProcedure))
	require.Equal(t, 1, read)
	require.Zero(t, m.used)
}
