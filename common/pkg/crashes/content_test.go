package crashes

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestContentTellsRequestsApart(t *testing.T) {
	same := FingerprintOf("POST", "team", "/a/1", []byte("body"))
	require.Equal(t, same, FingerprintOf("POST", "team", "/a/1", []byte("body")))
	for _, c := range []struct {
		name  string
		other Fingerprint
	}{
		{"method", FingerprintOf("GET", "team", "/a/1", []byte("body"))},
		{"host", FingerprintOf("POST", "team2", "/a/1", []byte("body"))},
		{"target", FingerprintOf("POST", "team", "/a/1?x", []byte("body"))},
		{"body", FingerprintOf("POST", "team", "/a/1", []byte("bodz"))},
		{"a part that begins earlier", FingerprintOf("POST", "team", "/a/", []byte("1body"))},
	} {
		t.Run(c.name, func(t *testing.T) { require.NotEqual(t, same, c.other) })
	}
}
