package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// Reference renders the settings of a program as a Markdown table, from the struct that holds their
// defaults. The toml tag is the key and the doc tag its description. A test compares the table with
// the settings page, which therefore stays up to date.
func Reference(defaults any) string {
	var b strings.Builder
	b.WriteString("| key | type | default | meaning |\n|---|---|---|---|\n")
	writeRows(&b, "", reflect.ValueOf(defaults))
	return b.String()
}

func writeRows(b *strings.Builder, prefix string, v reflect.Value) {
	t := v.Type()
	for i := range t.NumField() {
		field := t.Field(i)
		key := prefix + field.Tag.Get("toml")
		switch {
		case field.Type.Kind() == reflect.Struct:
			writeRows(b, key+".", v.Field(i))
		case field.Type.Kind() == reflect.Slice && field.Type.Elem().Kind() == reflect.Struct:
			fmt.Fprintf(b, "| `%s` | list of tables | | %s |\n", key, field.Tag.Get("doc"))
			writeRows(b, key+"[].", reflect.Zero(field.Type.Elem()))
		default:
			fmt.Fprintf(b, "| `%s` | %s | `%v` | %s |\n", key, field.Type, v.Field(i).Interface(), field.Tag.Get("doc"))
		}
	}
}
