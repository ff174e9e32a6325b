package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"toucanhinge.example/common/pkg/http1"
)

// Errors of a response.
var (
	// ErrTruncated means that the stream ended without its end marker.
	ErrTruncated = errors.New("response truncated")
	// ErrInStream means that the stream carried an explicit error.
	ErrInStream = errors.New("error event in the stream")
)

const (
	doneMarker    = "[DONE]"
	maxErrorBytes = 64 << 10
)

// Target is the server that calls are sent to.
type Target struct {
	// URL is the base URL without a path.
	URL string
	// Key is the team's API key. It is empty for direct calls to an engine.
	Key    string
	Client *http.Client
}

// NewClient returns an HTTP client that keeps up to the given number of idle connections.
func NewClient(connections int) *http.Client {
	return &http.Client{Transport: http1.NewTransport(&http.Transport{
		MaxIdleConns: connections, MaxIdleConnsPerHost: connections, IdleConnTimeout: time.Minute,
	})}
}

// Outcome is the result of one call. Times are measured from its scheduled start.
type Outcome struct {
	ID     string
	Status int
	// Reason and Run are copied from the refusal's body.
	Reason     string
	Run        string
	RetryAfter time.Duration
	FirstToken time.Duration
	Total      time.Duration
	// TokenGaps are the intervals between consecutive tokens.
	TokenGaps []time.Duration
	Tokens    int
	Text      string
	// Complete is true only if both the finish reason and the end marker were received.
	Complete bool
	Err      error
	// Sends is how often this caller sent the request.
	Sends int
}

func (o Outcome) String() string {
	text := fmt.Sprintf("%s: status %d, %d tokens", o.ID, o.Status, o.Tokens)
	if o.Reason != "" {
		text += ", reason " + o.Reason + ", run " + o.Run
	}
	if o.Err != nil {
		text += ", " + o.Err.Error()
	}
	return text
}

type eventChoice struct {
	Delta struct {
		Content string `json:"content"`
	} `json:"delta"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type event struct {
	Choices []eventChoice   `json:"choices"`
	Error   json.RawMessage `json:"error"`
}

// Call makes one streamed call. Times are measured from scheduled.
func (t Target) Call(ctx context.Context, request Request, scheduled time.Time) Outcome {
	outcome := Outcome{ID: request.ID, Sends: 1}
	response, err := t.send(ctx, request)
	if err != nil {
		outcome.Err = err
		outcome.Total = time.Since(scheduled)
		return outcome
	}
	defer func() { _ = response.Body.Close() }()
	outcome.Status = response.StatusCode
	if response.StatusCode == http.StatusOK {
		outcome.Err = outcome.readStream(response.Body, scheduled)
	} else {
		outcome.readRefusal(response)
	}
	outcome.Total = time.Since(scheduled)
	return outcome
}

func (t Target) send(ctx context.Context, request Request) (*http.Response, error) {
	// The body is wrapped so that the HTTP client can't rewind it and resend the request.
	body := io.NopCloser(bytes.NewReader(request.Body))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, t.URL+request.Path, body)
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	r.ContentLength = int64(len(request.Body))
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Request-Id", request.ID)
	if request.DeadlineMs > 0 {
		r.Header.Set("X-Deadline-Ms", strconv.FormatInt(request.DeadlineMs, 10))
	}
	if t.Key != "" {
		r.Header.Set("Authorization", "Bearer "+t.Key)
	}
	response, err := t.Client.Do(r)
	if err != nil {
		return nil, fmt.Errorf("send request: %w", err)
	}
	return response, nil
}

// readStream reads the event stream. It parses only the fields needed for measuring.
func (o *Outcome) readStream(body io.Reader, scheduled time.Time) error {
	reader := bufio.NewReader(body)
	var text strings.Builder
	defer func() { o.Text = text.String() }()
	finished, last := false, time.Duration(0)
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return o.truncated(err)
		}
		data, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == doneMarker {
			o.Complete = finished
			return nil
		}
		var e event
		if err := json.Unmarshal(data, &e); err != nil {
			return fmt.Errorf("parse event %q: %w", data, err)
		}
		if len(e.Error) > 0 {
			o.Reason = reasonOf(e.Error)
			return fmt.Errorf("%s: %w", e.Error, ErrInStream)
		}
		if len(e.Choices) == 0 {
			continue
		}
		choice := e.Choices[0]
		finished = finished || choice.FinishReason != nil
		if piece := choice.Delta.Content + choice.Text; piece != "" {
			now := time.Since(scheduled)
			o.recordToken(now, last)
			last = now
			text.WriteString(piece)
		}
	}
}

func (o *Outcome) truncated(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("after %d tokens: %w", o.Tokens, err)
	}
	return fmt.Errorf("after %d tokens: %w", o.Tokens, ErrTruncated)
}

func (o *Outcome) recordToken(now, last time.Duration) {
	o.Tokens++
	if o.Tokens == 1 {
		o.FirstToken = now
		return
	}
	o.TokenGaps = append(o.TokenGaps, now-last)
}

type refusalError struct {
	Reason string `json:"reason"`
	Type   string `json:"type"`
	Run    string `json:"run"`
}

type refusalBody struct {
	Error json.RawMessage `json:"error"`
}

func (o *Outcome) readRefusal(response *http.Response) {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	var body refusalBody
	if json.Unmarshal(text, &body) == nil {
		o.Reason = reasonOf(body.Error)
		var detail refusalError
		if json.Unmarshal(body.Error, &detail) == nil {
			o.Run = detail.Run
		}
	}
	if o.Reason == "" {
		o.Reason = "status-" + strconv.Itoa(response.StatusCode)
	}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		o.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
}

// reasonOf returns the machine-readable reason of an error. Engines set only a type.
func reasonOf(raw json.RawMessage) string {
	var detail refusalError
	if json.Unmarshal(raw, &detail) != nil {
		return "unreadable"
	}
	for _, word := range []string{detail.Reason, detail.Type} {
		if word != "" {
			return word
		}
	}
	return ""
}
