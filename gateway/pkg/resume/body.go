package resume

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// ErrNotResumable is returned for a request that can't go on with a text.
var ErrNotResumable = errors.New("the request can't go on with a text so far")

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Resumable says whether an answer to this body can be resumed from its text: one
// choice, and nothing that the text doesn't show.
func Resumable(body map[string]json.RawMessage) bool {
	for _, key := range []string{"continue_final_message", "logprobs", "echo", "best_of", "suffix", "use_beam_search"} {
		if value, found := body[key]; found && !isDefault(value) {
			return false
		}
	}
	n, found := body["n"]
	return !found || string(n) == "1" || string(n) == "null"
}

func isDefault(value json.RawMessage) bool {
	switch string(value) {
	case "null", "false", "0", `""`:
		return true
	default:
		return false
	}
}

// Body returns the request that goes on after the text so far. The number of
// tokens is taken as the number of pieces: engines send one token a piece.
func (t *Text) Body(original []byte) ([]byte, error) {
	if t.lost {
		return nil, ErrNotResumable
	}
	var body map[string]json.RawMessage
	if err := json.Unmarshal(original, &body); err != nil {
		return nil, fmt.Errorf("read the first request: %w", err)
	}
	var err error
	if t.config.Kind == KindChat {
		err = t.extendMessages(body)
	} else {
		err = t.extendPrompt(body)
	}
	if err != nil {
		return nil, err
	}
	for _, key := range []string{"max_tokens", "max_completion_tokens"} {
		if err := t.lower(body, key); err != nil {
			return nil, err
		}
	}
	joined, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("write the resumed request: %w", err)
	}
	return joined, nil
}

func (t *Text) quoted() json.RawMessage {
	return json.RawMessage(`"` + string(t.raw) + `"`)
}

func (t *Text) extendMessages(body map[string]json.RawMessage) error {
	var messages []json.RawMessage
	if err := json.Unmarshal(body["messages"], &messages); err != nil {
		return fmt.Errorf("read the messages: %w", err)
	}
	last, err := json.Marshal(message{Role: "assistant", Content: t.quoted()})
	if err != nil {
		return fmt.Errorf("write the text so far: %w", err)
	}
	joined, err := json.Marshal(append(messages, last))
	if err != nil {
		return fmt.Errorf("write the messages: %w", err)
	}
	body["messages"] = joined
	body["continue_final_message"] = json.RawMessage("true")
	body["add_generation_prompt"] = json.RawMessage("false")
	return nil
}

func (t *Text) extendPrompt(body map[string]json.RawMessage) error {
	prompt := body["prompt"]
	if len(prompt) < 2 || prompt[0] != '"' {
		return ErrNotResumable
	}
	body["prompt"] = json.RawMessage(string(prompt[:len(prompt)-1]) + string(t.raw) + `"`)
	return nil
}

func (t *Text) lower(body map[string]json.RawMessage, key string) error {
	value, found := body[key]
	if !found || string(value) == "null" {
		return nil
	}
	var limit int
	if err := json.Unmarshal(value, &limit); err != nil {
		return fmt.Errorf("read %s: %w", key, err)
	}
	// Nothing may be added, yet the end is missing: only the engine that had it knows why.
	if limit <= t.pieces {
		return ErrNotResumable
	}
	body[key], _ = json.Marshal(limit - t.pieces)
	return nil
}
