package engine

import (
	"encoding/json"
	"fmt"
	"time"
)

// kvSnapshot is the exported KV cache of a stream. It is opaque to callers.
type kvSnapshot struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	Chat      bool   `json:"chat"`
	Seed      uint64 `json:"seed"`
	Start     int    `json:"start"`
	MaxTokens int    `json:"most"`
	Produced  int    `json:"produced"`
	Created   int64  `json:"created"`
}

func (e *Engine) exportKV(id string) ([]byte, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	if !ok || s.ended() || s.prefill != 0 {
		return nil, false
	}
	snapshot := kvSnapshot{
		Model: s.model, Prompt: s.prompt, Chat: s.chat, Seed: s.seed, Start: s.startPosition,
		MaxTokens: s.maxTokens, Produced: s.produced, Created: s.created,
	}
	data, _ := json.Marshal(snapshot)
	return data, true
}

// importKV creates a suspended stream from exported data. A resume continues it.
func (e *Engine) importKV(id string, data []byte) error {
	var snapshot kvSnapshot
	if err := json.Unmarshal(data, &snapshot); err != nil {
		return fmt.Errorf("parse KV: %w", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams[id] = &sequence{
		id: id, model: snapshot.Model, prompt: snapshot.Prompt, chat: snapshot.Chat, seed: snapshot.Seed,
		startPosition: snapshot.Start, maxTokens: snapshot.MaxTokens, produced: snapshot.Produced, created: snapshot.Created,
		state: stateSuspended, admitted: true, idleSince: time.Now(), changed: make(chan struct{}, 1),
	}
	return nil
}
