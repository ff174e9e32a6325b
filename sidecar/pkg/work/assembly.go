package work

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/pkg/errors"

	"toucanhinge.example/sidecar/pkg/engine"
)

// Paths of the engine's API.
const (
	pathChat       = "/v1/chat/completions"
	pathCompletion = "/v1/completions"
)

var errUnknownRequestKind = errors.New("the item's body is neither a chat nor a completion request")

// preparedRequest is an item's request as sent to the engine.
type preparedRequest struct {
	path string
	body []byte
	// streamed requests can be suspended and resumed. Their answer is assembled from
	// chunks, which works for plain text only.
	streamed      bool
	prefillTokens int
}

// bytesPerToken is a rough estimate that converts body length to prompt tokens for
// the prefill budget.
const bytesPerToken = 4

// prepare creates the engine request for an item's body.
func prepare(body []byte) (preparedRequest, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return preparedRequest{}, fmt.Errorf("parse the item's body: %w", err)
	}
	p := preparedRequest{body: body, prefillTokens: len(body) / bytesPerToken, streamed: streamable(fields)}
	switch {
	case fields["messages"] != nil:
		p.path = pathChat
	case fields["prompt"] != nil:
		p.path = pathCompletion
	default:
		return preparedRequest{}, errUnknownRequestKind
	}
	fields["stream"] = json.RawMessage("false")
	if p.streamed {
		fields["stream"] = json.RawMessage("true")
	}
	var err error
	if p.body, err = json.Marshal(fields); err != nil {
		return preparedRequest{}, fmt.Errorf("encode the engine request: %w", err)
	}
	return p, nil
}

// streamable reports whether the chunks of a streamed answer can be assembled to the
// answer that the engine would have given without streaming.
func streamable(fields map[string]json.RawMessage) bool {
	for _, name := range []string{"tools", "functions", "logprobs", "stream_options"} {
		if value := fields[name]; value != nil && string(value) != "null" && string(value) != "false" {
			return false
		}
	}
	return true
}

type chunk struct {
	ID      string        `json:"id"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *usage        `json:"usage"`
}

type chunkChoice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type assembledAnswer struct {
	ID      string            `json:"id"`
	Object  string            `json:"object"`
	Created int64             `json:"created"`
	Model   string            `json:"model"`
	Choices []assembledChoice `json:"choices"`
	Usage   *usage            `json:"usage,omitempty"`
}

type assembledChoice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// assembly assembles a complete answer from the chunks of a stream.
type assembly struct {
	chat    bool
	first   *chunk
	usage   *usage
	choices map[int]*choice
	chunks  int
	// textBytes is the total length of all texts in bytes.
	textBytes int
}

type choice struct {
	text         strings.Builder
	finishReason *string
}

func newAssembly(path string) *assembly {
	return &assembly{chat: path == pathChat, choices: map[int]*choice{}}
}

// add adds the data of one event.
func (a *assembly) add(data []byte) error {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("parse a chunk: %w: %w", engine.ErrMalformed, err)
	}
	a.chunks++
	if a.first == nil {
		a.first = &c
	}
	if c.Usage != nil {
		a.usage = c.Usage
	}
	for _, part := range c.Choices {
		a.addChoice(part)
	}
	return nil
}

func (a *assembly) addChoice(part chunkChoice) {
	c := a.choices[part.Index]
	if c == nil {
		c = &choice{}
		a.choices[part.Index] = c
	}
	a.textBytes += len(part.Delta.Content) + len(part.Text)
	c.text.WriteString(part.Delta.Content)
	c.text.WriteString(part.Text)
	if part.FinishReason != nil {
		c.finishReason = part.FinishReason
	}
}

// marshal returns the complete answer in the format of an answer without streaming.
func (a *assembly) marshal() ([]byte, error) {
	if a.first == nil {
		return nil, engine.ErrShort
	}
	answer := assembledAnswer{
		ID: a.first.ID, Object: "text_completion", Created: a.first.Created, Model: a.first.Model,
		Usage: a.usage,
	}
	if a.chat {
		answer.Object = "chat.completion"
	}
	for index, c := range a.choices {
		text := c.text.String()
		part := assembledChoice{Index: index, FinishReason: c.finishReason}
		if a.chat {
			part.Message = &message{Role: "assistant", Content: text}
		} else {
			part.Text = &text
		}
		answer.Choices = append(answer.Choices, part)
	}
	sort.Slice(answer.Choices, func(i, j int) bool { return answer.Choices[i].Index < answer.Choices[j].Index })
	body, err := json.Marshal(answer)
	if err != nil {
		return nil, fmt.Errorf("encode the answer: %w", err)
	}
	return body, nil
}
