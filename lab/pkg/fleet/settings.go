package fleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// Setting is a dotted key and its value in the TOML settings file of a program.
type Setting struct {
	Key   string
	Value any
}

// Set returns a Setting.
func Set(key string, value any) Setting { return Setting{Key: key, Value: value} }

// writeSettings writes a settings file. If a key occurs twice, the later value wins. The
// programs refuse unknown keys, so a removed key fails their start.
func writeSettings(file string, settings ...Setting) error {
	last := make(map[string]int, len(settings))
	for i, s := range settings {
		last[s.Key] = i
	}
	var b strings.Builder
	for i, s := range settings {
		if last[s.Key] == i {
			fmt.Fprintf(&b, "%s = %s\n", s.Key, tomlLiteral(s.Value))
		}
	}
	if err := os.WriteFile(file, []byte(b.String()), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}

// tomlLiteral encodes a value as TOML.
func tomlLiteral(value any) string {
	switch v := value.(type) {
	case string:
		return strconv.Quote(v)
	case []string:
		quoted := make([]string, len(v))
		for i, element := range v {
			quoted[i] = strconv.Quote(element)
		}
		return "[" + strings.Join(quoted, ", ") + "]"
	case Table:
		parts := make([]string, len(v))
		for i, element := range v {
			parts[i] = element.Key + " = " + tomlLiteral(element.Value)
		}
		return "{ " + strings.Join(parts, ", ") + " }"
	case []Table:
		parts := make([]string, len(v))
		for i, element := range v {
			parts[i] = tomlLiteral(element)
		}
		return "[" + strings.Join(parts, ", ") + "]"
	default:
		return fmt.Sprint(v)
	}
}

// Table is an inline TOML table.
type Table []Setting
