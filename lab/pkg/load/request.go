package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
)

// Request is one call to make.
type Request struct {
	ID        string
	Path      string
	Body      []byte
	MaxTokens int
	// DeadlineMs is sent to the gateway as the request's deadline; 0 sends none.
	DeadlineMs int64
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

// Mix describes the generated requests.
type Mix struct {
	Model string
	// Prefixes is the number of different long prefixes shared by prompts, such as a
	// team's instructions; 0 means no shared prefix.
	Prefixes int
	// PrefixBytes and UniqueBytes are the sizes of the shared and the unique part of a prompt.
	PrefixBytes int
	UniqueBytes int
	// MinTokens and MaxTokens limit the response length.
	MinTokens int
	MaxTokens int
	// Name is the prefix of every request id.
	Name string
	Seed uint64
}

const filler = "the line runs along the parcel and the commune asks when crews may enter "

// Make returns the n-th request of the mix. Equal n and Mix give equal requests.
func (m Mix) Make(n int) Request {
	random := rand.New(rand.NewPCG(m.Seed, uint64(n)))
	prompt := ""
	if m.Prefixes > 0 {
		prompt = padTo(fmt.Sprintf("instructions %d: ", random.IntN(m.Prefixes)), m.PrefixBytes)
	}
	prompt += padTo(fmt.Sprintf(" question %s %d ", m.Name, n), m.UniqueBytes)
	tokens := m.MinTokens
	if m.MaxTokens > m.MinTokens {
		tokens += random.IntN(m.MaxTokens - m.MinTokens + 1)
	}
	return Chat(fmt.Sprintf("%s-%d", m.Name, n), m.Model, prompt, tokens)
}

// Chat returns a streamed chat request with one user message.
func Chat(id, model, prompt string, tokens int) Request {
	body, _ := json.Marshal(chatBody{
		Model: model, Messages: []chatMessage{{Role: "user", Content: prompt}}, MaxTokens: tokens, Stream: true,
	})
	return Request{ID: id, Path: "/v1/chat/completions", Body: body, MaxTokens: tokens}
}

func padTo(start string, size int) string {
	if size <= len(start) {
		return start
	}
	return start + strings.Repeat(filler, (size-len(start))/len(filler)+1)[:size-len(start)]
}
