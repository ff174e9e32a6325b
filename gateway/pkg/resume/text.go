// Package resume stores the data needed to continue a model's streamed answer on another endpoint:
// the text so far, extracted from the chunks as they are passed to the caller.
package resume

import (
	"bytes"
)

// Kind is the kind of API call whose answer is stored.
type Kind uint8

// Kinds of API calls.
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

// Config configures a Text.
type Config struct {
	Kind Kind
	// MaxBytes is the maximum number of bytes stored.
	MaxBytes int
}

// Text is the text of one answer so far. It is stored as escaped JSON, so that a chunk costs a search
// and a copy but no decoding: the contents of JSON strings can be concatenated.
type Text struct {
	config Config
	raw    []byte
	chunks int
	lost   bool
	// id is the id of the first endpoint's answer.
	id []byte
	// switched is true once another endpoint continues the answer.
	switched bool
}

// NewText returns an empty text.
func NewText(config Config) *Text {
	return &Text{config: config}
}

// Lost reports whether the answer can't be continued by another endpoint: the text is too long, the
// answer contains more than plain text, or it is finished.
func (t *Text) Lost() bool {
	return t.lost
}

// Process records one chunk and returns it as it must be sent to the caller. It returns nil for the
// opening chunk of another endpoint, because the caller already received one from the first endpoint.
func (t *Text) Process(data []byte) []byte {
	if t.switched {
		data = t.restoreID(data)
	} else if t.id == nil {
		t.id = bytes.Clone(stringValue(data, keyID))
	}
	text, found := t.extractText(data)
	if t.switched && (!found || len(text) == 0) && bytes.Contains(data, keyRole) && len(stringValue(data, keyFinish)) == 0 {
		return nil
	}
	t.record(data, text)
	return data
}

// extractText returns the chunk's text as escaped JSON.
func (t *Text) extractText(data []byte) (text []byte, found bool) {
	key := keyContent
	if t.config.Kind == KindCompletion {
		key = keyText
	}
	return findString(data, key)
}

func (t *Text) record(data, text []byte) {
	if t.lost {
		return
	}
	if preventsResume(data) || len(t.raw)+len(text) > t.config.MaxBytes {
		t.lost = true
		t.raw = nil
		return
	}
	if len(text) > 0 {
		t.raw = append(t.raw, text...)
		t.chunks++
	}
}

// preventsResume reports whether a chunk contains content that can't be continued from plain text:
// tool calls, hidden reasoning, or the finish reason, after which another endpoint would add text.
func preventsResume(data []byte) bool {
	if len(stringValue(data, keyFinish)) > 0 || len(stringValue(data, keyReasoning)) > 0 {
		return true
	}
	at := bytes.Index(data, keyTools)
	if at < 0 {
		return false
	}
	value := afterColon(data[at+len(keyTools):])
	return !bytes.HasPrefix(value, []byte("null")) && !bytes.HasPrefix(value, []byte("[]"))
}

// SwitchEndpoint records that another endpoint continues the answer.
func (t *Text) SwitchEndpoint() {
	t.switched = true
}

// restoreID replaces the current endpoint's id by the first endpoint's, because callers join the
// chunks of an answer by id.
func (t *Text) restoreID(data []byte) []byte {
	current, found := findString(data, keyID)
	if !found || t.id == nil || bytes.Equal(current, t.id) {
		return data
	}
	return bytes.Replace(data, quote(current), quote(t.id), 1)
}

func quote(inside []byte) []byte {
	quoted := make([]byte, 0, len(inside)+2)
	quoted = append(quoted, '"')
	quoted = append(quoted, inside...)
	return append(quoted, '"')
}

// stringValue returns the result of findString, or nil if the string is missing.
func stringValue(data, key []byte) []byte {
	value, _ := findString(data, key)
	return value
}

// findString returns the content of the string after a quoted key. A quoted key can't occur inside
// another string, because its quotes would be escaped there. It can be a value, but then no
// colon follows. The first occurrence with a string value is used.
func findString(data, key []byte) (value []byte, found bool) {
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

// afterColon skips the colon after a key and white space; it returns nil when there is no colon.
func afterColon(data []byte) []byte {
	data = bytes.TrimLeft(data, " \t\r\n")
	if len(data) == 0 || data[0] != ':' {
		return nil
	}
	return bytes.TrimLeft(data[1:], " \t\r\n")
}

// stringEnd returns the index of the closing quote, or -1.
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
