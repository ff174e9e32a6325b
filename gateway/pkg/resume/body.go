package resume

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// ErrNotResumable is returned when an answer can't be resumed from its text so far.
var ErrNotResumable = errors.New("the answer can't be resumed from the text so far")

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Resumable reports whether an answer to a request with this body can be resumed from its text: it
// must have a single choice and no content besides the text.
func Resumable(body map[string]json.RawMessage) bool {
	for _, key := range []string{"continue_final_message", "logprobs", "echo", "best_of", "suffix", "use_beam_search"} {
		if value, found := body[key]; found && !isDefault(value) {
			return false
		}
	}
	n, found := body["n"]
	return !found || string(n) == "1" || string(n) == "null"
}

// isDefault reports whether a JSON value equals the default of an optional parameter.
func isDefault(value json.RawMessage) bool {
	switch string(value) {
	case "null", "false", "0", `""`:
		return true
	default:
		return false
	}
}

// Body returns a request body that continues after the text so far. It counts one token for each
// chunk, because engines send one token in each chunk.
func (t *Text) Body(original []byte) ([]byte, error) {
	if t.lost {
		return nil, ErrNotResumable
	}
	var body map[string]json.RawMessage
	if err := json.Unmarshal(original, &body); err != nil {
		return nil, fmt.Errorf("decode the original request: %w", err)
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
		if err := t.reduceTokenLimit(body, key); err != nil {
			return nil, err
		}
	}
	joined, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode the resumed request: %w", err)
	}
	return joined, nil
}

func (t *Text) quoted() json.RawMessage {
	return json.RawMessage(`"` + string(t.raw) + `"`)
}

func (t *Text) extendMessages(body map[string]json.RawMessage) error {
	var messages []json.RawMessage
	if err := json.Unmarshal(body["messages"], &messages); err != nil {
		return fmt.Errorf("decode the messages of the original request: %w", err)
	}
	last, err := json.Marshal(chatMessage{Role: "assistant", Content: t.quoted()})
	if err != nil {
		return fmt.Errorf("encode the text so far: %w", err)
	}
	joined, err := json.Marshal(append(messages, last))
	if err != nil {
		return fmt.Errorf("encode the messages of the resumed request: %w", err)
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

// reduceTokenLimit subtracts the received tokens from the limit under key, if the body has one.
func (t *Text) reduceTokenLimit(body map[string]json.RawMessage, key string) error {
	value, found := body[key]
	if !found || string(value) == "null" {
		return nil
	}
	var limit int
	if err := json.Unmarshal(value, &limit); err != nil {
		return fmt.Errorf("decode the limit %s of the original request: %w", key, err)
	}
	// The token limit is reached but the finish reason is missing. Only the engine that sent the text
	// knows it.
	if limit <= t.chunks {
		return ErrNotResumable
	}
	body[key], _ = json.Marshal(limit - t.chunks)
	return nil
}
