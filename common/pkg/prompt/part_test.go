package prompt

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestShared(t *testing.T) {
	var many []PartID
	for n := range maxShared + 5 {
		many = append(many, PartID(fmt.Sprint(n)))
	}
	for _, c := range []struct {
		name        string
		parts, want []PartID
	}{
		{"no parts", nil, nil},
		{"only its own part", []PartID{"own"}, nil},
		{"three parts", []PartID{"a", "b", "own"}, []PartID{"a", "b"}},
		{"one part twice", []PartID{"a", "b", "a", "own"}, []PartID{"a", "b"}},
		{"its own part also earlier", []PartID{"own", "own"}, []PartID{"own"}},
		{"more than the limit", many, many[:maxShared]},
	} {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, Shared(c.parts)) })
	}
}
