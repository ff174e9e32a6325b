package caller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"

	"github.com/pkg/errors"
)

// fields holds the undecoded members of the JSON object in a request body.
type fields map[string]json.RawMessage

// valueType is a JSON type that a field may be required to have.
type valueType struct {
	name    string
	matches func(json.RawMessage) bool
}

var (
	typeString          = valueType{"a string", func(v json.RawMessage) bool { return v[0] == '"' }}
	typeBool            = valueType{"true or false", func(v json.RawMessage) bool { return v[0] == 't' || v[0] == 'f' }}
	typeNumber          = valueType{"a number", func(v json.RawMessage) bool { return v[0] == '-' || (v[0] >= '0' && v[0] <= '9') }}
	typePositiveInteger = valueType{"a whole number above 0", isPositiveInteger}
	typeStringOrArray   = valueType{"a string or an array", func(v json.RawMessage) bool { return v[0] == '"' || v[0] == '[' }}
	typeObject          = valueType{"an object", func(v json.RawMessage) bool { return v[0] == '{' }}
	typeArray           = valueType{"an array", func(v json.RawMessage) bool { return v[0] == '[' }}
	typeMessageContent  = valueType{"a string, an array or null", func(v json.RawMessage) bool {
		return v[0] == '"' || v[0] == '[' || v[0] == 'n'
	}}
)

// fieldRule is the required type of one field. Fields without a rule are passed to the engine unchecked,
// because engines accept more fields than the gateway knows.
type fieldRule struct {
	key       string
	valueType valueType
}

var fieldRules = []fieldRule{
	{"model", typeString},
	{"stream", typeBool},
	{"max_tokens", typePositiveInteger},
	{"max_completion_tokens", typePositiveInteger},
	{"n", typePositiveInteger},
	{"temperature", typeNumber},
	{"top_p", typeNumber},
	{"frequency_penalty", typeNumber},
	{"presence_penalty", typeNumber},
	{"seed", typeNumber},
	{"stop", typeStringOrArray},
	{"user", typeString},
	{"messages", typeArray},
	{"prompt", typeStringOrArray},
	{"tools", typeArray},
	{"stream_options", typeObject},
	{"response_format", typeObject},
}

func isPositiveInteger(v json.RawMessage) bool {
	var number int64
	return json.Unmarshal(v, &number) == nil && number > 0
}

func isNull(v json.RawMessage) bool {
	return len(v) == 0 || v[0] == 'n'
}

// parseObject decodes a body that must consist of exactly one JSON object.
func parseObject(body []byte) (fields, *refusal) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	token, err := decoder.Token()
	if err != nil {
		return nil, malformedJSON(err)
	}
	if token != json.Delim('{') {
		return nil, newRefusal(http.StatusBadRequest, reasonWrongType, "the body must be a JSON object")
	}
	found := fields{}
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return nil, malformedJSON(err)
		}
		name, _ := key.(string)
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return nil, malformedJSON(err)
		}
		// Of two values, the gateway and the engine might use different ones.
		if _, duplicate := found[name]; duplicate {
			return nil, newRefusal(http.StatusBadRequest, reasonDuplicateField, "the field "+name+" is given more than once")
		}
		found[name] = value
	}
	if _, err := decoder.Token(); err != nil {
		return nil, malformedJSON(err)
	}
	if decoder.More() {
		return nil, malformedJSON(errors.New("there is more after the object"))
	}
	return found, nil
}

func malformedJSON(err error) *refusal {
	return newRefusal(http.StatusBadRequest, reasonMalformed, "the body is not valid JSON: "+err.Error())
}

// validate checks the types of all fields that have a rule, and that the required fields are present.
func (f fields) validate(required ...string) *refusal {
	for _, key := range required {
		if isNull(f[key]) {
			return newRefusal(http.StatusBadRequest, reasonMissing, "the field "+key+" is missing")
		}
	}
	for _, r := range fieldRules {
		value, found := f[r.key]
		if !found || (isNull(value) && !slices.Contains(required, r.key)) {
			continue
		}
		if !r.valueType.matches(value) {
			return newRefusal(http.StatusBadRequest, reasonWrongType, "the field "+r.key+" must be "+r.valueType.name)
		}
	}
	return nil
}

// validateMessages checks the messages of a chat request.
func (f fields) validateMessages() *refusal {
	var messages []fields
	if err := json.Unmarshal(f["messages"], &messages); err != nil || len(messages) == 0 {
		return newRefusal(http.StatusBadRequest, reasonWrongType,
			"the field messages must be an array of objects, at least one")
	}
	for _, m := range messages {
		if isNull(m["role"]) || !typeString.matches(m["role"]) {
			return newRefusal(http.StatusBadRequest, reasonWrongType, "the field role of each message must be a string")
		}
		if content, found := m["content"]; found && !typeMessageContent.matches(content) {
			return newRefusal(http.StatusBadRequest, reasonWrongType,
				"the field content of each message must be "+typeMessageContent.name)
		}
	}
	return nil
}

func (f fields) stringValue(key string) string {
	var text string
	_ = json.Unmarshal(f[key], &text)
	return text
}

func (f fields) isTrue(key string) bool {
	return string(f[key]) == "true"
}
