// Package caller is a client for a team's batch and plain-service calls to a gateway.
// Streamed calls are made by package load.
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

	"toucanhinge.example/common/pkg/http1"
)

// Paths and headers of the gateway's HTTP API, and limits of this client.
const (
	jobsPath           = "/v1/batches"
	plainPath          = "/svc/"
	headerIdempotent   = "X-Idempotent"
	headerRequestID    = "X-Request-Id"
	maxResultLineBytes = 4 << 20
	maxErrorBytes      = 64 << 10
	defaultMaxTokens   = 8
)

// ErrRefused is a response other than a success. ErrTruncated is a response without
// its end.
var (
	ErrRefused   = errors.New("refused")
	ErrTruncated = errors.New("response truncated")
)

// RefusalError is a refusal by the gateway. It wraps ErrRefused.
type RefusalError struct {
	Status int
	Reason string
	// Run reports whether the request was run: no, yes or unknown.
	Run  string
	Text string
}

func (r *RefusalError) Error() string {
	return fmt.Sprintf("status %d, reason %q, run %q: %s", r.Status, r.Reason, r.Run, r.Text)
}

func (r *RefusalError) Unwrap() error { return ErrRefused }

// Config sets the gateway URL and the team's API key.
type Config struct {
	URL    string
	Key    string
	Client *http.Client
}

// Caller sends the requests of one team to one gateway.
type Caller struct {
	config Config
}

// New returns a Caller. The default client refuses broken answers.
func New(config Config) *Caller {
	if config.Client == nil {
		config.Client = &http.Client{Transport: http1.NewTransport(&http.Transport{})}
	}
	return &Caller{config: config}
}

// Job is a job's state as returned by the gateway.
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

// ItemLine returns one line of a job upload.
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

// Upload uploads a job under the given job key.
func (c *Caller) Upload(ctx context.Context, service, key string, lines io.Reader) (Job, error) {
	query := url.Values{"service": {service}, "key": {key}}
	request, err := c.newRequest(ctx, http.MethodPost, jobsPath+"?"+query.Encode(), lines)
	if err != nil {
		return Job{}, err
	}
	request.Header.Set("Content-Type", "application/jsonl")
	return c.doJob(request)
}

// Status returns a job's state.
func (c *Caller) Status(ctx context.Context, id string) (Job, error) {
	request, err := c.newRequest(ctx, http.MethodGet, jobsPath+"/"+id, nil)
	if err != nil {
		return Job{}, err
	}
	return c.doJob(request)
}

// Cancel cancels a job.
func (c *Caller) Cancel(ctx context.Context, id string) error {
	request, err := c.newRequest(ctx, http.MethodPost, jobsPath+"/"+id+"/cancel", nil)
	if err != nil {
		return err
	}
	_, err = c.doJob(request)
	return err
}

// resultLine is a result or the end line of the results.
type resultLine struct {
	Result
	End   bool   `json:"end"`
	Count uint64 `json:"count"`
}

// Results reads the results from an index on, in order, and passes each to the each
// function. Results without their end line are truncated and yield ErrTruncated.
func (c *Caller) Results(ctx context.Context, id string, from uint64, each func(Result) error) error {
	path := jobsPath + "/" + id + "/results?from=" + strconv.FormatUint(from, 10)
	request, err := c.newRequest(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	response, err := c.do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return readResults(response.Body, each)
}

func readResults(body io.Reader, each func(Result) error) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxResultLineBytes)
	for count := uint64(0); lines.Scan(); count++ {
		var line resultLine
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return fmt.Errorf("parse result line %q: %w", lines.Text(), err)
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

// Echo is the response of the plain-service simulator.
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
	// ID is the request id chosen by the caller.
	ID string
	// NonIdempotent marks the call as non-idempotent with X-Idempotent: false.
	NonIdempotent bool
}

// CallPlain calls a plain service and returns its response.
func (c *Caller) CallPlain(ctx context.Context, call PlainCall) (Echo, error) {
	request, err := c.newRequest(ctx, http.MethodPost, plainPath+call.Service+call.Path, bytes.NewReader([]byte(call.Body)))
	if err != nil {
		return Echo{}, err
	}
	request.Header.Set(headerRequestID, call.ID)
	if call.NonIdempotent {
		request.Header.Set(headerIdempotent, "false")
	}
	response, err := c.do(request)
	if err != nil {
		return Echo{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var echo Echo
	if err := json.NewDecoder(response.Body).Decode(&echo); err != nil {
		return Echo{}, fmt.Errorf("parse response of %s: %w", call.Service, err)
	}
	return echo, nil
}

func (c *Caller) newRequest(ctx context.Context, method, path string, body io.Reader) (*http.Request, error) {
	// The body is wrapped so that the HTTP client can't rewind it and resend the request.
	if body != nil {
		body = io.NopCloser(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.config.URL+path, body)
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+c.config.Key)
	return request, nil
}

func (c *Caller) doJob(request *http.Request) (Job, error) {
	response, err := c.do(request)
	if err != nil {
		return Job{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var job Job
	if err := json.NewDecoder(response.Body).Decode(&job); err != nil {
		return Job{}, fmt.Errorf("parse job response: %w", err)
	}
	return job, nil
}

type refusalBody struct {
	Error struct {
		Reason string `json:"reason"`
		Run    string `json:"run"`
	} `json:"error"`
}

// do sends a request. A response status above 299 becomes a *RefusalError.
func (c *Caller) do(request *http.Request) (*http.Response, error) {
	response, err := c.config.Client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("send request: %w", err)
	}
	if response.StatusCode < http.StatusMultipleChoices {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	refusal := &RefusalError{Status: response.StatusCode, Text: string(text)}
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

// Text returns the generated text of the result.
func (r Result) Text() string {
	var body completion
	if json.Unmarshal(r.Body, &body) != nil || len(body.Choices) == 0 {
		return ""
	}
	return body.Choices[0].Message.Content
}
