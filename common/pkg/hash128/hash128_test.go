package hash128

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against sequences with other boundaries that have the same hash.
func TestBoundariesCount(t *testing.T) {
	sum := Of([]byte("ab"), []byte("c"))
	require.Equal(t, sum, Of([]byte("ab"), []byte("c")))
	for _, other := range []Sum{Of([]byte("a"), []byte("bc")), Of([]byte("abc")), Of([]byte("ab"), []byte("c"), nil), Of()} {
		require.NotEqual(t, sum, other)
	}
	parsed, ok := Parse(sum[:])
	require.True(t, ok)
	require.Equal(t, sum, parsed)
	for _, invalid := range [][]byte{nil, sum[:15], append(sum[:], 0)} {
		_, ok = Parse(invalid)
		require.False(t, ok)
	}
}
