package engine

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/http1test"
)

// Guards against broken answers that count as the engine's, for calls that may run twice and those that may not.
func TestBrokenAnswersAreRefused(t *testing.T) {
	const timeout = 5 * time.Second
	for _, once := range []bool{false, true} {
		for _, c := range http1test.BrokenAnswers("{}") {
			name := c.Name + ", idempotent"
			if once {
				name = c.Name + ", once"
			}
			t.Run(name, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				client := New(Config{URL: "http://" + c.Server.Start(t)})
				answer, sent, err := client.Open(ctx, Call{Method: http.MethodPost, Path: "/", Body: c.Request, AtMostOnce: once})
				require.True(t, sent, "it may have run")
				if err == nil {
					_, err = io.ReadAll(answer.Body)
					_ = answer.Body.Close()
				}
				require.Error(t, err)
				require.NoError(t, ctx.Err(), "the caller waits for more of a broken answer")
				require.Equal(t, 1, c.Server.Requests())
			})
		}
	}
}

// Guards against an engine that counts as healthy, or an order as taken, by a broken answer.
func TestBrokenAnswersToControlCallsAreRefused(t *testing.T) {
	for _, c := range http1test.BrokenAnswers("{}") {
		if c.Server.Early {
			continue
		}
		t.Run(c.Name, func(t *testing.T) {
			client := New(Config{URL: "http://" + c.Server.Start(t)})
			_, err := client.controlCall(t.Context(), http.MethodPost, "/", c.Request)
			require.Error(t, err)
		})
	}
}
