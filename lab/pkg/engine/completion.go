package engine

import (
	"encoding/json"
	"strings"
)

const doneMarker = "[DONE]"

type chunkDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type chunkChoice struct {
	Index        int          `json:"index"`
	Delta        *chunkDelta  `json:"delta,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	Text         *string      `json:"text,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type usageBody struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completionBody struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *usageBody    `json:"usage,omitempty"`
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

// eventData returns the data of event n of a stream, counted from 1. It depends
// only on the request, so a resumed stream repeats the event byte for byte.
func (s *sequence) eventData(n int) []byte {
	if n == s.maxTokens+2 {
		return []byte(doneMarker)
	}
	body := completionBody{ID: s.id, Object: "text_completion", Created: s.created, Model: s.model}
	choice := chunkChoice{}
	text := ""
	if n <= s.maxTokens {
		text = Token(s.seed, s.startPosition+n-1)
	} else {
		reason := "length"
		choice.FinishReason = &reason
	}
	if s.chat {
		body.Object = "chat.completion.chunk"
		choice.Delta = &chunkDelta{Content: text}
		if n == 1 {
			choice.Delta.Role = "assistant"
		}
	} else {
		choice.Text = &text
	}
	body.Choices = []chunkChoice{choice}
	data, _ := json.Marshal(body)
	return data
}

// fullResponse returns the response body of a non-streaming request.
func (s *sequence) fullResponse(tokens int) completionBody {
	var b strings.Builder
	for k := range tokens {
		b.WriteString(Token(s.seed, s.startPosition+k))
	}
	reason := "length"
	choice := chunkChoice{FinishReason: &reason}
	body := completionBody{ID: s.id, Object: "text_completion", Created: s.created, Model: s.model}
	if s.chat {
		body.Object = "chat.completion"
		choice.Message = &chatMessage{Role: "assistant", Content: b.String()}
	} else {
		text := b.String()
		choice.Text = &text
	}
	body.Choices = []chunkChoice{choice}
	prompt := s.promptTokens()
	body.Usage = &usageBody{PromptTokens: prompt, CompletionTokens: tokens, TotalTokens: prompt + tokens}
	return body
}
