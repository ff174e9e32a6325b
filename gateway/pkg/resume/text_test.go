package resume

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func newChunk(id, text string, rest ...string) []byte {
	quoted, _ := json.Marshal(text)
	return fmt.Appendf(nil, `{"id": %q, "choices":[{"index":0,"delta":{"content" : %s%s},"finish_reason":null}]}`, id, quoted, strings.Join(rest, ""))
}

// Texts contain quotes, backslashes, JSON keys and incomplete escapes, split into chunks in any way.
// The request that resumes the answer must decode to exactly the text that the caller has.
func TestRapidBodyContainsText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		texts := rapid.SliceOfN(rapid.OneOf(
			rapid.String(),
			rapid.SampledFrom([]string{`"content":"x"`, `\"`, `\`, `"`, `{"id":"y"}`, "\n", "é", "\u2028", `"finish_reason":"stop"`, `"tool_calls":[1]`}),
		), 0, 8).Draw(t, "texts")
		text := NewText(Config{Kind: KindChat, MaxBytes: 1 << 20})
		for _, s := range texts {
			data := newChunk("a", s)
			if got := text.Process(data); string(got) != string(data) {
				t.Fatalf("Process changed %s to %s", data, got)
			}
		}
		if text.Lost() {
			t.Fatalf("text lost after chunks %q", texts)
		}
		body, err := text.Body([]byte(`{"model":"m","messages":[{"role":"user","content":"q"}]}`))
		if err != nil {
			t.Fatal(err)
		}
		var read struct {
			Messages []struct{ Role, Content string }
			Continue bool `json:"continue_final_message"`
		}
		if err := json.Unmarshal(body, &read); err != nil {
			t.Fatal(err)
		}
		// Characters that JSON can't represent are already replaced when the chunk is encoded.
		var joined string
		for _, s := range texts {
			var one string
			quoted, _ := json.Marshal(s)
			_ = json.Unmarshal(quoted, &one)
			joined += one
		}
		if read.Messages[1].Content != joined || !read.Continue {
			t.Fatalf("text %q became %q in the resumed request", joined, read.Messages[1].Content)
		}
	})
}

func TestTextIsLost(t *testing.T) {
	scenarios := []struct {
		name string
		data []byte
	}{
		{"a tool call", []byte(`{"choices":[{"delta":{"content":null,"tool_calls":[{"index":0}]}}]}`)},
		{"hidden reasoning", []byte(`{"choices":[{"delta":{"reasoning_content":"hm"}}]}`)},
		{"the finish reason", []byte(`{"choices":[{"delta":{},"finish_reason":"stop"}]}`)},
		{"too long", newChunk("a", strings.Repeat("x", 101))},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			text := NewText(Config{Kind: KindChat, MaxBytes: 100})
			text.Process(s.data)
			require.True(t, text.Lost())
			_, err := text.Body([]byte(`{}`))
			require.ErrorIs(t, err, ErrNotResumable)
		})
	}
}

func TestBodyExtendsPrompt(t *testing.T) {
	text := NewText(Config{Kind: KindCompletion, MaxBytes: 100})
	text.Process([]byte(`{"id":"a","choices":[{"text":"say \"hi\"","finish_reason":null}]}`))
	body, err := text.Body([]byte(`{"model":"m","prompt":"p: ","max_tokens":5}`))
	require.NoError(t, err)
	require.JSONEq(t, `{"model":"m","prompt":"p: say \"hi\"","max_tokens":4}`, string(body))
	_, err = text.Body([]byte(`{"model":"m","prompt":"p","max_tokens":1}`))
	require.ErrorIs(t, err, ErrNotResumable, "all requested tokens were received; only the finish reason is missing")
	_, err = text.Body([]byte(`{"model":"m","prompt":["p"]}`))
	require.ErrorIs(t, err, ErrNotResumable)
}

func TestResumable(t *testing.T) {
	scenarios := []struct {
		body      string
		resumable bool
	}{
		{`{}`, true},
		{`{"n":1,"logprobs":false}`, true},
		{`{"n":2}`, false},
		{`{"logprobs":true}`, false},
		{`{"continue_final_message":true}`, false},
		{`{"suffix":"x"}`, false},
	}
	for _, s := range scenarios {
		var body map[string]json.RawMessage
		require.NoError(t, json.Unmarshal([]byte(s.body), &body))
		require.Equal(t, s.resumable, Resumable(body), s.body)
	}
}
