package web

import (
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Shutdown must not interrupt a running request; its caller gets the whole answer. The request is in
// the handler when Shutdown starts, and the handler returns only afterwards.
func TestShutdownWaitsForRunningRequest(t *testing.T) {
	entered := make(chan struct{})
	finish := make(chan struct{})
	s, err := Listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-finish
		_, _ = io.WriteString(w, "whole")
	}))
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	answer := make(chan string, 1)
	go func() {
		r, err := NewClient().Get("http://" + s.Address())
		if err != nil {
			answer <- err.Error()
			return
		}
		body, _ := io.ReadAll(r.Body)
		_ = r.Body.Close()
		answer <- r.Proto + " " + string(body)
	}()
	<-entered
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(context.Background()) }()
	close(finish)
	require.Equal(t, "HTTP/2.0 whole", <-answer)
	require.NoError(t, <-stopped)
	require.NoError(t, <-served)
}
