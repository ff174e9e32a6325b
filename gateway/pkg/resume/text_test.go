package resume

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func chunk(id, text string, rest ...string) []byte {
	quoted, _ := json.Marshal(text)
	return fmt.Appendf(nil, `{"id": %q, "choices":[{"index":0,"delta":{"content" : %s%s},"finish_reason":null}]}`, id, quoted, strings.Join(rest, ""))
}

// Texts hold quotes, backslashes, keys of JSON and half of what escapes need.
// However they fall into pieces, the request that goes on elsewhere must decode
// to exactly the text that the caller has.
func TestRapidTextSurvivesItsPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		texts := rapid.SliceOfN(rapid.OneOf(
			rapid.String(),
			rapid.SampledFrom([]string{`"content":"x"`, `\"`, `\`, `"`, `{"id":"y"}`, "\n", "é", "\u2028", `"finish_reason":"stop"`, `"tool_calls":[1]`}),
		), 0, 8).Draw(t, "texts")
		text := NewText(Config{Kind: KindChat, MaxBytes: 1 << 20})
		for _, s := range texts {
			data := chunk("a", s)
			if got := text.Process(data); string(got) != string(data) {
				t.Fatalf("changed %s to %s", data, got)
			}
		}
		if text.Lost() {
			t.Fatalf("lost %q", texts)
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
		// What JSON can't carry is replaced on the first way already.
		var joined string
		for _, s := range texts {
			var one string
			quoted, _ := json.Marshal(s)
			_ = json.Unmarshal(quoted, &one)
			joined += one
		}
		if read.Messages[1].Content != joined || !read.Continue {
			t.Fatalf("%q became %q", joined, read.Messages[1].Content)
		}
	})
}

func TestTextThatCannotBeCarriedOn(t *testing.T) {
	scenarios := []struct {
		name string
		data []byte
	}{
		{"a tool call", []byte(`{"choices":[{"delta":{"content":null,"tool_calls":[{"index":0}]}}]}`)},
		{"hidden reasoning", []byte(`{"choices":[{"delta":{"reasoning_content":"hm"}}]}`)},
		{"its end", []byte(`{"choices":[{"delta":{},"finish_reason":"stop"}]}`)},
		{"too long", chunk("a", strings.Repeat("x", 101))},
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

func TestCompletionGoesOn(t *testing.T) {
	text := NewText(Config{Kind: KindCompletion, MaxBytes: 100})
	text.Process([]byte(`{"id":"a","choices":[{"text":"say \"hi\"","finish_reason":null}]}`))
	body, err := text.Body([]byte(`{"model":"m","prompt":"p: ","max_tokens":5}`))
	require.NoError(t, err)
	require.JSONEq(t, `{"model":"m","prompt":"p: say \"hi\"","max_tokens":4}`, string(body))
	_, err = text.Body([]byte(`{"model":"m","prompt":"p","max_tokens":1}`))
	require.ErrorIs(t, err, ErrNotResumable, "every token that was asked for is there; only the end is missing")
	_, err = text.Body([]byte(`{"model":"m","prompt":["p"]}`))
	require.ErrorIs(t, err, ErrNotResumable)
}

func TestAbleNeedsOnePlainChoice(t *testing.T) {
	scenarios := []struct {
		body string
		able bool
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
		require.Equal(t, s.able, Resumable(body), s.body)
	}
}
