package callproxy

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/runner"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// endlessBody is a body without end.
type endlessBody struct{ ctx context.Context }

func (b endlessBody) Read(p []byte) (int, error) { return len(p), b.ctx.Err() }
func (endlessBody) Close() error                 { return nil }

// Guards against a gateway that runs out of memory: a runner sends without end, and the daemon that asked is slow to read.
func TestCallBuffersNoMoreThanItsLimit(t *testing.T) {
	ctx, cancel := context.WithCancelCause(t.Context())
	c := &call{cancel: cancel, wake: func() {}, collected: make(chan struct{}, 1)}
	client := runner.Client{Open: func(ctx context.Context, _ runner.Call) (*runner.Answer, error) {
		return &runner.Answer{Status: http.StatusOK, Body: endlessBody{ctx}}, nil
	}}
	ended := make(chan error)
	go func() {
		ended <- c.readAnswer(ctx, client, &toucanhingev1.CarryRequest{}, nil, func() {})
	}()
	buffered := func() int {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.text)
	}
	for range 3 {
		require.Eventually(t, func() bool { return buffered() >= maxBufferedBytes }, time.Second, time.Millisecond)
		time.Sleep(20 * time.Millisecond)
		require.Less(t, buffered(), maxBufferedBytes+readBufferSize)
		require.NotEmpty(t, c.collect(true).GetData())
	}
	cancel(io.ErrClosedPipe)
	select {
	case err := <-ended:
		require.Error(t, err)
	case <-time.After(time.Second):
		require.Fail(t, "a call that waits for its session ignores its end")
	}
}
