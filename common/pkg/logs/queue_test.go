package logs

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log/level"
	"github.com/stretchr/testify/require"
)

// reader is a writer's other end that can stall.
type reader struct {
	mu      sync.Mutex
	text    bytes.Buffer
	stalled chan struct{}
}

func (r *reader) Write(p []byte) (int, error) {
	if r.stalled != nil {
		<-r.stalled
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(p)
}

func (r *reader) lines(t *testing.T) []map[string]any {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	var lines []map[string]any
	for _, line := range strings.Split(strings.TrimSpace(r.text.String()), "\n") {
		if line == "" {
			continue
		}
		fields := map[string]any{}
		require.NoError(t, json.Unmarshal([]byte(line), &fields), line)
		lines = append(lines, fields)
	}
	return lines
}

func run(q *Queue) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		q.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

func TestLinesAreWrittenWithTheirKeys(t *testing.T) {
	r := &reader{}
	q := NewQueue(r)
	stop := run(q)
	logger := Wrap(Config{Program: "gateway", Name: "vm"}, q)
	require.NoError(t, level.Warn(logger).Log(KeyEvent, EventRequestEnded, KeyRequest, "q1", KeyError, errors.New("broke off")))
	require.NoError(t, level.Debug(logger).Log(KeyEvent, "hidden"))
	stop()
	lines := r.lines(t)
	require.Len(t, lines, 1)
	for key, want := range map[string]string{
		"event": "request-ended", "request": "q1", "error": "broke off", "name": "vm", "program": "gateway", "level": "warn",
	} {
		require.Equal(t, want, lines[0][key])
	}
	require.NotEmpty(t, lines[0]["at"])
}

// The reader of standard output stalls under load. Nobody who logs may wait for
// it; lines of the routine go first, what tells of a fault stays, and how many
// were dropped is told when the reader is back.
func TestAStalledReaderDelaysNothing(t *testing.T) {
	r := &reader{stalled: make(chan struct{})}
	q := NewQueue(r)
	stop := run(q)
	logger := Wrap(Config{}, q)
	began := time.Now()
	for range 20_000 {
		require.NoError(t, level.Info(logger).Log(KeyEvent, EventRequestEnded))
	}
	for range 20 {
		require.NoError(t, level.Error(logger).Log(KeyEvent, "failed"))
	}
	require.Less(t, time.Since(began), 5*time.Second)
	require.Positive(t, q.Dropped())
	close(r.stalled)
	stop()
	counts := map[any]int{}
	for _, line := range r.lines(t) {
		counts[line["event"]]++
	}
	require.Equal(t, 20, counts["failed"])
	require.Equal(t, 1, counts["log-lines-dropped"])
	require.LessOrEqual(t, counts[EventRequestEnded], 2*routineLines+batchBytes/50)
}

func TestAFaultThatRepeatsItselfIsBounded(t *testing.T) {
	r := &reader{}
	q := NewQueue(r)
	stop := run(q)
	logger := Wrap(Config{}, q)
	for n := range 3_000 {
		require.NoError(t, level.Warn(logger).Log(KeyEvent, EventRequestEnded))
		if n%100 == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	require.NoError(t, level.Warn(logger).Log(KeyEvent, "another"))
	stop()
	counts := map[any]int{}
	for _, line := range r.lines(t) {
		counts[line["event"]]++
	}
	require.LessOrEqual(t, counts[EventRequestEnded], 3*keptPerSecond)
	require.Equal(t, 1, counts["another"], "other events aren't held back by it")
}
