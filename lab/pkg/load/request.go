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
	// DeadlineMs is told to the gateway; 0 tells none.
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

// Mix is what requests look like.
type Mix struct {
	Model string
	// Prefixes is how many different long beginnings prompts share (a team's
	// instructions); 0 means none is shared.
	Prefixes int
	// PrefixBytes and OwnBytes are the sizes of the shared and the own part.
	PrefixBytes int
	UniqueBytes    int
	// MinTokens and MaxTokens bound the answers' lengths.
	MinTokens int
	MaxTokens int
	// Name begins every request id.
	Name string
	Seed uint64
}

const filler = "the line runs along the parcel and the commune asks when crews may enter "

// Make is the n-th request of the mix; the same n gives the same request.
func (m Mix) Make(n int) Request {
	random := rand.New(rand.NewPCG(m.Seed, uint64(n)))
	prompt := ""
	if m.Prefixes > 0 {
		prompt = fit(fmt.Sprintf("instructions %d: ", random.IntN(m.Prefixes)), m.PrefixBytes)
	}
	prompt += fit(fmt.Sprintf(" question %s %d ", m.Name, n), m.UniqueBytes)
	tokens := m.MinTokens
	if m.MaxTokens > m.MinTokens {
		tokens += random.IntN(m.MaxTokens - m.MinTokens + 1)
	}
	return Chat(fmt.Sprintf("%s-%d", m.Name, n), m.Model, prompt, tokens)
}

// Chat is one streamed chat call with one user message.
func Chat(id, model, prompt string, tokens int) Request {
	body, _ := json.Marshal(chatBody{
		Model: model, Messages: []chatMessage{{Role: "user", Content: prompt}}, MaxTokens: tokens, Stream: true,
	})
	return Request{ID: id, Path: "/v1/chat/completions", Body: body, MaxTokens: tokens}
}

func fit(start string, size int) string {
	if size <= len(start) {
		return start
	}
	return start + strings.Repeat(filler, (size-len(start))/len(filler)+1)[:size-len(start)]
}
