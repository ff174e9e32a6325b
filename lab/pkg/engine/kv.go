package engine

import (
	"encoding/json"
	"fmt"
	"time"
)

// kvImage is a stream's KV as moved between engines. Callers see opaque bytes.
type kvImage struct {
	Model    string `json:"model"`
	Prompt   string `json:"prompt"`
	Chat     bool   `json:"chat"`
	Seed     uint64 `json:"seed"`
	Start    int    `json:"start"`
	MaxTokens     int    `json:"most"`
	Produced int    `json:"produced"`
	Created  int64  `json:"created"`
}

func (e *Engine) exportKV(id string) ([]byte, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	if !ok || s.ended() || s.prefill != 0 {
		return nil, false
	}
	image := kvImage{
		Model: s.model, Prompt: s.prompt, Chat: s.chat, Seed: s.seed, Start: s.start,
		MaxTokens: s.most, Produced: s.produced, Created: s.created,
	}
	data, _ := json.Marshal(image)
	return data, true
}

// importKV makes a suspended stream that a resume goes on with.
func (e *Engine) importKV(id string, data []byte) error {
	var image kvImage
	if err := json.Unmarshal(data, &image); err != nil {
		return fmt.Errorf("parse KV: %w", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams[id] = &sequence{
		id: id, model: image.Model, prompt: image.Prompt, chat: image.Chat, seed: image.Seed,
		start: image.Start, most: image.MaxTokens, produced: image.Produced, created: image.Created,
		state: stateSuspended, ran: true, idleAt: time.Now(), changed: make(chan struct{}, 1),
	}
	return nil
}
