package engine

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// Validation errors of a request body.
var (
	errNoPrompt  = errors.New("neither messages nor prompt")
	errMaxTokens = errors.New("max_tokens out of range")
)

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type generateRequest struct {
	Model                string        `json:"model"`
	Messages             []chatMessage `json:"messages"`
	Prompt               string        `json:"prompt"`
	MaxTokens            *int          `json:"max_tokens"`
	Stream               bool          `json:"stream"`
	ContinueFinalMessage bool          `json:"continue_final_message"`
	AddGenerationPrompt  *bool         `json:"add_generation_prompt"`
}

func parseRequest(body []byte, chat bool) (generateRequest, error) {
	var r generateRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return r, fmt.Errorf("parse body: %w", err)
	}
	if chat && len(r.Messages) == 0 || !chat && r.Prompt == "" {
		return r, errNoPrompt
	}
	if r.MaxTokens != nil && (*r.MaxTokens < 1 || *r.MaxTokens > maxTokensLimit) {
		return r, errMaxTokens
	}
	return r, nil
}

// flatPrompt joins the messages like a chat template. Only a continuation leaves the
// last message open, so generated tokens are counted only in that case.
func (r generateRequest) flatPrompt(chat bool) string {
	if !chat {
		return r.Prompt
	}
	var b strings.Builder
	for i, m := range r.Messages {
		last := i == len(r.Messages)-1
		if last && m.Role == "assistant" && r.ContinueFinalMessage {
			b.WriteString("<assistant>")
			b.WriteString(m.Content)
			return b.String()
		}
		b.WriteString("<" + m.Role + ">" + m.Content + "\n")
	}
	b.WriteString("<assistant>")
	return b.String()
}

func (r generateRequest) maxTokens() int {
	if r.MaxTokens == nil {
		return defaultTokens
	}
	return *r.MaxTokens
}
