// Package resume keeps what is needed to go on with a model's streamed answer
// on another endpoint: the text so far, taken from the pieces as they pass.
package resume

import (
	"bytes"
)

// Kind is the call whose answer is kept.
type Kind uint8

// Kinds of calls.
const (
	KindChat Kind = iota + 1
	KindCompletion
)

var (
	keyContent   = []byte(`"content"`)
	keyText      = []byte(`"text"`)
	keyID        = []byte(`"id"`)
	keyFinish    = []byte(`"finish_reason"`)
	keyTools     = []byte(`"tool_calls"`)
	keyReasoning = []byte(`"reasoning_content"`)
	keyRole      = []byte(`"role"`)
)

// Config describes a text.
type Config struct {
	Kind Kind
	// MaxBytes is the most bytes kept.
	MaxBytes int
}

// Text is the text of one answer so far. It is kept as it stands in the JSON,
// escapes and all, so that a piece costs a search and a copy but no decoding:
// JSON strings put end to end are one JSON string.
type Text struct {
	config Config
	raw    []byte
	pieces int
	lost   bool
	// id of the first endpoint's answer, and of the present one when it differs.
	id []byte
	// moved is true once another endpoint went on with the answer.
	moved bool
}

// NewText makes an empty text.
func NewText(config Config) *Text {
	return &Text{config: config}
}

// Lost says whether the text can't be handed to another endpoint: it grew too
// long, holds more than plain text, or has come to its end.
func (t *Text) Lost() bool {
	return t.lost
}

// Process notes one piece and returns it as the caller is to see it; nil when the
// caller has it already.
func (t *Text) Process(data []byte) []byte {
	if t.moved {
		data = t.keepID(data)
	} else if t.id == nil {
		t.id = bytes.Clone(member(data, keyID))
	}
	text, found := t.text(data)
	if t.moved && (!found || len(text) == 0) && bytes.Contains(data, keyRole) && len(member(data, keyFinish)) == 0 {
		return nil
	}
	t.note(data, text)
	return data
}

func (t *Text) text(data []byte) (text []byte, found bool) {
	key := keyContent
	if t.config.Kind == KindCompletion {
		key = keyText
	}
	return find(data, key)
}

func (t *Text) note(data, text []byte) {
	if t.lost {
		return
	}
	if special(data) || len(t.raw)+len(text) > t.config.MaxBytes {
		t.lost = true
		t.raw = nil
		return
	}
	if len(text) > 0 {
		t.raw = append(t.raw, text...)
		t.pieces++
	}
}

// special finds what a plain text can't carry on: calls of tools, hidden
// reasoning, and the end, after which another endpoint would add to the answer.
func special(data []byte) bool {
	if len(member(data, keyFinish)) > 0 || len(member(data, keyReasoning)) > 0 {
		return true
	}
	at := bytes.Index(data, keyTools)
	if at < 0 {
		return false
	}
	value := afterColon(data[at+len(keyTools):])
	return !bytes.HasPrefix(value, []byte("null")) && !bytes.HasPrefix(value, []byte("[]"))
}

// SwitchEndpoint tells that another endpoint goes on with the answer.
func (t *Text) SwitchEndpoint() {
	t.moved = true
}

// keepID puts the first endpoint's id in the place of the present one: callers
// join the pieces of an answer by it.
func (t *Text) keepID(data []byte) []byte {
	present, found := find(data, keyID)
	if !found || t.id == nil || bytes.Equal(present, t.id) {
		return data
	}
	return bytes.Replace(data, quote(present), quote(t.id), 1)
}

func quote(inside []byte) []byte {
	quoted := make([]byte, 0, len(inside)+2)
	quoted = append(quoted, '"')
	quoted = append(quoted, inside...)
	return append(quoted, '"')
}

// member is find for a string that may be missing.
func member(data, key []byte) []byte {
	value, _ := find(data, key)
	return value
}

// find returns the inside of the string that follows a key. A quoted key can't
// stand inside another string, since its quotes would be escaped there; it can
// be a value, but then no colon follows. The first one with a string counts.
func find(data, key []byte) (value []byte, found bool) {
	for {
		at := bytes.Index(data, key)
		if at < 0 {
			return nil, false
		}
		data = data[at+len(key):]
		rest := afterColon(data)
		if len(rest) > 0 && rest[0] == '"' {
			rest = rest[1:]
			if end := stringEnd(rest); end >= 0 {
				return rest[:end], true
			}
			return nil, false
		}
	}
}

// afterColon skips the colon after a key, and blanks; nil when there is none.
func afterColon(data []byte) []byte {
	data = bytes.TrimLeft(data, " \t\r\n")
	if len(data) == 0 || data[0] != ':' {
		return nil
	}
	return bytes.TrimLeft(data[1:], " \t\r\n")
}

func stringEnd(data []byte) int {
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return -1
}
