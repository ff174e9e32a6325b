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
)

// Errors of an answer.
var (
	// ErrTruncated means that the stream ended without its end mark.
	ErrTruncated = errors.New("answer cut short")
	// ErrInStream means that the stream carried an explicit error.
	ErrInStream = errors.New("error in the answer")
)

const (
	doneMark  = "[DONE]"
	errorMost = 64 << 10
)

// Target is where calls go.
type Target struct {
	// URL is the base, without the path.
	URL string
	// Key is the team's key; empty towards an engine itself.
	Key    string
	Client *http.Client
}

// NewClient is an HTTP client with enough kept connections for a load run.
func NewClient(connections int) *http.Client {
	transport := &http.Transport{
		MaxIdleConns: connections, MaxIdleConnsPerHost: connections,
		IdleConnTimeout: time.Minute, DisableCompression: true,
	}
	return &http.Client{Transport: transport}
}

// Outcome is what one call brought. Times count from its scheduled start.
type Outcome struct {
	ID     string
	Status int
	// Reason and Run are the refusal's own words.
	Reason     string
	Run        string
	RetryAfter time.Duration
	FirstToken      time.Duration
	Total      time.Duration
	// TokenGaps are the times between tokens.
	TokenGaps   []time.Duration
	Tokens int
	Text   string
	// Complete is true only after finish reason and end mark.
	Complete bool
	Err   error
	// Sends counts this caller's own sends of the request.
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

// Call makes one streamed call; times count from scheduled.
func (t Target) Call(ctx context.Context, request Request, scheduled time.Time) Outcome {
	outcome := Outcome{ID: request.ID, Sends: 1}
	answer, err := t.send(ctx, request)
	if err != nil {
		outcome.Err = err
		outcome.Total = time.Since(scheduled)
		return outcome
	}
	defer func() { _ = answer.Body.Close() }()
	outcome.Status = answer.StatusCode
	if answer.StatusCode == http.StatusOK {
		outcome.Err = outcome.read(answer.Body, scheduled)
	} else {
		outcome.refused(answer)
	}
	outcome.Total = time.Since(scheduled)
	return outcome
}

func (t Target) send(ctx context.Context, request Request) (*http.Response, error) {
	// The body is wrapped so that the client can't rewind and resend it by itself.
	body := io.NopCloser(bytes.NewReader(request.Body))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, t.URL+request.Path, body)
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
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
	answer, err := t.Client.Do(r)
	if err != nil {
		return nil, fmt.Errorf("call: %w", err)
	}
	return answer, nil
}

// read takes the stream in. Only the parts that the measures need are parsed.
func (o *Outcome) read(body io.Reader, scheduled time.Time) error {
	reader := bufio.NewReader(body)
	var text strings.Builder
	defer func() { o.Text = text.String() }()
	finished, last := false, time.Duration(0)
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return o.cut(err)
		}
		data, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == doneMark {
			o.Complete = finished
			return nil
		}
		var e event
		if err := json.Unmarshal(data, &e); err != nil {
			return fmt.Errorf("event %q: %w", data, err)
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
			o.token(now, last)
			last = now
			text.WriteString(piece)
		}
	}
}

func (o *Outcome) cut(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("after %d tokens: %w", o.Tokens, err)
	}
	return fmt.Errorf("after %d tokens: %w", o.Tokens, ErrTruncated)
}

func (o *Outcome) token(now, last time.Duration) {
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

func (o *Outcome) refused(answer *http.Response) {
	text, _ := io.ReadAll(io.LimitReader(answer.Body, errorMost))
	var body refusalBody
	if json.Unmarshal(text, &body) == nil {
		o.Reason = reasonOf(body.Error)
		var detail refusalError
		if json.Unmarshal(body.Error, &detail) == nil {
			o.Run = detail.Run
		}
	}
	if o.Reason == "" {
		o.Reason = "status-" + strconv.Itoa(answer.StatusCode)
	}
	if seconds, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64); err == nil {
		o.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
}

// reasonOf finds the machine-readable reason; engines have a type only.
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
