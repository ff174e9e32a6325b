package work

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/pkg/errors"

	"toucanhinge.example/sidecar/pkg/engine"
)

// Paths of the engine's calls.
const (
	pathChat       = "/v1/chat/completions"
	pathCompletion = "/v1/completions"
)

var errBody = errors.New("the item's body is neither a chat nor a completion request")

// prepared is an item's request as it goes to the engine.
type prepared struct {
	path string
	body []byte
	// streamed requests can be suspended and go on later. Their answer is put
	// together from its pieces, which works for plain text only.
	streamed bool
	prefill  int
}

// bytesPerToken is a rough measure of a prompt's length, for the prefill budget.
const bytesPerToken = 4

// prepare makes the engine's request of an item's body.
func prepare(body []byte) (prepared, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return prepared{}, fmt.Errorf("read the item's body: %w", err)
	}
	p := prepared{body: body, prefill: len(body) / bytesPerToken, streamed: streamable(fields)}
	switch {
	case fields["messages"] != nil:
		p.path = pathChat
	case fields["prompt"] != nil:
		p.path = pathCompletion
	default:
		return prepared{}, errBody
	}
	fields["stream"] = json.RawMessage("false")
	if p.streamed {
		fields["stream"] = json.RawMessage("true")
	}
	var err error
	if p.body, err = json.Marshal(fields); err != nil {
		return prepared{}, fmt.Errorf("write the item's body: %w", err)
	}
	return p, nil
}

// streamable says whether an answer's pieces can be put together to the answer
// that the engine would have given in one.
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

type wholeAnswer struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []wholeChoice `json:"choices"`
	Usage   *usage        `json:"usage,omitempty"`
}

type wholeChoice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// assembly puts an answer together from its pieces.
type assembly struct {
	chat    bool
	first   *chunk
	usage   *usage
	choices map[int]*choice
	pieces  int
	// text is the length of all texts, bytes.
	text int
}

type choice struct {
	text   strings.Builder
	finish *string
}

func newAssembly(path string) *assembly {
	return &assembly{chat: path == pathChat, choices: map[int]*choice{}}
}

// add takes one event's data.
func (a *assembly) add(data []byte) error {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("read a piece: %w: %w", engine.ErrMalformed, err)
	}
	a.pieces++
	if a.first == nil {
		a.first = &c
	}
	if c.Usage != nil {
		a.usage = c.Usage
	}
	for _, part := range c.Choices {
		a.choice(part)
	}
	return nil
}

func (a *assembly) choice(part chunkChoice) {
	c := a.choices[part.Index]
	if c == nil {
		c = &choice{}
		a.choices[part.Index] = c
	}
	a.text += len(part.Delta.Content) + len(part.Text)
	c.text.WriteString(part.Delta.Content)
	c.text.WriteString(part.Text)
	if part.FinishReason != nil {
		c.finish = part.FinishReason
	}
}

// whole returns the answer as if it had come in one.
func (a *assembly) whole() ([]byte, error) {
	if a.first == nil {
		return nil, engine.ErrShort
	}
	answer := wholeAnswer{
		ID: a.first.ID, Object: "text_completion", Created: a.first.Created, Model: a.first.Model,
		Usage: a.usage,
	}
	if a.chat {
		answer.Object = "chat.completion"
	}
	for index, c := range a.choices {
		text := c.text.String()
		part := wholeChoice{Index: index, FinishReason: c.finish}
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
		return nil, fmt.Errorf("write the answer: %w", err)
	}
	return body, nil
}
