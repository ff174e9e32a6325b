// Package caller makes a team's batch and plain-service calls to a gateway.
// Streamed calls are in package load.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"
)

// Paths and headers of the gateway's surface.
const (
	jobsPath         = "/v1/batches"
	plainPath        = "/svc/"
	headerIdempotent = "X-Idempotent"
	headerRequestID  = "X-Request-Id"
	resultLineMost   = 4 << 20
	errorMost        = 64 << 10
	defaultMaxTokens = 8
)

// ErrRefused is an answer that isn't a success; ErrCut is an answer without its end.
var (
	ErrRefused = errors.New("refused")
	ErrTruncated     = errors.New("answer cut short")
)

// RefusalError is the gateway's answer when it refuses. It wraps ErrRefused.
type RefusalError struct {
	Status int
	Reason string
	// Run says whether the request was run: no, yes or unknown.
	Run  string
	Text string
}

func (r *RefusalError) Error() string {
	return fmt.Sprintf("status %d, reason %q, run %q: %s", r.Status, r.Reason, r.Run, r.Text)
}

func (r *RefusalError) Unwrap() error { return ErrRefused }

// Config is who calls whom.
type Config struct {
	URL    string
	Key    string
	Client *http.Client
}

// Caller is one team at one gateway.
type Caller struct {
	config Config
}

// New makes a caller.
func New(config Config) *Caller {
	if config.Client == nil {
		config.Client = http.DefaultClient
	}
	return &Caller{config: config}
}

// Job is a job's state as the gateway tells it.
type Job struct {
	ID     string `json:"id"`
	Key    string `json:"key"`
	State  string `json:"state"`
	Items  uint64 `json:"items"`
	Done   uint64 `json:"done"`
	Failed uint64 `json:"failed"`
	Resend bool   `json:"resend"`
}

// Result is one line of a job's results.
type Result struct {
	Index    uint64          `json:"index"`
	CustomID string          `json:"custom_id"`
	Outcome  string          `json:"outcome"`
	Body     json.RawMessage `json:"body"`
	Reason   string          `json:"reason"`
	Attempts uint32          `json:"attempts"`
}

type itemLine struct {
	CustomID string   `json:"custom_id"`
	Body     itemBody `json:"body"`
}

type itemBody struct {
	Model     string        `json:"model"`
	Messages  []itemMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
}

type itemMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ItemLine is one line of an upload.
func ItemLine(id, model, prompt string, tokens int) string {
	if tokens == 0 {
		tokens = defaultMaxTokens
	}
	text, _ := json.Marshal(itemLine{
		CustomID: id,
		Body:     itemBody{Model: model, Messages: []itemMessage{{Role: "user", Content: prompt}}, MaxTokens: tokens},
	})
	return string(text) + "\n"
}

// Upload brings a job under the caller's own key.
func (c *Caller) Upload(ctx context.Context, service, key string, lines io.Reader) (Job, error) {
	query := url.Values{"service": {service}, "key": {key}}
	request, err := c.request(ctx, http.MethodPost, jobsPath+"?"+query.Encode(), lines)
	if err != nil {
		return Job{}, err
	}
	request.Header.Set("Content-Type", "application/jsonl")
	return c.job(request)
}

// Status reads a job's state.
func (c *Caller) Status(ctx context.Context, id string) (Job, error) {
	request, err := c.request(ctx, http.MethodGet, jobsPath+"/"+id, nil)
	if err != nil {
		return Job{}, err
	}
	return c.job(request)
}

// Cancel cancels a job.
func (c *Caller) Cancel(ctx context.Context, id string) error {
	request, err := c.request(ctx, http.MethodPost, jobsPath+"/"+id+"/cancel", nil)
	if err != nil {
		return err
	}
	_, err = c.job(request)
	return err
}

// resultLine is a result, or the line that closes the results.
type resultLine struct {
	Result
	End   bool   `json:"end"`
	Count uint64 `json:"count"`
}

// Results reads what is decided from an index on, in order. Results without
// their closing line were cut short, which is ErrCut.
func (c *Caller) Results(ctx context.Context, id string, from uint64, each func(Result) error) error {
	path := jobsPath + "/" + id + "/results?from=" + strconv.FormatUint(from, 10)
	request, err := c.request(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	answer, err := c.do(request)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	return readResults(answer.Body, each)
}

func readResults(body io.Reader, each func(Result) error) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, resultLineMost)
	for count := uint64(0); lines.Scan(); count++ {
		var line resultLine
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return fmt.Errorf("result line %q: %w", lines.Text(), err)
		}
		if line.End {
			return checkEnd(line, count)
		}
		if line.CustomID == "" {
			return fmt.Errorf("%s: %w", lines.Text(), ErrTruncated)
		}
		if err := each(line.Result); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read results: %w", err)
	}
	return ErrTruncated
}

func checkEnd(line resultLine, count uint64) error {
	if line.Count != count {
		return fmt.Errorf("%d of %d results: %w", count, line.Count, ErrTruncated)
	}
	return nil
}

// Echo is what the stand-in of a plain service answers.
type Echo struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	Run    int    `json:"run"`
}

// PlainCall is one call of a plain service.
type PlainCall struct {
	Service string
	Path    string
	Body    string
	// ID is the caller's own id of the request.
	ID string
	// NonIdempotent marks it non-idempotent.
	NonIdempotent bool
}

// CallPlain calls a plain service.
func (c *Caller) CallPlain(ctx context.Context, call PlainCall) (Echo, error) {
	request, err := c.request(ctx, http.MethodPost, plainPath+call.Service+call.Path, bytes.NewReader([]byte(call.Body)))
	if err != nil {
		return Echo{}, err
	}
	request.Header.Set(headerRequestID, call.ID)
	if call.NonIdempotent {
		request.Header.Set(headerIdempotent, "false")
	}
	answer, err := c.do(request)
	if err != nil {
		return Echo{}, err
	}
	defer func() { _ = answer.Body.Close() }()
	var echo Echo
	if err := json.NewDecoder(answer.Body).Decode(&echo); err != nil {
		return Echo{}, fmt.Errorf("answer of %s: %w", call.Service, err)
	}
	return echo, nil
}

func (c *Caller) request(ctx context.Context, method, path string, body io.Reader) (*http.Request, error) {
	// A plain reader keeps the client from rewinding the body and resending it.
	if body != nil {
		body = io.NopCloser(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.config.URL+path, body)
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+c.config.Key)
	return request, nil
}

func (c *Caller) job(request *http.Request) (Job, error) {
	answer, err := c.do(request)
	if err != nil {
		return Job{}, err
	}
	defer func() { _ = answer.Body.Close() }()
	var job Job
	if err := json.NewDecoder(answer.Body).Decode(&job); err != nil {
		return Job{}, fmt.Errorf("job answer: %w", err)
	}
	return job, nil
}

type refusalBody struct {
	Error struct {
		Reason string `json:"reason"`
		Run    string `json:"run"`
	} `json:"error"`
}

// do sends; an answer above 299 becomes a *RefusalError.
func (c *Caller) do(request *http.Request) (*http.Response, error) {
	answer, err := c.config.Client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("call: %w", err)
	}
	if answer.StatusCode < http.StatusMultipleChoices {
		return answer, nil
	}
	defer func() { _ = answer.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(answer.Body, errorMost))
	refusal := &RefusalError{Status: answer.StatusCode, Text: string(text)}
	var body refusalBody
	if json.Unmarshal(text, &body) == nil {
		refusal.Reason, refusal.Run = body.Error.Reason, body.Error.Run
	}
	return nil, refusal
}

type completion struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
}

// Text is the generated text in a result's body.
func (r Result) Text() string {
	var body completion
	if json.Unmarshal(r.Body, &body) != nil || len(body.Choices) == 0 {
		return ""
	}
	return body.Choices[0].Message.Content
}
